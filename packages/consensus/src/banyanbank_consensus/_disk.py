"""Storage interface of a log node and the data it stores."""

from collections.abc import Sequence
import enum
import typing

import attrs

from banyanbank_consensus import _log
from banyanbank_consensus import _members


@attrs.frozen
class HardState:
    """State that is synced before any response that depends on it is sent."""

    epoch: int = 0
    """Highest epoch seen."""
    voted_for: str = ""
    """Instance and store voted for in the epoch; empty when none."""
    cluster: str = ""
    """Log that the store belongs to permanently; empty before it joins one."""
    promised_to: str = ""
    """Instance and store of the leader that was followed or voted for last.

    A lease may rely only on this leader; all earlier ones have ended. Empty
    when it is not known, as in a log written by a release without the field.
    """


@attrs.frozen
class SnapshotMeta:
    """Metadata of a snapshot of the state machine."""

    index: int
    """Index of the last entry included in the snapshot."""
    epoch: int
    """Epoch of that entry."""
    members: _members.Members
    """Member set in force at that entry."""
    size: int
    """Size of the state in bytes."""
    crc: int
    """CRC-32 of the state."""


class SnapshotOrigin(enum.Enum):
    """Where a snapshot that is being written comes from."""

    TAKEN = "taken"
    """The own state machine."""
    RECEIVED = "received"
    """The leader."""


@attrs.define
class PendingSnapshot:
    """A snapshot that is being written, beside the latest one."""

    origin: SnapshotOrigin
    """Where it comes from; there is at most one of each origin."""
    meta: SnapshotMeta
    """Metadata of the complete snapshot."""
    state_offset: int
    """Offset of the state in the file."""
    unsynced_bytes: int = 0
    """Bytes written since the latest sync."""


@attrs.frozen
class LogImage:
    """Initial content of a log file."""

    hard_state: HardState
    """Epoch, vote and cluster."""
    base: _log.LogBase
    """Position and members at the last compacted entry."""
    entries: tuple[_log.Entry, ...]
    """Entries after the base."""


@attrs.frozen
class StoredState:
    """Content of a store, as loaded at startup."""

    store: str
    """Identity of the store."""
    image: LogImage
    """Hard state, base and entries of the log."""
    snapshot: SnapshotMeta | None
    """Metadata of the latest snapshot; None when there is none."""
    state: bytes
    """State in the latest snapshot; empty when there is none."""


class Disk(typing.Protocol):
    """Durable storage of one log node.

    Every method may raise `StorageError`, which stops the node permanently.
    """

    bytes_synced: int
    """Bytes synced since the disk was opened."""
    syncs: int
    """Number of log syncs since the disk was opened."""

    def load(self, new_store_id: str) -> StoredState:
        """Opens the store, or creates one with a new identity.

        Args:
            new_store_id: Identity to assign when the folder is empty.

        Raises:
            CorruptLogError: Synced data is corrupt.
            FormatVersionError: The data has an unsupported format version.
        """
        ...

    def append(self, entries: Sequence[_log.Entry]) -> None:
        """Writes entries, which become durable at the next `sync`."""
        ...

    def truncate_from(self, index: int) -> None:
        """Drops the entry at an index and all later entries."""
        ...

    def save_hard_state(self, hard_state: HardState) -> None:
        """Writes epoch, vote and cluster, durable after the next `sync`."""
        ...

    def sync(self) -> None:
        """Makes all earlier writes durable."""
        ...

    def begin_snapshot(
        self, origin: SnapshotOrigin, meta: SnapshotMeta
    ) -> PendingSnapshot:
        """Begins a new snapshot; drops a pending one of the same origin."""
        ...

    def append_snapshot(self, pending: PendingSnapshot, data: bytes) -> None:
        """Writes the next part of the state of a pending snapshot."""
        ...

    def finish_snapshot(
        self, pending: PendingSnapshot, image: LogImage
    ) -> None:
        """Durably replaces the snapshot, then the log."""
        ...

    def read_snapshot(self, offset: int, size: int) -> bytes:
        """Returns a range of bytes of the state in the latest snapshot."""
        ...

    def close(self) -> None:
        """Releases the storage without syncing."""
        ...
