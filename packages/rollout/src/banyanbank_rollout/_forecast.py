"""Forecasts of publications, and token rates of running attempts."""

import collections
import math

import attrs
import banyanbank_base as base

from banyanbank_rollout import _ledger
from banyanbank_rollout import _state

SMOOTHING_FACTOR = 0.5
"""Weight of the newest interval in the exponential moving average."""


@attrs.frozen
class _PublicationHistory:
    """Publications of one model observed so far."""

    newest: base.WeightVersion
    last_at: float
    period_s: float = math.inf


@attrs.frozen
class _PublicationCounts:
    """Numbers of publications of a model between deliveries of steps."""

    since_delivery: int = 0
    """Publications since the last delivery."""
    minimum: int | None = None
    """Minimum between two deliveries; None before the second delivery."""
    maximum: int = 1
    """Maximum between two deliveries."""
    deliveries: int = 0
    """Number of deliveries observed."""

    def with_delivery(self) -> "_PublicationCounts":
        """Returns the counts updated by the delivery of a step."""
        minimum = self.minimum
        if self.deliveries > 0:
            observed = self.since_delivery
            minimum = observed if minimum is None else min(minimum, observed)
        return attrs.evolve(
            self,
            since_delivery=0,
            minimum=minimum,
            deliveries=self.deliveries + 1,
        )

    def with_publications(self, count: int) -> "_PublicationCounts":
        """Returns the counts updated by `count` publications."""
        since = self.since_delivery + count
        return attrs.evolve(
            self, since_delivery=since, maximum=max(self.maximum, since)
        )

    def max_before_hand_out(self, open_before: int) -> int:
        """Returns the maximum number of publications before a hand-out.

        Args:
            open_before: Number of older open steps of the same trainer.
        """
        return self.maximum - self.since_delivery + self.maximum * open_before

    def min_before_hand_out(self, open_before: int) -> int:
        """Returns the minimum number of publications before a hand-out.

        Args:
            open_before: Number of older open steps of the same trainer.
        """
        if self.minimum is None:
            return 0
        rest = max(0, self.minimum - self.since_delivery)
        return rest + self.minimum * open_before


class PublicationForecast:
    """Forecasts publications from the observed intervals and deliveries.

    Forecasts of a model need two observed publications; before that, no
    sample is expected to become stale. A trainer that publishes after each
    step can't make its own pending step stale, so the forecast counts the
    steps to be delivered before it.
    """

    def __init__(self) -> None:
        self._histories: dict[base.ModelName, _PublicationHistory] = {}
        self._counts: dict[base.ModelName, _PublicationCounts] = {}
        self._has_observed = False
        self._open_models: dict[_state.StepKey, base.ModelName] = {}

    def observe(self, ledger: _ledger.Ledger, now: float) -> None:
        """Records deliveries and publications up to `now`, in clock seconds."""
        delivered = self._collect_deliveries(ledger)
        for publication in ledger.publications():
            model = publication.model
            count = self._record_publication(model, publication.version, now)
            counts = self._get_counts(model)
            # A trainer may publish and fetch between two observations; assumes
            # the order that agrees with the counts so far.
            if count and counts.since_delivery + count <= counts.maximum:
                self._counts[model] = counts.with_publications(count)
                count = 0
            for _ in range(delivered.pop(model, 0)):
                self._counts[model] = self._get_counts(model).with_delivery()
            if count:
                counts = self._get_counts(model).with_publications(count)
                self._counts[model] = counts
        for model in delivered.elements():
            self._counts[model] = self._get_counts(model).with_delivery()
        self._has_observed = True

    def _collect_deliveries(
        self, ledger: _ledger.Ledger
    ) -> collections.Counter[base.ModelName]:
        steps = ledger.tables.steps
        gone = self._open_models.keys() - steps.keys()
        delivered = collections.Counter(self._open_models[key] for key in gone)
        self._open_models = {key: step.model for key, step in steps.items()}
        return delivered

    def _get_counts(self, model: base.ModelName) -> _PublicationCounts:
        return self._counts.get(model, _PublicationCounts())

    def _record_publication(
        self, model: base.ModelName, version: base.WeightVersion, now: float
    ) -> int:
        """Records a model's newest version; returns how many are new."""
        history = self._histories.get(model)
        if history is None:
            # The time of a publication before the first observation is
            # unknown.
            at = now if self._has_observed else math.nan
            self._histories[model] = _PublicationHistory(version, at)
            return int(self._has_observed)
        count = version - history.newest
        if count > 0:
            self._histories[model] = _extend_history(history, version, now)
        return count

    def predict_stale_at(
        self, model: base.ModelName, open_before: int, slack: int, now: float
    ) -> float:
        """Returns when a sample is expected to exceed its staleness bound.

        Args:
            model: Model that produced the sample.
            open_before: Number of older open steps of the same trainer.
            slack: Further publications that the bound allows; negative for a
                stale sample.
            now: Clock seconds.

        Returns:
            Clock seconds; infinity without a forecast, or if the step is
            expected to be handed out first.
        """
        if slack < 0:
            return now
        history = self._histories.get(model)
        if history is None or math.isinf(history.period_s):
            return math.inf
        if slack >= self._get_counts(model).max_before_hand_out(open_before):
            return math.inf
        next_at = max(now, history.last_at + history.period_s)
        return next_at + slack * history.period_s

    def is_too_early(
        self, model: base.ModelName, open_before: int, slack: int, now: float
    ) -> bool:
        """Returns whether a sample started now is certain to become stale.

        Always False once the next publication is overdue by a full period: it
        isn't waited for any longer.

        Args:
            model: Model that is to produce the sample.
            open_before: Number of older open steps of the same trainer.
            slack: Further publications that the bound allows for a sample
                started now.
            now: Clock seconds.
        """
        history = self._histories.get(model)
        if history is None or math.isinf(history.period_s):
            return False
        if now > history.last_at + 2 * history.period_s:
            return False
        return slack < self._get_counts(model).min_before_hand_out(open_before)


def _extend_history(
    history: _PublicationHistory, version: base.WeightVersion, now: float
) -> _PublicationHistory:
    if math.isnan(history.last_at):
        return _PublicationHistory(version, now)
    interval = (now - history.last_at) / (version - history.newest)
    if math.isfinite(history.period_s):
        interval += (1 - SMOOTHING_FACTOR) * (history.period_s - interval)
    return _PublicationHistory(version, now, interval)


class RateMonitor:
    """Measures the token rate of each running attempt."""

    def __init__(self) -> None:
        self._first_seen: dict[str, tuple[float, int]] = {}
        self._rates: dict[str, float] = {}

    def observe(self, attempt_id: str, tokens: int, now: float) -> None:
        """Records the token count of an attempt that an engine runs."""
        first_at, first_tokens = self._first_seen.setdefault(
            attempt_id, (now, tokens)
        )
        if now > first_at:
            elapsed = now - first_at
            self._rates[attempt_id] = (tokens - first_tokens) / elapsed

    def rate(self, attempt_id: str, min_window_s: float, now: float) -> float:
        """Returns tokens per second; infinity before `min_window_s` of data."""
        first = self._first_seen.get(attempt_id)
        if first is None or now - first[0] < min_window_s:
            return math.inf
        return self._rates.get(attempt_id, math.inf)

    def median(self) -> float:
        """Returns the median rate of all attempts; 0 if none is known."""
        rates = sorted(self._rates.values())
        return rates[len(rates) // 2] if rates else 0.0

    def retain(self, attempt_ids: frozenset[str]) -> None:
        """Drops the data of all attempts except these."""
        for attempt_id in self._first_seen.keys() - attempt_ids:
            del self._first_seen[attempt_id]
            self._rates.pop(attempt_id, None)
