"""Messages between the nodes of a log."""

import attrs
import banyanbank_base as base

from banyanbank_consensus import _log
from banyanbank_consensus import _members


@attrs.frozen
class Header:
    """Common header of all messages."""

    cluster: str
    """Log of the sender; empty before the sender joins one."""
    store: str
    """Store identity of the sender."""
    target: str
    """Store identity of the receiver; empty for any."""
    epoch: int
    """Epoch of the sender, or the epoch that a candidate proposes."""


@attrs.frozen
class Hello:
    """Announces a store that knows no leader or is not a voter."""

    head: Header
    """Header with store and log of the sender."""
    answer: bool
    """Whether the receiver has to respond."""
    round: int
    """Sequence number of the hello, echoed in the response."""
    members: tuple[base.InstanceId, ...]
    """Instances of the members known to the sender."""


@attrs.frozen
class VoteRequest:
    """Requests a vote or a pre-vote."""

    head: Header
    """Header with the epoch of the election."""
    pre: bool
    """Whether a pre-vote is requested."""
    last_index: int
    """Index of the last entry in the candidate's log."""
    last_epoch: int
    """Epoch of that entry."""


@attrs.frozen
class VoteResponse:
    """Response to a vote request."""

    head: Header
    """Header with the epoch of the sender."""
    pre: bool
    """Whether this responds to a pre-vote request."""
    asked_epoch: int
    """Epoch of the election in the request."""
    granted: bool
    """Whether the vote or pre-vote is granted."""


@attrs.frozen
class LeadershipQuery:
    """Asks a former leader whether it still leads."""

    head: Header
    """Header addressed to the store of the former leader."""
    incarnation: int
    """Random number of the sender's process, echoed in the answer."""


@attrs.frozen
class LeadershipAnswer:
    """Response to a leadership query."""

    head: Header
    """Header with the store of the former leader."""
    incarnation: int
    """`incarnation` of the query."""
    is_leading: bool
    """Whether the sender leads any epoch."""


@attrs.frozen
class AppendRequest:
    """Replicates entries; without entries a heartbeat."""

    head: Header
    """Header with the epoch of the leader."""
    sent_at: float
    """Leader's clock at round start; receivers echo but never compare it."""
    prev_index: int
    """Index of the entry that precedes `entries`."""
    prev_epoch: int
    """Epoch of that entry."""
    commit: int
    """Commit index of the leader."""
    entries: tuple[_log.Entry, ...]
    """Entries after `prev_index`; may be empty."""


@attrs.frozen
class AppendResponse:
    """Response to an append request or to the last chunk of a snapshot."""

    head: Header
    """Header with the epoch of the sender."""
    sent_at: float
    """`sent_at` of the request."""
    accepted: bool
    """Whether the log matches at `prev_index`."""
    prev_index: int
    """`prev_index` of the request, or the last index of the snapshot."""
    match: int
    """Last index that matches and is synced; if rejected, a retry hint."""


@attrs.frozen
class SnapshotChunk:
    """Transfers a chunk of a snapshot."""

    head: Header
    """Header with the epoch of the leader."""
    sent_at: float
    """Leader's clock at round start; receivers echo but never compare it."""
    index: int
    """Index of the last entry included in the snapshot."""
    last_epoch: int
    """Epoch of that entry."""
    members: _members.Members
    """Member set in force at that entry."""
    size: int
    """Size of the complete state in bytes."""
    crc: int
    """CRC-32 of the complete state."""
    offset: int
    """Offset of the chunk in the state."""
    data: bytes
    """Bytes of the chunk."""


@attrs.frozen
class SnapshotAck:
    """Acknowledges the chunks of a snapshot received so far."""

    head: Header
    """Header with the epoch of the sender."""
    sent_at: float
    """`sent_at` of the chunk."""
    index: int
    """Index of the last entry included in the snapshot."""
    received: int
    """Contiguous bytes received from the start of the state."""


Message = (
    Hello
    | VoteRequest
    | VoteResponse
    | LeadershipQuery
    | LeadershipAnswer
    | AppendRequest
    | AppendResponse
    | SnapshotChunk
    | SnapshotAck
)
"""Any message between the nodes of a log."""

MESSAGE_CODEC: base.Codec[Message] = base.Codec(
    Hello,
    VoteRequest,
    VoteResponse,
    LeadershipQuery,
    LeadershipAnswer,
    AppendRequest,
    AppendResponse,
    SnapshotChunk,
    SnapshotAck,
)
"""Codec of the messages between nodes."""
