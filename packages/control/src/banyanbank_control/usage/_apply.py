"""Applies commands about usage.

A flush counts in the window that is open when the flush commits: a late one
never changes a frozen window, and a duplicate never counts again.
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
    """Adds the counts of a flush exactly once."""
    all_flushes = state.flushes.get(cmd.instance, ())
    held = _find_flushes(all_flushes, cmd.incarnation)
    is_evicted = len(all_flushes) >= _state.MAX_INCARNATIONS_PER_INSTANCE and (
        cmd.incarnation < all_flushes[0].incarnation
    )
    if held is None and is_evicted:
        return state, commands.Rejected(
            commands.RejectReason.STALE,
            f"Incarnation {cmd.incarnation} of {cmd.instance!r} is older than"
            " all those whose flushes are still tracked.",
        )
    last_sequence = held.sequence if held else 0
    if cmd.sequence <= last_sequence:
        return state, commands.UsageAdded(state.open.number)
    if cmd.sequence > last_sequence + 1:
        return state, commands.UsageGap(last_sequence + 1)
    if any(_has_negative_count(delta.figures) for delta in cmd.deltas):
        return state, commands.Rejected(
            commands.RejectReason.INVALID, "A usage count is negative."
        )
    flushes = _state.Flushes(
        cmd.instance, cmd.incarnation, cmd.sequence, cmd.final
    )
    state = state.with_open(_with_deltas(state.open, cmd.deltas))
    return state.with_flushes(flushes), commands.UsageAdded(state.open.number)


def _find_flushes(
    all_flushes: tuple[_state.Flushes, ...], incarnation: base.Incarnation
) -> _state.Flushes | None:
    for item in all_flushes:
        if item.incarnation == incarnation:
            return item
    return None


def _has_negative_count(figures: commands.UsageFigures) -> bool:
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


def record_ended_incarnations(
    state: _state.UsageState,
    instance: base.InstanceId,
    after: int,
    last_ended: int,
) -> _state.UsageState:
    """Counts incarnations that ended without a final flush as interrupted.

    Args:
        state: Current usage.
        instance: Instance whose incarnations ended.
        after: Newest incarnation that was recorded as ended before.
        last_ended: Newest incarnation that has ended now.
    """
    unfinished = [
        item
        for item in state.flushes.get(instance, ())
        if after < item.incarnation <= last_ended and not item.final
    ]
    interrupted = state.open.interrupted + len(unfinished)
    return state.with_open(attrs.evolve(state.open, interrupted=interrupted))


def close_window(
    state: _state.UsageState, cmd: commands.CloseWindow
) -> tuple[_state.UsageState, commands.WindowClosed | commands.Rejected]:
    """Freezes the open window; a duplicate command gets the first end."""
    frozen = state.closed.get(cmd.window)
    if frozen is not None and frozen.end is not None:
        return state, commands.WindowClosed(cmd.window, frozen.end)
    if cmd.window != state.open.number:
        return state, _reject_unknown_window(cmd.window)
    if not (math.isfinite(cmd.first_start) and math.isfinite(cmd.end)):
        return state, commands.Rejected(
            commands.RejectReason.INVALID,
            "The start and end of a window must be finite times.",
        )
    frozen = state.open.after("close")
    if frozen is None:
        return state, _reject_unknown_window(cmd.window)
    start = frozen.start if frozen.number > 1 else cmd.first_start
    # Prevents overlapping windows if a new leader's clock is behind.
    end = max(cmd.end, start)
    frozen = attrs.evolve(frozen, start=start, end=end)
    return state.with_closed(frozen), commands.WindowClosed(cmd.window, end)


def mark_reported(
    state: _state.UsageState, cmd: commands.MarkReported
) -> tuple[_state.UsageState, commands.WindowReported | commands.Rejected]:
    """Records that the platform accepted a frozen window's report."""
    window = state.closed.get(cmd.window)
    reply = commands.WindowReported(cmd.window)
    if window is None:
        if 0 < cmd.window < state.oldest:
            return state, reply
        return state, _reject_unknown_window(cmd.window)
    reported = window.after("report")
    if reported is None:
        return state, reply
    return state.with_reported(reported), reply


def _reject_unknown_window(number: int) -> commands.Rejected:
    return commands.Rejected(
        commands.RejectReason.NOT_FOUND, f"There is no usage window {number}."
    )
