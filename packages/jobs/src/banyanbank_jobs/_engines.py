"""What is known of the engines that run items."""

import attrs
import banyanbank_base as base

NORMAL_PACE_S = 0.04
"""Seconds between events that an engine is believed to need at first."""

PACE_WEIGHT = 0.2
"""Weight of the newest gap in the average pace."""

SUSPECT_S = 2.0
"""Seconds for which an engine that failed gets no items; doubles."""

MOST_STRIKES = 3
"""Failures in a row after which the pause grows no more."""


@attrs.frozen
class EngineView:
    """An engine as the scheduler sees it at one moment."""

    endpoint: base.EndpointId
    """Name of the engine."""
    service: str
    """Service that it belongs to."""
    slots: int
    """Requests that it runs at once."""
    versions: dict[str, int]
    """Weight version of each model that it holds."""
    is_ready: bool = True
    """Whether it takes new items."""
    loading: frozenset[str] = frozenset()
    """Models whose weights are being changed; their items would be refused."""


@attrs.define
class _Pace:
    gap_s: float = NORMAL_PACE_S
    suspect_until: float = 0.0
    strikes: int = 0


class EngineHealth:
    """How fast engines have been, and which have failed."""

    def __init__(self) -> None:
        self._paces: dict[base.EndpointId, _Pace] = {}

    def note_gap(self, endpoint: base.EndpointId, seconds: float) -> None:
        """Takes in the time between two events of a run."""
        pace = self._paces.setdefault(endpoint, _Pace())
        pace.gap_s += PACE_WEIGHT * (seconds - pace.gap_s)
        pace.strikes = 0

    def note_failure(self, endpoint: base.EndpointId, now: float) -> None:
        """Keeps items away from an engine for a while."""
        pace = self._paces.setdefault(endpoint, _Pace())
        pace.suspect_until = now + SUSPECT_S * 2**pace.strikes
        pace.strikes = min(pace.strikes + 1, MOST_STRIKES)

    def is_suspect(self, endpoint: base.EndpointId, now: float) -> bool:
        """Whether an engine has failed a short while ago."""
        pace = self._paces.get(endpoint)
        return pace is not None and now < pace.suspect_until

    def pace(self, endpoint: base.EndpointId) -> float:
        """Returns the average seconds between events."""
        pace = self._paces.get(endpoint)
        return NORMAL_PACE_S if pace is None else pace.gap_s
