"""Recovery of the log from its files after a shutdown or crash."""

import zlib

import attrs

from banyanbank_consensus import _disk
from banyanbank_consensus import _errors
from banyanbank_consensus import _log
from banyanbank_consensus import _records
from banyanbank_consensus import _snapshot_file


@attrs.frozen
class RecoveredLog:
    """Content recovered from a log file."""

    store: str
    """Identity of the store."""
    image: _disk.LogImage
    """Hard state, base and entries of the log."""
    size: int
    """Size of the valid part in bytes; the rest is an unsynced tail."""


@attrs.define
class _LogReplay:
    """Log state reconstructed from the records read so far."""

    hard_state: _disk.HardState
    base: _log.LogBase
    entries: list[_log.Entry] = attrs.field(factory=list)

    def add_record(self, record: _records.Record, name: str) -> None:
        """Applies the next record of the file."""
        if record.type is _records.RecordType.ENTRY:
            self._add_entry(_records.unpack_entry(record.payload), name)
        elif record.type is _records.RecordType.HARD_STATE:
            self.hard_state = _records.HARD_STATE_CODEC.decode(record.payload)
        elif record.type is _records.RecordType.TRUNCATE:
            index = _records.unpack_truncation(record.payload)
            del self.entries[max(index - self.base.index - 1, 0) :]
        else:
            raise _errors.CorruptLogError(
                f"File {name} has a second header record before offset "
                f"{record.end}; replace the data folder."
            )

    def _add_entry(self, entry: _log.Entry, name: str) -> None:
        expected = self.base.index + len(self.entries) + 1
        if entry.index != expected:
            raise _errors.CorruptLogError(
                f"File {name} has entry {entry.index} where entry {expected} "
                "is expected; replace the data folder."
            )
        self.entries.append(entry)


def recover_log(data: bytes, name: str) -> RecoveredLog:
    """Reads a log file up to its first invalid record.

    Args:
        data: Content of the file.
        name: Name of the file, for error messages.

    Raises:
        CorruptLogError: A synced record is corrupt.
        FormatVersionError: The format version is not supported.
    """
    offset = _records.check_file_header(data, name)
    header_record = _records.read_record(data, offset, 0)
    if (
        header_record is None
        or header_record.type is not _records.RecordType.HEADER
    ):
        raise _errors.CorruptLogError(
            f"The header record of file {name} is corrupt; replace the data "
            "folder."
        )
    header = _records.HEADER_CODEC.decode(header_record.payload)
    crc_seed = zlib.crc32(header.store.encode())
    replay = _LogReplay(_disk.HardState(), header.base)
    offset = header_record.end
    while (record := _records.read_record(data, offset, crc_seed)) is not None:
        replay.add_record(record, name)
        offset = record.end
    if _records.was_offset_synced(data, offset, crc_seed):
        raise _errors.CorruptLogError(
            f"File {name} is corrupt at offset {offset}, in data that was "
            "synced. Replace the data folder with an empty one; the instance "
            "then rejoins as a new member."
        )
    image = _disk.LogImage(
        replay.hard_state, replay.base, tuple(replay.entries)
    )
    return RecoveredLog(header.store, image, offset)


def combine_with_snapshot(
    log: RecoveredLog, snapshot: _snapshot_file.SnapshotFile | None
) -> _disk.StoredState:
    """Combines log and snapshot into the content of the store.

    The two may disagree: the snapshot file is replaced before the log file,
    and a crash can happen in between.

    Raises:
        CorruptLogError: The snapshot does not cover the compacted entries.
    """
    if snapshot is None:
        if log.image.base.index > 0:
            raise _errors.CorruptLogError(
                f"The log starts after entry {log.image.base.index}, but the "
                "snapshot file is missing; replace the data folder."
            )
        return _disk.StoredState(log.store, log.image, None, b"")
    image = _drop_conflicting_entries(log.image, snapshot.meta)
    return _disk.StoredState(log.store, image, snapshot.meta, snapshot.state)


def _drop_conflicting_entries(
    image: _disk.LogImage, meta: _disk.SnapshotMeta
) -> _disk.LogImage:
    """Drops all entries unless the log agrees with the snapshot's last one."""
    if meta.index < image.base.index:
        raise _errors.CorruptLogError(
            f"The log starts after entry {image.base.index}, but the snapshot "
            f"ends at entry {meta.index}; replace the data folder."
        )
    log = _log.Log(image.base, image.entries)
    if log.epoch_at(meta.index) == meta.epoch:
        return image
    start = _log.LogBase(meta.index, meta.epoch, meta.members)
    return attrs.evolve(image, base=start, entries=())
