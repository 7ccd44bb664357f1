"""Frames on the wire between instances, and their codec."""

import enum

import attrs
import banyanbank_base as base

PROTOCOL_VERSION = 1
"""Raised when a frame changes its meaning."""

MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Largest frame that is sent or taken in."""

FRAME_OVERHEAD_BYTES = 1024
"""Room in a frame for everything but its data."""


class Lane(enum.Enum):
    """Which of the two connections of a pair a frame uses."""

    MESSAGES = "messages"
    """Small messages that bulk traffic must not delay."""
    CALLS = "calls"
    """Calls and streams."""


@attrs.frozen
class Hello:
    """First frame of the side that connects."""

    version: int
    """`PROTOCOL_VERSION` of the sender."""
    instance: str
    """Who connects."""
    incarnation: int
    """Life of the sender; rises from one life to the next."""
    target: str
    """Whom the sender means to reach."""
    lane: Lane
    """What the connection is for."""


@attrs.frozen
class Welcome:
    """Answer to an accepted `Hello`."""

    instance: str
    """Who accepted."""
    incarnation: int
    """Life of the accepting instance."""


@attrs.frozen
class Message:
    """One-way message; it may get lost."""

    channel: str
    """Names the handler."""
    data: bytes
    """The message."""
    time: base.HybridTime
    """Hybrid time at the sender."""


@attrs.frozen
class Call:
    """Request for one answer."""

    id: int
    """Correlation id, unique for the caller's incarnation."""
    incarnation: int
    """Life of the caller."""
    method: str
    """Names the handler."""
    data: bytes
    """The request."""
    time: base.HybridTime
    """Hybrid time at the caller."""


@attrs.frozen
class Answer:
    """Whole answer to a `Call`."""

    id: int
    """Correlation id of the call."""
    incarnation: int
    """Life of the caller, echoed."""
    data: bytes
    """The answer."""
    time: base.HybridTime
    """Hybrid time at the answering side."""


@attrs.frozen
class Failure:
    """A call or stream has failed; nothing more comes."""

    id: int
    """Correlation id of the call or stream."""
    incarnation: int
    """Life of the caller, echoed."""
    kind: str
    """Value of a `CallErrorKind`."""
    outcome: base.Outcome
    """What the caller may believe about execution."""
    detail: str
    """One sentence for people."""


@attrs.frozen
class Open:
    """Request whose answer comes in chunks."""

    id: int
    """Correlation id, unique for the caller's incarnation."""
    incarnation: int
    """Life of the caller."""
    method: str
    """Names the handler."""
    data: bytes
    """The request."""
    credit: int
    """Bytes that may be sent before a `Credit` arrives."""
    time: base.HybridTime
    """Hybrid time at the caller."""


@attrs.frozen
class Chunk:
    """The next bytes of a stream."""

    id: int
    """Correlation id of the stream."""
    incarnation: int
    """Life of the caller, echoed."""
    offset: int
    """Bytes of the stream before this chunk."""
    data: bytes
    """The bytes."""


@attrs.frozen
class End:
    """A stream is complete."""

    id: int
    """Correlation id of the stream."""
    incarnation: int
    """Life of the caller, echoed."""
    length: int
    """Bytes of the whole stream."""


@attrs.frozen
class Credit:
    """The reader of a stream has room again."""

    id: int
    """Correlation id of the stream."""
    incarnation: int
    """Life of the caller."""
    size: int
    """Further bytes that may be sent."""


@attrs.frozen
class Cancel:
    """The reader of a stream wants no more of it."""

    id: int
    """Correlation id of the stream."""
    incarnation: int
    """Life of the caller."""


Frame = (
    Hello
    | Welcome
    | Message
    | Call
    | Answer
    | Failure
    | Open
    | Chunk
    | End
    | Credit
    | Cancel
)

FRAME_CODEC: base.Codec[Frame] = base.Codec(
    Hello,
    Welcome,
    Message,
    Call,
    Answer,
    Failure,
    Open,
    Chunk,
    End,
    Credit,
    Cancel,
)


def decode(data: str | bytes) -> Frame:
    """Reads one frame of a websocket message.

    Raises:
        base.CodecError: It is a text message or no known frame.
    """
    if isinstance(data, str):
        raise base.CodecError("A text message is no frame.")
    return FRAME_CODEC.decode(data)
