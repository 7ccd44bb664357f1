"""In-memory files that lose unsynced data in a crash.

Used by tests and by `demo`.
"""

import random

import attrs


@attrs.define(eq=False)
class _File:
    """Content of a file and the durable part of it.

    `lost_ranges` are byte ranges whose sync failed; a crash zeroes them.
    """

    data: bytearray = attrs.field(factory=bytearray)
    synced_size: int = 0
    lost_ranges: list[tuple[int, int]] = attrs.field(factory=list)


class MemoryFiles:
    """In-memory folder with the durability rules of a file system."""

    def __init__(self) -> None:
        self.pending_sync_errors = 0
        """Number of upcoming syncs that fail."""
        self._files: dict[str, _File] = {}
        self._durable_files: dict[str, _File] = {}
        self._pending_changes: list[tuple[str, _File | None]] = []

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file; None when it does not exist."""
        file = self._files.get(name)
        return None if file is None else bytes(file.data)

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Returns up to `size` bytes of a file, starting at `offset`."""
        return bytes(self._files[name].data[offset : offset + size])

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file; creates the file if it is missing."""
        file = self._files.get(name)
        if file is None:
            file = self._files[name] = _File()
            self._pending_changes.append((name, file))
        file.data += data

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        file = self._files[name]
        if self._consume_sync_error():
            # After an error the kernel may drop dirty pages and report success
            # for the next sync.
            file.lost_ranges.append((file.synced_size, len(file.data)))
            raise OSError("injected sync error")
        file.synced_size = len(file.data)

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to a size in bytes."""
        file = self._files[name]
        del file.data[size:]
        file.synced_size = min(file.synced_size, size)

    def replace(self, source: str, target: str) -> None:
        """Renames a file over another, durable after `sync_folder`."""
        file = self._files.pop(source)
        self._files[target] = file
        self._pending_changes.append((target, file))
        self._pending_changes.append((source, None))

    def remove(self, name: str) -> None:
        """Removes a file if it exists, durable after `sync_folder`."""
        if self._files.pop(name, None) is not None:
            self._pending_changes.append((name, None))

    def sync_folder(self) -> None:
        """Makes file creations, renames and removals durable."""
        if self._consume_sync_error():
            raise OSError("injected sync error")
        for name, file in self._pending_changes:
            self._persist_name(name, file)
        self._pending_changes.clear()

    def close(self) -> None:
        """Does nothing; the content remains readable."""

    def crash(self, rng: random.Random) -> None:
        """Simulates a crash, which loses or corrupts unsynced data.

        Args:
            rng: Selects the part of the unsynced data that survives.
        """
        self._persist_names(rng)
        self._files = dict(self._durable_files)
        for file in self._files.values():
            _damage_unsynced_tail(file, rng)

    def corrupt_byte(self, name: str, offset: int) -> None:
        """Inverts the bits of a byte; a second call restores it."""
        self._files[name].data[offset] ^= 0xFF

    def _persist_names(self, rng: random.Random) -> None:
        """Keeps or loses the unsynced changes of each name independently."""
        changes: dict[str, list[_File | None]] = {}
        for name, file in self._pending_changes:
            changes.setdefault(name, []).append(file)
        self._pending_changes.clear()
        for name, files in changes.items():
            kept_count = rng.randint(0, len(files))
            if kept_count:
                self._persist_name(name, files[kept_count - 1])

    def _persist_name(self, name: str, file: _File | None) -> None:
        if file is None:
            self._durable_files.pop(name, None)
        else:
            self._durable_files[name] = file

    def _consume_sync_error(self) -> bool:
        if self.pending_sync_errors == 0:
            return False
        self.pending_sync_errors -= 1
        return True


def _damage_unsynced_tail(file: _File, rng: random.Random) -> None:
    """Keeps a random part of the unsynced tail and may zero a range in it."""
    for range_start, range_end in file.lost_ranges:
        file.data[range_start:range_end] = bytes(
            len(file.data[range_start:range_end])
        )
    file.lost_ranges.clear()
    kept_end = rng.randint(file.synced_size, len(file.data))
    if rng.random() < 0.5:
        kept_end = file.synced_size
    tail = file.data[file.synced_size : kept_end]
    if tail and rng.random() < 0.5:
        start = rng.randrange(len(tail))
        stop = rng.randint(start, len(tail))
        tail[start:stop] = bytes(stop - start)
    file.data[file.synced_size :] = tail
    file.synced_size = len(file.data)
