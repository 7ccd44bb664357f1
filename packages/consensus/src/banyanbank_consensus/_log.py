"""In-memory part of the replicated log."""

from collections.abc import Iterable
import enum

import attrs

from banyanbank_consensus import _errors
from banyanbank_consensus import _members

ENTRY_OVERHEAD_BYTES = 64
"""Bytes added to the payload size of an entry when limits are checked."""


class EntryKind(enum.IntEnum):
    """Type of the payload of an entry."""

    NOOP = 0
    """No payload; the first entry of a leader in its epoch."""
    COMMAND = 1
    """A command for the state machine."""
    MEMBERS = 2
    """A member set, in force as soon as the entry is appended."""


@attrs.frozen
class Entry:
    """Entry of the log."""

    index: int
    """Position in the log, starting at 1."""
    epoch: int
    """Epoch of the leader that created it."""
    kind: EntryKind
    """Type of `data`."""
    data: bytes = b""
    """Payload; empty for a no-op."""

    @property
    def size(self) -> int:
        """Size in bytes for limits: payload plus `ENTRY_OVERHEAD_BYTES`."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


@attrs.frozen
class LogBase:
    """Position and members at the last compacted entry."""

    index: int = 0
    """Index of the last compacted entry; 0 when there is none."""
    epoch: int = 0
    """Epoch of that entry; 0 when there is none."""
    members: _members.Members = attrs.field(factory=_members.Members)
    """Member set in force at that entry."""


class Log:
    """Entries after a base, and the member sets they contain.

    Args:
        start: Base that replaces the compacted entries.
        entries: Entries with consecutive indexes, starting after the base.
    """

    def __init__(
        self, start: LogBase = LogBase(), entries: Iterable[Entry] = ()
    ) -> None:
        self.base = start
        self.size = 0
        self._entries: list[Entry] = []
        self._member_changes: list[tuple[int, _members.Members]] = []
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base when there are none."""
        return self.base.index + len(self._entries)

    @property
    def last_epoch(self) -> int:
        """Epoch of the last entry, or of the base when there are none."""
        return self._entries[-1].epoch if self._entries else self.base.epoch

    @property
    def members(self) -> _members.Members:
        """Member set in force at the end of the log."""
        return (
            self._member_changes[-1][1]
            if self._member_changes
            else self.base.members
        )

    @property
    def members_index(self) -> int:
        """Index of the entry with the latest member set, or of the base."""
        return (
            self._member_changes[-1][0]
            if self._member_changes
            else self.base.index
        )

    def members_at(self, index: int) -> _members.Members:
        """Returns the member set in force at an index."""
        for change_index, members in reversed(self._member_changes):
            if change_index <= index:
                return members
        return self.base.members

    def members_since(self, index: int) -> list[_members.Members]:
        """Returns the member set in force at an index and all later ones."""
        later = [
            members
            for change_index, members in self._member_changes
            if change_index > index
        ]
        return [self.members_at(index), *later]

    def epoch_at(self, index: int) -> int | None:
        """Returns the epoch at an index; None when it is not in the log."""
        if index == self.base.index:
            return self.base.epoch
        if self.base.index < index <= self.last_index:
            return self._entries[index - self.base.index - 1].epoch
        return None

    def get(self, index: int) -> Entry:
        """Returns the entry at an index.

        Raises:
            ConsensusDefectError: The index is not in the log.
        """
        if not self.base.index < index <= self.last_index:
            raise _errors.ConsensusDefectError(
                f"Entry {index} is not in the log, which holds entries "
                f"{self.base.index + 1} to {self.last_index}."
            )
        return self._entries[index - self.base.index - 1]

    def entries_from(
        self, index: int, max_bytes: int | None = None
    ) -> tuple[Entry, ...]:
        """Returns the entries from an index on, at least one if any exist.

        Args:
            index: Index of the first entry; greater than that of the base.
            max_bytes: Maximum total size, unless the first entry alone
                exceeds it; None for no limit.
        """
        start = index - self.base.index - 1
        if max_bytes is None:
            return tuple(self._entries[start:])
        selected: list[Entry] = []
        total = 0
        for position in range(start, len(self._entries)):
            entry = self._entries[position]
            total += entry.size
            if selected and total > max_bytes:
                break
            selected.append(entry)
        return tuple(selected)

    def append(self, entries: Iterable[Entry]) -> None:
        """Appends entries.

        Raises:
            ConsensusDefectError: The indexes do not continue the log.
        """
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise _errors.ConsensusDefectError(
                    f"Entry {entry.index} cannot be appended after entry "
                    f"{self.last_index}."
                )
            self._entries.append(entry)
            self.size += entry.size
            if entry.kind is EntryKind.MEMBERS:
                members = _members.MEMBERS_CODEC.decode(entry.data)
                self._member_changes.append((entry.index, members))

    def truncate_from(self, index: int) -> None:
        """Drops the entry at an index and all later entries."""
        start = max(index - self.base.index - 1, 0)
        self.size -= sum(entry.size for entry in self._entries[start:])
        del self._entries[start:]
        while self._member_changes and self._member_changes[-1][0] >= index:
            self._member_changes.pop()

    def drop_through(self, index: int) -> None:
        """Drops the entries up to and including an index.

        Raises:
            ConsensusDefectError: The index is not in the log.
        """
        epoch = self.epoch_at(index)
        if epoch is None:
            raise _errors.ConsensusDefectError(
                f"Cannot compact through entry {index}, which is not in the "
                "log."
            )
        members = self.members_at(index)
        count = index - self.base.index
        self.size -= sum(entry.size for entry in self._entries[:count])
        del self._entries[:count]
        self.base = LogBase(index, epoch, members)
        self._member_changes = [
            change for change in self._member_changes if change[0] > index
        ]

    def reset(self, start: LogBase) -> None:
        """Drops all entries and sets a new base."""
        self.base = start
        self._entries = []
        self._member_changes = []
        self.size = 0


def has_entry(log: Log, entry: Entry) -> bool:
    """Whether the log has an entry with the same index and epoch."""
    return log.epoch_at(entry.index) == entry.epoch


def first_index_of_epoch(log: Log, index: int) -> int:
    """Returns the first index in the log with the epoch of an entry."""
    epoch = log.epoch_at(index)
    while index - 1 > log.base.index and log.epoch_at(index - 1) == epoch:
        index -= 1
    return index
