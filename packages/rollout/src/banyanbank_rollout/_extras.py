"""Attempts beyond one a slot, started only on streams that would idle."""

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
class ExtrasCfg:
    """Limits of duplicate work."""

    extra_share: float = 0.05
    """Share of all streams that duplicates may occupy at once."""
    slow_ratio: float = 0.5
    """An attempt under this share of the median rate may be duplicated."""
    rate_window_s: float = 5.0
    """Seconds that an attempt is watched before it counts as slow."""


class Extras:
    """Finds extra attempts worth starting in one decision.

    Args:
        cfg: Limits of duplicate work.
        plans: Open steps.
        ledger: The newest committed ledger.
        free: Streams left after all open slots were started.
        rates: Token rates of the running attempts.
        forecast: Of publications.
        freshest: Newest version that engines serve, by model.
        now: Clock seconds.
    """

    def __init__(
        self,
        cfg: ExtrasCfg,
        plans: Sequence[_plan.StepPlan],
        ledger: _ledger.Ledger,
        free: _free_slots.FreeSlots,
        rates: _forecast.RateMonitor,
        forecast: _forecast.PublicationForecast,
        freshest: Mapping[base.ModelName, base.WeightVersion],
        now: float,
    ) -> None:
        self._cfg = cfg
        self._ledger = ledger
        self._free = free
        self._rates = rates
        self._forecast = forecast
        self._freshest = freshest
        self._now = now
        self._budget = math.ceil(cfg.extra_share * free.total) - sum(
            len(of_slot) - 1
            for plan in plans
            for of_slot in plan.attempts.values()
        )

    def doomed(
        self, plan: _plan.StepPlan
    ) -> Iterator[tuple[_state.GroupState, _commands.RecordSample]]:
        """Yields recorded samples expected to be stale at hand-out.

        Only those that fresher weights are served for, and that no attempt
        is already replacing.
        """
        model = plan.state.model
        freshest = self._freshest.get(model, base.WeightVersion(0))
        if not self._free.has_room(model) or plan.state.is_whole:
            return
        aged = [
            (group, sample)
            for group, sample in plan.samples()
            if _samples.oldest_version(sample.stretches) < freshest
            and _key(sample.slot) not in plan.attempts
        ]
        if not aged:
            return
        ends_at = self._ends_at(plan)
        newest = self._ledger.newest_version(model)
        for group, sample in aged:
            oldest = _samples.oldest_version(sample.stretches)
            slack = group.spec.staleness_bound - (newest - oldest)
            breaks_at = self._forecast.breaks_at(
                model, plan.older, slack, self._now
            )
            if breaks_at >= ends_at:
                continue
            if not self._free.take(model):
                return
            yield group, sample

    def slow(
        self, plan: _plan.StepPlan
    ) -> Iterator[tuple[_state.GroupState, _views.AttemptView]]:
        """Yields slow attempts of a trainer's oldest step to duplicate."""
        if plan.rank > 0 or not self._free.has_room(plan.state.model):
            return
        limit = self._cfg.slow_ratio * self._rates.median()
        rated = (
            (self._rate(attempt), attempt.attempt_id, group, attempt)
            for group, attempt in plan.running()
            if len(plan.attempts[_key(attempt.slot)]) == 1
        )
        slow = [candidate for candidate in rated if candidate[0] < limit]
        for _, _, group, attempt in sorted(slow, key=lambda c: c[:2]):
            if self._budget <= 0 or not self._free.take(plan.state.model):
                return
            self._budget -= 1
            yield group, attempt

    def _rate(self, attempt: _views.AttemptView) -> float:
        return self._rates.rate(
            attempt.attempt_id, self._cfg.rate_window_s, self._now
        )

    def _ends_at(self, plan: _plan.StepPlan) -> float:
        """Returns when a step is expected to be whole, in clock seconds.

        Lengths are heavy-tailed: what has run for long is expected to run
        for about as long again.
        """
        ages = [self._now - attempt.started_at for _, attempt in plan.running()]
        if any(True for _ in plan.open_slots()):
            # Slots that wait for a stream: no end is in sight yet.
            return math.inf if not ages else self._now + 2 * max(ages)
        return self._now + max(ages, default=0.0)


def _key(slot: _samples.SampleSlot) -> _state.SlotKey:
    return slot.group, slot.index
