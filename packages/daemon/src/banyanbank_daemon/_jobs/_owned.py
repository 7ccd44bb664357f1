"""What the engines owned here have told: their caches and their load."""

import attrs
import banyanbank_base as base
import banyanbank_dispatch as dispatch

from banyanbank_daemon._jobs import _messages

MILLISECONDS = 1_000
REPORT_TTL_S = 3.0
"""Age from which on a load report counts for nothing."""
FOREIGN_REQUEST_TOKENS = 256
"""Estimate of the cost of a request that the owner has not granted."""


@attrs.frozen
class ReportedLoad:
    """Load as an engine reports it."""

    running: int
    """Requests that it runs."""
    waiting: int
    """Requests that wait in its own queue."""
    age_ms: int
    """Milliseconds since the engine counted them, told by itself."""


@attrs.frozen
class EngineReport:
    """What an engine tells of itself while it serves."""

    cache: dispatch.CacheBatch
    """Events of its prefix cache; may be empty."""
    load: ReportedLoad | None = None
    """Its load; None when it tells none."""


@attrs.frozen
class _ForeignLoad:
    """Requests at an engine that its owner has not granted."""

    requests: int
    granted: int
    expires_at: float


class OwnedEngines:
    """Caches and loads of engines, as they report them.

    A queue knows exactly what it has granted. Reports add what it can't know:
    the grants of an earlier owner, and requests of others. As they lag, they
    are compared with the larger of what is granted now and at the one before.
    """

    def __init__(self) -> None:
        self.caches = dispatch.PrefixIndex()
        self._foreign: dict[str, _ForeignLoad] = {}

    def record_report(
        self, report: EngineReport, granted: int, now: float
    ) -> None:
        """Takes in a report.

        Args:
            report: What the engine told.
            granted: Requests that hold a slot of it now.
            now: Monotonic seconds.
        """
        endpoint = report.cache.endpoint_id
        self.caches.apply(report.cache, now)
        load = report.load
        if load is None:
            return
        previous = self._foreign.get(endpoint)
        max_granted = (
            granted if previous is None else max(granted, previous.granted)
        )
        requests = max(0, load.running + load.waiting - max_granted)
        expires_at = now - load.age_ms / MILLISECONDS + REPORT_TTL_S
        self._foreign[endpoint] = _ForeignLoad(requests, granted, expires_at)

    def add_foreign_load(
        self, endpoint: str, load: _messages.QueueLoad, now: float
    ) -> _messages.QueueLoad:
        """Returns a queue's load with what others run at the engine."""
        foreign = self._foreign.get(endpoint)
        if foreign is None or now >= foreign.expires_at:
            return load
        return attrs.evolve(
            load,
            requests=load.requests + foreign.requests,
            tokens=load.tokens + foreign.requests * FOREIGN_REQUEST_TOKENS,
        )

    def forget(self, endpoint: str) -> None:
        """Drops what is known of an engine that has left."""
        self._foreign.pop(endpoint, None)
        self.caches.forget(base.EndpointId(endpoint))
