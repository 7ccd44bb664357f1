"""Submission of groups, recording of samples, publication of versions."""

import attrs

from banyanbank_rollout import _commands
from banyanbank_rollout import _replies
from banyanbank_rollout import _samples
from banyanbank_rollout import _state

MAX_OPEN_STEPS = 8
MAX_GROUPS_IN_STEP = 4_096
MAX_SAMPLES_IN_GROUP = 256
MAX_PROMPT_BYTES = 1 << 20
MAX_BODY_BYTES = 4 << 20

Applied = tuple[_state.Tables, _replies.LedgerReply]


def refuse(
    tables: _state.Tables, reason: _replies.LedgerRefusal, detail: str
) -> Applied:
    """Returns unchanged tables and a refusal."""
    return tables, _replies.LedgerRefused(reason, detail)


def submit_group(tables: _state.Tables, cmd: _commands.SubmitGroup) -> Applied:
    """Adds a group, or confirms that it stands with the same content."""
    step = tables.steps.get((cmd.trainer, cmd.step))
    if step is None:
        return _submit_first(tables, cmd)
    # A declaration may have changed in mid-step.
    cmd = cmd.with_terms_of(step.terms)
    group = step.groups.get(cmd.group)
    if group is not None:
        return _confirm(tables, group.spec, cmd)
    invalid = _invalid_group(cmd)
    if invalid:
        return refuse(tables, _replies.LedgerRefusal.INVALID, invalid)
    return tables.with_step(step.with_group(cmd)), _submitted(cmd)


def _submit_first(tables: _state.Tables, cmd: _commands.SubmitGroup) -> Applied:
    trainer = tables.trainer(cmd.trainer)
    if trainer.is_done(cmd.step):
        return refuse(
            tables,
            _replies.LedgerRefusal.STEP_DONE,
            f"Step {cmd.step} was acknowledged or cancelled; use a later one.",
        )
    if trainer.open_steps >= MAX_OPEN_STEPS:
        return refuse(
            tables,
            _replies.LedgerRefusal.TOO_MANY_STEPS,
            f"{MAX_OPEN_STEPS} steps are open; acknowledge or cancel one.",
        )
    invalid = _invalid_group(cmd)
    if invalid:
        return refuse(tables, _replies.LedgerRefusal.INVALID, invalid)
    step = _state.StepState(
        cmd.trainer, cmd.step, cmd.model, cmd.groups_in_step
    )
    return tables.with_step(step.with_group(cmd)), _submitted(cmd)


def _invalid_group(cmd: _commands.SubmitGroup) -> str:
    if cmd.step < 0:
        return "The step must not be negative."
    if not 0 < cmd.groups_in_step <= MAX_GROUPS_IN_STEP:
        return f"groups_in_step must be in 1..{MAX_GROUPS_IN_STEP}."
    if not 0 <= cmd.group < cmd.groups_in_step:
        return "The group must be in range(groups_in_step)."
    slots = cmd.samples + cmd.spare_samples
    if cmd.samples < 1 or cmd.spare_samples < 0 or slots > MAX_SAMPLES_IN_GROUP:
        return f"samples and spares must be in 1..{MAX_SAMPLES_IN_GROUP}."
    if cmd.staleness_bound < 0:
        return "The staleness bound must not be negative."
    if len(cmd.prompt) > MAX_PROMPT_BYTES:
        return f"The prompt must be at most {MAX_PROMPT_BYTES} bytes."
    return ""


def _confirm(
    tables: _state.Tables,
    stands: _commands.SubmitGroup,
    cmd: _commands.SubmitGroup,
) -> Applied:
    if attrs.evolve(cmd, request_id=stands.request_id) == stands:
        return tables, _submitted(cmd)
    return refuse(
        tables,
        _replies.LedgerRefusal.CONFLICT,
        f"Group {cmd.group} of step {cmd.step} has other content, sent as"
        f" request {stands.request_id}.",
    )


def _submitted(cmd: _commands.SubmitGroup) -> _replies.GroupSubmitted:
    return _replies.GroupSubmitted(cmd.trainer, cmd.step, cmd.group)


def record_sample(
    tables: _state.Tables, cmd: _commands.RecordSample
) -> Applied:
    """Fills a slot unless another result has filled it already."""
    slot = cmd.slot
    step = tables.steps.get((slot.trainer, slot.step))
    if step is None:
        return _refuse_without_step(tables, slot)
    group = step.groups.get(slot.group)
    if group is None or not 0 <= slot.index < _slot_count(group):
        return refuse(
            tables, _replies.LedgerRefusal.UNKNOWN, f"No slot {slot}."
        )
    winner = step.samples.get((slot.group, slot.index))
    if winner is not None and not _supersedes(step, winner, cmd):
        accepted = winner.attempt_id == cmd.attempt_id
        return tables, _replies.SampleRecorded(
            slot, winner.attempt_id, accepted
        )
    if winner is None and (step.batch is not None or group.is_whole):
        return tables, _replies.SampleRecorded(slot, "", False)
    refusal = _refuse_sample(tables, step, group, cmd)
    if refusal is not None:
        return tables, refusal
    return tables.with_step(step.with_sample(cmd)), _replies.SampleRecorded(
        slot, cmd.attempt_id, True
    )


def _slot_count(group: _state.GroupState) -> int:
    return group.spec.samples + group.spec.spare_samples


def _refuse_without_step(
    tables: _state.Tables, slot: _samples.SampleSlot
) -> Applied:
    if tables.trainer(slot.trainer).is_done(slot.step):
        return refuse(
            tables,
            _replies.LedgerRefusal.STEP_DONE,
            f"Step {slot.step} is done; drop the result.",
        )
    return refuse(tables, _replies.LedgerRefusal.UNKNOWN, f"No slot {slot}.")


def _supersedes(
    step: _state.StepState,
    winner: _commands.RecordSample,
    cmd: _commands.RecordSample,
) -> bool:
    if step.batch is not None or cmd.supersedes != winner.attempt_id:
        return False
    if cmd.attempt_id == winner.attempt_id or not cmd.stretches:
        return False
    fresher = _samples.oldest_version(cmd.stretches)
    return fresher > _samples.oldest_version(winner.stretches)


def _refuse_sample(
    tables: _state.Tables,
    step: _state.StepState,
    group: _state.GroupState,
    cmd: _commands.RecordSample,
) -> _replies.LedgerRefused | None:
    if cmd.model != step.model:
        return _replies.LedgerRefused(
            _replies.LedgerRefusal.CONFLICT,
            f"Slot {cmd.slot} is for model {step.model}, not {cmd.model}.",
        )
    if cmd.body.size > MAX_BODY_BYTES:
        return _replies.LedgerRefused(
            _replies.LedgerRefusal.INVALID,
            f"A body must be at most {MAX_BODY_BYTES} bytes.",
        )
    if not _samples.is_full_report(cmd.stretches, cmd.token_count):
        return _replies.LedgerRefused(
            _replies.LedgerRefusal.INCOMPLETE_REPORT,
            f"The versions reported don't cover {cmd.token_count} tokens.",
        )
    newest = tables.newest(step.model)
    oldest = _samples.oldest_version(cmd.stretches)
    if newest - oldest > group.spec.staleness_bound:
        return _replies.LedgerRefused(
            _replies.LedgerRefusal.STALE,
            f"Version {oldest} is {newest - oldest} behind {newest}; the"
            f" bound is {group.spec.staleness_bound}.",
        )
    return None


def publish_version(
    tables: _state.Tables, cmd: _commands.PublishVersion
) -> Applied:
    """Makes a version the newest of its model."""
    stands = tables.models.get(cmd.model)
    if stands == cmd:
        return tables, _replies.VersionPublished(cmd.model, cmd.version)
    if stands is not None and cmd.version == stands.version:
        return refuse(
            tables,
            _replies.LedgerRefusal.CONFLICT,
            f"Version {cmd.version} of {cmd.model} has other content.",
        )
    if stands is not None and cmd.version < stands.version:
        return refuse(
            tables,
            _replies.LedgerRefusal.STALE,
            f"Version {stands.version} of {cmd.model} is published already.",
        )
    tables = attrs.evolve(tables, models=tables.models.set(cmd.model, cmd))
    return tables, _replies.VersionPublished(cmd.model, cmd.version)
