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
"""How much longer the log may grow when the state is larger than the log."""


@attrs.frozen
class Applied:
    """One entry that was applied."""

    entry: _log.Entry
    """The entry."""
    reply: bytes
    """Reply of the state machine; empty for entries it does not see."""


class Applier:
    """Feeds the state machine.

    Args:
        machine: What committed commands are applied to.
        disk: Durable storage.
        stored: What the disk held at the start.
    """

    def __init__(
        self,
        machine: _ports.StateMachine,
        disk: _disk.Disk,
        stored: _disk.Stored,
    ) -> None:
        self._machine = machine
        self._disk = disk
        self.index = 0
        """Last entry that was applied."""
        if stored.snapshot is not None:
            machine.restore(stored.state)
            self.index = stored.snapshot.index

    def apply(self, state: _state.State) -> Iterator[Applied]:
        """Applies what is committed and not yet applied, in order."""
        while self.index < state.commit:
            entry = state.log.get(self.index + 1)
            reply = b""
            if entry.kind is _log.EntryKind.COMMAND:
                reply = self._machine.apply(entry.index, entry.data)
            self.index = entry.index
            yield Applied(entry, reply)

    def install_snapshot(self, effect: _effects.InstallSnapshot) -> None:
        """Saves a snapshot that was received and restores from it."""
        meta = effect.meta
        self._disk.save_snapshot(meta, effect.state, effect.image)
        if meta.index > self.index:
            self._machine.restore(effect.state)
            self.index = meta.index

    def is_snapshot_due(self, state: _state.State) -> bool:
        """Whether the log has grown so far that a snapshot is due."""
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

    def compact(self, replica: _replica.Replica) -> _disk.SnapshotMeta:
        """Takes a snapshot and drops the entries far behind it."""
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
        replica.compacted(meta, _choose_base_index(state, self.index))
        self._disk.save_snapshot(meta, data, _state.log_image(state))
        return meta


def _choose_base_index(state: _state.State, index: int) -> int:
    """Returns the new base: some entries stay for members that lag."""
    base_index = max(index - state.cfg.keep_entries, state.log.base.index)
    size = state.log.size
    for entry in state.log.entries_from(state.log.base.index + 1):
        if size < state.cfg.snapshot_bytes // 2 or entry.index > index:
            break
        size -= entry.size
        base_index = max(base_index, entry.index)
    return base_index
