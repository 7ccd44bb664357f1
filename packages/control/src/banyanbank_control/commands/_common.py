"""The reply that any command may get."""

import enum

import attrs


class RejectReason(enum.Enum):
    """Why a command changed nothing."""

    UNDECODABLE = "undecodable"
    """The bytes are no known command."""
    REQUEST_ID_REUSED = "request-id-reused"
    """The request id belongs to a request of other content."""
    INVALID = "invalid"
    """The content contradicts itself or what is in force."""
    KEY_WITHDRAWN = "key-withdrawn"
    """A withdrawn key was declared again."""
    NOT_FOUND = "not-found"
    """What the command names does not exist (any more)."""
    FULL = "full"
    """A bound on kept state is reached."""
    STALE = "stale"
    """The command comes from an epoch or life that is over."""
    DEFECT = "defect"
    """The command ran into a defect; it changed nothing."""


@attrs.frozen
class Rejected:
    """The command changed nothing."""

    reason: RejectReason
    """Machine-readable cause."""
    detail: str
    """What is wrong and what to do."""
