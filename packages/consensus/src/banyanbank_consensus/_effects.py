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
class InstallSnapshot:
    """Save a received snapshot and restore the state machine from it."""

    meta: _disk.SnapshotMeta
    """Metadata of the snapshot."""
    state: bytes
    """Serialized state of the state machine."""
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
    | InstallSnapshot
    | Send
    | SendChunk
    | FailPendingProposals
    | RecordEvent
)
"""Any effect that a replica emits."""
