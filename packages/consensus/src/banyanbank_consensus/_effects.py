"""Effects that a replica emits and its driver performs in order."""

import attrs
import banyanbank_base as base

from banyanbank_consensus import _disk
from banyanbank_consensus import _log
from banyanbank_consensus import _messages


@attrs.frozen
class SaveHardState:
    """Write epoch, vote and cluster."""

    hard_state: _disk.HardState
    """Hard state to write."""


@attrs.frozen
class TruncateLog:
    """Drop entries from the end of the log on disk."""

    index: int
    """Index of the first entry to drop."""


@attrs.frozen
class AppendLog:
    """Append entries to the log on disk."""

    entries: tuple[_log.Entry, ...]
    """Entries to append."""


@attrs.frozen
class WriteSnapshot:
    """Write a part of a snapshot that is being received."""

    meta: _disk.SnapshotMeta
    """Metadata of the complete snapshot."""
    offset: int
    """Offset of the part; 0 begins the snapshot anew."""
    data: bytes
    """The part."""


@attrs.frozen
class InstallSnapshot:
    """Save the snapshot that was written last and restore its state."""

    meta: _disk.SnapshotMeta
    """Metadata of the snapshot."""
    image: _disk.LogImage
    """Log content when the snapshot was complete."""


@attrs.frozen
class Send:
    """Send a message."""

    peer: base.InstanceId
    """Receiver."""
    message: _messages.Message
    """Message to send."""
    before_sync: bool = False
    """Whether to send without waiting for the sync of written entries."""


@attrs.frozen
class SendChunk:
    """Send a chunk of the latest snapshot, read from disk."""

    peer: base.InstanceId
    """Receiver."""
    chunk: _messages.SnapshotChunk
    """Message to send, with empty `data`."""
    length: int
    """Bytes to read, starting at `chunk.offset`."""


@attrs.frozen
class FailPendingProposals:
    """Fail the pending proposals, because the replica stepped down."""


@attrs.frozen
class RecordEvent:
    """Record an event through the recorder of the node."""

    kind: str
    """Name of the event."""
    detail: str = ""
    """Additional information; empty when there is none."""


Effect = (
    SaveHardState
    | TruncateLog
    | AppendLog
    | WriteSnapshot
    | InstallSnapshot
    | Send
    | SendChunk
    | FailPendingProposals
    | RecordEvent
)
"""Any effect that a replica emits."""
