"""Submits groups, records samples and publishes versions."""

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
    """Returns the unchanged tables and a refusal reply."""
    return tables, _replies.LedgerRefused(reason, detail)


def submit_group(tables: _state.Tables, cmd: _commands.SubmitGroup) -> Applied:
    """Adds a group, or confirms one already stored with the same content."""
    step = tables.steps.get((cmd.trainer, cmd.step))
    if step is None:
        return _open_step(tables, cmd)
    # The trainer's declaration may change mid-step; the step keeps the first.
    cmd = cmd.with_declaration_of(step.declaration)
    group = step.groups.get(cmd.group)
    if group is not None:
        return _confirm_group(tables, group.spec, cmd)
    problem = _find_invalid_field(cmd)
    if problem:
        return refuse(tables, _replies.LedgerRefusal.INVALID, problem)
    return tables.with_step(step.with_group(cmd)), _make_submitted_reply(cmd)


def _open_step(tables: _state.Tables, cmd: _commands.SubmitGroup) -> Applied:
    trainer = tables.trainer(cmd.trainer)
    if trainer.is_done(cmd.step):
        return refuse(
            tables,
            _replies.LedgerRefusal.STEP_DONE,
            f"Step {cmd.step} was already acknowledged or cancelled; submit a"
            " later step.",
        )
    if trainer.open_steps >= MAX_OPEN_STEPS:
        return refuse(
            tables,
            _replies.LedgerRefusal.TOO_MANY_STEPS,
            f"The trainer already has the maximum of {MAX_OPEN_STEPS} open"
            " steps; acknowledge or cancel one.",
        )
    problem = _find_invalid_field(cmd)
    if problem:
        return refuse(tables, _replies.LedgerRefusal.INVALID, problem)
    step = _state.StepState(
        cmd.trainer, cmd.step, cmd.model, cmd.groups_in_step
    )
    return tables.with_step(step.with_group(cmd)), _make_submitted_reply(cmd)


def _find_invalid_field(cmd: _commands.SubmitGroup) -> str:
    if cmd.step < 0:
        return "step must not be negative."
    if not 0 < cmd.groups_in_step <= MAX_GROUPS_IN_STEP:
        return f"groups_in_step must be between 1 and {MAX_GROUPS_IN_STEP}."
    if not 0 <= cmd.group < cmd.groups_in_step:
        return "group must be at least 0 and less than groups_in_step."
    slots = cmd.samples + cmd.spare_samples
    if cmd.samples < 1 or cmd.spare_samples < 0 or slots > MAX_SAMPLES_IN_GROUP:
        return (
            "samples must be at least 1, spare_samples at least 0, and their"
            f" sum at most {MAX_SAMPLES_IN_GROUP}."
        )
    if cmd.staleness_bound < 0:
        return "staleness_bound must not be negative."
    if len(cmd.prompt) > MAX_PROMPT_BYTES:
        return f"prompt must be at most {MAX_PROMPT_BYTES} bytes."
    return ""


def _confirm_group(
    tables: _state.Tables,
    existing: _commands.SubmitGroup,
    cmd: _commands.SubmitGroup,
) -> Applied:
    if attrs.evolve(cmd, request_id=existing.request_id) == existing:
        return tables, _make_submitted_reply(cmd)
    return refuse(
        tables,
        _replies.LedgerRefusal.CONFLICT,
        f"Group {cmd.group} of step {cmd.step} was already submitted with"
        f" other content by request {existing.request_id}.",
    )


def _make_submitted_reply(
    cmd: _commands.SubmitGroup,
) -> _replies.GroupSubmitted:
    return _replies.GroupSubmitted(cmd.trainer, cmd.step, cmd.group)


def record_sample(
    tables: _state.Tables, cmd: _commands.RecordSample
) -> Applied:
    """Records a result unless another result already fills its slot.

    A result that names the winner in `supersedes` replaces it if its oldest
    weight version is newer.
    """
    slot = cmd.slot
    step = tables.steps.get((slot.trainer, slot.step))
    if step is None:
        return _refuse_missing_step(tables, slot)
    group = step.groups.get(slot.group)
    if group is None or not 0 <= slot.index < _count_slots(group):
        return refuse(
            tables,
            _replies.LedgerRefusal.UNKNOWN,
            f"Slot {slot} does not exist.",
        )
    winner = step.samples.get((slot.group, slot.index))
    if winner is not None and not _may_supersede(step, winner, cmd):
        accepted = winner.attempt_id == cmd.attempt_id
        return tables, _replies.SampleRecorded(
            slot, winner.attempt_id, accepted
        )
    if winner is None and (step.batch is not None or group.is_complete):
        return tables, _replies.SampleRecorded(slot, "", False)
    refusal = _check_sample(tables, step, group, cmd)
    if refusal is not None:
        return tables, refusal
    return tables.with_step(step.with_sample(cmd)), _replies.SampleRecorded(
        slot, cmd.attempt_id, True
    )


def _count_slots(group: _state.GroupState) -> int:
    return group.spec.samples + group.spec.spare_samples


def _refuse_missing_step(
    tables: _state.Tables, slot: _samples.SampleSlot
) -> Applied:
    if tables.trainer(slot.trainer).is_done(slot.step):
        return refuse(
            tables,
            _replies.LedgerRefusal.STEP_DONE,
            f"Step {slot.step} is already done; discard the result.",
        )
    return refuse(
        tables,
        _replies.LedgerRefusal.UNKNOWN,
        f"Slot {slot} does not exist: its step was never submitted.",
    )


def _may_supersede(
    step: _state.StepState,
    winner: _commands.RecordSample,
    cmd: _commands.RecordSample,
) -> bool:
    if step.batch is not None or cmd.supersedes != winner.attempt_id:
        return False
    if cmd.attempt_id == winner.attempt_id or not cmd.stretches:
        return False
    candidate_oldest = _samples.oldest_version(cmd.stretches)
    return candidate_oldest > _samples.oldest_version(winner.stretches)


def _check_sample(
    tables: _state.Tables,
    step: _state.StepState,
    group: _state.GroupState,
    cmd: _commands.RecordSample,
) -> _replies.LedgerRefused | None:
    if cmd.model != step.model:
        return _replies.LedgerRefused(
            _replies.LedgerRefusal.CONFLICT,
            f"Slot {cmd.slot} requires model {step.model}, not {cmd.model}.",
        )
    if cmd.body.size > MAX_BODY_BYTES:
        return _replies.LedgerRefused(
            _replies.LedgerRefusal.INVALID,
            f"body must be at most {MAX_BODY_BYTES} bytes.",
        )
    if not _samples.is_full_report(cmd.stretches, cmd.token_count):
        return _replies.LedgerRefused(
            _replies.LedgerRefusal.INCOMPLETE_REPORT,
            "The reported versions do not cover exactly"
            f" {cmd.token_count} tokens.",
        )
    newest = tables.newest_version(step.model)
    oldest = _samples.oldest_version(cmd.stretches)
    if newest - oldest > group.spec.staleness_bound:
        return _replies.LedgerRefused(
            _replies.LedgerRefusal.STALE,
            f"Version {oldest} is {newest - oldest} versions behind version"
            f" {newest}; the staleness bound is"
            f" {group.spec.staleness_bound}.",
        )
    return None


def publish_version(
    tables: _state.Tables, cmd: _commands.PublishVersion
) -> Applied:
    """Makes a version the newest of its model; idempotent by content."""
    existing = tables.models.get(cmd.model)
    if existing == cmd:
        return tables, _replies.VersionPublished(cmd.model, cmd.version)
    if existing is not None and cmd.version == existing.version:
        return refuse(
            tables,
            _replies.LedgerRefusal.CONFLICT,
            f"Version {cmd.version} of {cmd.model} was already published with"
            " other content.",
        )
    if existing is not None and cmd.version < existing.version:
        return refuse(
            tables,
            _replies.LedgerRefusal.STALE,
            f"Version {existing.version} of {cmd.model} is already published;"
            " publish a later one.",
        )
    tables = attrs.evolve(tables, models=tables.models.set(cmd.model, cmd))
    return tables, _replies.VersionPublished(cmd.model, cmd.version)
