"""Forecasts of publications and of attempt durations."""

import collections
import math

import attrs
import banyanbank_base as base

from banyanbank_rollout import _ledger
from banyanbank_rollout import _state

SMOOTHING = 0.5
"""Weight of the newest observation in a moving average."""


@attrs.frozen
class _Rhythm:
    """What was seen of one model's publications."""

    newest: base.WeightVersion
    last_at: float
    period_s: float = math.inf


@attrs.frozen
class _Pace:
    """How many publications of a model follow one delivered step."""

    since_delivery: int = 0
    """Publications since the newest delivery."""
    fewest: int | None = None
    """Fewest between two deliveries; None before two were seen."""
    most: int = 1
    """Most between two deliveries."""
    deliveries: int = 0
    """Deliveries seen."""

    def with_delivery(self) -> "_Pace":
        """Returns the pace after a step was delivered."""
        fewest = self.fewest
        if self.deliveries > 0:
            seen = self.since_delivery
            fewest = seen if fewest is None else min(fewest, seen)
        return attrs.evolve(
            self,
            since_delivery=0,
            fewest=fewest,
            deliveries=self.deliveries + 1,
        )

    def with_publications(self, count: int) -> "_Pace":
        """Returns the pace after further publications."""
        since = self.since_delivery + count
        return attrs.evolve(
            self, since_delivery=since, most=max(self.most, since)
        )

    def at_most(self, older: int) -> int:
        """Returns how many publications may precede a step's hand-out."""
        return self.most - self.since_delivery + self.most * older

    def at_least(self, older: int) -> int:
        """Returns how many publications will precede a step's hand-out."""
        if self.fewest is None:
            return 0
        rest = max(0, self.fewest - self.since_delivery)
        return rest + self.fewest * older


class PublicationForecast:
    """Learns how often each model is published, and after which steps.

    It knows nothing until it has seen two publications; until then no
    sample is expected to become stale. A trainer that publishes after each
    step cannot make its own waiting step stale: what counts is how many
    steps are delivered before.
    """

    def __init__(self) -> None:
        self._rhythms: dict[base.ModelName, _Rhythm] = {}
        self._paces: dict[base.ModelName, _Pace] = {}
        self._watching = False
        self._open: dict[_state.StepKey, base.ModelName] = {}

    def observe(self, ledger: _ledger.Ledger, now: float) -> None:
        """Takes in deliveries and publications up to `now` seconds."""
        delivered = self._deliveries(ledger)
        for publication in ledger.publications():
            model = publication.model
            count = self._publish(model, publication.version, now)
            pace = self._pace(model)
            # Of what was seen at once, the order that fits the pace is
            # taken: a trainer may publish and fetch between two looks.
            if count and pace.since_delivery + count <= pace.most:
                self._paces[model] = pace.with_publications(count)
                count = 0
            for _ in range(delivered.pop(model, 0)):
                self._paces[model] = self._pace(model).with_delivery()
            if count:
                pace = self._pace(model).with_publications(count)
                self._paces[model] = pace
        for model in delivered.elements():
            self._paces[model] = self._pace(model).with_delivery()
        self._watching = True

    def _deliveries(
        self, ledger: _ledger.Ledger
    ) -> collections.Counter[base.ModelName]:
        steps = ledger.tables.steps
        gone = self._open.keys() - steps.keys()
        delivered = collections.Counter(self._open[key] for key in gone)
        self._open = {key: step.model for key, step in steps.items()}
        return delivered

    def _pace(self, model: base.ModelName) -> _Pace:
        return self._paces.get(model, _Pace())

    def _publish(
        self, model: base.ModelName, version: base.WeightVersion, now: float
    ) -> int:
        """Takes in a model's newest version; returns how many are new."""
        rhythm = self._rhythms.get(model)
        if rhythm is None:
            # What stood before the first look was published at some time.
            at = now if self._watching else math.nan
            self._rhythms[model] = _Rhythm(version, at)
            return int(self._watching)
        count = version - rhythm.newest
        if count > 0:
            self._rhythms[model] = _next_rhythm(rhythm, version, now)
        return count

    def breaks_at(
        self, model: base.ModelName, older: int, slack: int, now: float
    ) -> float:
        """Returns when a sample is expected to break its bound.

        Args:
            model: Model that produced the sample.
            older: Older open steps of the same trainer.
            slack: Publications that it survives; negative when it is stale.
            now: Clock seconds.

        Returns:
            Clock seconds; infinity when nothing is known, or when the step
            is expected to be handed out first.
        """
        if slack < 0:
            return now
        rhythm = self._rhythms.get(model)
        if rhythm is None or math.isinf(rhythm.period_s):
            return math.inf
        if slack >= self._pace(model).at_most(older):
            return math.inf
        next_at = max(now, rhythm.last_at + rhythm.period_s)
        return next_at + slack * rhythm.period_s

    def is_too_early(
        self, model: base.ModelName, older: int, slack: int, now: float
    ) -> bool:
        """Tells whether a sample started now is certain to become stale.

        A publication that is overdue by a whole period is not waited for.

        Args:
            model: Model that is to produce the sample.
            older: Older open steps of the same trainer.
            slack: Publications that a sample started now survives.
            now: Clock seconds.
        """
        rhythm = self._rhythms.get(model)
        if rhythm is None or math.isinf(rhythm.period_s):
            return False
        if now > rhythm.last_at + 2 * rhythm.period_s:
            return False
        return slack < self._pace(model).at_least(older)


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
