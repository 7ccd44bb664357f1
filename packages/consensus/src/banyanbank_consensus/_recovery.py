"""Rebuilds the log from what the files hold after a stop or crash."""

import zlib

import attrs

from banyanbank_consensus import _disk
from banyanbank_consensus import _errors
from banyanbank_consensus import _log
from banyanbank_consensus import _records
from banyanbank_consensus import _snapshot_file


@attrs.frozen
class RecoveredLog:
    """Content of a log file."""

    store: str
    """Identity of the store."""
    image: _disk.LogImage
    """The log."""
    size: int
    """Bytes of the file that are whole; the rest is an unsynced tail."""


@attrs.define
class _Scan:
    """What the records read so far amount to."""

    hard: _disk.HardState
    base: _log.LogBase
    entries: list[_log.Entry] = attrs.field(factory=list)

    def take(self, record: _records.Record, name: str) -> None:
        """Takes in the next record."""
        if record.type is _records.RecordType.ENTRY:
            self._take_entry(_records.unpack_entry(record.payload), name)
        elif record.type is _records.RecordType.HARD_STATE:
            self.hard = _records.HARD_STATE_CODEC.decode(record.payload)
        elif record.type is _records.RecordType.TRUNCATE:
            index = _records.unpack_index(record.payload)
            del self.entries[max(index - self.base.index - 1, 0) :]
        else:
            raise _errors.CorruptLogError(
                f"File {name} has a second header before offset {record.end}."
            )

    def _take_entry(self, entry: _log.Entry, name: str) -> None:
        expected = self.base.index + len(self.entries) + 1
        if entry.index != expected:
            raise _errors.CorruptLogError(
                f"File {name} holds entry {entry.index} where entry "
                f"{expected} belongs; replace the data folder."
            )
        self.entries.append(entry)


def recover_log(data: bytes, name: str) -> RecoveredLog:
    """Reads a log file up to its first record that is not whole.

    Args:
        data: Content of the file.
        name: Name of the file, for messages.

    Raises:
        CorruptLogError: A record is damaged that had been synced.
        FormatVersionError: Another release wrote the file.
    """
    at = _records.check_file_head(data, name)
    first = _records.read_record(data, at, 0)
    if first is None or first.type is not _records.RecordType.HEADER:
        raise _errors.CorruptLogError(f"The header of file {name} is damaged.")
    header = _records.HEADER_CODEC.decode(first.payload)
    salt = zlib.crc32(header.store.encode())
    scan = _Scan(_disk.HardState(), header.base)
    at = first.end
    while (record := _records.read_record(data, at, salt)) is not None:
        scan.take(record, name)
        at = record.end
    if _records.find_synced_beyond(data, at, salt):
        raise _errors.CorruptLogError(
            f"File {name} is damaged at offset {at}, in data that had been "
            "synced. Replace the data folder by an empty one; the instance "
            "then comes back as a new member."
        )
    image = _disk.LogImage(scan.hard, scan.base, tuple(scan.entries))
    return RecoveredLog(header.store, image, at)


def combine(
    log: RecoveredLog, snapshot: _snapshot_file.SnapshotFile | None
) -> _disk.Stored:
    """Joins log and snapshot, which may stem from a crash between the two."""
    if snapshot is None:
        if log.image.base.index > 0:
            raise _errors.CorruptLogError(
                f"The log starts after entry {log.image.base.index}, but no "
                "snapshot stands beside it; replace the data folder."
            )
        return _disk.Stored(log.store, log.image, None, b"")
    image = _align(log.image, snapshot.meta)
    return _disk.Stored(log.store, image, snapshot.meta, snapshot.state)


def _align(image: _disk.LogImage, meta: _disk.SnapshotMeta) -> _disk.LogImage:
    """Keeps the entries of a log only if they agree with a snapshot."""
    if meta.index < image.base.index:
        raise _errors.CorruptLogError(
            f"The log starts after entry {image.base.index}, but the snapshot "
            f"ends at {meta.index}; replace the data folder."
        )
    log = _log.Log(image.base, image.entries)
    if log.epoch_at(meta.index) == meta.epoch:
        return image
    start = _log.LogBase(meta.index, meta.epoch, meta.members)
    return attrs.evolve(image, base=start, entries=())
