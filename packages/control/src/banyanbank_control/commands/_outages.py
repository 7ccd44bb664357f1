"""Commands and replies about models that an engine must not serve."""

import attrs
import banyanbank_base as base


@attrs.frozen
class MarkEngine:
    """Takes a model of an engine out of service, or restores it."""

    endpoint: base.EndpointId
    """Endpoint id of the engine."""
    model: base.ModelName
    """Name of the model."""
    required_version: base.WeightVersion | None
    """Weight version that the engine must report before it serves the model
    again; None to put the model back in service."""
    epoch: int
    """Control epoch of the leader that sends the command."""


@attrs.frozen
class EngineMarked:
    """The change is recorded, now or earlier."""

    endpoint: base.EndpointId
    """Endpoint id of the engine."""
    model: base.ModelName
    """Name of the model."""
