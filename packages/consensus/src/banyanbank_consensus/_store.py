"""Durable storage of a log node, in a log file and a snapshot file."""

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

LOG_FILE_NAME = "log"
SNAPSHOT_FILE_NAME = "snapshot"
TEMPORARY_SUFFIX = ".new"

SNAPSHOT_SYNC_BYTES = 1 << 20
"""Snapshot data after which the file is synced, so that no sync takes long."""

P = typing.ParamSpec("P")
R = typing.TypeVar("R")


def _fail_stop(
    method: Callable[typing.Concatenate["LogStore", P], R],
) -> Callable[typing.Concatenate["LogStore", P], R]:
    """Turns an `OSError` into a `StorageError` and rejects later calls.

    After a failed sync the kernel may drop the dirty pages, and a second sync
    would then succeed without writing the data. No operation is retried.
    """

    @functools.wraps(method)
    def wrapper(self: "LogStore", *args: P.args, **kwargs: P.kwargs) -> R:
        if self.failure is not None:
            raise _errors.StorageError(
                f"Storage failed earlier: {self.failure}. Check the disk, then "
                "restart the node."
            )
        try:
            return method(self, *args, **kwargs)
        except OSError as exc:
            self.failure = exc
            raise _errors.StorageError(
                f"Storage failed in {method.__name__}: {exc}. The node stops; "
                "check the disk, then restart the node."
            ) from exc

    return typing.cast(Callable[typing.Concatenate["LogStore", P], R], wrapper)


class LogStore:
    """Implementation of `Disk` on a folder of files.

    Args:
        files: Folder that holds the log and snapshot files.
    """

    def __init__(self, files: _files.Files) -> None:
        self.files = files
        """Folder that holds the log and snapshot files."""
        self.bytes_synced = 0
        """Bytes synced since the store was opened."""
        self.syncs = 0
        """Number of log syncs since the store was opened."""
        self.failure: OSError | None = None
        """First error; afterwards loads, syncs and snapshot calls fail."""
        self._store_id = ""
        self._crc_seed = 0
        self._file_size = 0
        self._synced_size = 0
        self._buffer: list[bytes] = []
        self._state_offset = 0

    @_fail_stop
    def load(self, new_store_id: str) -> _disk.StoredState:
        """Opens the store, or creates one with a new identity.

        Args:
            new_store_id: Identity to assign when the folder is empty.

        Raises:
            CorruptLogError: Synced data is corrupt.
            FormatVersionError: The data has an unsupported format version.
            StorageError: The folder cannot be read or written.
        """
        self.files.remove(LOG_FILE_NAME + TEMPORARY_SUFFIX)
        for origin in _disk.SnapshotOrigin:
            self.files.remove(_name_pending(origin))
        content = self.files.read(LOG_FILE_NAME)
        snapshot = self._load_snapshot()
        if content is None:
            return self._create(new_store_id, snapshot)
        recovered = _recovery.recover_log(content, LOG_FILE_NAME)
        self._set_store_id(recovered.store)
        if recovered.size < len(content):
            self.files.truncate(LOG_FILE_NAME, recovered.size)
        self.files.sync(LOG_FILE_NAME)
        self._file_size = self._synced_size = recovered.size
        stored = _recovery.combine_with_snapshot(recovered, snapshot)
        self._drop_replaced_entries(recovered.image, stored.image)
        return stored

    def append(self, entries: Sequence[_log.Entry]) -> None:
        """Buffers entries, which become durable at the next `sync`."""
        for entry in entries:
            payload = _records.pack_entry(entry)
            self._buffer_record(_records.RecordType.ENTRY, payload)

    def truncate_from(self, index: int) -> None:
        """Drops the entry at an index and all later entries."""
        payload = _records.pack_truncation(index)
        self._buffer_record(_records.RecordType.TRUNCATE, payload)

    def save_hard_state(self, hard_state: _disk.HardState) -> None:
        """Buffers epoch, vote and cluster, durable after the next `sync`."""
        payload = _records.HARD_STATE_CODEC.encode(hard_state)
        self._buffer_record(_records.RecordType.HARD_STATE, payload)

    @_fail_stop
    def sync(self) -> None:
        """Writes the buffered records and syncs the log file.

        Raises:
            StorageError: The data may be lost; the node must stop.
        """
        if self._buffer:
            self.files.append(LOG_FILE_NAME, b"".join(self._buffer))
            self._buffer.clear()
        if self._synced_size == self._file_size:
            return
        self.files.sync(LOG_FILE_NAME)
        self.syncs += 1
        self.bytes_synced += self._file_size - self._synced_size
        self._synced_size = self._file_size

    @_fail_stop
    def begin_snapshot(
        self, origin: _disk.SnapshotOrigin, meta: _disk.SnapshotMeta
    ) -> _disk.PendingSnapshot:
        """Begins a new snapshot; drops a pending one of the same origin.

        Args:
            origin: Where the snapshot comes from.
            meta: Metadata of the complete snapshot.

        Raises:
            StorageError: The file cannot be written; the node must stop.
        """
        head = _snapshot_file.pack_head(meta)
        self.files.remove(_name_pending(origin))
        self.files.append(_name_pending(origin), head)
        return _disk.PendingSnapshot(origin, meta, len(head), len(head))

    @_fail_stop
    def append_snapshot(
        self, pending: _disk.PendingSnapshot, data: bytes
    ) -> None:
        """Writes the next part of the state of a pending snapshot.

        Args:
            pending: What `begin_snapshot` returned last for this origin.
            data: The part.

        Raises:
            StorageError: The file cannot be written; the node must stop.
        """
        self.files.append(_name_pending(pending.origin), data)
        pending.unsynced_bytes += len(data)
        if pending.unsynced_bytes >= SNAPSHOT_SYNC_BYTES:
            self._sync_snapshot(pending)

    @_fail_stop
    def finish_snapshot(
        self, pending: _disk.PendingSnapshot, image: _disk.LogImage
    ) -> None:
        """Durably replaces the snapshot, then the log.

        Args:
            pending: A snapshot whose parts are all written.
            image: Initial content of the new log file.

        Raises:
            StorageError: The new snapshot may be stored with the old log. The
                node must stop; the next start recovers from either state.
        """
        self._sync_snapshot(pending)
        self._move_file(_name_pending(pending.origin), SNAPSHOT_FILE_NAME)
        self._state_offset = pending.state_offset
        self._write_log_file(image)

    @_fail_stop
    def read_snapshot(self, offset: int, size: int) -> bytes:
        """Returns a range of bytes of the state in the latest snapshot."""
        position = self._state_offset + offset
        return self.files.read_at(SNAPSHOT_FILE_NAME, position, size)

    def close(self) -> None:
        """Closes the files without syncing and releases the lock."""
        self.files.close()

    def _create(
        self, store: str, snapshot: _snapshot_file.SnapshotFile | None
    ) -> _disk.StoredState:
        if snapshot is not None:
            raise _errors.CorruptLogError(
                f"File {LOG_FILE_NAME} is missing, but there is a snapshot; "
                "replace the data folder with an empty one."
            )
        self._set_store_id(store)
        image = _disk.LogImage(_disk.HardState(), _log.LogBase(), ())
        self._write_log_file(image)
        return _disk.StoredState(store, image, None, b"")

    def _drop_replaced_entries(
        self, file_image: _disk.LogImage, image: _disk.LogImage
    ) -> None:
        """Rewrites the log file if the snapshot replaced entries in it.

        Entries appended later would not follow those in the file.
        """
        if image != file_image:
            self._write_log_file(image)

    def _load_snapshot(self) -> _snapshot_file.SnapshotFile | None:
        content = self.files.read(SNAPSHOT_FILE_NAME)
        if content is None:
            return None
        snapshot = _snapshot_file.unpack(content, SNAPSHOT_FILE_NAME)
        self._state_offset = snapshot.state_offset
        return snapshot

    def _set_store_id(self, store: str) -> None:
        self._store_id = store
        self._crc_seed = zlib.crc32(store.encode())

    def _write_log_file(self, image: _disk.LogImage) -> None:
        self._buffer = [_records.pack_file_header()]
        self._file_size = len(self._buffer[0])
        self._synced_size = 0
        header = _records.LogHeader(self._store_id, image.base)
        payload = _records.HEADER_CODEC.encode(header)
        self._buffer_record(_records.RecordType.HEADER, payload, crc_seed=0)
        self.save_hard_state(image.hard_state)
        self.append(image.entries)
        self._replace_file(LOG_FILE_NAME, b"".join(self._buffer))
        self._buffer.clear()
        self._synced_size = self._file_size

    def _replace_file(self, name: str, content: bytes) -> None:
        temporary_name = name + TEMPORARY_SUFFIX
        self.files.append(temporary_name, content)
        self.files.sync(temporary_name)
        self.bytes_synced += len(content)
        self._move_file(temporary_name, name)

    def _move_file(self, source: str, target: str) -> None:
        self.files.replace(source, target)
        self.files.sync_folder()

    def _sync_snapshot(self, pending: _disk.PendingSnapshot) -> None:
        self.files.sync(_name_pending(pending.origin))
        self.bytes_synced += pending.unsynced_bytes
        pending.unsynced_bytes = 0

    def _buffer_record(
        self,
        kind: _records.RecordType,
        payload: bytes,
        crc_seed: int | None = None,
    ) -> None:
        record = _records.pack_record(
            kind,
            payload,
            self._file_size,
            self._synced_size,
            self._crc_seed if crc_seed is None else crc_seed,
        )
        self._buffer.append(record)
        self._file_size += len(record)


def _name_pending(origin: _disk.SnapshotOrigin) -> str:
    """Returns the name of the file of a pending snapshot."""
    is_received = origin is _disk.SnapshotOrigin.RECEIVED
    infix = ".received" if is_received else ""
    return f"{SNAPSHOT_FILE_NAME}{infix}{TEMPORARY_SUFFIX}"


class FileDisk(LogStore):
    """Storage in a data folder, which stays locked until `close`.

    Args:
        path: Path of the folder; it is created if missing.

    Raises:
        FolderLockedError: Another process holds the lock of the folder.
        StorageError: The folder cannot be created or opened.
    """

    def __init__(self, path: str | pathlib.Path) -> None:
        try:
            files = _files.OsFiles(pathlib.Path(path))
        except OSError as exc:
            raise _errors.StorageError(
                f"Data folder {path} cannot be opened: {exc}. Check that the "
                "path is a folder that this process may write to."
            ) from exc
        super().__init__(files)


class MemoryDisk(LogStore):
    """In-memory storage, for tests and `demo`.

    Args:
        files: In-memory folder to reopen; None for a new one.
    """

    def __init__(self, files: _memory_files.MemoryFiles | None = None) -> None:
        super().__init__(files or _memory_files.MemoryFiles())
