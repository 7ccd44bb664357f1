"""The reply to a rejected command; any command may get it."""

import enum

import attrs


class RejectReason(enum.Enum):
    """Why a command was rejected."""

    UNDECODABLE = "undecodable"
    """The bytes do not encode a known command."""
    REQUEST_ID_REUSED = "request-id-reused"
    """The request id belongs to a request with different content."""
    INVALID = "invalid"
    """The content is inconsistent or conflicts with the current state."""
    KEY_WITHDRAWN = "key-withdrawn"
    """A withdrawn key was declared again."""
    NOT_FOUND = "not-found"
    """The object that the command names does not exist, or no longer exists."""
    FULL = "full"
    """A limit on stored state is reached."""
    STALE = "stale"
    """The command comes from an epoch or incarnation that has ended."""
    DEFECT = "defect"
    """A defect prevented the command from being applied; no state changed."""


@attrs.frozen
class Rejected:
    """The command was rejected and changed no state."""

    reason: RejectReason
    """Machine-readable cause."""
    detail: str
    """What is wrong and how to correct it."""
