"""Speed and recent failures of the engines that run items."""

import math

import attrs
import banyanbank_base as base

NOMINAL_EVENT_INTERVAL_S = 0.04
"""Time between two events of a stream, assumed before any is observed."""

EVENT_INTERVAL_WEIGHT = 0.2
"""Weight of the newest observation in the moving average."""

SUSPECT_BACKOFF_S = 2.0
"""Time without new items after a failure; doubles with each further one."""

PROBE_DELAY_S = 0.5
"""Time after a failure from which an engine may be probed with one item."""

MAX_BACKOFF_EXPONENT = 3
"""Maximum number of doublings of the backoff."""


@attrs.frozen
class EngineView:
    """State of an engine at one point in time."""

    endpoint: base.EndpointId
    """Name of the engine."""
    service: str
    """Service that the engine belongs to."""
    slots: int
    """Requests that the engine runs concurrently."""
    versions: dict[str, int]
    """Weight version of each loaded model."""
    is_ready: bool = True
    """Whether the engine accepts new items."""
    loading: frozenset[str] = frozenset()
    """Models whose weights are being replaced; their items are rejected."""
    room: int | None = None
    """Items that its rate limit, or the rate of its cold state, allows to be
    sent now; None without either."""
    born_ms: int = 0
    """Unix time of its start in milliseconds; identifies the incarnation."""
    is_cold: bool = False
    """Whether it has just started and is slow for some seconds."""

    def count_free(self, running: int) -> int:
        """Returns how many items may be sent now.

        Args:
            running: Number of items that run on the engine.
        """
        free_slots = self.slots - running
        return free_slots if self.room is None else min(free_slots, self.room)


@attrs.define
class _EngineStats:
    born_ms: int = 0
    event_interval_s: float = NOMINAL_EVENT_INTERVAL_S
    failed_at: float = -math.inf
    suspect_until: float = -math.inf
    consecutive_failures: int = 0


class EngineHealth:
    """Tracks the average event interval and the failures of engines.

    One event, such as a reset of all connections, ends many runs at once. Runs
    that began before the last failure of their engine may have been ended by
    the same event, so only a run that began afterwards tells something new.
    """

    def __init__(self) -> None:
        self._stats: dict[base.EndpointId, _EngineStats] = {}

    def observe_incarnation(
        self, endpoint: base.EndpointId, born_ms: int
    ) -> None:
        """Discards what is known of an earlier incarnation of an engine."""
        stats = self._stats.setdefault(endpoint, _EngineStats(born_ms))
        if stats.born_ms < born_ms:
            self._stats[endpoint] = _EngineStats(born_ms)

    def record_event_interval(
        self, endpoint: base.EndpointId, seconds: float
    ) -> None:
        """Records the time between two events and resets the failure count.

        Args:
            endpoint: Engine that generated the events.
            seconds: Time between the two events.
        """
        stats = self._stats.setdefault(endpoint, _EngineStats())
        stats.event_interval_s += EVENT_INTERVAL_WEIGHT * (
            seconds - stats.event_interval_s
        )
        stats.consecutive_failures = 0

    def record_first_event(
        self, endpoint: base.EndpointId, began_at: float
    ) -> None:
        """Ends the backoff of an engine that generates for a new run.

        Args:
            endpoint: Engine that generated the event.
            began_at: Start time of the run.
        """
        stats = self._stats.setdefault(endpoint, _EngineStats())
        if began_at > stats.failed_at:
            stats.suspect_until = -math.inf
            stats.consecutive_failures = 0

    def record_failure(
        self, endpoint: base.EndpointId, began_at: float, now: float
    ) -> None:
        """Records a lost run; the engine gets no items during its backoff.

        Args:
            endpoint: Engine that the run was sent to.
            began_at: Start time of the run.
            now: Current time.
        """
        stats = self._stats.setdefault(endpoint, _EngineStats())
        if began_at <= stats.failed_at:
            return
        stats.failed_at = now
        stats.suspect_until = (
            now + SUSPECT_BACKOFF_S * 2**stats.consecutive_failures
        )
        stats.consecutive_failures = min(
            stats.consecutive_failures + 1, MAX_BACKOFF_EXPONENT
        )

    def is_suspect(self, endpoint: base.EndpointId, now: float) -> bool:
        """Whether an engine is in its backoff after a failure."""
        stats = self._stats.get(endpoint)
        return stats is not None and now < stats.suspect_until

    def may_probe(self, endpoint: base.EndpointId, now: float) -> bool:
        """Whether an engine in its backoff may be sent one item."""
        stats = self._stats.get(endpoint)
        return stats is None or now >= stats.failed_at + PROBE_DELAY_S

    def mean_event_interval_s(self, endpoint: base.EndpointId) -> float:
        """Returns the average time between events."""
        stats = self._stats.get(endpoint)
        return (
            NOMINAL_EVENT_INTERVAL_S
            if stats is None
            else stats.event_interval_s
        )
