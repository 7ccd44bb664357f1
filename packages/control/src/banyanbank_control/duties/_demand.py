"""Engine loads and unserved requests as instances report them."""

import collections
import collections.abc

import attrs
import banyanbank_base as base

from banyanbank_control import sync

REPORT_TTL_S = 5.0
"""Time after which the report of an instance expires, in seconds."""

TARGET_SLOT_UTILIZATION = 0.75
"""Fraction of the slots that requests may occupy."""


@attrs.frozen
class EngineReport:
    """Load of one engine as its owning instance sees it."""

    endpoint: base.EndpointId
    """Endpoint id of the engine."""
    waiting: int
    """Requests that wait for the engine."""
    running: int
    """Requests that run on the engine."""
    waiting_tokens: float
    """Estimated tokens of the waiting requests."""
    running_tokens: float
    """Estimated tokens of the running requests."""
    tokens_per_s: float
    """Smoothed service rate, in tokens per second."""

    @property
    def requests(self) -> int:
        """Sum of waiting and running requests."""
        return self.waiting + self.running


@attrs.frozen
class UnservedModel:
    """Count of requests for a model that found no endpoint."""

    model: base.ModelName
    """Requested model."""
    requests: int
    """Requests since the last report; greater than 0."""


@attrs.frozen
class _ReceivedReports:
    received_at: float
    reports: tuple[EngineReport, ...]
    unserved: tuple[UnservedModel, ...]


class EngineReports:
    """Newest reports of all instances; soft state of one leadership term.

    After a change of owner, an engine may appear in the reports of two
    instances. Each reports the requests that it holds, so they are summed.

    Args:
        term_began_at: Monotonic time at which the term began, in seconds.
    """

    def __init__(self, term_began_at: float) -> None:
        self.term_began_at = term_began_at
        """Monotonic time at which the term began, in seconds."""
        self._received: dict[base.InstanceId, _ReceivedReports] = {}
        self._last_busy_at: dict[base.EndpointId, float] = {}
        # Cached, because a plan queries every engine with the same time.
        self._request_counts: collections.Counter[base.EndpointId] = (
            collections.Counter()
        )
        self._counted_at: float | None = None

    def record(
        self,
        instance: base.InstanceId,
        reports: tuple[EngineReport, ...],
        now: float,
        unserved: tuple[UnservedModel, ...] = (),
    ) -> None:
        """Replaces the reports of an instance."""
        self._received[instance] = _ReceivedReports(now, reports, unserved)
        self._counted_at = None
        for report in reports:
            if report.requests:
                self._last_busy_at[report.endpoint] = now

    def requests(self, endpoint: base.EndpointId, now: float) -> int:
        """Returns the number of requests that wait for or run on an engine."""
        if self._counted_at != now:
            self._counted_at = now
            self._request_counts = collections.Counter()
            for heard in self._received.values():
                if now < heard.received_at + REPORT_TTL_S:
                    for report in heard.reports:
                        self._request_counts[report.endpoint] += report.requests
        return self._request_counts[endpoint]

    def unserved(self, model: base.ModelName, now: float) -> int:
        """Returns the number of recent requests without an endpoint."""
        return sum(
            unserved_model.requests
            for heard in self._received.values()
            if now < heard.received_at + REPORT_TTL_S
            for unserved_model in heard.unserved
            if unserved_model.model == model
        )

    def idle_s(self, endpoint: base.EndpointId, now: float) -> float:
        """Returns the seconds since an engine was last reported as busy.

        For an engine without such a report, counts from the start of the term.
        """
        return now - self._last_busy_at.get(endpoint, self.term_began_at)

    def retain(
        self, endpoints: collections.abc.Set[base.EndpointId], now: float
    ) -> None:
        """Drops expired reports and the state of all other engines."""
        self._received = {
            instance: heard
            for instance, heard in self._received.items()
            if now < heard.received_at + REPORT_TTL_S
        }
        self._last_busy_at = {
            endpoint: busy_at
            for endpoint, busy_at in self._last_busy_at.items()
            if endpoint in endpoints
        }


def serves(item: sync.Announcement, model: base.ModelName) -> bool:
    """Returns whether an endpoint announces a model."""
    return any(served.model == model for served in item.models)
