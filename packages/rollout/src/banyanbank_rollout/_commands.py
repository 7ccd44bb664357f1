"""Sample ledger commands, as committed in the replicated log."""

import attrs
import banyanbank_base as base

from banyanbank_rollout import _samples


@attrs.frozen
class SubmitGroup:
    """Requests the samples of one prompt; idempotent by its content.

    Model, counts and bounds come from the trainer's declaration. Those of a
    step's first group apply to all groups of the step.
    """

    trainer: base.TrainerId
    """Trainer that requests the samples."""
    step: int
    """Training step."""
    group: int
    """Group within the step, in `range(groups_in_step)`."""
    request_id: str
    """Idempotency key of the trainer's request; not part of the content."""
    model: base.ModelName
    """Model that must produce the samples; the same for a whole step."""
    prompt: bytes
    """Prompt in the engine's input format."""
    samples: int
    """Samples required to complete the group."""
    groups_in_step: int
    """Groups required to complete the step; equal in all its groups."""
    staleness_bound: int
    """Maximum versions that a sample may lag the newest at hand-out."""
    spare_samples: int = 0
    """Additional slots that may run; the first `samples` results count."""
    max_tokens: int = 0
    """Maximum tokens of one sample, as declared; 0 for no limit."""

    def with_declaration_of(self, first: "SubmitGroup") -> "SubmitGroup":
        """Returns the group with the declaration of the step's first group."""
        return attrs.evolve(
            self,
            model=first.model,
            samples=first.samples,
            groups_in_step=first.groups_in_step,
            staleness_bound=first.staleness_bound,
            spare_samples=first.spare_samples,
            max_tokens=first.max_tokens,
        )


@attrs.frozen
class RecordSample:
    """Records a graded result; the first result of a slot wins."""

    slot: _samples.SampleSlot
    """Slot that the result fills."""
    attempt_id: str
    """Attempt that produced the result; idempotency key."""
    model: base.ModelName
    """Model that produced the result."""
    body: _samples.SampleBody
    """Content, inline or stored."""
    token_count: int
    """Tokens in the content; the stretches must cover all of them."""
    stretches: tuple[_samples.VersionStretch, ...]
    """Weight versions reported by the engine, in token order."""
    grade: float
    """Score by the grading service."""
    engine: base.EndpointId
    """Endpoint that produced the last token."""
    supersedes: str = ""
    """Winning attempt to replace by one with newer weights; empty for none."""


@attrs.frozen
class FormBatch:
    """Discards stale samples and fixes a complete step's batch contents."""

    trainer: base.TrainerId
    """Trainer whose step it is."""
    step: int
    """Training step."""
    newest_version: base.WeightVersion
    """Newest version known to the proposer; 0 if it knows none."""


@attrs.frozen
class FetchBatch:
    """Hands out a formed batch; later fetches return the same batch."""

    trainer: base.TrainerId
    """Trainer that fetches."""
    step: int
    """Training step."""
    newest_version: base.WeightVersion
    """Newest version published by the trainer; 0 if not given."""


@attrs.frozen
class RejectBatch:
    """Withdraws a handed-out batch that became stale before it was used."""

    trainer: base.TrainerId
    """Trainer that rejects."""
    batch_id: str
    """Batch that the trainer never trained on."""
    newest_version: base.WeightVersion
    """Newest version published by the trainer; 0 if not given."""


@attrs.frozen
class AcknowledgeBatch:
    """Marks a step as done: its trainer no longer needs to fetch the batch."""

    trainer: base.TrainerId
    """Trainer that acknowledges."""
    batch_id: str
    """Batch that the trainer has received."""


@attrs.frozen
class CancelStep:
    """Drops a step that its trainer no longer needs."""

    trainer: base.TrainerId
    """Trainer whose step it is."""
    step: int
    """Training step."""
    request_id: str
    """Idempotency key of the request."""


@attrs.frozen
class PublishVersion:
    """Announces weights in the weight store; idempotent by its content."""

    model: base.ModelName
    """Model, or adapter, that the weights are for."""
    version: base.WeightVersion
    """Version; higher than every earlier version of the model."""
    trainer: base.TrainerId
    """Trainer that published it."""
    location: str
    """Location in the weight store."""
    size_bytes: int
    """Size of the download to one engine, in bytes."""
    base_model: base.ModelName | None = None
    """Base model of an adapter; None for full weights."""


LedgerCommand = (
    SubmitGroup
    | RecordSample
    | FormBatch
    | FetchBatch
    | RejectBatch
    | AcknowledgeBatch
    | CancelStep
    | PublishVersion
)

LEDGER_COMMANDS: tuple[type, ...] = (
    SubmitGroup,
    RecordSample,
    FormBatch,
    FetchBatch,
    RejectBatch,
    AcknowledgeBatch,
    CancelStep,
    PublishVersion,
)
