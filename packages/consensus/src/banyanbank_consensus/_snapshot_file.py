"""Binary format of the snapshot file.

A file consists of magic bytes, format version, size and CRC-32 of the encoded
metadata, the metadata, and the state.
"""

import struct
import zlib

import attrs
import banyanbank_base as base

from banyanbank_consensus import _disk
from banyanbank_consensus import _errors

FORMAT_VERSION = 1
"""Format version that this release reads and writes."""

_MAGIC = b"BBKSNP"
_HEADER = struct.Struct(">6sHII")
_META_CODEC: base.Codec[_disk.SnapshotMeta] = base.Codec(_disk.SnapshotMeta)


@attrs.frozen
class SnapshotFile:
    """Verified content of a snapshot file."""

    meta: _disk.SnapshotMeta
    """Metadata of the snapshot."""
    state: bytes
    """Serialized state of the state machine."""
    state_offset: int
    """Offset of the state in the file."""


def pack_head(meta: _disk.SnapshotMeta) -> bytes:
    """Returns what a snapshot file holds before the state."""
    head = _META_CODEC.encode(meta)
    crc = zlib.crc32(head)
    return _HEADER.pack(_MAGIC, FORMAT_VERSION, len(head), crc) + head


def unpack(data: bytes, name: str) -> SnapshotFile:
    """Parses and verifies the content of a snapshot file.

    Raises:
        CorruptLogError: The content does not match its checksums.
        FormatVersionError: The format version is not supported.
    """
    if len(data) < _HEADER.size:
        raise _errors.CorruptLogError(
            f"File {name} is too short for a file header; replace the data "
            "folder."
        )
    magic, version, size, crc = _HEADER.unpack_from(data)
    if magic != _MAGIC:
        raise _errors.CorruptLogError(
            f"File {name} does not start with the magic bytes of a snapshot "
            "file; check the path of the data folder."
        )
    if version != FORMAT_VERSION:
        raise _errors.FormatVersionError(
            f"File {name} has format version {version}, but this release "
            f"reads version {FORMAT_VERSION}; start the release that wrote it."
        )
    start = _HEADER.size + size
    head = data[_HEADER.size : start]
    if zlib.crc32(head) != crc:
        raise _errors.CorruptLogError(
            f"The metadata in file {name} is corrupt; replace the data folder."
        )
    meta = _META_CODEC.decode(head)
    state = data[start:]
    if len(state) != meta.size or zlib.crc32(state) != meta.crc:
        raise _errors.CorruptLogError(
            f"The state in file {name} is corrupt; replace the data folder."
        )
    return SnapshotFile(meta, state, start)
