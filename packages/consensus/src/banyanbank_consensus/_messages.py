"""Messages between the nodes of one log."""

import attrs
import banyanbank_base as base

from banyanbank_consensus import _log
from banyanbank_consensus import _members


@attrs.frozen
class Header:
    """What every message starts with."""

    cluster: str
    """Log the message belongs to; empty before the sender joined one."""
    store: str
    """Store of the sender."""
    target: str
    """Store the message is meant for; empty for any."""
    epoch: int
    """Epoch of the sender, or the epoch a candidate asks for."""


@attrs.frozen
class Hello:
    """Tells others of a store that has no leader or is no voter."""

    head: Header
    """Sender and log."""
    answer: bool
    """Whether an answer is asked for."""
    round: int
    """Number of the hello; an answer copies it."""
    members: tuple[base.InstanceId, ...]
    """Instances of the members that the sender knows of."""


@attrs.frozen
class VoteRequest:
    """Asks for a vote, or whether one would be granted."""

    head: Header
    """Sender, log and epoch of the election."""
    pre: bool
    """Whether this is only a pre-vote."""
    last_index: int
    """Last index of the candidate's log."""
    last_epoch: int
    """Epoch of that entry."""


@attrs.frozen
class VoteResponse:
    """Answers a vote request."""

    head: Header
    """Sender, log and the sender's own epoch."""
    pre: bool
    """Whether this answers a pre-vote."""
    asked_epoch: int
    """Epoch of the election that is answered."""
    granted: bool
    """Whether the vote is granted."""


@attrs.frozen
class AppendRequest:
    """Carries entries, or none as a heartbeat."""

    head: Header
    """Sender, log and epoch of the leader."""
    sent_at: float
    """Leader's clock at the round this belongs to; echoed, never compared."""
    prev_index: int
    """Index before the first entry."""
    prev_epoch: int
    """Epoch of that entry."""
    commit: int
    """Commit index of the leader."""
    entries: tuple[_log.Entry, ...]
    """Entries that follow `prev_index`."""


@attrs.frozen
class AppendResponse:
    """Answers an append request or the end of a snapshot."""

    head: Header
    """Sender, log and the sender's own epoch."""
    sent_at: float
    """Copy of the request's."""
    accepted: bool
    """Whether the log matched at `prev_index`."""
    prev_index: int
    """Copy of the request's."""
    match: int
    """If accepted, last index known to match and synced; else a hint."""


@attrs.frozen
class SnapshotChunk:
    """Carries a piece of a snapshot."""

    head: Header
    """Sender, log and epoch of the leader."""
    sent_at: float
    """Leader's clock at the round this belongs to; echoed, never compared."""
    index: int
    """Last index that the snapshot holds."""
    last_epoch: int
    """Epoch of that entry."""
    members: _members.Members
    """Members in force at that entry."""
    size: int
    """Bytes of the whole state."""
    crc: int
    """CRC-32 of the whole state."""
    offset: int
    """Where in the state this piece belongs."""
    data: bytes
    """The piece."""


@attrs.frozen
class SnapshotAck:
    """Tells how much of a snapshot has arrived."""

    head: Header
    """Sender, log and the sender's own epoch."""
    sent_at: float
    """Copy of the chunk's."""
    index: int
    """Last index that the snapshot holds."""
    received: int
    """Bytes received from the start without a gap."""


Message = (
    Hello
    | VoteRequest
    | VoteResponse
    | AppendRequest
    | AppendResponse
    | SnapshotChunk
    | SnapshotAck
)
"""Any message between nodes."""

MESSAGE_CODEC: base.Codec[Message] = base.Codec(
    Hello,
    VoteRequest,
    VoteResponse,
    AppendRequest,
    AppendResponse,
    SnapshotChunk,
    SnapshotAck,
)
"""Codec of the frames between nodes."""
