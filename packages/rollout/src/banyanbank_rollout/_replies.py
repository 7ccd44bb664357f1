"""Replies of the sample ledger to its commands."""

import enum

import attrs
import banyanbank_base as base

from banyanbank_rollout import _samples


class LedgerRefusal(enum.Enum):
    """Why the ledger refused a command; refusals never change the state."""

    CONFLICT = "conflict"
    """The same key already has other content."""
    INVALID = "invalid"
    """A field is out of range."""
    UNKNOWN = "unknown"
    """The step, group, slot or batch was never submitted."""
    STEP_DONE = "step-done"
    """The step was acknowledged or cancelled."""
    INCOMPLETE_REPORT = "incomplete-report"
    """The stretches do not cover exactly the tokens of the sample."""
    STALE = "stale"
    """The sample exceeds the staleness bound, or a newer version is published.
    """
    WRONG_BATCH = "wrong-batch"
    """The batch is not the one handed out."""
    NOT_STALE = "not-stale"
    """The batch is within its staleness bound and cannot be rejected."""
    TOO_MANY_STEPS = "too-many-steps"
    """The trainer has the maximum number of open steps."""


@attrs.frozen
class LedgerRefused:
    """A refused command."""

    reason: LedgerRefusal
    """Machine-readable reason."""
    detail: str
    """Human-readable sentence: the problem and how to fix it."""


@attrs.frozen
class GroupSubmitted:
    """The group is stored, by this command or an earlier one."""

    trainer: base.TrainerId
    """Trainer that submitted the group."""
    step: int
    """Training step."""
    group: int
    """Group within the step."""


@attrs.frozen
class SampleRecorded:
    """Names the attempt whose result fills a slot."""

    slot: _samples.SampleSlot
    """Slot of the result."""
    winner: str
    """Attempt whose result counts; empty if the group needed no more results.
    """
    accepted: bool
    """Whether the recorded attempt is the winner."""


@attrs.frozen
class BatchFormed:
    """The batch contents are fixed."""

    batch_id: str
    """ID for acknowledging or rejecting the batch."""


@attrs.frozen
class BatchPending:
    """The step is not complete; fetch again later."""

    missing: int
    """Samples not yet recorded, excluding those of unsubmitted groups."""
    discarded: tuple[_samples.SampleSlot, ...] = ()
    """Slots that this command reopened because their samples were stale."""


@attrs.frozen
class BatchEntry:
    """One sample of a batch, without its content."""

    slot: _samples.SampleSlot
    """Slot that the sample fills."""
    attempt_id: str
    """Attempt that produced the sample."""
    digest: bytes
    """SHA-256 of the content, used to read it."""
    size: int
    """Length of the content in bytes."""
    token_count: int
    """Tokens in the content."""
    stretches: tuple[_samples.VersionStretch, ...]
    """Weight versions that produced the sample, in token order."""
    grade: float
    """Score by the grading service."""
    engine: base.EndpointId
    """Endpoint that produced the last token."""


@attrs.frozen
class BatchFetched:
    """A handed-out batch; identical at every fetch."""

    batch_id: str
    """ID for acknowledging or rejecting the batch."""
    newest_version: base.WeightVersion
    """Version used for the staleness check at first hand-out."""
    entries: tuple[BatchEntry, ...]
    """Samples, sorted by group and index."""


@attrs.frozen
class BatchRejected:
    """The batch is withdrawn and its stale samples are regenerated."""

    batch_id: str
    """Withdrawn batch, which is never handed out again."""
    discarded: tuple[_samples.SampleSlot, ...]
    """Slots reopened by this command."""


@attrs.frozen
class BatchAcknowledged:
    """The step is done and its contents are deleted."""

    batch_id: str
    """Acknowledged batch."""


@attrs.frozen
class StepCancelled:
    """The step is dropped or was already done."""

    trainer: base.TrainerId
    """Trainer whose step it was."""
    step: int
    """Training step."""


@attrs.frozen
class VersionPublished:
    """The version is published, by this command or an earlier one."""

    model: base.ModelName
    """Model of the weights."""
    version: base.WeightVersion
    """Published version."""


LedgerReply = (
    LedgerRefused
    | GroupSubmitted
    | SampleRecorded
    | BatchFormed
    | BatchPending
    | BatchFetched
    | BatchRejected
    | BatchAcknowledged
    | StepCancelled
    | VersionPublished
)

LEDGER_REPLIES: tuple[type, ...] = (
    LedgerRefused,
    GroupSubmitted,
    SampleRecorded,
    BatchFormed,
    BatchPending,
    BatchFetched,
    BatchRejected,
    BatchAcknowledged,
    StepCancelled,
    VersionPublished,
)
