"""Binary format of the log file.

A file starts with magic bytes and a format version, followed by records. Each
record stores how many bytes of the file were synced when it was written. This
distinguishes two kinds of invalid records: if a later record shows that the
invalid one was synced, synced data is corrupt and recovery must fail; otherwise
the invalid record starts an unsynced tail, and the file is truncated there.
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
"""Format version that this release reads and writes."""

FILE_MAGIC = b"BBKLOG"
RECORD_MAGIC = b"\xb5\xca"

_FILE_HEADER = struct.Struct(">6sH")
_RECORD_HEADER = struct.Struct(">2sBIQI")
_CRC_FIELDS = struct.Struct(">BIQQ")
_ENTRY_HEADER = struct.Struct(">QQB")
_TRUNCATE_INDEX = struct.Struct(">Q")


class RecordType(enum.IntEnum):
    """Type of a record."""

    HEADER = 1
    """A `LogHeader`; the first record of a file, and only that one."""
    HARD_STATE = 2
    """A `HardState`, which replaces the previous one."""
    ENTRY = 3
    """A log entry."""
    TRUNCATE = 4
    """The first index from which entries are dropped."""


@attrs.frozen
class LogHeader:
    """First record of a log file."""

    store: str
    """Identity of the store."""
    base: _log.LogBase
    """Position and members at the last entry compacted before the file."""


HEADER_CODEC: base.Codec[LogHeader] = base.Codec(LogHeader)
HARD_STATE_CODEC: base.Codec[_disk.HardState] = base.Codec(_disk.HardState)


@attrs.frozen
class Record:
    """Record read from a file."""

    type: RecordType
    """Type of the payload."""
    payload: bytes
    """Encoded content."""
    synced_size: int
    """Number of bytes that were synced when the record was written."""
    end: int
    """Offset of the byte after the record."""


def pack_file_header() -> bytes:
    """Returns the file header: magic bytes and format version."""
    return _FILE_HEADER.pack(FILE_MAGIC, FORMAT_VERSION)


def check_file_header(data: bytes, name: str) -> int:
    """Checks the file header and returns its size in bytes.

    Args:
        data: Content of the file.
        name: Name of the file, for error messages.

    Raises:
        CorruptLogError: The data does not start with a log file header.
        FormatVersionError: The format version is not supported.
    """
    if len(data) < _FILE_HEADER.size:
        raise _errors.CorruptLogError(
            f"File {name} is too short for a file header; replace the data "
            "folder."
        )
    magic, version = _FILE_HEADER.unpack_from(data)
    if magic != FILE_MAGIC:
        raise _errors.CorruptLogError(
            f"File {name} does not start with the magic bytes of a log file; "
            "check the path of the data folder."
        )
    if version != FORMAT_VERSION:
        raise _errors.FormatVersionError(
            f"File {name} has format version {version}, but this release "
            f"reads version {FORMAT_VERSION}; start the release that wrote it."
        )
    return _FILE_HEADER.size


def pack_record(
    kind: RecordType,
    payload: bytes,
    offset: int,
    synced_size: int,
    crc_seed: int,
) -> bytes:
    """Returns the bytes of a record.

    Args:
        kind: Type of the payload.
        payload: Encoded content.
        offset: Offset of the record in the file.
        synced_size: Number of bytes of the file that are durable.
        crc_seed: Initial CRC value; it differs between stores, which makes
            records of other stores invalid.
    """
    crc = _compute_crc(kind, payload, offset, synced_size, crc_seed)
    head = _RECORD_HEADER.pack(
        RECORD_MAGIC, kind, len(payload), synced_size, crc
    )
    return head + payload


def read_record(data: bytes, offset: int, crc_seed: int) -> Record | None:
    """Reads the record at an offset; None when there is no valid one."""
    start = offset + _RECORD_HEADER.size
    if start > len(data):
        return None
    magic, kind, size, synced_size, crc = _RECORD_HEADER.unpack_from(
        data, offset
    )
    if magic != RECORD_MAGIC or start + size > len(data):
        return None
    payload = data[start : start + size]
    if crc != _compute_crc(kind, payload, offset, synced_size, crc_seed):
        return None
    return Record(RecordType(kind), payload, synced_size, start + size)


def was_offset_synced(data: bytes, offset: int, crc_seed: int) -> bool:
    """Whether a record after an offset shows that this offset was synced."""
    candidate = data.find(RECORD_MAGIC, offset + 1)
    while candidate >= 0:
        record = read_record(data, candidate, crc_seed)
        if record is not None and record.synced_size > offset:
            return True
        candidate = data.find(RECORD_MAGIC, candidate + 1)
    return False


def pack_entry(entry: _log.Entry) -> bytes:
    """Returns the payload of an entry record."""
    head = _ENTRY_HEADER.pack(entry.index, entry.epoch, entry.kind)
    return head + entry.data


def unpack_entry(payload: bytes) -> _log.Entry:
    """Parses the payload of an entry record."""
    index, epoch, kind = _ENTRY_HEADER.unpack_from(payload)
    data = payload[_ENTRY_HEADER.size :]
    return _log.Entry(index, epoch, _log.EntryKind(kind), data)


def pack_truncation(index: int) -> bytes:
    """Returns the payload of a truncation record."""
    return _TRUNCATE_INDEX.pack(index)


def unpack_truncation(payload: bytes) -> int:
    """Parses the payload of a truncation record."""
    return int(_TRUNCATE_INDEX.unpack(payload)[0])


def _compute_crc(
    kind: int, payload: bytes, offset: int, synced_size: int, crc_seed: int
) -> int:
    head = _CRC_FIELDS.pack(kind, len(payload), synced_size, offset)
    return zlib.crc32(payload, zlib.crc32(head, crc_seed))
