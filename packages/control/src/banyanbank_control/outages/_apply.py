"""Applies engine outage commands to the outage state."""

import attrs

from banyanbank_control import commands
from banyanbank_control.outages import _state

MAX_ENGINES_WITH_OUTAGES = 4_096
"""Maximum number of engines with outages; bounds the state size."""


def mark(
    state: _state.OutageState, cmd: commands.MarkEngine
) -> tuple[_state.OutageState, commands.EngineMarked | commands.Rejected]:
    """Takes a model of an engine out of service or returns it to service.

    Rejects a command of a stale epoch and an outage beyond the maximum.
    """
    if cmd.epoch < state.epoch:
        return state, commands.Rejected(
            commands.RejectReason.STALE,
            f"Epoch {cmd.epoch} is stale; the current epoch is {state.epoch}.",
        )
    is_new = cmd.endpoint not in state.engines
    is_full = len(state.engines) >= MAX_ENGINES_WITH_OUTAGES
    if cmd.required_version is not None and is_new and is_full:
        return state, commands.Rejected(
            commands.RejectReason.FULL,
            f"Already {MAX_ENGINES_WITH_OUTAGES} engines have outages, which is"
            " the maximum.",
        )
    state = attrs.evolve(state, epoch=cmd.epoch)
    state = state.with_outage(cmd.endpoint, cmd.model, cmd.required_version)
    return state, commands.EngineMarked(cmd.endpoint, cmd.model)
