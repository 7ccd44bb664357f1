"""The part of the log that is held in memory."""

from collections.abc import Iterable
import enum

import attrs

from banyanbank_consensus import _errors
from banyanbank_consensus import _members

ENTRY_OVERHEAD_BYTES = 64
"""What an entry counts for in limits beside its payload."""


class EntryKind(enum.IntEnum):
    """What an entry holds."""

    NOOP = 0
    """Nothing; opens an epoch."""
    COMMAND = 1
    """A command of the state machine."""
    MEMBERS = 2
    """A member set, in force from the moment the entry is appended."""


@attrs.frozen
class Entry:
    """One entry of the log."""

    index: int
    """Place in the log, from 1."""
    epoch: int
    """Epoch of the leader that appended it."""
    kind: EntryKind
    """What `data` holds."""
    data: bytes = b""
    """Payload; empty for a no-op."""

    @property
    def size(self) -> int:
        """Bytes the entry counts for in limits."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


@attrs.frozen
class LogBase:
    """What stands in for the entries that were dropped."""

    index: int = 0
    """Index of the last dropped entry; 0 when none was."""
    epoch: int = 0
    """Epoch of that entry; 0 when none was dropped."""
    members: _members.Members = attrs.field(factory=_members.Members)
    """Members in force at that entry."""


class Log:
    """Entries after a base, with the member sets they put in force.

    Args:
        start: What stands in for earlier entries.
        entries: Entries that follow the base without a gap.
    """

    def __init__(
        self, start: LogBase = LogBase(), entries: Iterable[Entry] = ()
    ) -> None:
        self.base = start
        self.size = 0
        self._entries: list[Entry] = []
        self._changes: list[tuple[int, _members.Members]] = []
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base.index + len(self._entries)

    @property
    def last_epoch(self) -> int:
        """Epoch of the last entry."""
        return self._entries[-1].epoch if self._entries else self.base.epoch

    @property
    def members(self) -> _members.Members:
        """Members in force at the end of the log."""
        return self._changes[-1][1] if self._changes else self.base.members

    @property
    def members_index(self) -> int:
        """Index of the entry that put the newest members in force."""
        return self._changes[-1][0] if self._changes else self.base.index

    def members_at(self, index: int) -> _members.Members:
        """Returns the members in force at an index."""
        for at, members in reversed(self._changes):
            if at <= index:
                return members
        return self.base.members

    def epoch_at(self, index: int) -> int | None:
        """Returns the epoch of an entry; None when it is not held."""
        if index == self.base.index:
            return self.base.epoch
        if self.base.index < index <= self.last_index:
            return self._entries[index - self.base.index - 1].epoch
        return None

    def get(self, index: int) -> Entry:
        """Returns the entry at an index that is held."""
        if not self.base.index < index <= self.last_index:
            raise _errors.ConsensusDefectError(
                f"Entry {index} is not held: the log spans "
                f"{self.base.index + 1} to {self.last_index}."
            )
        return self._entries[index - self.base.index - 1]

    def entries_from(
        self, index: int, max_bytes: int | None = None
    ) -> tuple[Entry, ...]:
        """Returns entries from an index on, at least one if there is one.

        Args:
            index: First index wanted; must be above the base.
            max_bytes: Where to stop; None for all.
        """
        start = index - self.base.index - 1
        if max_bytes is None:
            return tuple(self._entries[start:])
        picked: list[Entry] = []
        total = 0
        for position in range(start, len(self._entries)):
            entry = self._entries[position]
            total += entry.size
            if picked and total > max_bytes:
                break
            picked.append(entry)
        return tuple(picked)

    def append(self, entries: Iterable[Entry]) -> None:
        """Appends entries that follow the last one."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise _errors.ConsensusDefectError(
                    f"Entry {entry.index} cannot follow {self.last_index}."
                )
            self._entries.append(entry)
            self.size += entry.size
            if entry.kind is EntryKind.MEMBERS:
                members = _members.MEMBERS_CODEC.decode(entry.data)
                self._changes.append((entry.index, members))

    def truncate_from(self, index: int) -> None:
        """Drops the entry at an index and all that follow."""
        start = max(index - self.base.index - 1, 0)
        self.size -= sum(entry.size for entry in self._entries[start:])
        del self._entries[start:]
        while self._changes and self._changes[-1][0] >= index:
            self._changes.pop()

    def drop_to(self, index: int) -> None:
        """Drops the entries up to an index that is held."""
        epoch = self.epoch_at(index)
        if epoch is None:
            raise _errors.ConsensusDefectError(f"Cannot drop up to {index}.")
        members = self.members_at(index)
        count = index - self.base.index
        self.size -= sum(entry.size for entry in self._entries[:count])
        del self._entries[:count]
        self.base = LogBase(index, epoch, members)
        self._changes = [c for c in self._changes if c[0] > index]

    def reset(self, start: LogBase) -> None:
        """Replaces the whole log by a base."""
        self.base = start
        self._entries = []
        self._changes = []
        self.size = 0


def same_entry(log: Log, entry: Entry) -> bool:
    """Whether the log holds this entry already."""
    return log.epoch_at(entry.index) == entry.epoch


def last_epoch_start(log: Log, index: int) -> int:
    """Returns the first held index of the epoch that an index is in."""
    epoch = log.epoch_at(index)
    while index - 1 > log.base.index and log.epoch_at(index - 1) == epoch:
        index -= 1
    return index
