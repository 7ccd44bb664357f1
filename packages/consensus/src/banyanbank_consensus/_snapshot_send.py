"""Sending of snapshots to members that need compacted entries.

A window of chunks is in flight, so that the transfer does not wait for an
answer to each of them.
"""

import banyanbank_base as base

from banyanbank_consensus import _disk
from banyanbank_consensus import _effects
from banyanbank_consensus import _messages
from banyanbank_consensus import _state


def start(state: _state.State, peer: base.InstanceId, now: float) -> None:
    """Starts sending the latest snapshot to a member."""
    meta = state.snapshot
    progress = _state.require_leadership(state).progress[peer]
    if meta is None:
        return
    progress.mode = _state.ProgressMode.SNAPSHOT
    progress.in_flight.clear()
    progress.in_flight_bytes = 0
    _state.record_event(
        state, "snapshot.sending", f"peer={peer} index={meta.index}"
    )
    _restart(state, peer, meta, 0, now)


def resend(state: _state.State, peer: base.InstanceId, now: float) -> None:
    """Sends what was not acknowledged again if its answer is overdue."""
    meta = state.snapshot
    progress = _state.require_leadership(state).progress[peer]
    if meta is None:
        return
    if progress.snapshot_index != meta.index:
        # A newer snapshot replaced the one in transfer.
        _restart(state, peer, meta, 0, now)
    elif now >= progress.resend_at:
        _restart(state, peer, meta, progress.snapshot_offset, now)


def on_received(
    state: _state.State, peer: base.InstanceId, received: int, now: float
) -> None:
    """Sends further chunks after a member has acknowledged some.

    Args:
        state: State of the leader.
        peer: Instance of the member.
        received: Bytes that it holds; fewer than before if it has restarted.
        now: Current time.
    """
    meta = state.snapshot
    progress = _state.require_leadership(state).progress[peer]
    if meta is None or progress.snapshot_index != meta.index:
        return
    if received < progress.snapshot_offset:
        _restart(state, peer, meta, received, now)
        return
    progress.snapshot_offset = received
    progress.snapshot_sent = max(progress.snapshot_sent, received)
    _postpone_resending(state, progress, now)
    while _may_send_more(state, progress, meta):
        _send_chunk(state, peer, progress, meta)


def is_sending(state: _state.State, now: float) -> bool:
    """Whether this replica leads and sends a snapshot to a running member."""
    if state.leadership is None:
        return False
    return any(
        progress.mode is _state.ProgressMode.SNAPSHOT
        and now < progress.heard_at + state.cfg.election_max_s
        for progress in state.leadership.progress.values()
    )


def _restart(
    state: _state.State,
    peer: base.InstanceId,
    meta: _disk.SnapshotMeta,
    offset: int,
    now: float,
) -> None:
    """Sends a window of chunks from an offset on, at least one."""
    progress = _state.require_leadership(state).progress[peer]
    progress.snapshot_index = meta.index
    progress.snapshot_offset = progress.snapshot_sent = offset
    _postpone_resending(state, progress, now)
    _send_chunk(state, peer, progress, meta)
    while _may_send_more(state, progress, meta):
        _send_chunk(state, peer, progress, meta)


def _postpone_resending(
    state: _state.State, progress: _state.Progress, now: float
) -> None:
    cfg = state.cfg
    delay_s = cfg.heartbeat_interval_s + 2 * progress.answer_delay_s
    progress.resend_at = now + min(delay_s, cfg.election_max_s)


def _may_send_more(
    state: _state.State, progress: _state.Progress, meta: _disk.SnapshotMeta
) -> bool:
    in_flight = progress.snapshot_sent - progress.snapshot_offset
    return (
        progress.snapshot_sent < meta.size
        and in_flight < state.cfg.snapshot_window_bytes
    )


def _send_chunk(
    state: _state.State,
    peer: base.InstanceId,
    progress: _state.Progress,
    meta: _disk.SnapshotMeta,
) -> None:
    offset = progress.snapshot_sent
    chunk = _messages.SnapshotChunk(
        head=_state.make_header(state, progress.store),
        sent_at=_state.require_leadership(state).round_sent_at,
        index=meta.index,
        last_epoch=meta.epoch,
        members=meta.members,
        size=meta.size,
        crc=meta.crc,
        offset=offset,
        data=b"",
    )
    length = min(state.cfg.chunk_bytes, meta.size - offset)
    progress.snapshot_sent += length
    state.effects.append(_effects.SendChunk(peer, chunk, length))
