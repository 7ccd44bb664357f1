"""Loads of engines as their owners report them, and what they ask for."""

import collections
import collections.abc
import math

import attrs
import banyanbank_base as base

from banyanbank_control import sync

REPORT_S = 5.0
"""Time for which an instance's report counts, in seconds."""

LOWER_S = 600.0
"""Time that a lower need has to last before it counts, in seconds."""

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
class _Heard:
    at: float
    reports: tuple[EngineReport, ...]


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

    def take(
        self,
        instance: base.InstanceId,
        reports: tuple[EngineReport, ...],
        now: float,
    ) -> None:
        """Takes in an instance's reports in place of its earlier ones."""
        self._heard[instance] = _Heard(now, reports)
        for report in reports:
            if report.requests:
                self._busy_at[report.endpoint] = now

    def requests(self, endpoint: base.EndpointId, now: float) -> int:
        """Returns the requests that wait for an engine or run on it."""
        return sum(
            report.requests
            for heard in self._heard.values()
            if now < heard.at + REPORT_S
            for report in heard.reports
            if report.endpoint == endpoint
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


def wanted_endpoints(
    model: base.ModelName,
    serving: collections.abc.Iterable[sync.Announcement],
    reports: EngineReports,
    now: float,
) -> int:
    """Returns how many endpoints the present load of a model asks for.

    So many that requests take up `TARGET_LOAD` of the slots, at the mean
    slots of those that serve. An engine of several models counts for each.

    Args:
        model: The model.
        serving: Endpoints that serve, of any model.
        reports: Loads.
        now: Monotonic time in seconds.
    """
    engines = [item for item in serving if serves(item, model)]
    slots = sum(item.slots for item in engines)
    if not slots:
        return 0
    load = sum(reports.requests(item.endpoint, now) for item in engines)
    return math.ceil(load * len(engines) / (TARGET_LOAD * slots))


def serves(item: sync.Announcement, model: base.ModelName) -> bool:
    """Returns whether an endpoint serves a model."""
    return any(served.model == model for served in item.models)


class PeakNeed:
    """Highest need of the last `LOWER_S`: up at once, down after a while."""

    def __init__(self) -> None:
        # Falling needs with rising times; the first is the peak.
        self._peaks: collections.deque[tuple[float, int]] = collections.deque()

    def note(self, need: int, now: float) -> int:
        """Takes in the need of now and returns the highest."""
        while self._peaks and self._peaks[-1][1] <= need:
            self._peaks.pop()
        self._peaks.append((now, need))
        while self._peaks[0][0] + LOWER_S <= now:
            self._peaks.popleft()
        return self._peaks[0][1]
