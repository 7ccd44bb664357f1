"""Failures of the replicated log and of its storage."""

import enum

import attrs
import banyanbank_base as base


class ProposeErrorKind(enum.Enum):
    """Why a proposal got no reply."""

    NOT_LEADER = "not-leader"
    """This instance does not lead; nothing was appended."""
    LOST_LEADERSHIP = "lost-leadership"
    """Leadership ended before the entry was known to be committed."""
    TIMED_OUT = "timed-out"
    """The entry was not committed before the deadline of the proposal."""
    STOPPED = "stopped"
    """The node was stopped or its disk failed."""
    REFUSED = "refused"
    """A change of members is not possible now; `detail` says why."""
    OVERLOADED = "overloaded"
    """Too many bytes wait for commit; nothing was appended."""


@attrs.frozen
class ProposeError:
    """Failure of a proposal."""

    kind: ProposeErrorKind
    """Why it failed."""
    leader: base.InstanceId | None
    """Best known leader; None when unknown."""
    maybe_committed: bool
    """Whether the entry may yet be, or may have been, committed."""
    detail: str = ""
    """One sentence for people; empty when the kind says all."""


class StorageError(Exception):
    """The data folder could not be read or written; the node must stop."""


class CorruptLogError(StorageError):
    """Synced data is damaged; the folder must be replaced, not repaired."""


class FormatVersionError(StorageError):
    """The data folder was written by a release with another format."""


class FolderLockedError(StorageError):
    """Another process uses the data folder."""


class ConsensusDefectError(Exception):
    """An invariant of the replicated log does not hold in this process."""
