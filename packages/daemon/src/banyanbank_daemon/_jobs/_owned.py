"""Caches and load reported by the engines that this instance owns."""

import attrs
import banyanbank_base as base
import banyanbank_dispatch as dispatch

from banyanbank_daemon._jobs import _messages

MILLISECONDS = 1_000
REPORT_TTL_S = 3.0
"""Age from which a load report is ignored."""
FOREIGN_REQUEST_TOKENS = 256
"""Estimated tokens of a request that the owner has not granted."""


@attrs.frozen
class ReportedLoad:
    """Load reported by an engine."""

    running: int
    """Requests running on the engine."""
    waiting: int
    """Requests in the engine's own queue."""
    age_ms: int
    """Milliseconds since the engine counted them, by its own clock."""


@attrs.frozen
class EngineReport:
    """Report that an engine sends while it serves."""

    cache: dispatch.CacheBatch
    """Events of its prefix cache; may be empty."""
    load: ReportedLoad | None = None
    """Load; None if the engine doesn't report it."""


@attrs.frozen
class _ForeignLoad:
    """Requests at an engine that its owner has not granted."""

    requests: int
    granted: int
    expires_at: float


class OwnedEngines:
    """Caches and loads of the owned engines, as they report them.

    A queue knows exactly what it has granted. Reports add what it can't know:
    grants of a previous owner, and requests of other clients. Reports lag, so
    a reported load is compared with the maximum of the slots granted now and
    at the previous report.
    """

    def __init__(self) -> None:
        self.caches = dispatch.PrefixIndex()
        self._foreign: dict[str, _ForeignLoad] = {}

    def record_report(
        self, report: EngineReport, granted: int, now: float
    ) -> None:
        """Records an engine's report.

        Args:
            report: The engine's report.
            granted: Requests that hold a slot of the engine now.
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
        """Returns a queue's load plus that of requests it has not granted."""
        foreign = self._foreign.get(endpoint)
        if foreign is None or now >= foreign.expires_at:
            return load
        return attrs.evolve(
            load,
            requests=load.requests + foreign.requests,
            tokens=load.tokens + foreign.requests * FOREIGN_REQUEST_TOKENS,
        )

    def remove_endpoint(self, endpoint: str) -> None:
        """Deletes the state of an engine that was removed."""
        self._foreign.pop(endpoint, None)
        self.caches.remove_endpoint(base.EndpointId(endpoint))
