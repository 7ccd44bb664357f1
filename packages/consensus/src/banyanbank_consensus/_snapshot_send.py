"""Sending of snapshots to members that need compacted entries."""

import banyanbank_base as base

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
    progress.snapshot_index = meta.index
    progress.snapshot_offset = 0
    progress.in_flight.clear()
    progress.in_flight_bytes = 0
    send_chunk(state, peer, now)
    _state.record_event(
        state, "snapshot.sending", f"peer={peer} index={meta.index}"
    )


def send_chunk(state: _state.State, peer: base.InstanceId, now: float) -> None:
    """Sends the chunk at the acknowledged offset if `resend_at` has passed."""
    meta = state.snapshot
    leadership = _state.require_leadership(state)
    progress = leadership.progress[peer]
    if meta is None:
        return
    if progress.snapshot_index != meta.index:
        # A newer snapshot replaced the one in transfer; start over.
        progress.snapshot_index = meta.index
        progress.snapshot_offset = 0
    if now < progress.resend_at:
        return
    progress.resend_at = now + state.cfg.heartbeat_interval_s
    offset = progress.snapshot_offset
    chunk = _messages.SnapshotChunk(
        head=_state.make_header(state, progress.store),
        sent_at=leadership.round_sent_at,
        index=meta.index,
        last_epoch=meta.epoch,
        members=meta.members,
        size=meta.size,
        crc=meta.crc,
        offset=offset,
        data=b"",
    )
    length = min(state.cfg.chunk_bytes, meta.size - offset)
    state.effects.append(_effects.SendChunk(peer, chunk, length))
