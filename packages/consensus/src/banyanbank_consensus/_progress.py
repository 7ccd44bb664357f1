"""Replication progress of each member, and what the leader sends it."""

import banyanbank_base as base

from banyanbank_consensus import _log
from banyanbank_consensus import _members
from banyanbank_consensus import _messages
from banyanbank_consensus import _snapshot_send
from banyanbank_consensus import _state

MAX_TICK_DELAY_S = 0.3
"""Seconds between two ticks beyond which a replica did not run."""


def update_tracked_members(state: _state.State, now: float) -> None:
    """Tracks the progress of exactly the other members and their stores."""
    leadership = _state.require_leadership(state)
    wanted = {m.instance: m for m in state.members.members}
    wanted.pop(state.own_instance, None)
    for peer in tuple(leadership.progress):
        member = wanted.get(peer)
        if member is None or member.store != leadership.progress[peer].store:
            del leadership.progress[peer]
    for peer, member in wanted.items():
        if peer not in leadership.progress:
            leadership.progress[peer] = _state.Progress(
                store=member.store,
                next_index=state.log.last_index + 1,
                heard_at=now,
            )


def has_caught_up(
    leadership: _state.Leadership, progress: _state.Progress
) -> bool:
    """Whether a member could vote: it lacked nothing committed lately.

    It holds all that was committed when the latest round that it answered was
    sent.
    """
    return progress.match >= max(
        progress.confirmed_commit_index, leadership.noop_index
    )


def count_silence_of_former_leader(state: _state.State) -> None:
    """Counts the silence of the former leader from its last message on.

    A new leader has heard nothing of the other members before its election.
    """
    leadership = _state.require_leadership(state)
    for peer, progress in leadership.progress.items():
        identity = _state.format_identity(peer, progress.store)
        if identity == state.last_leader:
            progress.heard_at = state.last_leader_heard_at
    state.last_leader = ""


def skip_own_pause(state: _state.State, now: float) -> None:
    """Leaves the time for which this replica did not run out of all silences.

    Frames that arrived meanwhile may still wait to be read.
    """
    last_tick_at, state.ticked_at = state.ticked_at, now
    if last_tick_at is None:
        return
    pause_s = now - last_tick_at - MAX_TICK_DELAY_S
    if pause_s <= 0:
        return
    state.last_leader_heard_at += pause_s
    if state.leadership is not None:
        for progress in state.leadership.progress.values():
            progress.heard_at = min(now, progress.heard_at + pause_s)


def get_match_index(
    leadership: _state.Leadership, member: _members.Member
) -> int:
    """Returns the last index known to be synced at a member."""
    progress = leadership.progress.get(member.instance)
    if progress is None or progress.store != member.store:
        return 0
    return progress.match


def record_response(
    state: _state.State,
    sender: base.InstanceId,
    head: _messages.Header,
    sent_at: float,
    now: float,
) -> _state.Progress | None:
    """Confirms the round of a response and returns the sender's progress.

    Returns None if the response is from another epoch or from a store that is
    not the member's: a recreated store never counts for the lost one.
    """
    leadership = state.leadership
    if leadership is None or head.epoch != state.epoch:
        return None
    progress = leadership.progress.get(sender)
    if progress is None or not _is_same_store(progress, head.store):
        return None
    if sent_at > now:
        return None
    if sent_at > progress.confirmed_at:
        progress.confirmed_at = sent_at
        progress.confirmed_commit_index = max(
            (c for at, c in leadership.round_commits if at <= sent_at),
            default=progress.confirmed_commit_index,
        )
    progress.answer_delay_s = now - sent_at
    progress.heard_at = now
    progress.has_responded = True
    return progress


def _is_same_store(progress: _state.Progress, store: str) -> bool:
    return progress.store == store


def record_match(
    progress: _state.Progress, match: int, base_index: int
) -> None:
    """Records that a member's log matches up to an index.

    Args:
        progress: Progress of the member.
        match: Last matching index.
        base_index: Last index that was dropped from the leader's log.
    """
    progress.match = max(progress.match, match)
    progress.next_index = max(progress.next_index, progress.match + 1)
    while progress.in_flight and progress.in_flight[0][0] <= progress.match:
        progress.in_flight_bytes -= progress.in_flight.popleft()[1]
    needs_snapshot = progress.match < base_index
    if progress.mode is _state.ProgressMode.SNAPSHOT and needs_snapshot:
        return
    progress.mode = _state.ProgressMode.REPLICATE
    progress.resend_at = _state.DISTANT_PAST


def record_mismatch(
    progress: _state.Progress, prev_index: int, hint: int
) -> bool:
    """Moves back to where a member's log may match.

    Returns:
        Whether a new probe is due; False if the rejection was stale.
    """
    if progress.mode is _state.ProgressMode.SNAPSHOT:
        return False
    if prev_index <= progress.match or prev_index >= progress.next_index:
        return False
    wanted = max(min(prev_index, hint + 1), progress.match + 1)
    progress.next_index = wanted
    progress.mode = _state.ProgressMode.PROBE
    progress.resend_at = _state.DISTANT_PAST
    progress.in_flight.clear()
    progress.in_flight_bytes = 0
    return True


def send_heartbeat(
    state: _state.State, peer: base.InstanceId, now: float
) -> None:
    """Sends the message of a heartbeat round to one member."""
    progress = _state.require_leadership(state).progress[peer]
    if progress.mode is _state.ProgressMode.SNAPSHOT:
        _snapshot_send.resend(state, peer, now)
        _send_append_request(state, peer, progress, progress.match, ())
    elif progress.next_index <= state.log.base.index:
        _snapshot_send.start(state, peer, now)
    elif progress.mode is _state.ProgressMode.PROBE:
        replicate_to(state, peer, now, force=True)
    else:
        prev = progress.next_index - 1
        _send_append_request(state, peer, progress, prev, ())


def replicate_to(
    state: _state.State,
    peer: base.InstanceId,
    now: float,
    force: bool = False,
) -> None:
    """Sends entries to one member as far as its mode allows.

    Args:
        state: State of the leader.
        peer: Instance of the member.
        now: Current time.
        force: Whether to send a probe before its resend time.
    """
    progress = _state.require_leadership(state).progress.get(peer)
    if progress is None or progress.mode is _state.ProgressMode.SNAPSHOT:
        return
    if progress.next_index <= state.log.base.index:
        _snapshot_send.start(state, peer, now)
        return
    if progress.mode is _state.ProgressMode.PROBE:
        _send_probe(state, peer, progress, now, force)
        return
    while _has_window_space(state, progress):
        _send_entries(state, peer, progress)


def _send_probe(
    state: _state.State,
    peer: base.InstanceId,
    progress: _state.Progress,
    now: float,
    force: bool,
) -> None:
    if now < progress.resend_at and not force:
        return
    progress.resend_at = now + state.cfg.heartbeat_interval_s
    if progress.match == progress.next_index - 1:
        entries = _select_entries(state, progress)
    else:
        entries = ()
    _send_append_request(
        state, peer, progress, progress.next_index - 1, entries
    )


def _has_window_space(state: _state.State, progress: _state.Progress) -> bool:
    return (
        progress.next_index <= state.log.last_index
        and progress.in_flight_bytes < state.cfg.window_bytes
    )


def _select_entries(
    state: _state.State, progress: _state.Progress
) -> tuple[_log.Entry, ...]:
    if progress.next_index > state.log.last_index:
        return ()
    return state.log.entries_from(progress.next_index, state.cfg.append_bytes)


def _send_entries(
    state: _state.State, peer: base.InstanceId, progress: _state.Progress
) -> None:
    entries = _select_entries(state, progress)
    _send_append_request(
        state, peer, progress, progress.next_index - 1, entries
    )
    size = sum(entry.size for entry in entries)
    last = entries[-1].index
    progress.in_flight.append((last, size))
    progress.in_flight_bytes += size
    progress.next_index = last + 1


def _send_append_request(
    state: _state.State,
    peer: base.InstanceId,
    progress: _state.Progress,
    prev_index: int,
    entries: tuple[_log.Entry, ...],
) -> None:
    prev_epoch = state.log.epoch_at(prev_index)
    if prev_epoch is None:
        # The member lags behind the log base; only the commit index is useful.
        prev_index = state.log.last_index
        prev_epoch = state.log.last_epoch
        entries = ()
    request = _messages.AppendRequest(
        head=_state.make_header(state, progress.store),
        sent_at=_state.require_leadership(state).round_sent_at,
        prev_index=prev_index,
        prev_epoch=prev_epoch,
        commit=state.commit,
        entries=entries,
    )
    _state.send(state, peer, request, before_sync=True)
