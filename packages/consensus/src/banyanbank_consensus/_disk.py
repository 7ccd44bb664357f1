"""What a log node asks of its disk."""

from collections.abc import Sequence
import typing

import attrs

from banyanbank_consensus import _log
from banyanbank_consensus import _members


@attrs.frozen
class HardState:
    """What must be synced before any answer that rests on it is sent."""

    epoch: int = 0
    """Newest epoch seen."""
    voted_for: str = ""
    """Instance and store that got the vote of the epoch; empty when none."""
    cluster: str = ""
    """Log this store belongs to for good; empty before it joined one."""


@attrs.frozen
class SnapshotMeta:
    """Describes a snapshot of the state machine."""

    index: int
    """Last entry that the snapshot holds."""
    epoch: int
    """Epoch of that entry."""
    members: _members.Members
    """Members in force at that entry."""
    size: int
    """Bytes of the state."""
    crc: int
    """CRC-32 of the state."""


@attrs.frozen
class LogImage:
    """Everything that a new log file starts with."""

    hard: HardState
    """Epoch, vote and cluster."""
    base: _log.LogBase
    """What stands in for dropped entries."""
    entries: tuple[_log.Entry, ...]
    """Entries kept after the base."""


@attrs.frozen
class Stored:
    """What a disk held when it was opened."""

    store: str
    """Identity of the store."""
    image: LogImage
    """The log."""
    snapshot: SnapshotMeta | None
    """The newest snapshot; None when none was taken."""
    state: bytes
    """Bytes of the snapshot; empty when there is none."""


class Disk(typing.Protocol):
    """Durable storage of one log node.

    Every method may raise `StorageError`; the node then stops for good.
    """

    bytes_synced: int
    """Bytes made durable since the disk was opened."""
    syncs: int
    """Syncs of log data since the disk was opened."""

    def load(self, new_store: str) -> Stored:
        """Opens the store, or creates it under a new identity.

        Args:
            new_store: Identity to take when the folder is empty.

        Raises:
            CorruptLogError: Synced data is damaged.
            FormatVersionError: Another release wrote the folder.
        """
        ...

    def append(self, entries: Sequence[_log.Entry]) -> None:
        """Writes entries; they are durable after the next `sync`."""
        ...

    def truncate_from(self, index: int) -> None:
        """Drops the entry at an index and all after it."""
        ...

    def save_hard_state(self, hard: HardState) -> None:
        """Writes epoch, vote and cluster; durable after `sync`."""
        ...

    def sync(self) -> None:
        """Makes everything written before durable."""
        ...

    def save_snapshot(
        self, meta: SnapshotMeta, state: bytes, image: LogImage
    ) -> None:
        """Replaces snapshot and log durably, in this order."""
        ...

    def read_snapshot(self, offset: int, size: int) -> bytes:
        """Returns a piece of the state of the newest snapshot."""
        ...

    def close(self) -> None:
        """Gives the folder free without syncing."""
        ...
