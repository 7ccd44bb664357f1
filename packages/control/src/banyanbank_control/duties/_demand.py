"""Loads of engines as their owners report them, and what they ask for."""

import collections
import collections.abc

import attrs
import banyanbank_base as base

from banyanbank_control import sync

REPORT_S = 5.0
"""Time for which an instance's report counts, in seconds."""

TARGET_LOAD = 0.75
"""Part of the slots that the requests may take up."""


@attrs.frozen
class EngineReport:
    """Load of one engine as its owner sees it."""

    endpoint: base.EndpointId
    """The engine."""
    waiting: int
    """Requests that wait for it."""
    running: int
    """Requests that run on it."""
    waiting_tokens: float
    """Estimated tokens that wait."""
    running_tokens: float
    """Estimated tokens of what runs."""
    tokens_per_s: float
    """Smoothed service rate."""

    @property
    def requests(self) -> int:
        """Requests that wait or run."""
        return self.waiting + self.running


@attrs.frozen
class UnservedModel:
    """Requests for a model that found no endpoint."""

    model: base.ModelName
    """The model."""
    requests: int
    """Requests since the last report; above 0."""


@attrs.frozen
class _Heard:
    at: float
    reports: tuple[EngineReport, ...]
    unserved: tuple[UnservedModel, ...]


class EngineReports:
    """Newest reports of all instances; soft state of one office.

    An engine whose ownership has just moved may be in the reports of two
    instances, each with the requests that it holds: they add up.

    Args:
        began: Monotonic time at which the office began, in seconds.
    """

    def __init__(self, began: float) -> None:
        self.began = began
        """Monotonic time at which the office began, in seconds."""
        self._heard: dict[base.InstanceId, _Heard] = {}
        self._busy_at: dict[base.EndpointId, float] = {}
        # A plan asks for every engine at one time.
        self._sums: collections.Counter[base.EndpointId] = collections.Counter()
        self._summed_at: float | None = None

    def take(
        self,
        instance: base.InstanceId,
        reports: tuple[EngineReport, ...],
        now: float,
        unserved: tuple[UnservedModel, ...] = (),
    ) -> None:
        """Takes in an instance's reports in place of its earlier ones."""
        self._heard[instance] = _Heard(now, reports, unserved)
        self._summed_at = None
        for report in reports:
            if report.requests:
                self._busy_at[report.endpoint] = now

    def requests(self, endpoint: base.EndpointId, now: float) -> int:
        """Returns the requests that wait for an engine or run on it."""
        if self._summed_at != now:
            self._summed_at = now
            self._sums = collections.Counter()
            for heard in self._heard.values():
                if now < heard.at + REPORT_S:
                    for report in heard.reports:
                        self._sums[report.endpoint] += report.requests
        return self._sums[endpoint]

    def unserved(self, model: base.ModelName, now: float) -> int:
        """Returns the requests that found no endpoint of a model of late."""
        return sum(
            one.requests
            for heard in self._heard.values()
            if now < heard.at + REPORT_S
            for one in heard.unserved
            if one.model == model
        )

    def idle_s(self, endpoint: base.EndpointId, now: float) -> float:
        """Returns for how long this office knows an engine as idle."""
        return now - self._busy_at.get(endpoint, self.began)

    def keep(
        self, endpoints: collections.abc.Set[base.EndpointId], now: float
    ) -> None:
        """Forgets old reports, and all engines but some."""
        self._heard = {
            instance: heard
            for instance, heard in self._heard.items()
            if now < heard.at + REPORT_S
        }
        self._busy_at = {
            endpoint: at
            for endpoint, at in self._busy_at.items()
            if endpoint in endpoints
        }


def serves(item: sync.Announcement, model: base.ModelName) -> bool:
    """Returns whether an endpoint serves a model."""
    return any(served.model == model for served in item.models)
