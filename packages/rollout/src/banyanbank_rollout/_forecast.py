"""Forecasts of publications and of attempt durations."""

import math

import attrs
import banyanbank_base as base

from banyanbank_rollout import _ledger

SMOOTHING = 0.5
"""Weight of the newest observation in a moving average."""


@attrs.frozen
class _Rhythm:
    """What was seen of one model's publications."""

    newest: base.WeightVersion
    last_at: float
    period_s: float = math.inf


class PublicationForecast:
    """Learns how often each model is published.

    It knows nothing until it has seen two publications; until then no
    sample is expected to become stale.
    """

    def __init__(self) -> None:
        self._rhythms: dict[base.ModelName, _Rhythm] = {}

    def observe(self, ledger: _ledger.Ledger, now: float) -> None:
        """Takes in the publications of the ledger at `now` seconds."""
        for publication in ledger.publications():
            rhythm = self._rhythms.get(publication.model)
            if rhythm is None:
                # The time of this publication itself is not known.
                rhythm = _Rhythm(publication.version, math.nan)
            elif rhythm.newest < publication.version:
                rhythm = _next_rhythm(rhythm, publication.version, now)
            self._rhythms[publication.model] = rhythm

    def breaks_at(self, model: base.ModelName, slack: int, now: float) -> float:
        """Returns when a sample is expected to break its bound.

        Args:
            model: Model that produced the sample.
            slack: Publications that it survives; negative when it is stale.
            now: Clock seconds.

        Returns:
            Clock seconds; infinity when nothing is known.
        """
        if slack < 0:
            return now
        rhythm = self._rhythms.get(model)
        if rhythm is None or math.isinf(rhythm.period_s):
            return math.inf
        next_at = max(now, rhythm.last_at + rhythm.period_s)
        return next_at + slack * rhythm.period_s


def _next_rhythm(
    rhythm: _Rhythm, version: base.WeightVersion, now: float
) -> _Rhythm:
    if math.isnan(rhythm.last_at):
        return _Rhythm(version, now)
    interval = (now - rhythm.last_at) / (version - rhythm.newest)
    if math.isfinite(rhythm.period_s):
        interval += (1 - SMOOTHING) * (rhythm.period_s - interval)
    return _Rhythm(version, now, interval)


class RateMonitor:
    """Learns how fast each running attempt generates tokens."""

    def __init__(self) -> None:
        self._first: dict[str, tuple[float, int]] = {}
        self._rates: dict[str, float] = {}

    def observe(self, attempt_id: str, tokens: int, now: float) -> None:
        """Takes in the tokens of an attempt that an engine runs."""
        first_at, first_tokens = self._first.setdefault(
            attempt_id, (now, tokens)
        )
        if now > first_at:
            elapsed = now - first_at
            self._rates[attempt_id] = (tokens - first_tokens) / elapsed

    def rate(self, attempt_id: str, min_window_s: float, now: float) -> float:
        """Returns tokens per second, infinity while watched too shortly."""
        first = self._first.get(attempt_id)
        if first is None or now - first[0] < min_window_s:
            return math.inf
        return self._rates.get(attempt_id, math.inf)

    def median(self) -> float:
        """Returns the median rate of all attempts, 0 when none is known."""
        rates = sorted(self._rates.values())
        return rates[len(rates) // 2] if rates else 0.0

    def keep(self, attempt_ids: frozenset[str]) -> None:
        """Forgets all attempts but these."""
        for attempt_id in self._first.keys() - attempt_ids:
            del self._first[attempt_id]
            self._rates.pop(attempt_id, None)
