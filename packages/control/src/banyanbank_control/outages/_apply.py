"""Applies marks of engines."""

import attrs

from banyanbank_control import commands
from banyanbank_control.outages import _state

MAX_ENGINES = 4_096
"""Engines with a mark; a bound on kept state."""


def mark(
    state: _state.OutageState, cmd: commands.MarkEngine
) -> tuple[_state.OutageState, commands.EngineMarked | commands.Rejected]:
    """Takes a model of an engine out of service, or puts it back."""
    if cmd.epoch < state.epoch:
        return state, commands.Rejected(
            commands.RejectReason.STALE,
            f"Epoch {cmd.epoch} is over; epoch {state.epoch} is in office.",
        )
    is_new = cmd.endpoint not in state.engines
    is_full = len(state.engines) >= MAX_ENGINES
    if cmd.required_version is not None and is_new and is_full:
        return state, commands.Rejected(
            commands.RejectReason.FULL,
            f"{MAX_ENGINES} engines are out of service already.",
        )
    state = attrs.evolve(state, epoch=cmd.epoch)
    state = state.with_mark(cmd.endpoint, cmd.model, cmd.required_version)
    return state, commands.EngineMarked(cmd.endpoint, cmd.model)
