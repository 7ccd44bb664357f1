"""Byte format of the log file.

A file starts with a magic and a format version, followed by records. Each
record carries how much of the file was synced when it was written. A damaged
record is thus known to be an unsynced tail, which is cut, or synced data,
which must not be lost: some later record then says that it had been synced.
"""

import enum
import struct
import zlib

import attrs
import banyanbank_base as base

from banyanbank_consensus import _disk
from banyanbank_consensus import _errors
from banyanbank_consensus import _log

FORMAT_VERSION = 1
"""Version of the format that this release reads and writes."""

FILE_MAGIC = b"BBKLOG"
RECORD_MAGIC = b"\xb5\xca"

_FILE_HEAD = struct.Struct(">6sH")
_RECORD_HEAD = struct.Struct(">2sBIQI")
_CRC_HEAD = struct.Struct(">BIQQ")
_ENTRY_HEAD = struct.Struct(">QQB")
_INDEX = struct.Struct(">Q")


class RecordType(enum.IntEnum):
    """What a record holds."""

    HEADER = 1
    """A `LogHeader`; first in each file and nowhere else."""
    HARD_STATE = 2
    """A `HardState`, in place of the one before."""
    ENTRY = 3
    """One entry."""
    TRUNCATE = 4
    """The index from which entries are dropped."""


@attrs.frozen
class LogHeader:
    """First record of a log file."""

    store: str
    """Identity of the store."""
    base: _log.LogBase
    """What stands in for entries dropped before the file was written."""


HEADER_CODEC: base.Codec[LogHeader] = base.Codec(LogHeader)
HARD_STATE_CODEC: base.Codec[_disk.HardState] = base.Codec(_disk.HardState)


@attrs.frozen
class Record:
    """One record as read from a file."""

    type: RecordType
    """What the payload holds."""
    payload: bytes
    """Content."""
    synced: int
    """Bytes of the file that were synced when the record was written."""
    end: int
    """Offset of the next record."""


def file_head() -> bytes:
    """Returns the first bytes of a log file."""
    return _FILE_HEAD.pack(FILE_MAGIC, FORMAT_VERSION)


def check_file_head(data: bytes, name: str) -> int:
    """Checks the first bytes of a log file and returns their number."""
    if len(data) < _FILE_HEAD.size:
        raise _errors.CorruptLogError(f"File {name} is too short for a head.")
    magic, version = _FILE_HEAD.unpack_from(data)
    if magic != FILE_MAGIC:
        raise _errors.CorruptLogError(f"File {name} is not a log file.")
    if version != FORMAT_VERSION:
        raise _errors.FormatVersionError(
            f"File {name} has format {version}; this release reads format "
            f"{FORMAT_VERSION}. Start the release that wrote it."
        )
    return _FILE_HEAD.size


def pack_record(
    kind: RecordType, payload: bytes, offset: int, synced: int, salt: int
) -> bytes:
    """Returns the bytes of a record.

    Args:
        kind: What the payload holds.
        payload: Content.
        offset: Where in the file the record will stand.
        synced: Bytes of the file that are durable now.
        salt: Tells files of other stores apart.
    """
    crc = _checksum(kind, payload, offset, synced, salt)
    head = _RECORD_HEAD.pack(RECORD_MAGIC, kind, len(payload), synced, crc)
    return head + payload


def read_record(data: bytes, offset: int, salt: int) -> Record | None:
    """Reads the record at an offset; None when none is whole there."""
    start = offset + _RECORD_HEAD.size
    if start > len(data):
        return None
    magic, kind, size, synced, crc = _RECORD_HEAD.unpack_from(data, offset)
    if magic != RECORD_MAGIC or start + size > len(data):
        return None
    payload = data[start : start + size]
    if crc != _checksum(kind, payload, offset, synced, salt):
        return None
    return Record(RecordType(kind), payload, synced, start + size)


def find_synced_beyond(data: bytes, offset: int, salt: int) -> bool:
    """Whether a later record says that the byte at an offset was synced."""
    at = data.find(RECORD_MAGIC, offset + 1)
    while at >= 0:
        record = read_record(data, at, salt)
        if record is not None and record.synced > offset:
            return True
        at = data.find(RECORD_MAGIC, at + 1)
    return False


def pack_entry(entry: _log.Entry) -> bytes:
    """Returns the payload of an entry record."""
    head = _ENTRY_HEAD.pack(entry.index, entry.epoch, entry.kind)
    return head + entry.data


def unpack_entry(payload: bytes) -> _log.Entry:
    """Reads the payload of an entry record."""
    index, epoch, kind = _ENTRY_HEAD.unpack_from(payload)
    data = payload[_ENTRY_HEAD.size :]
    return _log.Entry(index, epoch, _log.EntryKind(kind), data)


def pack_index(index: int) -> bytes:
    """Returns the payload of a truncation record."""
    return _INDEX.pack(index)


def unpack_index(payload: bytes) -> int:
    """Reads the payload of a truncation record."""
    return int(_INDEX.unpack(payload)[0])


def _checksum(
    kind: int, payload: bytes, offset: int, synced: int, salt: int
) -> int:
    head = _CRC_HEAD.pack(kind, len(payload), synced, offset)
    return zlib.crc32(payload, zlib.crc32(head, salt))
