"""A persistent map of bounded size with first-in, first-out eviction."""

import collections.abc
import typing

import attrs
import immutables

K = typing.TypeVar("K")
V = typing.TypeVar("V")


@attrs.frozen
class FifoMap(typing.Generic[K, V]):
    """Persistent map in insertion order; evicts the oldest entry when full.

    An insertion costs the same with and without an eviction.
    """

    max_entries: int
    """Maximum number of entries."""
    entries: immutables.Map[K, V] = attrs.Factory(immutables.Map)
    """Values by key."""
    keys_by_number: immutables.Map[int, K] = attrs.Factory(immutables.Map)
    """Keys by insertion number."""
    first: int = 0
    """Insertion number of the oldest entry."""
    next: int = 0
    """Insertion number of the next new key."""

    def with_entry(self, key: K, value: V) -> "FifoMap[K, V]":
        """Returns a copy with one entry added or replaced.

        Args:
            key: Key to set. A known key keeps its position; a new key evicts
                the oldest entry of a full map.
            value: Value to store.
        """
        entries = self.entries.set(key, value)
        if key in self.entries:
            return attrs.evolve(self, entries=entries)
        keys_by_number = self.keys_by_number.set(self.next, key)
        first = self.first
        if len(entries) > self.max_entries:
            entries = entries.delete(keys_by_number[first])
            keys_by_number = keys_by_number.delete(first)
            first += 1
        return FifoMap(
            self.max_entries, entries, keys_by_number, first, self.next + 1
        )

    def get(self, key: K) -> V | None:
        """Returns the value of a key, or None if the key is absent."""
        return self.entries.get(key)

    def items(self) -> collections.abc.Iterator[tuple[K, V]]:
        """Yields (key, value) pairs, oldest first."""
        for number in range(self.first, self.next):
            key = self.keys_by_number[number]
            yield key, self.entries[key]
