"""Order of writes, syncs and sends in one turn of the loop."""

import attrs
import banyanbank_base as base

from banyanbank_consensus import _disk
from banyanbank_consensus import _effects
from banyanbank_consensus import _messages
from banyanbank_consensus import _ports


class Output:
    """Writes at once, sends after the sync what rests on it.

    A leader's appends may leave before the sync, so that the followers sync
    at the same time; the leader counts its own copy only once it is synced.
    They are held as well while a new epoch is unsynced: after a crash the
    same epoch could be opened again with other entries.

    Args:
        disk: Durable storage.
        transport: Sends frames to other instances.
    """

    def __init__(
        self, disk: _disk.Disk, transport: _ports.PeerTransport
    ) -> None:
        self._disk = disk
        self._transport = transport
        self._held: list[tuple[base.InstanceId, _messages.Message]] = []
        self._dirty = False
        self._epoch_dirty = False

    def save_hard_state(self, effect: _effects.SaveHardState) -> None:
        """Writes epoch, vote and cluster."""
        self._disk.save_hard_state(effect.hard)
        self._dirty = True
        self._epoch_dirty = True

    def truncate(self, effect: _effects.TruncateLog) -> None:
        """Drops entries."""
        self._disk.truncate_from(effect.index)
        self._dirty = True

    def append(self, effect: _effects.AppendLog) -> None:
        """Writes entries."""
        self._disk.append(effect.entries)
        self._dirty = True

    def send(self, effect: _effects.Send) -> None:
        """Sends a message now if that is safe, else after the sync."""
        if effect.early and not self._epoch_dirty:
            self._transmit(effect.peer, effect.message)
        else:
            self._held.append((effect.peer, effect.message))

    def send_chunk(self, effect: _effects.SendChunk) -> None:
        """Reads a piece of the snapshot and sends it."""
        chunk = effect.chunk
        data = self._disk.read_snapshot(chunk.offset, effect.length)
        self._held.append((effect.peer, attrs.evolve(chunk, data=data)))

    def finish(self) -> bool:
        """Syncs what was written, then sends what was held back.

        Returns:
            Whether there was something to sync.

        Raises:
            StorageError: Nothing that was held back has left.
        """
        synced = self._dirty
        if synced:
            self._disk.sync()
            self.all_synced()
        held = self._held
        self._held = []
        for peer, message in held:
            self._transmit(peer, message)
        return synced

    def all_synced(self) -> None:
        """Takes note that everything written so far is durable."""
        self._dirty = False
        self._epoch_dirty = False

    def _transmit(
        self, peer: base.InstanceId, message: _messages.Message
    ) -> None:
        self._transport.send(peer, _messages.MESSAGE_CODEC.encode(message))
