"""Commands of the sample ledger, as committed in the replicated log."""

import attrs
import banyanbank_base as base

from banyanbank_rollout import _samples


@attrs.frozen
class SubmitGroup:
    """Asks for the samples of one prompt; idempotent by its content.

    Model, counts and bounds come from the trainer's declaration: those of the
    first group of a step hold for the whole step.
    """

    trainer: base.TrainerId
    """Trainer that asks."""
    step: int
    """Training step."""
    group: int
    """Group within the step, in `range(groups_in_step)`."""
    request_id: str
    """Idempotency key of the trainer's request; not part of the content."""
    model: base.ModelName
    """Model that must produce the samples; one a step."""
    prompt: bytes
    """Prompt as the engine takes it."""
    samples: int
    """Samples that make the group whole."""
    groups_in_step: int
    """Groups that make the step whole; equal in all groups of a step."""
    staleness_bound: int
    """Versions that a sample may lag the newest one at hand-out."""
    spare_samples: int = 0
    """Further slots that may run; the first `samples` results count."""
    max_tokens: int = 0
    """Most tokens of one sample by the declaration; 0 for no bound."""

    def with_terms_of(self, first: "SubmitGroup") -> "SubmitGroup":
        """Returns the group under the declaration that its step began with."""
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
    """Commits a graded result; the first one of a slot wins."""

    slot: _samples.SampleSlot
    """Slot that the result fills."""
    attempt_id: str
    """Attempt that produced it; idempotency key."""
    model: base.ModelName
    """Model that produced it."""
    body: _samples.SampleBody
    """Content, inline or stored."""
    token_count: int
    """Tokens in the content; the stretches must cover all of them."""
    stretches: tuple[_samples.VersionStretch, ...]
    """Versions as the engine reported them, in token order."""
    grade: float
    """Score by the grading service."""
    engine: base.EndpointId
    """Endpoint that produced the last token."""
    supersedes: str = ""
    """Winning attempt to replace by fresher weights; empty for none."""


@attrs.frozen
class FormBatch:
    """Discards stale samples and fixes a whole step's batch contents."""

    trainer: base.TrainerId
    """Trainer whose step it is."""
    step: int
    """Training step."""
    newest_version: base.WeightVersion
    """Newest version that the proposer knows; 0 when it knows none."""


@attrs.frozen
class FetchBatch:
    """Hands a formed batch out, or the same one again."""

    trainer: base.TrainerId
    """Trainer that fetches."""
    step: int
    """Training step."""
    newest_version: base.WeightVersion
    """Newest version that the trainer has published; 0 when unstated."""


@attrs.frozen
class RejectBatch:
    """Tells that a batch was never used and has since become stale."""

    trainer: base.TrainerId
    """Trainer that rejects."""
    batch_id: str
    """Batch that it never trained on."""
    newest_version: base.WeightVersion
    """Newest version that the trainer has published; 0 when unstated."""


@attrs.frozen
class AcknowledgeBatch:
    """Ends the step: the trainer has the batch and won't fetch it again."""

    trainer: base.TrainerId
    """Trainer that acknowledges."""
    batch_id: str
    """Batch that it has taken over."""


@attrs.frozen
class CancelStep:
    """Drops a step that its trainer no longer wants."""

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
    """Version; above every one published before."""
    trainer: base.TrainerId
    """Trainer that published it."""
    location: str
    """Where the weight store holds it."""
    size_bytes: int
    """Bytes that an engine loads."""
    base_model: base.ModelName | None = None
    """Model that an adapter extends; None for whole weights."""


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
