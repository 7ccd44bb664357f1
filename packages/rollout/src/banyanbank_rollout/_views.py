"""Scheduler inputs that describe running attempts and engines."""

import enum

import attrs
import banyanbank_base as base

from banyanbank_rollout import _effects
from banyanbank_rollout import _samples


class AttemptPhase(enum.Enum):
    """Phase of an attempt."""

    RUNNING = "running"
    """Queued or generating."""
    FINISHED = "finished"
    """Generation is complete; not yet sent to grading."""
    RECORDING = "recording"
    """Sent to grading, or graded and being committed."""


@attrs.frozen
class AttemptView:
    """An attempt that was started and has not ended."""

    slot: _samples.SampleSlot
    """Slot that the attempt fills."""
    attempt_id: str
    """Id given by `StartAttempt`."""
    started_at: float
    """Start time in clock seconds."""
    phase: AttemptPhase = AttemptPhase.RUNNING
    """Current phase."""
    engine: base.EndpointId | None = None
    """Endpoint that runs the attempt; None while queued."""
    progress: _effects.ResumePoint | None = None
    """Tokens reported by the engine so far; None before the first."""
    supersedes: str = ""
    """Attempt to supersede, as given by `StartAttempt`; empty for none."""


@attrs.frozen
class EngineView:
    """Last reported state of an engine."""

    endpoint: base.EndpointId
    """Endpoint of the engine."""
    models: tuple[base.ModelName, ...]
    """Models and adapters served now."""
    versions: tuple[base.WeightVersion, ...]
    """Reported version of each model, in the order of `models`."""
    slots: int
    """Maximum concurrent rollout attempts; 0 while the engine is leaving."""
    gone_at: float | None = None
    """Reclaim time in clock seconds; None without a reclaim notice."""
