"""Decides which sample attempts to start, cancel, grade and batch."""

import collections
from collections.abc import Iterator
from collections.abc import Sequence
import random

import banyanbank_base as base

from banyanbank_rollout import _effects
from banyanbank_rollout import _ledger
from banyanbank_rollout import _samples
from banyanbank_rollout import _state
from banyanbank_rollout import _views


class SampleScheduler:
    """Starts every open slot once and proposes whole steps as batches.

    It is volatile and run by the leader alone. All that it decides follows
    from the ledger and the attempts that still run, so a new leader's
    scheduler starts empty.

    Args:
        rng: Source of attempt ids.
    """

    def __init__(self, rng: random.Random) -> None:
        self._incarnation = f"{rng.getrandbits(64):016x}"
        self._started = 0

    def decide(
        self,
        ledger: _ledger.Ledger,
        attempts: Sequence[_views.AttemptView],
        engines: Sequence[_views.EngineView],
        now: float,
    ) -> tuple[_effects.SchedulerEffect, ...]:
        """Returns what to do next.

        Args:
            ledger: The newest committed ledger.
            attempts: All attempts started and not ended. The shell adds an
                attempt as soon as it takes up its `StartAttempt`.
            engines: All engines that may run rollouts.
            now: Clock seconds.
        """
        del now
        effects: list[_effects.SchedulerEffect] = [
            _effects.GradeSample(attempt.slot, attempt.attempt_id)
            for attempt in attempts
            if attempt.phase is _views.AttemptPhase.FINISHED
        ]
        running = {attempt.slot for attempt in attempts}
        free = _free_slots(ledger, attempts, engines)
        for step in ledger.steps():
            if step.is_whole and step.batch is None:
                effects.append(_effects.ProposeBatch(step.trainer, step.step))
            for start in self._starts(step, running):
                if free[step.model] <= 0:
                    break
                free[step.model] -= 1
                effects.append(start)
        return tuple(effects)

    def _starts(
        self, step: _state.StepState, running: set[_samples.SampleSlot]
    ) -> Iterator[_effects.StartAttempt]:
        for number, group in sorted(step.groups.items()):
            for index in range(group.spec.samples):
                slot = _samples.SampleSlot(
                    step.trainer, step.step, number, index
                )
                if (number, index) in step.samples or slot in running:
                    continue
                self._started += 1
                yield _effects.StartAttempt(
                    slot=slot,
                    attempt_id=f"{self._incarnation}-{self._started}",
                    model=step.model,
                    prompt=group.spec.prompt,
                    priority=-step.step,
                    seed=0,
                )


def _free_slots(
    ledger: _ledger.Ledger,
    attempts: Sequence[_views.AttemptView],
    engines: Sequence[_views.EngineView],
) -> collections.Counter[base.ModelName]:
    free: collections.Counter[base.ModelName] = collections.Counter()
    for engine in engines:
        for model in engine.models:
            free[model] += engine.slots
    for attempt in attempts:
        slot = attempt.slot
        step = ledger.tables.steps.get((slot.trainer, slot.step))
        running = attempt.phase is _views.AttemptPhase.RUNNING
        if running and step is not None:
            free[step.model] -= 1
    return free
