"""Commands and replies about engines whose weights cannot be used."""

import attrs
import banyanbank_base as base


@attrs.frozen
class MarkEngine:
    """Takes a model of an engine out of service, or puts it back."""

    endpoint: base.EndpointId
    """The engine."""
    model: base.ModelName
    """The model."""
    required_version: base.WeightVersion | None
    """Version that it has to report before it serves the model again; None
    to put it back in service."""
    epoch: int
    """Control epoch of the leader that decides."""


@attrs.frozen
class EngineMarked:
    """The mark is recorded (or was before)."""

    endpoint: base.EndpointId
    """The engine."""
    model: base.ModelName
    """The model."""
