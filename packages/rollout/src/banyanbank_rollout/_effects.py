"""Effects of the sample scheduler, which the shell turns into I/O."""

import attrs
import banyanbank_base as base

from banyanbank_rollout import _samples


@attrs.frozen
class ResumePoint:
    """Where a broken attempt can be taken up by another engine."""

    stretches: tuple[_samples.VersionStretch, ...]
    """Tokens so far by the versions that the engine reported for them."""
    kv_handle: str = ""
    """Names an exported KV cache; empty when only the tokens are held."""

    @property
    def token_count(self) -> int:
        """Tokens so far."""
        return sum(stretch.token_count for stretch in self.stretches)


@attrs.frozen
class StartAttempt:
    """Start generating a sample on any engine that serves the model."""

    slot: _samples.SampleSlot
    """Slot to fill."""
    attempt_id: str
    """Unique over all leaders; goes into `RecordSample`."""
    model: base.ModelName
    """Model that must produce it."""
    prompt: bytes
    """Prompt as the engine takes it."""
    priority: int
    """Priority for the engine; higher goes first."""
    seed: int
    """Sampling seed; equal in all attempts of a slot."""
    resume_from: ResumePoint | None = None
    """Where to go on; None to start at the prompt."""
    avoid: tuple[base.EndpointId, ...] = ()
    """Endpoints that run another attempt of the slot, or just failed it."""
    supersedes: str = ""
    """Goes into `RecordSample.supersedes`; empty for none."""
    min_version: base.WeightVersion | None = None
    """Oldest version that is within the bound; engines below waste it."""


@attrs.frozen
class CancelAttempt:
    """Stop an attempt and free its engine slot; its result won't count."""

    slot: _samples.SampleSlot
    """Slot of the attempt."""
    attempt_id: str
    """The attempt."""
    reason: str
    """Why, for the time line."""
    export_kv: bool = False
    """Whether to export the KV cache, to go on elsewhere."""


@attrs.frozen
class GradeSample:
    """Send a finished attempt to its grading service, then record it."""

    slot: _samples.SampleSlot
    """Slot of the attempt."""
    attempt_id: str
    """The attempt."""


@attrs.frozen
class ProposeBatch:
    """Propose `FormBatch`: the step is whole, or holds stale samples."""

    trainer: base.TrainerId
    """Trainer whose step it is."""
    step: int
    """Training step."""


SchedulerEffect = StartAttempt | CancelAttempt | GradeSample | ProposeBatch
