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
    """Submitted groups, sorted by number; at least one."""
    samples: tuple[_commands.RecordSample, ...]
    """Winning results, sorted by group and index."""
    generation: int
    """Number of batches withdrawn so far."""
    batch_id: str
    """ID of the formed batch; empty while the step collects samples."""
    handed_out_at: base.WeightVersion | None
    """Newest version at first hand-out; None if not handed out yet."""


@attrs.frozen
class DoneStep:
    """A step that was acknowledged or cancelled."""

    step: int
    """Training step."""
    generation: int
    """Generation of the acknowledged batch; -1 if the step was cancelled."""


@attrs.frozen
class TrainerSnapshot:
    """State of a trainer other than its open steps."""

    trainer: base.TrainerId
    """Name of the trainer."""
    done: tuple[DoneStep, ...]
    """Done steps kept individually, sorted by number."""
    done_below: int
    """Steps below this number that are not open are done."""


@attrs.frozen
class LedgerSnapshot:
    """Complete state of a ledger."""

    steps: tuple[StepSnapshot, ...] = ()
    """Open steps, sorted by trainer and number."""
    trainers: tuple[TrainerSnapshot, ...] = ()
    """Trainers, sorted by name."""
    models: tuple[_commands.PublishVersion, ...] = ()
    """Newest publication of each model, sorted by model."""


def take_snapshot(tables: _state.Tables) -> LedgerSnapshot:
    """Returns a snapshot of the tables, sorted so that it is deterministic."""
    return LedgerSnapshot(
        steps=tuple(_snapshot_step(s) for _, s in sorted(tables.steps.items())),
        trainers=tuple(
            _snapshot_trainer(name, state)
            for name, state in sorted(tables.trainers.items())
        ),
        models=tuple(
            publication for _, publication in sorted(tables.models.items())
        ),
    )


def restore_tables(snapshot: LedgerSnapshot) -> _state.Tables:
    """Rebuilds the tables from a snapshot."""
    tables = _state.Tables()
    for step_snapshot in snapshot.steps:
        tables = tables.with_step(_restore_step(step_snapshot))
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
        {publication.model: publication for publication in snapshot.models}
    )
    return attrs.evolve(tables, trainers=trainers, models=models)


def _snapshot_step(step: _state.StepState) -> StepSnapshot:
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


def _restore_step(step_snapshot: StepSnapshot) -> _state.StepState:
    first = step_snapshot.groups[0]
    step = _state.StepState(
        step_snapshot.trainer,
        step_snapshot.step,
        first.model,
        first.groups_in_step,
    )
    for group in step_snapshot.groups:
        step = step.with_group(group)
    for sample in step_snapshot.samples:
        step = step.with_sample(sample)
    batch = None
    if step_snapshot.batch_id:
        batch = _state.BatchState(
            step_snapshot.batch_id, step_snapshot.handed_out_at
        )
    return attrs.evolve(step, generation=step_snapshot.generation, batch=batch)


def _snapshot_trainer(
    name: base.TrainerId, state: _state.TrainerState
) -> TrainerSnapshot:
    done = tuple(DoneStep(*item) for item in sorted(state.done.items()))
    return TrainerSnapshot(name, done, state.done_below)
