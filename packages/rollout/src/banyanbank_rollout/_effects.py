"""Sample scheduler effects, which the caller carries out as I/O."""

import attrs
import banyanbank_base as base

from banyanbank_rollout import _samples


@attrs.frozen
class ResumePoint:
    """State from which another engine can resume an interrupted attempt."""

    stretches: tuple[_samples.VersionStretch, ...]
    """Weight versions reported for the tokens generated so far."""
    kv_handle: str = ""
    """Handle of an exported KV cache; empty if only tokens are available."""

    @property
    def token_count(self) -> int:
        """Number of tokens generated so far."""
        return sum(stretch.token_count for stretch in self.stretches)


@attrs.frozen
class StartAttempt:
    """Starts generating a sample on any engine that serves the model."""

    slot: _samples.SampleSlot
    """Slot to fill."""
    attempt_id: str
    """ID unique across leaders; copied to `RecordSample.attempt_id`."""
    model: base.ModelName
    """Model that must produce the sample."""
    prompt: bytes
    """Prompt in the engine's input format."""
    priority: int
    """Priority on the engine; higher values run first."""
    seed: int
    """Sampling seed; equal for all attempts of a slot."""
    resume_from: ResumePoint | None = None
    """State to resume from; None to start at the prompt."""
    avoid: tuple[base.EndpointId, ...] = ()
    """Endpoints that run another attempt of the slot or just failed one."""
    supersedes: str = ""
    """Copied to `RecordSample.supersedes`; empty for none."""
    min_version: base.WeightVersion | None = None
    """Oldest version within the staleness bound; a sample from an older one
    would be discarded."""


@attrs.frozen
class CancelAttempt:
    """Stops an attempt and frees its engine slot; its result is ignored."""

    slot: _samples.SampleSlot
    """Slot of the attempt."""
    attempt_id: str
    """The attempt."""
    reason: str
    """Reason shown in the timeline."""
    export_kv: bool = False
    """Whether to export the KV cache so that another engine can resume."""


@attrs.frozen
class GradeSample:
    """Sends a finished attempt to its grading service, then records it."""

    slot: _samples.SampleSlot
    """Slot of the attempt."""
    attempt_id: str
    """The attempt."""


@attrs.frozen
class ProposeBatch:
    """Proposes `FormBatch` for a step that is complete or has stale samples."""

    trainer: base.TrainerId
    """Trainer whose step it is."""
    step: int
    """Training step."""


SchedulerEffect = StartAttempt | CancelAttempt | GradeSample | ProposeBatch
