"""Errors of the replicated log and of its storage."""

import enum

import attrs
import banyanbank_base as base


class ProposeErrorKind(enum.Enum):
    """Why a proposal failed."""

    NOT_LEADER = "not-leader"
    """This instance is not the leader; nothing was appended."""
    LOST_LEADERSHIP = "lost-leadership"
    """Leadership ended before the entry was known to be committed."""
    TIMED_OUT = "timed-out"
    """The entry was not committed before the deadline of the proposal."""
    STOPPED = "stopped"
    """The node was stopped or its disk failed."""
    REFUSED = "refused"
    """A membership change is not possible now; `detail` gives the reason."""
    OVERLOADED = "overloaded"
    """Too many bytes are pending; nothing was appended."""


@attrs.frozen
class ProposeError:
    """Failure of a proposal."""

    kind: ProposeErrorKind
    """Category of the failure."""
    leader: base.InstanceId | None
    """Best known leader; None if unknown."""
    maybe_committed: bool
    """Whether the entry may have been committed, or may still be."""
    detail: str = ""
    """Human-readable reason; empty if `kind` is sufficient."""


class StorageError(Exception):
    """The data folder could not be read or written; the node must stop."""


class CorruptLogError(StorageError):
    """Synced data is damaged; the folder must be replaced, not repaired."""


class FormatVersionError(StorageError):
    """The data folder was written by a release with another format."""


class FolderLockedError(StorageError):
    """Another process uses the data folder."""


class ConsensusDefectError(Exception):
    """An invariant of the replicated log is violated in this process."""
