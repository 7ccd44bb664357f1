"""Applies committed entries, and takes and restores snapshots in slices."""

from collections.abc import Iterator

import attrs

from banyanbank_consensus import _disk
from banyanbank_consensus import _effects
from banyanbank_consensus import _errors
from banyanbank_consensus import _log
from banyanbank_consensus import _ports
from banyanbank_consensus import _replica
from banyanbank_consensus import _snapshot_taking
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


@attrs.define
class _Restoring:
    """The latest snapshot, from which the state machine is being restored."""

    index: int
    """Index of the last entry included in it."""
    size: int
    """Size of its state in bytes."""
    parts: Iterator[int] | None = None
    """Restores a part with each step, and yields its size in bytes; None until
    the first step."""


class Applier:
    """Applies committed entries and manages snapshots.

    A received snapshot counts as held as soon as it is durable. The state
    machine is restored from it in slices, and applies no entries until then.

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
        self._receiving: _disk.PendingSnapshot | None = None
        self._restoring: _Restoring | None = None
        self._taking: _snapshot_taking.SnapshotTaking | None = None
        self.index = 0
        """Index of the last applied entry."""
        if stored.snapshot is not None:
            machine.restore(stored.state)
            self.index = stored.snapshot.index

    @property
    def is_restoring(self) -> bool:
        """Whether the state machine lacks a snapshot that is held."""
        return self._restoring is not None

    @property
    def has_slices_left(self) -> bool:
        """Whether the next turn has a slice to do without any event."""
        is_taking = self._taking is not None and not self._taking.is_written
        return self.is_restoring or is_taking

    def apply(self, state: _state.State) -> Iterator[Applied]:
        """Applies committed entries that are not applied yet, in log order."""
        while self.index < state.commit and not self.is_restoring:
            entry = state.log.get(self.index + 1)
            reply = b""
            if entry.kind is _log.EntryKind.COMMAND:
                reply = self._machine.apply(entry.index, entry.data)
            self.index = entry.index
            yield Applied(entry, reply)

    def write_snapshot(self, effect: _effects.WriteSnapshot) -> None:
        """Writes a part of a snapshot that is being received."""
        if effect.offset == 0:
            self._receiving = self._disk.begin_snapshot(
                _disk.SnapshotOrigin.RECEIVED, effect.meta
            )
        self._disk.append_snapshot(self._require_receiving(), effect.data)

    def install_snapshot(
        self, effect: _effects.InstallSnapshot, slice_bytes: int
    ) -> None:
        """Saves a received snapshot and begins to restore the state machine.

        A state of several slices is restored in later turns, so that the leader
        hears at once that the snapshot is held.
        """
        meta = effect.meta
        self._disk.finish_snapshot(self._require_receiving(), effect.image)
        self._receiving = self._taking = None
        if meta.index > self.index:
            self._restoring = _Restoring(meta.index, meta.size)
            if meta.size <= slice_bytes:
                self.restore_slice(slice_bytes)

    def restore_slice(self, slice_bytes: int) -> None:
        """Restores the next slice of the state machine, if it lacks one."""
        restoring = self._restoring
        if restoring is None:
            return
        if restoring.parts is None:
            data = self._disk.read_snapshot(0, restoring.size)
            restoring.parts = _ports.restore_slices(self._machine, data)
        for size in restoring.parts:
            slice_bytes -= size
            if slice_bytes <= 0:
                return
        self.index = restoring.index
        self._restoring = None

    def is_snapshot_due(self, state: _state.State, now: float) -> bool:
        """Whether the log has grown enough to take a snapshot."""
        if self._taking is not None or self.is_restoring:
            return False
        if _snapshot_taking.is_postponed(state, now):
            return False
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

    def start_snapshot(self, state: _state.State, now: float) -> None:
        """Starts to take a snapshot of the state machine."""
        self._taking = _snapshot_taking.start(
            self._machine, state, self.index, now
        )

    def run_snapshot_slice(
        self, replica: _replica.Replica, now: float
    ) -> _snapshot_taking.SnapshotTaking | None:
        """Takes the next slice of a snapshot, and finishes it if it may.

        Returns:
            The snapshot once it has replaced the latest one, else None.
        """
        taking = self._taking
        if taking is None:
            return None
        _snapshot_taking.run_slice(taking, self._disk, replica.state)
        if not taking.is_written:
            return None
        if _snapshot_taking.is_postponed(replica.state, now):
            return None
        _snapshot_taking.finish(taking, self._disk, replica)
        self._taking = None
        return taking

    def _require_receiving(self) -> _disk.PendingSnapshot:
        if self._receiving is None:
            raise _errors.ConsensusDefectError(
                "A part of a snapshot was received before its first one."
            )
        return self._receiving
