"""Stores of sample bodies, outside the replicated log."""

from collections.abc import Iterable
import hashlib
import os
import pathlib
import struct
import typing

import attrs

from banyanbank_rollout import _samples
from banyanbank_rollout import _state

HEADER = struct.Struct(">I32s")
"""Length and SHA-256 of the body that follows."""

SUFFIX = ".bodies"


class BodyStoreError(Exception):
    """A body file cannot be read or written."""


class BodyStore(typing.Protocol):
    """Keeps bodies by digest until their step is done."""

    def put(self, slot: _samples.SampleSlot, data: bytes) -> bytes:
        """Takes a body in and returns its digest; durable after `sync`."""
        ...

    def sync(self) -> None:
        """Makes all bodies taken in so far durable."""
        ...

    def get(self, digest: bytes) -> bytes | None:
        """Returns a body, None when it is not held."""
        ...

    def retain(self, keys: Iterable[_state.StepKey]) -> None:
        """Drops the bodies of all steps but these."""
        ...

    def missing(self, digests: Iterable[bytes]) -> frozenset[bytes]:
        """Returns which of the digests are not held."""
        ...


@attrs.frozen
class _Place:
    """Where a body lies."""

    path: pathlib.Path
    offset: int
    size: int


class FileBodyStore:
    """Keeps one append-only file a step; a done step's file is deleted.

    Memory holds the place of each body only. A file that ends in a torn or
    damaged record is cut there at the start; `missing` then tells what must
    be fetched from other stores. After a failed write or sync the store takes
    nothing in any more, but still hands out what it holds.

    Args:
        folder: Where the files lie; created when absent.

    Raises:
        BodyStoreError: The folder cannot be read.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._places: dict[bytes, _Place] = {}
        self._files: dict[pathlib.Path, typing.BinaryIO] = {}
        self._dirty: set[pathlib.Path] = set()
        self._folder_dirty = False
        self._failure: str | None = None
        try:
            folder.mkdir(parents=True, exist_ok=True)
            for path in sorted(folder.glob(f"*{SUFFIX}")):
                self._recover(path)
        except OSError as exc:
            raise BodyStoreError(f"Body folder {folder}: {exc}") from exc

    def put(self, slot: _samples.SampleSlot, data: bytes) -> bytes:
        """Takes a body in and returns its digest; durable after `sync`.

        Raises:
            BodyStoreError: The file cannot be written.
        """
        self._check()
        digest = hashlib.sha256(data).digest()
        if digest in self._places:
            return digest
        path = self._path((slot.trainer, slot.step))
        try:
            file = self._open(path)
            start = file.seek(0, os.SEEK_END)
            file.write(HEADER.pack(len(data), digest) + data)
            file.flush()
        except OSError as exc:
            raise self._failed(f"Body file {path}: {exc}") from exc
        self._dirty.add(path)
        offset = start + HEADER.size
        self._places[digest] = _Place(path, offset, len(data))
        return digest

    def sync(self) -> None:
        """Makes all bodies taken in so far durable.

        Raises:
            BodyStoreError: A file cannot be synced; nothing that was put
                since the last `sync` may count as stored.
        """
        self._check()
        try:
            for path in sorted(self._dirty):
                os.fsync(self._open(path).fileno())
            if self._folder_dirty:
                _sync_folder(self._folder)
        except OSError as exc:
            raise self._failed(f"Sync of {self._folder}: {exc}") from exc
        self._dirty.clear()
        self._folder_dirty = False

    def get(self, digest: bytes) -> bytes | None:
        """Returns a body, None when it is not held or was damaged.

        Raises:
            BodyStoreError: The file cannot be read.
        """
        place = self._places.get(digest)
        if place is None:
            return None
        try:
            file = self._open(place.path)
            file.seek(place.offset)
            data = file.read(place.size)
        except OSError as exc:
            raise BodyStoreError(f"Body file {place.path}: {exc}") from exc
        if hashlib.sha256(data).digest() != digest:
            del self._places[digest]
            return None
        return data

    def retain(self, keys: Iterable[_state.StepKey]) -> None:
        """Drops the bodies of all steps but these.

        Raises:
            BodyStoreError: A file cannot be deleted.
        """
        kept = {self._path(key) for key in keys}
        try:
            present = set(self._folder.glob(f"*{SUFFIX}"))
            for path in sorted(present - kept):
                self._forget(path)
                path.unlink()
        except OSError as exc:
            raise BodyStoreError(f"Body folder {self._folder}: {exc}") from exc

    def missing(self, digests: Iterable[bytes]) -> frozenset[bytes]:
        """Returns which of the digests are not held."""
        return frozenset(d for d in digests if d not in self._places)

    def close(self) -> None:
        """Closes all files, without a sync."""
        for file in self._files.values():
            file.close()
        self._files.clear()

    def _check(self) -> None:
        if self._failure is not None:
            raise BodyStoreError(self._failure)

    def _failed(self, failure: str) -> BodyStoreError:
        # What a failed write or sync left in the file is unknown, and the
        # system may not report it again: nothing more is taken in.
        self._failure = f"{failure}; restart the instance to check its files."
        return BodyStoreError(self._failure)

    def _path(self, key: _state.StepKey) -> pathlib.Path:
        # Names of trainers may hold any character; files are named by hash.
        name = hashlib.sha256(str(key[0]).encode()).hexdigest()[:32]
        return self._folder / f"{name}-{key[1]}{SUFFIX}"

    def _open(self, path: pathlib.Path) -> typing.BinaryIO:
        file = self._files.get(path)
        if file is None:
            if not path.exists():
                self._folder_dirty = True
            file = path.open("a+b")
            self._files[path] = file
        return file

    def _forget(self, path: pathlib.Path) -> None:
        file = self._files.pop(path, None)
        if file is not None:
            file.close()
        self._dirty.discard(path)
        gone = [d for d, place in self._places.items() if place.path == path]
        for digest in gone:
            del self._places[digest]

    def _recover(self, path: pathlib.Path) -> None:
        end = 0
        with path.open("rb") as file:
            while len(header := file.read(HEADER.size)) == HEADER.size:
                size, digest = HEADER.unpack(header)
                data = file.read(size)
                if hashlib.sha256(data).digest() != digest:
                    break
                offset = end + HEADER.size
                self._places[digest] = _Place(path, offset, size)
                end = offset + size
        if end < path.stat().st_size:
            os.truncate(path, end)
        # What was read may have been written without a sync.
        self._dirty.add(path)
        self._folder_dirty = True


def _sync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
