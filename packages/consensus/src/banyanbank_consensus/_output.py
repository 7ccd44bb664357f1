"""Ordering of writes, syncs and sends within a turn of the event loop."""

import attrs
import banyanbank_base as base

from banyanbank_consensus import _disk
from banyanbank_consensus import _effects
from banyanbank_consensus import _messages
from banyanbank_consensus import _ports


class OutputQueue:
    """Writes immediately and delays messages that depend on the next sync.

    A leader may send append requests before its own sync, which lets leader
    and followers sync in parallel; the leader counts its own copy only after
    the sync. While a new epoch is unsynced, append requests are delayed too:
    after a crash the leader could start the same epoch again with different
    entries.

    Args:
        disk: Durable storage.
        transport: Sends encoded messages to other instances.
    """

    def __init__(
        self, disk: _disk.Disk, transport: _ports.PeerTransport
    ) -> None:
        self._disk = disk
        self._transport = transport
        self._messages_after_sync: list[
            tuple[base.InstanceId, _messages.Message]
        ] = []
        self._has_unsynced_writes = False
        self._has_unsynced_hard_state = False

    def save_hard_state(self, effect: _effects.SaveHardState) -> None:
        """Writes the hard state."""
        self._disk.save_hard_state(effect.hard_state)
        self._has_unsynced_writes = True
        self._has_unsynced_hard_state = True

    def truncate(self, effect: _effects.TruncateLog) -> None:
        """Writes the truncation of the log."""
        self._disk.truncate_from(effect.index)
        self._has_unsynced_writes = True

    def append(self, effect: _effects.AppendLog) -> None:
        """Writes entries."""
        self._disk.append(effect.entries)
        self._has_unsynced_writes = True

    def send(self, effect: _effects.Send) -> None:
        """Sends a message now if that is safe, otherwise after the sync."""
        if effect.before_sync and not self._has_unsynced_hard_state:
            self._transmit(effect.peer, effect.message)
        else:
            self._messages_after_sync.append((effect.peer, effect.message))

    def send_chunk(self, effect: _effects.SendChunk) -> None:
        """Reads a chunk of the snapshot and sends it after the sync."""
        chunk = effect.chunk
        data = self._disk.read_snapshot(chunk.offset, effect.length)
        self._messages_after_sync.append(
            (effect.peer, attrs.evolve(chunk, data=data))
        )

    def sync_and_send(self) -> bool:
        """Syncs the pending writes, then sends the delayed messages.

        Returns:
            Whether there were writes to sync.

        Raises:
            StorageError: The sync failed; no delayed message was sent.
        """
        synced = self._has_unsynced_writes
        if synced:
            self._disk.sync()
            self.mark_synced()
        held = self._messages_after_sync
        self._messages_after_sync = []
        for peer, message in held:
            self._transmit(peer, message)
        return synced

    def mark_synced(self) -> None:
        """Marks all writes so far as durable."""
        self._has_unsynced_writes = False
        self._has_unsynced_hard_state = False

    def _transmit(
        self, peer: base.InstanceId, message: _messages.Message
    ) -> None:
        self._transport.send(peer, _messages.MESSAGE_CODEC.encode(message))
