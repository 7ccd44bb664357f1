"""Selects the attempts to start in one scheduling decision."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import random
import zlib

import attrs
import banyanbank_base as base

from banyanbank_rollout import _cancellation
from banyanbank_rollout import _effects
from banyanbank_rollout import _extras
from banyanbank_rollout import _forecast
from banyanbank_rollout import _free_slots
from banyanbank_rollout import _ledger
from banyanbank_rollout import _plan
from banyanbank_rollout import _retries
from banyanbank_rollout import _samples
from banyanbank_rollout import _state


@attrs.frozen
class StartCfg:
    """Limits on the attempts started by one decision."""

    retry_share: float
    """Share of all engine slots for samples that failed at least twice."""
    use_forecasts: bool
    """Whether to replace or hold back samples expected to become stale."""


class AttemptIdGenerator:
    """Generates attempt ids that are unique across schedulers and leaders.

    Args:
        rng: Source of the random prefix that identifies this scheduler.
    """

    def __init__(self, rng: random.Random) -> None:
        self._incarnation = f"{rng.getrandbits(64):016x}"
        self._count = 0

    def next_id(self) -> str:
        """Returns a new attempt id."""
        self._count += 1
        return f"{self._incarnation}-{self._count}"


@attrs.frozen
class StartRound:
    """Inputs of one decision on the attempts to start."""

    cfg: StartCfg
    """Limits of the decision."""
    ledger: _ledger.Ledger
    """The newest committed ledger."""
    plans: Sequence[_plan.StepPlan]
    """Open steps without a batch, the most urgent first."""
    free: _free_slots.FreeSlots
    """Free engine slots; reserved as attempts are started."""
    newest_served: Mapping[base.ModelName, base.WeightVersion]
    """Newest version served on engines with slots, by model."""
    forecast: _forecast.PublicationForecast
    """Publication forecast."""
    retries: _retries.SlotRetries
    """Retry state of the sample slots."""
    ids: AttemptIdGenerator
    """Source of attempt ids."""
    now: float
    """Clock seconds."""

    def run(
        self, speculative: _extras.SpeculativeAttempts
    ) -> list[_effects.StartAttempt]:
        """Returns the attempts to start: open slots, then speculative ones."""
        starts = list(self._start_open_slots())
        started_slots = {start.slot for start in starts}
        for plan in self.plans:
            if self.cfg.use_forecasts:
                starts += self._start_replacements(plan, speculative)
            starts += self._start_duplicates(plan, speculative)
            starts += self._start_spares(plan, started_slots)
        return starts

    def _start_open_slots(self) -> Iterator[_effects.StartAttempt]:
        retries_left = max(1, int(self.cfg.retry_share * self.free.total))
        if self.retries.has_repeated_failures():
            retries_left -= sum(
                self.retries.get(attempt.slot).failures > 1
                for plan in self.plans
                for _, attempt in plan.running()
            )
        for plan in self.plans:
            if not self.free.has_free_slot(plan.state.model):
                continue
            for group, slot in plan.open_slots():
                retry = self.retries.get(slot)
                repeated = retry.failures > 1
                if retry.not_before > self.now:
                    continue
                if repeated and retries_left <= 0:
                    continue
                if self._is_too_early(plan, group):
                    continue
                if not self.free.reserve(plan.state.model):
                    break
                retries_left -= repeated
                yield self._build_start(plan, group, slot)

    def _start_replacements(
        self, plan: _plan.StepPlan, speculative: _extras.SpeculativeAttempts
    ) -> Iterator[_effects.StartAttempt]:
        for group, sample in speculative.select_replacements(plan):
            start = self._build_start(plan, group, sample.slot)
            yield attrs.evolve(start, supersedes=sample.attempt_id)

    def _start_duplicates(
        self, plan: _plan.StepPlan, speculative: _extras.SpeculativeAttempts
    ) -> Iterator[_effects.StartAttempt]:
        for group, slow in speculative.select_slow_attempts(plan):
            start = self._build_start(plan, group, slow.slot)
            avoid = () if slow.engine is None else (slow.engine,)
            yield attrs.evolve(start, resume_from=slow.progress, avoid=avoid)

    def _start_spares(
        self, plan: _plan.StepPlan, started_slots: set[_samples.SampleSlot]
    ) -> Iterator[_effects.StartAttempt]:
        for group, slot in plan.spare_slots():
            if slot in started_slots or self._is_too_early(plan, group):
                continue
            if self.free.reserve(plan.state.model):
                yield self._build_start(plan, group, slot)

    def _is_too_early(
        self, plan: _plan.StepPlan, group: _state.GroupState
    ) -> bool:
        model = plan.state.model
        newest = self.ledger.newest_version(model)
        lag = newest - self.newest_served.get(model, newest)
        slack = group.spec.staleness_bound - lag
        if slack < 0:
            # No engine serves a version within the staleness bound.
            return True
        if not self.cfg.use_forecasts:
            return False
        return self.forecast.is_too_early(
            model, plan.open_before, slack, self.now
        )

    def _build_start(
        self,
        plan: _plan.StepPlan,
        group: _state.GroupState,
        slot: _samples.SampleSlot,
    ) -> _effects.StartAttempt:
        retry = self.retries.get(slot)
        resume_from = retry.resume_from
        newest = self.ledger.newest_version(plan.state.model)
        if _cancellation.compute_slack(newest, group, resume_from) < 0:
            resume_from = None
        return _effects.StartAttempt(
            slot=slot,
            attempt_id=self.ids.next_id(),
            model=plan.state.model,
            prompt=group.spec.prompt,
            priority=-plan.sequence,
            seed=zlib.crc32(str(slot).encode()),
            resume_from=resume_from,
            avoid=retry.avoid,
            min_version=base.WeightVersion(
                max(0, newest - group.spec.staleness_bound)
            ),
        )
