"""Numbered changes of soft state, for incremental replies."""

import collections
import collections.abc
import typing

import attrs

K = typing.TypeVar("K")

MAX_REMOVED_KEYS = 4096
"""Maximum number of changes kept in addition to one per existing key."""


@attrs.define
class ChangeLog(typing.Generic[K]):
    """The latest change of each key, in the order of the changes."""

    sequence: int = 0
    """Number of the latest change."""
    floor: int = 0
    """Changes up to this number may have been trimmed."""
    _sequence_by_key: collections.OrderedDict[K, int] = attrs.Factory(
        collections.OrderedDict
    )

    def record_change(self, key: K) -> None:
        """Records that a key was added, changed or removed."""
        self.sequence += 1
        self._sequence_by_key[key] = self.sequence
        self._sequence_by_key.move_to_end(key)

    def trim(self, live: int) -> None:
        """Drops the oldest changes beyond the maximum.

        Args:
            live: Number of keys that exist now.
        """
        while len(self._sequence_by_key) > live + MAX_REMOVED_KEYS:
            _, self.floor = self._sequence_by_key.popitem(last=False)

    def list_changed_since(
        self, sequence: int
    ) -> collections.abc.Iterator[K] | None:
        """Returns the keys changed after a number, latest first.

        None if changes after that number may have been trimmed, or if the
        number has not been reached.
        """
        if not self.floor <= sequence <= self.sequence:
            return None
        return self._iterate_after(sequence)

    def _iterate_after(self, sequence: int) -> collections.abc.Iterator[K]:
        for key, number in reversed(self._sequence_by_key.items()):
            if number <= sequence:
                return
            yield key
