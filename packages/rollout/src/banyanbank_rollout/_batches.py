"""Forms, hands out, rejects and acknowledges batches."""

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
    """Discards stale samples and fixes the batch contents of a complete step.

    If any sample is discarded, the step reopens and no batch is formed.
    """
    step = tables.steps.get((cmd.trainer, cmd.step))
    if step is None:
        return _refuse_step(tables, cmd.trainer, cmd.step)
    if step.batch is not None and step.batch.handed_out_at is not None:
        return tables, _replies.BatchFormed(step.batch.batch_id)
    newest = max(tables.newest_version(step.model), cmd.newest_version)
    pruned, discarded = _discard_stale(step, newest)
    if discarded:
        pruned = _withdraw_batch(pruned)
        return tables.with_step(pruned), _make_pending_reply(pruned, discarded)
    if step.batch is not None:
        return tables, _replies.BatchFormed(step.batch.batch_id)
    if not step.is_complete:
        return tables, _make_pending_reply(step, ())
    batch = _state.BatchState(f"{step.step}.{step.generation}")
    step = attrs.evolve(step, batch=batch)
    return tables.with_step(step), _replies.BatchFormed(batch.batch_id)


def fetch_batch(
    tables: _state.Tables, cmd: _commands.FetchBatch
) -> _groups.Applied:
    """Hands out the batch of a step.

    The first hand-out checks staleness again, since versions may have been
    published after the batch was formed. Later fetches return the same batch.
    """
    step = tables.steps.get((cmd.trainer, cmd.step))
    if step is None:
        return _refuse_step(tables, cmd.trainer, cmd.step)
    if step.batch is None:
        return tables, _make_pending_reply(step, ())
    if step.batch.handed_out_at is not None:
        return tables, _make_fetched_reply(step, step.batch)
    newest = max(tables.newest_version(step.model), cmd.newest_version)
    pruned, discarded = _discard_stale(step, newest)
    if discarded:
        reopened = _withdraw_batch(pruned)
        return tables.with_step(reopened), _make_pending_reply(
            reopened, discarded
        )
    batch = attrs.evolve(step.batch, handed_out_at=newest)
    step = attrs.evolve(step, batch=batch)
    return tables.with_step(step), _make_fetched_reply(step, batch)


def reject_batch(
    tables: _state.Tables, cmd: _commands.RejectBatch
) -> _groups.Applied:
    """Withdraws a stale batch that its trainer never used."""
    step = _find_step_of_batch(tables, cmd.trainer, cmd.batch_id)
    if step is None:
        return _refuse_batch(tables, cmd.trainer, cmd.batch_id)
    if _was_withdrawn(step, cmd.batch_id):
        return tables, _replies.BatchRejected(cmd.batch_id, ())
    if step.batch is None or step.batch.batch_id != cmd.batch_id:
        return _refuse_batch(tables, cmd.trainer, cmd.batch_id)
    newest = max(tables.newest_version(step.model), cmd.newest_version)
    pruned, discarded = _discard_stale(step, newest)
    if not discarded:
        return _groups.refuse(
            tables,
            _replies.LedgerRefusal.NOT_STALE,
            f"Batch {cmd.batch_id} is within its staleness bound; fetch it"
            " again.",
        )
    reopened = _withdraw_batch(pruned)
    return tables.with_step(reopened), _replies.BatchRejected(
        cmd.batch_id, discarded
    )


def acknowledge_batch(
    tables: _state.Tables, cmd: _commands.AcknowledgeBatch
) -> _groups.Applied:
    """Marks the step of a handed-out batch as done."""
    parsed = _parse_batch_id(cmd.batch_id)
    if parsed is None:
        return _refuse_batch(tables, cmd.trainer, cmd.batch_id)
    step = tables.steps.get((cmd.trainer, parsed[0]))
    if step is None:
        return _acknowledge_done_step(tables, cmd, *parsed)
    batch = step.batch
    if batch is None or batch.batch_id != cmd.batch_id:
        return _refuse_batch(tables, cmd.trainer, cmd.batch_id)
    if batch.handed_out_at is None:
        return _refuse_batch(tables, cmd.trainer, cmd.batch_id)
    return tables.without_step(step), _replies.BatchAcknowledged(cmd.batch_id)


def cancel_step(
    tables: _state.Tables, cmd: _commands.CancelStep
) -> _groups.Applied:
    """Drops an open step; idempotent for a step that is already done."""
    step = tables.steps.get((cmd.trainer, cmd.step))
    if step is not None:
        # -1 never parses as a generation, so no acknowledgement can match a
        # cancelled step.
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
    """Returns whether a sample exceeds its group's staleness bound."""
    oldest = _samples.oldest_version(sample.stretches)
    return newest - oldest > group.spec.staleness_bound


def _discard_stale(
    step: _state.StepState, newest: base.WeightVersion
) -> tuple[_state.StepState, tuple[_samples.SampleSlot, ...]]:
    stale_keys = sorted(
        key
        for key, sample in step.samples.items()
        if is_stale(step.groups[key[0]], sample, newest)
    )
    slots = tuple(step.samples[key].slot for key in stale_keys)
    for key in stale_keys:
        step = step.without_sample(key)
    return step, slots


def _withdraw_batch(step: _state.StepState) -> _state.StepState:
    if step.batch is None:
        return step
    return attrs.evolve(step, batch=None, generation=step.generation + 1)


def _make_pending_reply(
    step: _state.StepState, discarded: tuple[_samples.SampleSlot, ...]
) -> _replies.BatchPending:
    missing = step.wanted - len(step.samples)
    return _replies.BatchPending(missing, discarded)


def _make_fetched_reply(
    step: _state.StepState, batch: _state.BatchState
) -> _replies.BatchFetched:
    entries = tuple(
        _make_entry(step.samples[key]) for key in sorted(step.samples)
    )
    newest = batch.handed_out_at or base.WeightVersion(0)
    return _replies.BatchFetched(batch.batch_id, newest, entries)


def _make_entry(sample: _commands.RecordSample) -> _replies.BatchEntry:
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


def _parse_batch_id(batch_id: str) -> tuple[int, int] | None:
    step, separator, generation = batch_id.partition(".")
    if not (separator and step.isdecimal() and generation.isdecimal()):
        return None
    return int(step), int(generation)


def _find_step_of_batch(
    tables: _state.Tables, trainer: base.TrainerId, batch_id: str
) -> _state.StepState | None:
    parsed = _parse_batch_id(batch_id)
    if parsed is None:
        return None
    return tables.steps.get((trainer, parsed[0]))


def _was_withdrawn(step: _state.StepState, batch_id: str) -> bool:
    parsed = _parse_batch_id(batch_id)
    return parsed is not None and parsed[1] < step.generation


def _acknowledge_done_step(
    tables: _state.Tables,
    cmd: _commands.AcknowledgeBatch,
    step: int,
    generation: int,
) -> _groups.Applied:
    trainer = tables.trainer(cmd.trainer)
    done_generation = trainer.done.get(step)
    if done_generation == generation or (
        done_generation is None and step < trainer.done_below
    ):
        return tables, _replies.BatchAcknowledged(cmd.batch_id)
    return _refuse_batch(tables, cmd.trainer, cmd.batch_id)


def _refuse_step(
    tables: _state.Tables, trainer: base.TrainerId, step: int
) -> _groups.Applied:
    if tables.trainer(trainer).is_done(step):
        return _groups.refuse(
            tables,
            _replies.LedgerRefusal.STEP_DONE,
            f"Step {step} was already acknowledged or cancelled.",
        )
    return _groups.refuse(
        tables,
        _replies.LedgerRefusal.UNKNOWN,
        f"Trainer {trainer} has not submitted any group of step {step}.",
    )


def _refuse_batch(
    tables: _state.Tables, trainer: base.TrainerId, batch_id: str
) -> _groups.Applied:
    return _groups.refuse(
        tables,
        _replies.LedgerRefusal.WRONG_BATCH,
        f"Batch {batch_id} is not handed out to trainer {trainer}; fetch the"
        " step again.",
    )
