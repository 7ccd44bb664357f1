"""Files in memory that lose what was not synced, for tests and `demo`."""

import random

import attrs


@attrs.define(eq=False)
class _File:
    """Content of one file and how much of it is durable."""

    data: bytearray = attrs.field(factory=bytearray)
    synced: int = 0
    poisoned: list[tuple[int, int]] = attrs.field(factory=list)


class MemoryFiles:
    """A folder in memory with the durability rules of a real one."""

    def __init__(self) -> None:
        self.sync_errors = 0
        """How many of the next syncs fail."""
        self._live: dict[str, _File] = {}
        self._durable: dict[str, _File] = {}
        self._pending: list[tuple[str, _File | None]] = []

    def read(self, name: str) -> bytes | None:
        """Returns the content of a file; None when it does not exist."""
        file = self._live.get(name)
        return None if file is None else bytes(file.data)

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Returns a piece of a file."""
        return bytes(self._live[name].data[offset : offset + size])

    def append(self, name: str, data: bytes) -> None:
        """Writes at the end of a file, which is created when missing."""
        file = self._live.get(name)
        if file is None:
            file = self._live[name] = _File()
            self._pending.append((name, file))
        file.data += data

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        file = self._live[name]
        if self._take_error():
            # The kernel may drop dirty pages and report the error once only.
            file.poisoned.append((file.synced, len(file.data)))
            raise OSError("injected sync error")
        file.synced = len(file.data)

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to a size."""
        file = self._live[name]
        del file.data[size:]
        file.synced = min(file.synced, size)

    def replace(self, source: str, target: str) -> None:
        """Renames a file over another; durable after `sync_folder`."""
        file = self._live.pop(source)
        self._live[target] = file
        self._pending.append((target, file))
        self._pending.append((source, None))

    def remove(self, name: str) -> None:
        """Removes a file if it exists; durable after `sync_folder`."""
        if self._live.pop(name, None) is not None:
            self._pending.append((name, None))

    def sync_folder(self) -> None:
        """Makes creations, renames and removals durable."""
        if self._take_error():
            raise OSError("injected sync error")
        self._make_durable(len(self._pending))

    def close(self) -> None:
        """Does nothing; the content stays."""

    def crash(self, rng: random.Random) -> None:
        """Loses unsynced data, leaving some torn and damaged tails.

        Args:
            rng: Decides how much of the unsynced data survives.
        """
        self._make_durable(rng.randint(0, len(self._pending)))
        self._pending.clear()
        self._live = dict(self._durable)
        for file in self._live.values():
            _tear(file, rng)

    def flip(self, name: str, offset: int) -> None:
        """Damages one byte of a file."""
        self._live[name].data[offset] ^= 0xFF

    def _make_durable(self, count: int) -> None:
        for name, file in self._pending[:count]:
            if file is None:
                self._durable.pop(name, None)
            else:
                self._durable[name] = file
        del self._pending[:count]

    def _take_error(self) -> bool:
        if self.sync_errors == 0:
            return False
        self.sync_errors -= 1
        return True


def _tear(file: _File, rng: random.Random) -> None:
    """Keeps a random part of the unsynced tail, perhaps damaged."""
    for first, last in file.poisoned:
        file.data[first:last] = bytes(len(file.data[first:last]))
    file.poisoned.clear()
    lost_from = rng.randint(file.synced, len(file.data))
    if rng.random() < 0.5:
        lost_from = file.synced
    tail = file.data[file.synced : lost_from]
    if tail and rng.random() < 0.5:
        start = rng.randrange(len(tail))
        stop = rng.randint(start, len(tail))
        tail[start:stop] = bytes(stop - start)
    file.data[file.synced :] = tail
    file.synced = len(file.data)
