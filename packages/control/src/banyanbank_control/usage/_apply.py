"""Applies commands about usage.

A flush counts in the window that is open when it commits, so a late one
never changes a frozen window, and a resend never counts twice.
"""

import math

import attrs
import banyanbank_base as base

from banyanbank_control import commands
from banyanbank_control.usage import _state


def add(
    state: _state.UsageState, cmd: commands.AddUsage
) -> tuple[
    _state.UsageState,
    commands.UsageAdded | commands.UsageGap | commands.Rejected,
]:
    """Counts a flush, once."""
    lives = state.flushes.get(cmd.instance, ())
    held = _life(lives, cmd.incarnation)
    forgotten = len(lives) >= _state.LIVES_KEPT and (
        cmd.incarnation < lives[0].incarnation
    )
    if held is None and forgotten:
        return state, commands.Rejected(
            commands.RejectReason.STALE,
            f"Life {cmd.incarnation} of {cmd.instance!r} is too long over.",
        )
    counted = held.sequence if held else 0
    if cmd.sequence <= counted:
        return state, commands.UsageAdded(state.open.number)
    if cmd.sequence > counted + 1:
        return state, commands.UsageGap(counted + 1)
    if any(_negative(delta.figures) for delta in cmd.deltas):
        return state, commands.Rejected(
            commands.RejectReason.INVALID, "A count is below zero."
        )
    flushes = _state.Flushes(
        cmd.instance, cmd.incarnation, cmd.sequence, cmd.final
    )
    state = state.with_open(_with_deltas(state.open, cmd.deltas))
    return state.with_flushes(flushes), commands.UsageAdded(state.open.number)


def _life(
    lives: tuple[_state.Flushes, ...], incarnation: base.Incarnation
) -> _state.Flushes | None:
    for life in lives:
        if life.incarnation == incarnation:
            return life
    return None


def _negative(figures: commands.UsageFigures) -> bool:
    return (
        figures.calls < 0
        or figures.tokens_in < 0
        or figures.tokens_out < 0
        or figures.tokens_cached < 0
        or figures.engine_us < 0
    )


def _with_deltas(
    window: _state.Window, deltas: tuple[commands.UsageDelta, ...]
) -> _state.Window:
    figures = window.figures.mutate()
    for delta in deltas:
        before = figures.get(delta.account, commands.UsageFigures())
        figures[delta.account] = before.plus(delta.figures)
    return attrs.evolve(window, figures=figures.finish())


def note_lives_over(
    state: _state.UsageState,
    instance: base.InstanceId,
    after: int,
    through: int,
) -> _state.UsageState:
    """Notes lives that ended without a final flush in the open window.

    Args:
        state: Usage so far.
        instance: The instance.
        after: Newest life noted before.
        through: Newest life that is over now.
    """
    lost = [
        life
        for life in state.flushes.get(instance, ())
        if after < life.incarnation <= through and not life.final
    ]
    interrupted = state.open.interrupted + len(lost)
    return state.with_open(attrs.evolve(state.open, interrupted=interrupted))


def close_window(
    state: _state.UsageState, cmd: commands.CloseWindow
) -> tuple[_state.UsageState, commands.WindowClosed | commands.Rejected]:
    """Freezes the open window; a resend gets its first end."""
    frozen = state.closed.get(cmd.window)
    if frozen is not None and frozen.end is not None:
        return state, commands.WindowClosed(cmd.window, frozen.end)
    if cmd.window != state.open.number:
        return state, _no_window(cmd.window)
    if not (math.isfinite(cmd.first_start) and math.isfinite(cmd.end)):
        return state, commands.Rejected(
            commands.RejectReason.INVALID, "The end is not a time."
        )
    frozen = state.open.after("close")
    if frozen is None:
        return state, _no_window(cmd.window)
    start = frozen.start if frozen.number > 1 else cmd.first_start
    # A new leader's clock may be behind: windows never overlap.
    end = max(cmd.end, start)
    frozen = attrs.evolve(frozen, start=start, end=end)
    return state.with_closed(frozen), commands.WindowClosed(cmd.window, end)


def mark_reported(
    state: _state.UsageState, cmd: commands.MarkReported
) -> tuple[_state.UsageState, commands.WindowReported | commands.Rejected]:
    """Records that a frozen window's report was taken."""
    window = state.closed.get(cmd.window)
    reply = commands.WindowReported(cmd.window)
    if window is None:
        if 0 < cmd.window < state.oldest:
            return state, reply
        return state, _no_window(cmd.window)
    reported = window.after("report")
    if reported is None:
        return state, reply
    return state.with_reported(reported), reply


def _no_window(number: int) -> commands.Rejected:
    return commands.Rejected(
        commands.RejectReason.NOT_FOUND, f"There is no such window: {number}."
    )
