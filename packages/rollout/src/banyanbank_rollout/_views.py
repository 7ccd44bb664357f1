"""What the scheduler is told about running attempts and engines."""

import enum

import attrs
import banyanbank_base as base

from banyanbank_rollout import _effects
from banyanbank_rollout import _samples


class AttemptPhase(enum.Enum):
    """How far an attempt has come."""

    RUNNING = "running"
    """Queued or generating."""
    FINISHED = "finished"
    """Generated whole; not yet sent to grading."""
    RECORDING = "recording"
    """With the grading service, or being committed."""


@attrs.frozen
class AttemptView:
    """One attempt that was started and has not ended."""

    slot: _samples.SampleSlot
    """Slot that it fills."""
    attempt_id: str
    """The id given by `StartAttempt`."""
    started_at: float
    """When it was started, in clock seconds."""
    phase: AttemptPhase = AttemptPhase.RUNNING
    """How far it has come."""
    engine: base.EndpointId | None = None
    """Endpoint that runs it; None while it is queued."""
    progress: _effects.ResumePoint | None = None
    """Tokens so far, as the engine reported them; None before any."""
    supersedes: str = ""
    """As given by `StartAttempt`."""


@attrs.frozen
class EngineView:
    """One model engine as last reported."""

    endpoint: base.EndpointId
    """The endpoint."""
    models: tuple[base.ModelName, ...]
    """Models and adapters that it serves now."""
    versions: tuple[base.WeightVersion, ...]
    """Reported version of each model, in the order of `models`."""
    slots: int
    """Streams that rollouts may run on it at once; 0 when it is leaving."""
    gone_at: float | None = None
    """Clock seconds at which it is reclaimed; None without a notice."""
