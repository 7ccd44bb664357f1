"""Handling of snapshot chunks and of their acknowledgements."""

import zlib

import banyanbank_base as base

from banyanbank_consensus import _disk
from banyanbank_consensus import _effects
from banyanbank_consensus import _messages
from banyanbank_consensus import _progress
from banyanbank_consensus import _replication
from banyanbank_consensus import _snapshot_send
from banyanbank_consensus import _state


def on_ack(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.SnapshotAck,
    now: float,
) -> None:
    """Sends the next chunks after an acknowledgement."""
    if msg.head.epoch > state.epoch:
        _state.become_follower(state, msg.head.epoch, None, now)
        return
    progress = _progress.record_response(
        state, sender, msg.head, msg.sent_at, now
    )
    if progress is None or progress.mode is not _state.ProgressMode.SNAPSHOT:
        return
    if msg.index != progress.snapshot_index:
        return
    if msg.received == progress.snapshot_offset:
        # A duplicate; if a chunk was lost, a later round sends it again.
        return
    _snapshot_send.on_received(state, sender, msg.received, now)


def on_chunk(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.SnapshotChunk,
    now: float,
) -> None:
    """Stores a chunk, and installs the snapshot once it is complete."""
    if msg.head.epoch < state.epoch:
        _send_append_response(state, sender, msg, accepted=False)
        return
    _replication.follow_leader(state, sender, msg.head, now)
    if _is_stale(state, msg):
        _send_append_response(state, sender, msg, accepted=True)
        return
    inbound_snapshot = _get_or_create_inbound(state, sender, msg)
    if msg.offset == inbound_snapshot.received:
        _write(state, inbound_snapshot, msg.data)
    if inbound_snapshot.received < msg.size:
        _send_ack(state, sender, msg, inbound_snapshot.received)
        return
    state.inbound_snapshot = None
    if inbound_snapshot.crc != msg.crc:
        _state.record_event(state, "snapshot.damaged", f"index={msg.index}")
        _send_ack(state, sender, msg, 0)
        return
    _install(state, inbound_snapshot)
    _send_append_response(state, sender, msg, accepted=True)


def _is_stale(state: _state.State, msg: _messages.SnapshotChunk) -> bool:
    """Whether this replica has committed all entries in the snapshot."""
    return msg.index <= state.commit


def _get_or_create_inbound(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.SnapshotChunk,
) -> _state.InboundSnapshot:
    meta = _disk.SnapshotMeta(
        index=msg.index,
        epoch=msg.last_epoch,
        members=msg.members,
        size=msg.size,
        crc=msg.crc,
    )
    current = state.inbound_snapshot
    if (
        current is None
        or current.meta != meta
        or current.epoch != msg.head.epoch
    ):
        current = _state.InboundSnapshot(sender, msg.head.epoch, meta)
        state.inbound_snapshot = current
    return current


def _write(
    state: _state.State, inbound_snapshot: _state.InboundSnapshot, data: bytes
) -> None:
    effect = _effects.WriteSnapshot(
        inbound_snapshot.meta, inbound_snapshot.received, data
    )
    state.effects.append(effect)
    inbound_snapshot.received += len(data)
    inbound_snapshot.crc = zlib.crc32(data, inbound_snapshot.crc)


def _install(
    state: _state.State, inbound_snapshot: _state.InboundSnapshot
) -> None:
    meta = inbound_snapshot.meta
    _replication.align_log_with_snapshot(state, meta)
    state.snapshot = meta
    effect = _effects.InstallSnapshot(meta, _state.make_log_image(state))
    state.effects.append(effect)
    _state.record_event(state, "snapshot.installed", f"index={meta.index}")


def _send_ack(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.SnapshotChunk,
    received: int,
) -> None:
    ack = _messages.SnapshotAck(
        head=_state.make_header(state, msg.head.store),
        sent_at=msg.sent_at,
        index=msg.index,
        received=received,
    )
    _state.send(state, sender, ack)


def _send_append_response(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.SnapshotChunk,
    accepted: bool,
) -> None:
    response = _messages.AppendResponse(
        head=_state.make_header(state, msg.head.store),
        sent_at=msg.sent_at,
        accepted=accepted,
        prev_index=msg.index,
        match=msg.index if accepted else 0,
    )
    _state.send(state, sender, response)
