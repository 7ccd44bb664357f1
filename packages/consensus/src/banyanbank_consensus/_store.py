"""Durable storage of a log node in a log file and a snapshot file."""

from collections.abc import Callable
from collections.abc import Sequence
import functools
import pathlib
import typing
import zlib

from banyanbank_consensus import _disk
from banyanbank_consensus import _errors
from banyanbank_consensus import _files
from banyanbank_consensus import _log
from banyanbank_consensus import _memory_files
from banyanbank_consensus import _records
from banyanbank_consensus import _recovery
from banyanbank_consensus import _snapshot_file

LOG_NAME = "log"
SNAPSHOT_NAME = "snapshot"
TEMPORARY_SUFFIX = ".new"

P = typing.ParamSpec("P")
R = typing.TypeVar("R")


def _fail_stop(
    method: Callable[typing.Concatenate["LogStore", P], R],
) -> Callable[typing.Concatenate["LogStore", P], R]:
    """Turns an `OSError` into a `StorageError` and refuses later calls.

    After a failed sync the kernel may have dropped the dirty pages, so that a
    second sync would succeed without the data: nothing is ever tried again.
    """

    @functools.wraps(method)
    def guarded(self: "LogStore", *args: P.args, **kwargs: P.kwargs) -> R:
        if self.failure is not None:
            raise _errors.StorageError(f"Storage has failed: {self.failure}")
        try:
            return method(self, *args, **kwargs)
        except OSError as exc:
            self.failure = exc
            raise _errors.StorageError(
                f"Storage failed in {method.__name__}: {exc}. The node stops; "
                "check the disk, then restart."
            ) from exc

    return typing.cast(Callable[typing.Concatenate["LogStore", P], R], guarded)


class LogStore:
    """The `Disk` of a log node over a folder of files.

    Args:
        files: The folder.
    """

    def __init__(self, files: _files.Files) -> None:
        self.files = files
        """The folder."""
        self.bytes_synced = 0
        """Bytes made durable since the store was opened."""
        self.syncs = 0
        """Syncs of log data since the store was opened."""
        self.failure: OSError | None = None
        """The first error; the store refuses to work after it."""
        self._store = ""
        self._salt = 0
        self._size = 0
        self._synced = 0
        self._buffer: list[bytes] = []
        self._state_offset = 0

    @_fail_stop
    def load(self, new_store: str) -> _disk.Stored:
        """Opens the store, or creates it under a new identity.

        Args:
            new_store: Identity to take when the folder is empty.

        Raises:
            CorruptLogError: Synced data is damaged.
            FormatVersionError: Another release wrote the folder.
            StorageError: The folder cannot be read or written.
        """
        for name in (LOG_NAME, SNAPSHOT_NAME):
            self.files.remove(name + TEMPORARY_SUFFIX)
        content = self.files.read(LOG_NAME)
        snapshot = self._load_snapshot()
        if content is None:
            return self._create(new_store, snapshot)
        recovered = _recovery.recover_log(content, LOG_NAME)
        self._set_store(recovered.store)
        if recovered.size < len(content):
            self.files.truncate(LOG_NAME, recovered.size)
        self.files.sync(LOG_NAME)
        self._size = self._synced = recovered.size
        return _recovery.combine(recovered, snapshot)

    def append(self, entries: Sequence[_log.Entry]) -> None:
        """Writes entries; they are durable after the next `sync`."""
        for entry in entries:
            payload = _records.pack_entry(entry)
            self._add(_records.RecordType.ENTRY, payload)

    def truncate_from(self, index: int) -> None:
        """Drops the entry at an index and all after it."""
        payload = _records.pack_index(index)
        self._add(_records.RecordType.TRUNCATE, payload)

    def save_hard_state(self, hard: _disk.HardState) -> None:
        """Writes epoch, vote and cluster; durable after `sync`."""
        payload = _records.HARD_STATE_CODEC.encode(hard)
        self._add(_records.RecordType.HARD_STATE, payload)

    @_fail_stop
    def sync(self) -> None:
        """Makes everything written before durable.

        Raises:
            StorageError: The data may be lost; the node must stop.
        """
        if self._buffer:
            self.files.append(LOG_NAME, b"".join(self._buffer))
            self._buffer.clear()
        if self._synced == self._size:
            return
        self.files.sync(LOG_NAME)
        self.syncs += 1
        self.bytes_synced += self._size - self._synced
        self._synced = self._size

    @_fail_stop
    def save_snapshot(
        self,
        meta: _disk.SnapshotMeta,
        state: bytes,
        image: _disk.LogImage,
    ) -> None:
        """Replaces snapshot and log durably, in this order.

        Args:
            meta: Describes the snapshot.
            state: State of the state machine.
            image: What the new log file starts with.

        Raises:
            StorageError: Old and new files may stand side by side; the node
                must stop, and recovers either at the next start.
        """
        content, self._state_offset = _snapshot_file.pack(meta, state)
        self._replace(SNAPSHOT_NAME, content)
        self._write_log(image)

    @_fail_stop
    def read_snapshot(self, offset: int, size: int) -> bytes:
        """Returns a piece of the state of the newest snapshot."""
        at = self._state_offset + offset
        return self.files.read_at(SNAPSHOT_NAME, at, size)

    def close(self) -> None:
        """Gives the folder free without syncing."""
        self.files.close()

    def _create(
        self, store: str, snapshot: _snapshot_file.SnapshotFile | None
    ) -> _disk.Stored:
        if snapshot is not None:
            raise _errors.CorruptLogError(
                f"File {LOG_NAME} is missing beside a snapshot; replace the "
                "data folder by an empty one."
            )
        self._set_store(store)
        image = _disk.LogImage(_disk.HardState(), _log.LogBase(), ())
        self._write_log(image)
        return _disk.Stored(store, image, None, b"")

    def _load_snapshot(self) -> _snapshot_file.SnapshotFile | None:
        content = self.files.read(SNAPSHOT_NAME)
        if content is None:
            return None
        snapshot = _snapshot_file.unpack(content, SNAPSHOT_NAME)
        self._state_offset = snapshot.state_offset
        return snapshot

    def _set_store(self, store: str) -> None:
        self._store = store
        self._salt = zlib.crc32(store.encode())

    def _write_log(self, image: _disk.LogImage) -> None:
        self._buffer = [_records.file_head()]
        self._size = len(self._buffer[0])
        self._synced = 0
        header = _records.LogHeader(self._store, image.base)
        payload = _records.HEADER_CODEC.encode(header)
        self._add(_records.RecordType.HEADER, payload, salt=0)
        self.save_hard_state(image.hard)
        self.append(image.entries)
        self._replace(LOG_NAME, b"".join(self._buffer))
        self._buffer.clear()
        self._synced = self._size

    def _replace(self, name: str, content: bytes) -> None:
        temporary = name + TEMPORARY_SUFFIX
        self.files.append(temporary, content)
        self.files.sync(temporary)
        self.files.replace(temporary, name)
        self.files.sync_folder()
        self.bytes_synced += len(content)

    def _add(
        self,
        kind: _records.RecordType,
        payload: bytes,
        salt: int | None = None,
    ) -> None:
        record = _records.pack_record(
            kind,
            payload,
            self._size,
            self._synced,
            self._salt if salt is None else salt,
        )
        self._buffer.append(record)
        self._size += len(record)


class FileDisk(LogStore):
    """Storage in a data folder.

    Args:
        path: The folder; created when missing, locked while open.

    Raises:
        FolderLockedError: Another process uses the folder.
        StorageError: The folder cannot be created or opened.
    """

    def __init__(self, path: str | pathlib.Path) -> None:
        try:
            files = _files.OsFiles(pathlib.Path(path))
        except OSError as exc:
            raise _errors.StorageError(
                f"Data folder {path} cannot be opened: {exc}"
            ) from exc
        super().__init__(files)


class MemoryDisk(LogStore):
    """Storage in memory, for tests and `demo`.

    Args:
        files: A folder in memory to open again; None for a new one.
    """

    def __init__(self, files: _memory_files.MemoryFiles | None = None) -> None:
        super().__init__(files or _memory_files.MemoryFiles())
