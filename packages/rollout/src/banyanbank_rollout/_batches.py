"""Forming, handing out, rejecting and acknowledging batches."""

import attrs
import banyanbank_base as base

from banyanbank_rollout import _commands
from banyanbank_rollout import _groups
from banyanbank_rollout import _replies
from banyanbank_rollout import _samples
from banyanbank_rollout import _state


def form_batch(
    tables: _state.Tables, cmd: _commands.FormBatch
) -> _groups.Applied:
    """Fixes the contents of a whole step, after discarding stale samples."""
    step = tables.steps.get((cmd.trainer, cmd.step))
    if step is None:
        return _refuse_step(tables, cmd.trainer, cmd.step)
    if step.batch is not None and step.batch.handed_out_at is not None:
        return tables, _replies.BatchFormed(step.batch.batch_id)
    newest = max(tables.newest(step.model), cmd.newest_version)
    fresh, discarded = _discard_stale(step, newest)
    if discarded:
        fresh = _reopen(fresh)
        return tables.with_step(fresh), _pending(fresh, discarded)
    if step.batch is not None:
        return tables, _replies.BatchFormed(step.batch.batch_id)
    if not step.is_whole:
        return tables, _pending(step, ())
    batch = _state.BatchState(f"{step.step}.{step.generation}")
    step = attrs.evolve(step, batch=batch)
    return tables.with_step(step), _replies.BatchFormed(batch.batch_id)


def fetch_batch(
    tables: _state.Tables, cmd: _commands.FetchBatch
) -> _groups.Applied:
    """Hands a batch out; at first hand-out its staleness is checked again."""
    step = tables.steps.get((cmd.trainer, cmd.step))
    if step is None:
        return _refuse_step(tables, cmd.trainer, cmd.step)
    if step.batch is None:
        return tables, _pending(step, ())
    if step.batch.handed_out_at is not None:
        return tables, _fetched(step, step.batch)
    newest = max(tables.newest(step.model), cmd.newest_version)
    fresh, discarded = _discard_stale(step, newest)
    if discarded:
        reopened = _reopen(fresh)
        return tables.with_step(reopened), _pending(reopened, discarded)
    batch = attrs.evolve(step.batch, handed_out_at=newest)
    step = attrs.evolve(step, batch=batch)
    return tables.with_step(step), _fetched(step, batch)


def reject_batch(
    tables: _state.Tables, cmd: _commands.RejectBatch
) -> _groups.Applied:
    """Takes back a batch that its trainer never used and that is stale."""
    step = _step_of_batch(tables, cmd.trainer, cmd.batch_id)
    if step is None:
        return _refuse_batch(tables, cmd.trainer, cmd.batch_id)
    if _was_reopened(step, cmd.batch_id):
        return tables, _replies.BatchRejected(cmd.batch_id, ())
    if step.batch is None or step.batch.batch_id != cmd.batch_id:
        return _refuse_batch(tables, cmd.trainer, cmd.batch_id)
    newest = max(tables.newest(step.model), cmd.newest_version)
    fresh, discarded = _discard_stale(step, newest)
    if not discarded:
        return _groups.refuse(
            tables,
            _replies.LedgerRefusal.NOT_STALE,
            f"Batch {cmd.batch_id} is within its bound; fetch it again.",
        )
    reopened = _reopen(fresh)
    return tables.with_step(reopened), _replies.BatchRejected(
        cmd.batch_id, discarded
    )


def acknowledge_batch(
    tables: _state.Tables, cmd: _commands.AcknowledgeBatch
) -> _groups.Applied:
    """Ends the step of a batch that was handed out."""
    numbers = _numbers(cmd.batch_id)
    if numbers is None:
        return _refuse_batch(tables, cmd.trainer, cmd.batch_id)
    step = tables.steps.get((cmd.trainer, numbers[0]))
    if step is None:
        return _acknowledge_done(tables, cmd, *numbers)
    batch = step.batch
    if batch is None or batch.batch_id != cmd.batch_id:
        return _refuse_batch(tables, cmd.trainer, cmd.batch_id)
    if batch.handed_out_at is None:
        return _refuse_batch(tables, cmd.trainer, cmd.batch_id)
    return tables.without_step(step), _replies.BatchAcknowledged(cmd.batch_id)


def cancel_step(
    tables: _state.Tables, cmd: _commands.CancelStep
) -> _groups.Applied:
    """Drops an open step; a step that is done stays done."""
    step = tables.steps.get((cmd.trainer, cmd.step))
    if step is not None:
        # No acknowledgement can name the generation of a cancelled step.
        cancelled = attrs.evolve(step, generation=-1)
        tables = tables.without_step(cancelled)
    elif not tables.trainer(cmd.trainer).is_done(cmd.step):
        return _refuse_step(tables, cmd.trainer, cmd.step)
    return tables, _replies.StepCancelled(cmd.trainer, cmd.step)


def is_stale(
    group: _state.GroupState,
    sample: _commands.RecordSample,
    newest: base.WeightVersion,
) -> bool:
    """Tells whether a sample breaks its group's staleness bound."""
    oldest = _samples.oldest_version(sample.stretches)
    return newest - oldest > group.spec.staleness_bound


def _discard_stale(
    step: _state.StepState, newest: base.WeightVersion
) -> tuple[_state.StepState, tuple[_samples.SampleSlot, ...]]:
    stale = sorted(
        key
        for key, sample in step.samples.items()
        if is_stale(step.groups[key[0]], sample, newest)
    )
    slots = tuple(step.samples[key].slot for key in stale)
    for key in stale:
        step = step.without_sample(key)
    return step, slots


def _reopen(step: _state.StepState) -> _state.StepState:
    if step.batch is None:
        return step
    return attrs.evolve(step, batch=None, generation=step.generation + 1)


def _pending(
    step: _state.StepState, discarded: tuple[_samples.SampleSlot, ...]
) -> _replies.BatchPending:
    missing = step.wanted - len(step.samples)
    return _replies.BatchPending(missing, discarded)


def _fetched(
    step: _state.StepState, batch: _state.BatchState
) -> _replies.BatchFetched:
    entries = tuple(_entry(step.samples[key]) for key in sorted(step.samples))
    newest = batch.handed_out_at or base.WeightVersion(0)
    return _replies.BatchFetched(batch.batch_id, newest, entries)


def _entry(sample: _commands.RecordSample) -> _replies.BatchEntry:
    return _replies.BatchEntry(
        slot=sample.slot,
        attempt_id=sample.attempt_id,
        digest=sample.body.digest,
        size=sample.body.size,
        token_count=sample.token_count,
        stretches=sample.stretches,
        grade=sample.grade,
        engine=sample.engine,
    )


def _numbers(batch_id: str) -> tuple[int, int] | None:
    step, dot, generation = batch_id.partition(".")
    if not (dot and step.isdecimal() and generation.isdecimal()):
        return None
    return int(step), int(generation)


def _step_of_batch(
    tables: _state.Tables, trainer: base.TrainerId, batch_id: str
) -> _state.StepState | None:
    numbers = _numbers(batch_id)
    if numbers is None:
        return None
    return tables.steps.get((trainer, numbers[0]))


def _was_reopened(step: _state.StepState, batch_id: str) -> bool:
    numbers = _numbers(batch_id)
    return numbers is not None and numbers[1] < step.generation


def _acknowledge_done(
    tables: _state.Tables,
    cmd: _commands.AcknowledgeBatch,
    step: int,
    generation: int,
) -> _groups.Applied:
    trainer = tables.trainer(cmd.trainer)
    known = trainer.done.get(step)
    if known == generation or (known is None and step < trainer.done_below):
        return tables, _replies.BatchAcknowledged(cmd.batch_id)
    return _refuse_batch(tables, cmd.trainer, cmd.batch_id)


def _refuse_step(
    tables: _state.Tables, trainer: base.TrainerId, step: int
) -> _groups.Applied:
    if tables.trainer(trainer).is_done(step):
        return _groups.refuse(
            tables,
            _replies.LedgerRefusal.STEP_DONE,
            f"Step {step} was acknowledged or cancelled.",
        )
    return _groups.refuse(
        tables,
        _replies.LedgerRefusal.UNKNOWN,
        f"Trainer {trainer} has submitted no group of step {step}.",
    )


def _refuse_batch(
    tables: _state.Tables, trainer: base.TrainerId, batch_id: str
) -> _groups.Applied:
    return _groups.refuse(
        tables,
        _replies.LedgerRefusal.WRONG_BATCH,
        f"Batch {batch_id} is not out with trainer {trainer}; fetch again.",
    )
