"""Stores for sample bodies, outside the replicated log."""

from collections.abc import Iterable
import hashlib
import os
import pathlib
import struct
import typing

import attrs

from banyanbank_rollout import _samples
from banyanbank_rollout import _state

RECORD_HEADER = struct.Struct(">I32s")
"""Length and SHA-256 of the body that follows it in the file."""

FILE_SUFFIX = ".bodies"


class BodyStoreError(Exception):
    """A body file cannot be read or written."""


class BodyStore(typing.Protocol):
    """Stores bodies by digest until their step is done."""

    def put(self, slot: _samples.SampleSlot, data: bytes) -> bytes:
        """Stores a body and returns its digest; durable after `sync`."""
        ...

    def sync(self) -> None:
        """Makes all bodies stored so far durable."""
        ...

    def get(self, digest: bytes) -> bytes | None:
        """Returns a body, None if it is not stored."""
        ...

    def retain(self, keys: Iterable[_state.StepKey]) -> None:
        """Deletes the bodies of all steps except these."""
        ...

    def missing(self, digests: Iterable[bytes]) -> frozenset[bytes]:
        """Returns the digests whose bodies are not stored."""
        ...


@attrs.frozen
class _Location:
    """File range that holds a body."""

    path: pathlib.Path
    offset: int
    size: int


class FileBodyStore:
    """Keeps one append-only file per step; `retain` deletes unneeded files.

    Memory holds only the location of each body. On opening, a file is
    truncated at its first torn or corrupt record; `missing` then returns the
    digests to fetch from other stores. After a failed write or sync the store
    rejects writes and syncs, but still serves reads.

    Args:
        directory: Directory of the files; created if absent.

    Raises:
        BodyStoreError: The directory cannot be created, or a file cannot be
            read.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._locations: dict[bytes, _Location] = {}
        self._files: dict[pathlib.Path, typing.BinaryIO] = {}
        self._unsynced_files: set[pathlib.Path] = set()
        self._is_directory_unsynced = False
        self._failure: str | None = None
        try:
            directory.mkdir(parents=True, exist_ok=True)
            for path in sorted(directory.glob(f"*{FILE_SUFFIX}")):
                self._recover_file(path)
        except OSError as exc:
            raise BodyStoreError(
                f"Cannot open body directory {directory}: {exc}"
            ) from exc

    def put(self, slot: _samples.SampleSlot, data: bytes) -> bytes:
        """Stores a body and returns its digest; durable after `sync`.

        Raises:
            BodyStoreError: The file cannot be written.
        """
        self._check_not_failed()
        digest = hashlib.sha256(data).digest()
        if digest in self._locations:
            return digest
        path = self._path_for_step((slot.trainer, slot.step))
        try:
            file = self._open_file(path)
            start = file.seek(0, os.SEEK_END)
            file.write(RECORD_HEADER.pack(len(data), digest) + data)
            file.flush()
        except OSError as exc:
            raise self._record_failure(
                f"Cannot write body file {path}: {exc}"
            ) from exc
        self._unsynced_files.add(path)
        offset = start + RECORD_HEADER.size
        self._locations[digest] = _Location(path, offset, len(data))
        return digest

    def sync(self) -> None:
        """Makes all bodies stored so far durable.

        Raises:
            BodyStoreError: A file cannot be synced; no body put since the
                last `sync` may be considered durable.
        """
        self._check_not_failed()
        try:
            for path in sorted(self._unsynced_files):
                os.fsync(self._open_file(path).fileno())
            if self._is_directory_unsynced:
                _sync_directory(self._directory)
        except OSError as exc:
            raise self._record_failure(
                f"Cannot sync bodies in {self._directory}: {exc}"
            ) from exc
        self._unsynced_files.clear()
        self._is_directory_unsynced = False

    def get(self, digest: bytes) -> bytes | None:
        """Returns a body, None if it is not stored or is corrupt.

        Raises:
            BodyStoreError: The file cannot be read.
        """
        location = self._locations.get(digest)
        if location is None:
            return None
        try:
            file = self._open_file(location.path)
            file.seek(location.offset)
            data = file.read(location.size)
        except OSError as exc:
            raise BodyStoreError(
                f"Cannot read body file {location.path}: {exc}"
            ) from exc
        if hashlib.sha256(data).digest() != digest:
            del self._locations[digest]
            return None
        return data

    def retain(self, keys: Iterable[_state.StepKey]) -> None:
        """Deletes the bodies of all steps except these.

        Raises:
            BodyStoreError: A file cannot be deleted.
        """
        kept = {self._path_for_step(key) for key in keys}
        try:
            all_paths = set(self._directory.glob(f"*{FILE_SUFFIX}"))
            for path in sorted(all_paths - kept):
                self._drop_file(path)
                path.unlink()
        except OSError as exc:
            raise BodyStoreError(
                f"Cannot delete body files in {self._directory}: {exc}"
            ) from exc

    def missing(self, digests: Iterable[bytes]) -> frozenset[bytes]:
        """Returns the digests whose bodies are not stored."""
        return frozenset(d for d in digests if d not in self._locations)

    def close(self) -> None:
        """Closes all files without syncing them."""
        for file in self._files.values():
            file.close()
        self._files.clear()

    def _check_not_failed(self) -> None:
        if self._failure is not None:
            raise BodyStoreError(self._failure)

    def _record_failure(self, failure: str) -> BodyStoreError:
        # After a failed write or sync the file contents are unknown, and the
        # operating system may not report the error again, so the store rejects
        # further writes.
        self._failure = f"{failure}; restart the instance to check its files."
        return BodyStoreError(self._failure)

    def _path_for_step(self, key: _state.StepKey) -> pathlib.Path:
        # Trainer names may hold any character, so the file name is a hash.
        name = hashlib.sha256(str(key[0]).encode()).hexdigest()[:32]
        return self._directory / f"{name}-{key[1]}{FILE_SUFFIX}"

    def _open_file(self, path: pathlib.Path) -> typing.BinaryIO:
        file = self._files.get(path)
        if file is None:
            if not path.exists():
                self._is_directory_unsynced = True
            file = path.open("a+b")
            self._files[path] = file
        return file

    def _drop_file(self, path: pathlib.Path) -> None:
        file = self._files.pop(path, None)
        if file is not None:
            file.close()
        self._unsynced_files.discard(path)
        dropped = [
            d
            for d, location in self._locations.items()
            if location.path == path
        ]
        for digest in dropped:
            del self._locations[digest]

    def _recover_file(self, path: pathlib.Path) -> None:
        end = 0
        with path.open("rb") as file:
            while (
                len(header := file.read(RECORD_HEADER.size))
                == RECORD_HEADER.size
            ):
                size, digest = RECORD_HEADER.unpack(header)
                data = file.read(size)
                if hashlib.sha256(data).digest() != digest:
                    break
                offset = end + RECORD_HEADER.size
                self._locations[digest] = _Location(path, offset, size)
                end = offset + size
        if end < path.stat().st_size:
            os.truncate(path, end)
        # The recovered records may have been written without a sync.
        self._unsynced_files.add(path)
        self._is_directory_unsynced = True


def _sync_directory(directory: pathlib.Path) -> None:
    fd = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
