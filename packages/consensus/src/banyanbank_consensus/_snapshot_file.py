"""Byte format of the snapshot file: magic, version, lengths, meta, state."""

import struct
import zlib

import attrs
import banyanbank_base as base

from banyanbank_consensus import _disk
from banyanbank_consensus import _errors

FORMAT_VERSION = 1
"""Version of the format that this release reads and writes."""

_MAGIC = b"BBKSNP"
_HEAD = struct.Struct(">6sHII")
_META_CODEC: base.Codec[_disk.SnapshotMeta] = base.Codec(_disk.SnapshotMeta)


@attrs.frozen
class SnapshotFile:
    """A snapshot file that was read and checked."""

    meta: _disk.SnapshotMeta
    """What the file describes."""
    state: bytes
    """State of the state machine."""
    state_offset: int
    """Where the state starts in the file."""


def pack(meta: _disk.SnapshotMeta, state: bytes) -> tuple[bytes, int]:
    """Returns the bytes of a snapshot file and the offset of the state."""
    head = _META_CODEC.encode(meta)
    crc = zlib.crc32(head)
    prefix = _HEAD.pack(_MAGIC, FORMAT_VERSION, len(head), crc) + head
    return prefix + state, len(prefix)


def unpack(data: bytes, name: str) -> SnapshotFile:
    """Reads a snapshot file.

    Raises:
        CorruptLogError: The content does not match its checksums.
        FormatVersionError: Another release wrote the file.
    """
    if len(data) < _HEAD.size:
        raise _errors.CorruptLogError(f"File {name} is too short for a head.")
    magic, version, size, crc = _HEAD.unpack_from(data)
    if magic != _MAGIC:
        raise _errors.CorruptLogError(f"File {name} is not a snapshot file.")
    if version != FORMAT_VERSION:
        raise _errors.FormatVersionError(
            f"File {name} has format {version}; this release reads format "
            f"{FORMAT_VERSION}. Start the release that wrote it."
        )
    start = _HEAD.size + size
    head = data[_HEAD.size : start]
    if zlib.crc32(head) != crc:
        raise _errors.CorruptLogError(f"The head of file {name} is damaged.")
    meta = _META_CODEC.decode(head)
    state = data[start:]
    if len(state) != meta.size or zlib.crc32(state) != meta.crc:
        raise _errors.CorruptLogError(
            f"The state in file {name} is damaged; replace the data folder."
        )
    return SnapshotFile(meta, state, start)
