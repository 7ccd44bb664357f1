"""Which attempts to start, in one decision of the scheduler."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import random
import zlib

import attrs
import banyanbank_base as base

from banyanbank_rollout import _cancels
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
    """Limits of what one decision starts."""

    retry_share: float
    """Share of all streams for slots that failed twice or more."""
    forecasts: bool
    """Whether what is expected to become stale is replaced or held back."""


class AttemptIds:
    """Draws attempt ids that no other leader's scheduler draws.

    Args:
        rng: Source of the part that tells schedulers apart.
    """

    def __init__(self, rng: random.Random) -> None:
        self._incarnation = f"{rng.getrandbits(64):016x}"
        self._drawn = 0

    def draw(self) -> str:
        """Returns a new id."""
        self._drawn += 1
        return f"{self._incarnation}-{self._drawn}"


@attrs.frozen
class StartRound:
    """Everything that one decision on starts looks at."""

    cfg: StartCfg
    """Limits."""
    ledger: _ledger.Ledger
    """The newest committed ledger."""
    plans: Sequence[_plan.StepPlan]
    """Open steps, the most urgent first."""
    free: _free_slots.FreeSlots
    """Streams that are free; charged as attempts are started."""
    freshest: Mapping[base.ModelName, base.WeightVersion]
    """Newest version that takes new work, by model."""
    forecast: _forecast.PublicationForecast
    """Of publications."""
    retries: _retries.SlotRetries
    """What failed attempts left behind."""
    ids: AttemptIds
    """Source of attempt ids."""
    now: float
    """Clock seconds."""

    def run(self, extras: _extras.Extras) -> list[_effects.StartAttempt]:
        """Returns the attempts to start: open slots first, then extras."""
        starts = list(self._open_slots())
        taken = {start.slot for start in starts}
        for plan in self.plans:
            if self.cfg.forecasts:
                starts += self._replacements(plan, extras)
            starts += self._duplicates(plan, extras)
            starts += self._spares(plan, taken)
        return starts

    def _open_slots(self) -> Iterator[_effects.StartAttempt]:
        retries_left = max(1, int(self.cfg.retry_share * self.free.total))
        if self.retries.any_repeated():
            retries_left -= sum(
                self.retries.get(attempt.slot).failures > 1
                for plan in self.plans
                for _, attempt in plan.running()
            )
        for plan in self.plans:
            if not self.free.has_room(plan.state.model):
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
                if not self.free.take(plan.state.model):
                    break
                retries_left -= repeated
                yield self._attempt(plan, group, slot)

    def _replacements(
        self, plan: _plan.StepPlan, extras: _extras.Extras
    ) -> Iterator[_effects.StartAttempt]:
        for group, sample in extras.doomed(plan):
            start = self._attempt(plan, group, sample.slot)
            yield attrs.evolve(start, supersedes=sample.attempt_id)

    def _duplicates(
        self, plan: _plan.StepPlan, extras: _extras.Extras
    ) -> Iterator[_effects.StartAttempt]:
        for group, slow in extras.slow(plan):
            start = self._attempt(plan, group, slow.slot)
            avoid = () if slow.engine is None else (slow.engine,)
            yield attrs.evolve(start, resume_from=slow.progress, avoid=avoid)

    def _spares(
        self, plan: _plan.StepPlan, taken: set[_samples.SampleSlot]
    ) -> Iterator[_effects.StartAttempt]:
        for group, slot in plan.spare_slots():
            if slot in taken or self._is_too_early(plan, group):
                continue
            if self.free.take(plan.state.model):
                yield self._attempt(plan, group, slot)

    def _is_too_early(
        self, plan: _plan.StepPlan, group: _state.GroupState
    ) -> bool:
        model = plan.state.model
        newest = self.ledger.newest_version(model)
        lag = newest - self.freshest.get(model, newest)
        slack = group.spec.staleness_bound - lag
        if slack < 0:
            # No engine has loaded what the bound asks for.
            return True
        if not self.cfg.forecasts:
            return False
        return self.forecast.is_too_early(model, plan.older, slack, self.now)

    def _attempt(
        self,
        plan: _plan.StepPlan,
        group: _state.GroupState,
        slot: _samples.SampleSlot,
    ) -> _effects.StartAttempt:
        retry = self.retries.get(slot)
        resume_from = retry.resume_from
        newest = self.ledger.newest_version(plan.state.model)
        if _cancels.slack(newest, group, resume_from) < 0:
            resume_from = None
        return _effects.StartAttempt(
            slot=slot,
            attempt_id=self.ids.draw(),
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
