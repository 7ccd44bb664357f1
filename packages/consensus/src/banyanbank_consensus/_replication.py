"""Log replication on the leader and on followers."""

import banyanbank_base as base

from banyanbank_consensus import _disk
from banyanbank_consensus import _effects
from banyanbank_consensus import _errors
from banyanbank_consensus import _lease
from banyanbank_consensus import _log
from banyanbank_consensus import _messages
from banyanbank_consensus import _progress
from banyanbank_consensus import _promise
from banyanbank_consensus import _state


def tick(state: _state.State, now: float) -> None:
    """Starts a heartbeat round if due; steps down if the quorum is lost."""
    leadership = state.leadership
    if leadership is None:
        return
    if _lease.has_lost_quorum(state, now):
        _state.become_follower(state, state.epoch, None, now)
        return
    if now >= leadership.next_round_at:
        start_heartbeat_round(state, now)


def start_heartbeat_round(state: _state.State, now: float) -> None:
    """Sends a heartbeat to each member, to be confirmed by a quorum."""
    leadership = _state.require_leadership(state)
    leadership.round_sent_at = now
    leadership.round_commits.append((now, state.commit))
    while leadership.round_commits[0][0] + state.cfg.election_min_s < now:
        leadership.round_commits.popleft()
    leadership.next_round_at = now + state.cfg.heartbeat_interval_s
    _progress.update_tracked_members(state, now)
    for peer in leadership.progress:
        _progress.send_heartbeat(state, peer, now)


def append_in_epoch(
    state: _state.State, kind: _log.EntryKind, data: bytes
) -> _log.Entry:
    """Appends an entry of the leader's epoch."""
    index = state.log.last_index + 1
    entry = _log.Entry(index, state.epoch, kind, data)
    state.log.append([entry])
    state.effects.append(_effects.AppendLog((entry,)))
    return entry


def replicate_to_all(state: _state.State, now: float) -> None:
    """Sends new entries to every member that can accept them."""
    leadership = _state.require_leadership(state)
    _progress.update_tracked_members(state, now)
    for peer in leadership.progress:
        _progress.replicate_to(state, peer, now)


def on_synced(state: _state.State, index: int) -> None:
    """Records that the leader's own log is synced up to an index."""
    leadership = state.leadership
    if leadership is not None:
        leadership.synced_index = max(leadership.synced_index, index)
        advance_commit(state)


def advance_commit(state: _state.State) -> None:
    """Commits entries that a majority of the voters has synced.

    Only entries of the current epoch are counted: a later leader may still
    replace an older entry that a majority holds. Older entries are committed
    together with an entry of the current epoch that follows them.
    """
    leadership = _state.require_leadership(state)
    matches = []
    for member in state.members.voters:
        if member.instance == state.own_instance:
            matches.append(leadership.synced_index if state.is_voter else 0)
        else:
            matches.append(_progress.get_match_index(leadership, member))
    if not matches:
        return
    matches.sort(reverse=True)
    index = matches[state.members.quorum - 1]
    if index > state.commit and _is_committable(state, index):
        state.commit = index


def _is_committable(state: _state.State, index: int) -> bool:
    return state.log.epoch_at(index) == state.epoch


def on_append_response(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.AppendResponse,
    now: float,
) -> None:
    """Updates the progress of a member from its response."""
    if msg.head.epoch > state.epoch:
        _state.become_follower(state, msg.head.epoch, None, now)
        return
    progress = _progress.record_response(
        state, sender, msg.head, msg.sent_at, now
    )
    if progress is None:
        return
    if msg.accepted:
        _progress.record_match(progress, msg.match, state.log.base.index)
        advance_commit(state)
    elif not _progress.record_mismatch(progress, msg.prev_index, msg.match):
        return
    _progress.replicate_to(state, sender, now)


def on_append_request(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.AppendRequest,
    now: float,
) -> None:
    """Appends the leader's entries, or rejects them with a hint."""
    if msg.head.epoch < state.epoch:
        _send_append_response(state, sender, msg, accepted=False, match=0)
        return
    follow_leader(state, sender, msg.head, now)
    prev_index, prev_epoch, entries = _skip_committed(state, msg)
    if not _has_matching_entry(state, prev_index, prev_epoch):
        hint = _find_mismatch_hint(state, prev_index)
        _send_append_response(state, sender, msg, accepted=False, match=hint)
        return
    _merge_entries(state, entries)
    match = prev_index + len(entries)
    state.commit = max(state.commit, min(msg.commit, match))
    _send_append_response(state, sender, msg, accepted=True, match=match)


def follow_leader(
    state: _state.State,
    sender: base.InstanceId,
    head: _messages.Header,
    now: float,
) -> None:
    """Follows a leader, and extends the time for which votes are withheld."""
    if (
        head.epoch > state.epoch
        or state.leader != sender
        or state.role is not _state.Role.FOLLOWER
    ):
        _state.become_follower(state, head.epoch, sender, now)
        _promise.record(state, sender, head)
    state.last_leader = _state.format_identity(sender, head.store)
    state.last_leader_heard_at = now
    state.votes_withheld_until = now + state.cfg.election_min_s
    _state.reset_election_timer(state, now)


def align_log_with_snapshot(
    state: _state.State, meta: _disk.SnapshotMeta
) -> None:
    """Aligns the log with a received snapshot."""
    if state.log.epoch_at(meta.index) != meta.epoch:
        state.log.reset(_log.LogBase(meta.index, meta.epoch, meta.members))
    state.commit = max(state.commit, meta.index)


def _skip_committed(
    state: _state.State, msg: _messages.AppendRequest
) -> tuple[int, int, tuple[_log.Entry, ...]]:
    """Skips entries committed here, which are equal at the leader."""
    skip_count = state.commit - msg.prev_index
    if skip_count <= 0:
        return msg.prev_index, msg.prev_epoch, msg.entries
    if skip_count > len(msg.entries):
        # The request ends before the commit index, so it always matches.
        epoch = state.log.epoch_at(state.commit)
        return state.commit, epoch or 0, ()
    last = msg.entries[skip_count - 1]
    return last.index, last.epoch, msg.entries[skip_count:]


def _has_matching_entry(
    state: _state.State, prev_index: int, prev_epoch: int
) -> bool:
    return state.log.epoch_at(prev_index) == prev_epoch


def _find_mismatch_hint(state: _state.State, prev_index: int) -> int:
    """Returns the last index at which the leader's log may match."""
    if prev_index > state.log.last_index:
        return state.log.last_index
    start = _log.first_index_of_epoch(state.log, prev_index)
    return max(start - 1, state.commit)


def _merge_entries(
    state: _state.State, entries: tuple[_log.Entry, ...]
) -> None:
    """Appends new entries, after truncating conflicting ones."""
    for position, entry in enumerate(entries):
        if _log.has_entry(state.log, entry):
            continue
        if entry.index <= state.log.last_index:
            _truncate(state, entry.index)
        new_entries = entries[position:]
        state.log.append(new_entries)
        state.effects.append(_effects.AppendLog(new_entries))
        return


def _truncate(state: _state.State, index: int) -> None:
    if index <= state.commit:
        raise _errors.ConsensusDefectError(
            f"Leader {state.leader} of epoch {state.epoch} would replace entry "
            f"{index}, but entries up to {state.commit} are committed."
        )
    state.log.truncate_from(index)
    state.effects.append(_effects.TruncateLog(index))


def _send_append_response(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.AppendRequest,
    accepted: bool,
    match: int,
) -> None:
    response = _messages.AppendResponse(
        head=_state.make_header(state, msg.head.store),
        sent_at=msg.sent_at,
        accepted=accepted,
        prev_index=msg.prev_index,
        match=match,
    )
    _state.send(state, sender, response)
