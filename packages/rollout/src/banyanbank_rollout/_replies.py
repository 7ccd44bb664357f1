"""Replies of the sample ledger to its commands."""

import enum

import attrs
import banyanbank_base as base

from banyanbank_rollout import _samples


class LedgerRefusal(enum.Enum):
    """Why the ledger refused a command; the state is then unchanged."""

    CONFLICT = "conflict"
    """Other content stands under the same key."""
    INVALID = "invalid"
    """A field is out of its range."""
    UNKNOWN = "unknown"
    """The step, group, slot or batch was never submitted."""
    STEP_DONE = "step-done"
    """The step was acknowledged or cancelled."""
    INCOMPLETE_REPORT = "incomplete-report"
    """The stretches don't cover the tokens of the sample."""
    STALE = "stale"
    """The sample breaks the staleness bound, or the version is old."""
    WRONG_BATCH = "wrong-batch"
    """The batch is not the one that was handed out."""
    NOT_STALE = "not-stale"
    """A batch within its staleness bound cannot be rejected."""
    TOO_MANY_STEPS = "too-many-steps"
    """The trainer must acknowledge or cancel a step first."""


@attrs.frozen
class LedgerRefused:
    """A refused command."""

    reason: LedgerRefusal
    """Machine-readable cause."""
    detail: str
    """One sentence for people: what happened and what to do."""


@attrs.frozen
class GroupSubmitted:
    """The group stands, now or since an earlier send."""

    trainer: base.TrainerId
    """Trainer that asked."""
    step: int
    """Training step."""
    group: int
    """Group within the step."""


@attrs.frozen
class SampleRecorded:
    """Tells whose result fills a slot."""

    slot: _samples.SampleSlot
    """The slot."""
    winner: str
    """Attempt whose result counts; empty when the group needed none."""
    accepted: bool
    """Whether the winner is the attempt that was sent."""


@attrs.frozen
class BatchFormed:
    """The batch contents are fixed."""

    batch_id: str
    """Names the batch in acknowledgements."""


@attrs.frozen
class BatchPending:
    """The step is not whole; fetch again later."""

    missing: int
    """Samples still to be recorded, those of unsubmitted groups excluded."""
    discarded: tuple[_samples.SampleSlot, ...] = ()
    """Slots that this command reopened since their samples were stale."""


@attrs.frozen
class BatchEntry:
    """One sample of a batch, without its content."""

    slot: _samples.SampleSlot
    """Slot that it fills."""
    attempt_id: str
    """Attempt that produced it."""
    digest: bytes
    """SHA-256 of its content, by which the content is read."""
    size: int
    """Length of its content in bytes."""
    token_count: int
    """Tokens in its content."""
    stretches: tuple[_samples.VersionStretch, ...]
    """Versions that produced it, in token order."""
    grade: float
    """Score by the grading service."""
    engine: base.EndpointId
    """Endpoint that produced the last token."""


@attrs.frozen
class BatchFetched:
    """A batch that was handed out; equal at each fetch."""

    batch_id: str
    """Names the batch in acknowledgements."""
    newest_version: base.WeightVersion
    """Version against which the bound was checked at first hand-out."""
    entries: tuple[BatchEntry, ...]
    """Its samples in order of group and index."""


@attrs.frozen
class BatchRejected:
    """The stale samples of a rejected batch are being regenerated."""

    batch_id: str
    """The batch that will never be handed out again."""
    discarded: tuple[_samples.SampleSlot, ...]
    """Slots that were reopened."""


@attrs.frozen
class BatchAcknowledged:
    """The step is done and its contents are dropped."""

    batch_id: str
    """The batch that was acknowledged."""


@attrs.frozen
class StepCancelled:
    """The step is dropped."""

    trainer: base.TrainerId
    """Trainer whose step it was."""
    step: int
    """Training step."""


@attrs.frozen
class VersionPublished:
    """The version stands, now or since an earlier send."""

    model: base.ModelName
    """Model of the weights."""
    version: base.WeightVersion
    """The version."""


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
