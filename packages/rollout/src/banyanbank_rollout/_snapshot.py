"""Snapshots of the sample ledger in plain attrs classes and tuples."""

import attrs
import banyanbank_base as base
import immutables

from banyanbank_rollout import _commands
from banyanbank_rollout import _state


@attrs.frozen
class StepSnapshot:
    """One open step."""

    trainer: base.TrainerId
    """Trainer whose step it is."""
    step: int
    """Training step."""
    groups: tuple[_commands.SubmitGroup, ...]
    """Groups submitted, by number; at least one."""
    samples: tuple[_commands.RecordSample, ...]
    """Results that count, by group and index."""
    generation: int
    """Batches formed so far, those reopened included."""
    batch_id: str
    """The batch; empty while the step collects samples."""
    handed_out_at: base.WeightVersion | None
    """Newest version at first hand-out; None before it."""


@attrs.frozen
class DoneStep:
    """A step that was acknowledged or cancelled."""

    step: int
    """Training step."""
    generation: int
    """Generation of the acknowledged batch; -1 when cancelled."""


@attrs.frozen
class TrainerSnapshot:
    """What is kept of a trainer besides its open steps."""

    trainer: base.TrainerId
    """The trainer."""
    done: tuple[DoneStep, ...]
    """Steps done, by number."""
    done_below: int
    """Steps under this number that are not open are done."""


@attrs.frozen
class LedgerSnapshot:
    """All that a ledger holds."""

    steps: tuple[StepSnapshot, ...] = ()
    """Open steps, by trainer and number."""
    trainers: tuple[TrainerSnapshot, ...] = ()
    """Trainers, by name."""
    models: tuple[_commands.PublishVersion, ...] = ()
    """Newest publication of each model, by name."""


def take(tables: _state.Tables) -> LedgerSnapshot:
    """Returns a snapshot of the tables, in a fixed order."""
    return LedgerSnapshot(
        steps=tuple(_take_step(s) for _, s in sorted(tables.steps.items())),
        trainers=tuple(
            _take_trainer(name, state)
            for name, state in sorted(tables.trainers.items())
        ),
        models=tuple(
            published for _, published in sorted(tables.models.items())
        ),
    )


def restore(snapshot: LedgerSnapshot) -> _state.Tables:
    """Returns the tables that a snapshot was taken of."""
    tables = _state.Tables()
    for taken in snapshot.steps:
        tables = tables.with_step(_restore_step(taken))
    trainers = tables.trainers
    for trainer in snapshot.trainers:
        state = attrs.evolve(
            tables.trainer(trainer.trainer),
            done=immutables.Map(
                {done.step: done.generation for done in trainer.done}
            ),
            done_below=trainer.done_below,
        )
        trainers = trainers.set(trainer.trainer, state)
    models = immutables.Map(
        {published.model: published for published in snapshot.models}
    )
    return attrs.evolve(tables, trainers=trainers, models=models)


def _take_step(step: _state.StepState) -> StepSnapshot:
    batch = step.batch
    return StepSnapshot(
        trainer=step.trainer,
        step=step.step,
        groups=tuple(group.spec for _, group in sorted(step.groups.items())),
        samples=tuple(sample for _, sample in sorted(step.samples.items())),
        generation=step.generation,
        batch_id="" if batch is None else batch.batch_id,
        handed_out_at=None if batch is None else batch.handed_out_at,
    )


def _restore_step(taken: StepSnapshot) -> _state.StepState:
    first = taken.groups[0]
    step = _state.StepState(
        taken.trainer, taken.step, first.model, first.groups_in_step
    )
    for group in taken.groups:
        step = step.with_group(group)
    for sample in taken.samples:
        step = step.with_sample(sample)
    batch = None
    if taken.batch_id:
        batch = _state.BatchState(taken.batch_id, taken.handed_out_at)
    return attrs.evolve(step, generation=taken.generation, batch=batch)


def _take_trainer(
    name: base.TrainerId, state: _state.TrainerState
) -> TrainerSnapshot:
    done = tuple(DoneStep(*item) for item in sorted(state.done.items()))
    return TrainerSnapshot(name, done, state.done_below)
