"""Snapshots of the own state machine, encoded and written in slices.

Each slice is short, so that the node answers heartbeats and keeps its lease
while a large state is encoded, written and synced.
"""

from collections.abc import Iterator
import zlib

import attrs

from banyanbank_consensus import _disk
from banyanbank_consensus import _ports
from banyanbank_consensus import _replica
from banyanbank_consensus import _snapshot_send
from banyanbank_consensus import _state

POSTPONED_LOG_FACTOR = 2
"""Multiple of `snapshot_bytes` up to which the log may grow while members are
sent the latest snapshot, which a newer one would make start over."""


@attrs.define
class SnapshotTaking:
    """A snapshot that is being taken."""

    index: int
    """Index of the last entry included in it."""
    epoch: int
    """Epoch of that entry."""
    parts: Iterator[bytes]
    """Parts of the state that are not encoded yet."""
    started_at: float
    """When it was started."""
    encoded: list[bytes] = attrs.field(factory=list)
    """Encoded parts; what was written is dropped."""
    size: int = 0
    """Bytes of the state that were encoded."""
    crc: int = 0
    """CRC-32 of these bytes."""
    pending: _disk.PendingSnapshot | None = None
    """The file; None until all is encoded."""

    @property
    def is_written(self) -> bool:
        """Whether all parts are written."""
        return self.pending is not None and not self.encoded


def start(
    machine: _ports.StateMachine, state: _state.State, index: int, now: float
) -> SnapshotTaking:
    """Starts to take a snapshot of the machine as it is.

    Args:
        machine: State machine that has applied the entries up to `index`.
        state: State of the replica.
        index: Index of the last entry that the machine has applied.
        now: Current time.
    """
    epoch = state.log.epoch_at(index)
    return SnapshotTaking(index, epoch or 0, _ports.capture(machine), now)


def run_slice(
    taking: SnapshotTaking, disk: _disk.Disk, state: _state.State
) -> None:
    """Encodes and writes up to `slice_bytes` of the state."""
    left = state.cfg.slice_bytes
    while left > 0 and taking.pending is None:
        part = next(taking.parts, None)
        if part is None:
            taking.pending = disk.begin_snapshot(
                _disk.SnapshotOrigin.TAKEN, _make_meta(taking, state)
            )
            taking.encoded.reverse()
        else:
            taking.encoded.append(part)
            taking.size += len(part)
            taking.crc = zlib.crc32(part, taking.crc)
            left -= len(part)
    while left > 0 and taking.pending is not None and taking.encoded:
        part = taking.encoded.pop()
        disk.append_snapshot(taking.pending, part)
        left -= len(part)


def finish(
    taking: SnapshotTaking, disk: _disk.Disk, replica: _replica.Replica
) -> _disk.SnapshotMeta:
    """Replaces the latest snapshot and compacts the log."""
    assert taking.pending is not None
    meta = taking.pending.meta
    state = replica.state
    replica.on_compacted(meta, _choose_base_index(state, meta.index))
    disk.finish_snapshot(taking.pending, _state.make_log_image(state))
    return meta


def is_postponed(state: _state.State, now: float) -> bool:
    """Whether the latest snapshot is still being sent to a member."""
    max_size = POSTPONED_LOG_FACTOR * state.cfg.snapshot_bytes
    return state.log.size < max_size and _snapshot_send.is_sending(state, now)


def _make_meta(
    taking: SnapshotTaking, state: _state.State
) -> _disk.SnapshotMeta:
    return _disk.SnapshotMeta(
        index=taking.index,
        epoch=taking.epoch,
        members=state.log.members_at(taking.index),
        size=taking.size,
        crc=taking.crc,
    )


def _choose_base_index(state: _state.State, index: int) -> int:
    """Returns the index up to which entries are dropped.

    Lagging members are served from the retained entries: at most
    `keep_entries`, and at most half of `snapshot_bytes` unless entries after
    `index` alone exceed it.
    """
    base_index = max(index - state.cfg.keep_entries, state.log.base.index)
    size = state.log.size
    for entry in state.log.entries_from(state.log.base.index + 1):
        if size < state.cfg.snapshot_bytes // 2 or entry.index > index:
            break
        size -= entry.size
        base_index = max(base_index, entry.index)
    return base_index
