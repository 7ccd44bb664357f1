"""Errors of the transport between instances."""

import enum

import attrs
import banyanbank_base as base


class CallErrorKind(enum.Enum):
    """Why a call or stream got no whole answer."""

    UNREACHABLE = "unreachable"
    """No connection to the peer could be made."""
    DISCONNECTED = "disconnected"
    """The connection broke before the whole answer had arrived."""
    DEADLINE = "deadline"
    """The deadline passed before the whole answer had arrived."""
    TOO_LARGE = "too-large"
    """The frame exceeds what the transport carries."""
    OVERLOADED = "overloaded"
    """A queue at this side or at the peer is full."""
    NO_METHOD = "no-method"
    """The peer has no handler for the method."""
    REFUSED = "refused"
    """The handler refused with an outcome of its own."""
    HANDLER_FAILED = "handler-failed"
    """The handler raised an unexpected exception."""
    CANCELLED = "cancelled"
    """This side cancelled."""
    PROTOCOL = "protocol"
    """The peer broke the protocol."""
    STOPPED = "stopped"
    """The mesh of either side has been stopped."""


@attrs.frozen
class CallError:
    """Why a call or stream failed, and what may be believed about it."""

    kind: CallErrorKind
    """Machine-readable cause."""
    outcome: base.Outcome
    """`NOT_RUN` only if no handler can have seen the request."""
    detail: str
    """One sentence for people."""


class HandlerRefusalError(Exception):
    """Raised by a handler to answer with an outcome of its own.

    Args:
        outcome: What the caller may believe about execution.
        detail: One sentence for people.
    """

    def __init__(self, outcome: base.Outcome, detail: str) -> None:
        super().__init__(detail)
        self.outcome = outcome
        self.detail = detail


class StreamClosedError(Exception):
    """The reader of a stream cancelled, or its connection broke."""


class HandshakeError(Exception):
    """A connection was refused before it carried any frame.

    Args:
        code: Close code of the websocket, in the private range.
        detail: One sentence for people, shown at both ends.
    """

    def __init__(self, code: int, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail
