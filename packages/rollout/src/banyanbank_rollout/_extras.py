"""Speculative attempts for slots that already have a sample or an attempt.

They start only on engine slots that would otherwise be idle.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import math

import attrs
import banyanbank_base as base

from banyanbank_rollout import _commands
from banyanbank_rollout import _forecast
from banyanbank_rollout import _free_slots
from banyanbank_rollout import _ledger
from banyanbank_rollout import _plan
from banyanbank_rollout import _samples
from banyanbank_rollout import _state
from banyanbank_rollout import _views


@attrs.frozen
class SpeculationCfg:
    """Limits on duplicate attempts."""

    extra_share: float = 0.05
    """Maximum share of all engine slots that duplicates may occupy."""
    slow_ratio: float = 0.5
    """Rate, as a share of the median, below which an attempt is slow."""
    rate_window_s: float = 5.0
    """Minimum observation time before an attempt counts as slow."""


class SpeculativeAttempts:
    """Selects speculative attempts for one scheduling decision.

    Args:
        cfg: Limits on duplicate attempts.
        plans: Open steps without a batch.
        ledger: The newest committed ledger.
        free: Engine slots left after the open sample slots were started.
        rates: Token rates of the running attempts.
        forecast: Publication forecast.
        newest_served: Newest version that an engine serves, by model.
        now: Clock seconds.
    """

    def __init__(
        self,
        cfg: SpeculationCfg,
        plans: Sequence[_plan.StepPlan],
        ledger: _ledger.Ledger,
        free: _free_slots.FreeSlots,
        rates: _forecast.RateMonitor,
        forecast: _forecast.PublicationForecast,
        newest_served: Mapping[base.ModelName, base.WeightVersion],
        now: float,
    ) -> None:
        self._cfg = cfg
        self._ledger = ledger
        self._free = free
        self._rates = rates
        self._forecast = forecast
        self._newest_served = newest_served
        self._now = now
        self._duplicate_budget = math.ceil(cfg.extra_share * free.total) - sum(
            len(slot_attempts) - 1
            for plan in plans
            for slot_attempts in plan.attempts.values()
        )

    def select_replacements(
        self, plan: _plan.StepPlan
    ) -> Iterator[tuple[_state.GroupState, _commands.RecordSample]]:
        """Yields recorded samples expected to be stale at hand-out.

        Skips samples for which no newer weights are served and samples that
        an attempt already replaces. Reserves an engine slot for each.
        """
        model = plan.state.model
        newest_served = self._newest_served.get(model, base.WeightVersion(0))
        if not self._free.has_free_slot(model) or plan.state.is_complete:
            return
        candidates = [
            (group, sample)
            for group, sample in plan.samples()
            if _samples.oldest_version(sample.stretches) < newest_served
            and _slot_key(sample.slot) not in plan.attempts
        ]
        if not candidates:
            return
        completes_at = self._predict_completion(plan)
        newest = self._ledger.newest_version(model)
        for group, sample in candidates:
            oldest = _samples.oldest_version(sample.stretches)
            slack = group.spec.staleness_bound - (newest - oldest)
            stale_at = self._forecast.predict_stale_at(
                model, plan.open_before, slack, self._now
            )
            if stale_at >= completes_at:
                continue
            if not self._free.reserve(model):
                return
            yield group, sample

    def select_slow_attempts(
        self, plan: _plan.StepPlan
    ) -> Iterator[tuple[_state.GroupState, _views.AttemptView]]:
        """Yields the slow attempts to duplicate, slowest first.

        Considers only the oldest step without a batch of each trainer.
        Reserves an engine slot for each.
        """
        if plan.unbatched_before > 0 or not self._free.has_free_slot(
            plan.state.model
        ):
            return
        slow_rate = self._cfg.slow_ratio * self._rates.median()
        rated = (
            (self._rate(attempt), attempt.attempt_id, group, attempt)
            for group, attempt in plan.running()
            if len(plan.attempts[_slot_key(attempt.slot)]) == 1
        )
        slow_attempts = [
            candidate for candidate in rated if candidate[0] < slow_rate
        ]
        for _, _, group, attempt in sorted(slow_attempts, key=lambda c: c[:2]):
            if self._duplicate_budget <= 0 or not self._free.reserve(
                plan.state.model
            ):
                return
            self._duplicate_budget -= 1
            yield group, attempt

    def _rate(self, attempt: _views.AttemptView) -> float:
        return self._rates.rate(
            attempt.attempt_id, self._cfg.rate_window_s, self._now
        )

    def _predict_completion(self, plan: _plan.StepPlan) -> float:
        """Returns when a step is expected to complete, in clock seconds.

        Sample lengths are heavy-tailed: the expected remaining run time of an
        attempt is about its age.
        """
        ages = [self._now - attempt.started_at for _, attempt in plan.running()]
        if any(True for _ in plan.open_slots()):
            # The end of sample slots that wait for an engine slot is unknown.
            return math.inf if not ages else self._now + 2 * max(ages)
        return self._now + max(ages, default=0.0)


def _slot_key(slot: _samples.SampleSlot) -> _state.SlotKey:
    return slot.group, slot.index
