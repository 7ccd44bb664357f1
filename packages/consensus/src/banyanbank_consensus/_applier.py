"""Applies committed entries, and takes and installs snapshots."""

from collections.abc import Iterator
import zlib

import attrs

from banyanbank_consensus import _disk
from banyanbank_consensus import _effects
from banyanbank_consensus import _log
from banyanbank_consensus import _ports
from banyanbank_consensus import _replica
from banyanbank_consensus import _state

LARGE_STATE_FACTOR = 4
"""Multiple of `snapshot_entries` that forces a snapshot of a large state."""


@attrs.frozen
class Applied:
    """An applied entry and its reply."""

    entry: _log.Entry
    """Entry that was applied."""
    reply: bytes
    """Reply of the state machine; empty unless the entry is a command."""


class Applier:
    """Applies committed entries and manages snapshots.

    Args:
        machine: State machine that committed commands are applied to.
        disk: Durable storage.
        stored: Content of the disk at startup.
    """

    def __init__(
        self,
        machine: _ports.StateMachine,
        disk: _disk.Disk,
        stored: _disk.StoredState,
    ) -> None:
        self._machine = machine
        self._disk = disk
        self.index = 0
        """Index of the last applied entry."""
        if stored.snapshot is not None:
            machine.restore(stored.state)
            self.index = stored.snapshot.index

    def apply(self, state: _state.State) -> Iterator[Applied]:
        """Applies committed entries that are not applied yet, in log order."""
        while self.index < state.commit:
            entry = state.log.get(self.index + 1)
            reply = b""
            if entry.kind is _log.EntryKind.COMMAND:
                reply = self._machine.apply(entry.index, entry.data)
            self.index = entry.index
            yield Applied(entry, reply)

    def install_snapshot(self, effect: _effects.InstallSnapshot) -> None:
        """Saves a received snapshot and restores the state machine from it."""
        meta = effect.meta
        self._disk.save_snapshot(meta, effect.state, effect.image)
        if meta.index > self.index:
            self._machine.restore(effect.state)
            self.index = meta.index

    def is_snapshot_due(self, state: _state.State) -> bool:
        """Whether the log has grown enough to take a snapshot."""
        cfg = state.cfg
        last_snapshot = state.snapshot
        entries_since_snapshot = self.index - (
            last_snapshot.index if last_snapshot is not None else 0
        )
        if entries_since_snapshot >= cfg.snapshot_entries * LARGE_STATE_FACTOR:
            return True
        if entries_since_snapshot >= cfg.snapshot_entries:
            # Writing a large state costs more than replaying a few entries.
            return last_snapshot is None or state.log.size >= last_snapshot.size
        return (
            state.log.size >= cfg.snapshot_bytes and entries_since_snapshot > 0
        )

    def take_snapshot(self, replica: _replica.Replica) -> _disk.SnapshotMeta:
        """Takes a snapshot and compacts the log, retaining recent entries."""
        state = replica.state
        data = self._machine.snapshot()
        epoch = state.log.epoch_at(self.index)
        meta = _disk.SnapshotMeta(
            index=self.index,
            epoch=epoch or 0,
            members=state.log.members_at(self.index),
            size=len(data),
            crc=zlib.crc32(data),
        )
        replica.on_compacted(meta, _choose_base_index(state, self.index))
        self._disk.save_snapshot(meta, data, _state.make_log_image(state))
        return meta


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
