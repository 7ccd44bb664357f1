"""Forecast of the throughput that open training steps need."""

import collections
from collections.abc import Iterable

import attrs
import banyanbank_base as base

from banyanbank_rollout import _ledger
from banyanbank_rollout import _state

MAX_PERIODS = 16
"""Number of recent periods between deliveries to keep per trainer."""
LENGTH_SMOOTHING_FACTOR = 0.5
"""Weight of the newest step in the moving average of sample lengths."""


@attrs.frozen
class StepDemandCfg:
    """Defaults that apply before observations, and limits."""

    sample_tokens: float = 500.0
    """Default length of a sample, in tokens."""
    period_s: float = 60.0
    """Default time between two steps of one trainer."""
    least_s: float = 30.0
    """Minimum remaining time assumed for a step that is due."""


@attrs.define
class _TrainerHistory:
    """Deliveries to one trainer observed so far."""

    delivered_at: float | None = None
    periods: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_PERIODS)
    )


class StepDemandForecast:
    """Forecasts the demand of trainers; keeps its state in memory only.

    The leader runs it. A step is due one period after the trainer's previous
    one. The period is the minimum of recent ones: a mean would include the
    time that a trainer waited for samples and underestimate its demand.
    Steps completed ahead of time don't lower the forecast below one step per
    period: further steps follow anyway, and stragglers use the lead time.

    Args:
        cfg: Defaults and limits; None for a default `StepDemandCfg`.
    """

    def __init__(self, cfg: StepDemandCfg | None = None) -> None:
        self._cfg = cfg or StepDemandCfg()
        self._trainers: dict[base.TrainerId, _TrainerHistory] = {}
        self._mean_lengths: dict[base.ModelName, float] = {}
        self._open_keys: frozenset[_state.StepKey] = frozenset()
        self._complete_keys: frozenset[_state.StepKey] = frozenset()

    def observe(self, ledger: _ledger.Ledger, now: float) -> None:
        """Records steps completed or delivered by `now`, in clock seconds."""
        steps = ledger.steps()
        whole = [step for step in steps if step.is_complete]
        for step in whole:
            if step.key not in self._complete_keys:
                self._record_lengths(step)
        self._complete_keys = frozenset(step.key for step in whole)
        open_keys = frozenset(step.key for step in steps)
        for trainer, _ in sorted(self._open_keys - open_keys):
            self._record_delivery(trainer, now)
        self._open_keys = open_keys

    def tokens_per_s(
        self, ledger: _ledger.Ledger, now: float
    ) -> dict[base.ModelName, float]:
        """Returns the required throughput of each model with open steps."""
        by_trainer: dict[base.TrainerId, list[_state.StepState]] = {}
        for step in ledger.steps():
            by_trainer.setdefault(step.trainer, []).append(step)
        needs: dict[base.ModelName, float] = collections.defaultdict(float)
        for trainer, steps in by_trainer.items():
            model = steps[0].model
            needs[model] += self._estimate_need(trainer, steps, now)
        return dict(needs)

    def _estimate_need(
        self,
        trainer: base.TrainerId,
        steps: Iterable[_state.StepState],
        now: float,
    ) -> float:
        history = self._trainers.get(trainer, _TrainerHistory())
        period_s = min(history.periods, default=self._cfg.period_s)
        due_at = now
        if history.delivered_at is not None:
            due_at = history.delivered_at + period_s
        due_at = max(due_at, now + self._cfg.least_s)
        missing, largest, need = 0.0, 0.0, 0.0
        for step in steps:
            missing += self._count_tokens(step, missing_only=True)
            largest = max(largest, self._count_tokens(step, missing_only=False))
            need = max(need, missing / (due_at - now))
            due_at += period_s
        return max(need, min(missing, largest) / period_s)

    def _count_tokens(
        self, step: _state.StepState, *, missing_only: bool
    ) -> float:
        samples = sum(
            max(0, group.spec.samples - group.filled_slots * missing_only)
            for group in step.groups.values()
        )
        return samples * self._mean_lengths.get(
            step.model, self._cfg.sample_tokens
        )

    def _record_lengths(self, step: _state.StepState) -> None:
        counts = [sample.token_count for sample in step.samples.values()]
        if not counts:
            return
        mean = sum(counts) / len(counts)
        old = self._mean_lengths.get(step.model, mean)
        self._mean_lengths[step.model] = old + LENGTH_SMOOTHING_FACTOR * (
            mean - old
        )

    def _record_delivery(self, trainer: base.TrainerId, now: float) -> None:
        history = self._trainers.setdefault(trainer, _TrainerHistory())
        if history.delivered_at is not None and now > history.delivered_at:
            history.periods.append(now - history.delivered_at)
        history.delivered_at = now
