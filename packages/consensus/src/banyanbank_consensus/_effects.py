"""What a replica asks its driver to do, in order."""

import attrs
import banyanbank_base as base

from banyanbank_consensus import _disk
from banyanbank_consensus import _log
from banyanbank_consensus import _messages


@attrs.frozen
class SaveHardState:
    """Write epoch, vote and cluster."""

    hard: _disk.HardState
    """What to write."""


@attrs.frozen
class TruncateLog:
    """Drop entries from the disk."""

    index: int
    """First index to drop."""


@attrs.frozen
class AppendLog:
    """Write entries to the disk."""

    entries: tuple[_log.Entry, ...]
    """What to write."""


@attrs.frozen
class InstallSnapshot:
    """Save a snapshot that was received and restore the state machine."""

    meta: _disk.SnapshotMeta
    """Describes the snapshot."""
    state: bytes
    """State of the state machine."""
    image: _disk.LogImage
    """The log beside it, as it was when the snapshot became whole."""


@attrs.frozen
class Send:
    """Send a message."""

    peer: base.InstanceId
    """Where to."""
    message: _messages.Message
    """What to send."""
    early: bool = False
    """Whether it may leave before the entries written so far are synced."""


@attrs.frozen
class SendChunk:
    """Send a piece of the newest snapshot, read from the disk."""

    peer: base.InstanceId
    """Where to."""
    chunk: _messages.SnapshotChunk
    """The message, still without data."""
    length: int
    """Bytes to read from `chunk.offset` on."""


@attrs.frozen
class LeadershipLost:
    """Fail the proposals that wait."""


@attrs.frozen
class Note:
    """Record an event of the time line."""

    kind: str
    """What happened."""
    detail: str = ""
    """Further facts."""


Effect = (
    SaveHardState
    | TruncateLog
    | AppendLog
    | InstallSnapshot
    | Send
    | SendChunk
    | LeadershipLost
    | Note
)
"""Anything a replica asks for."""
