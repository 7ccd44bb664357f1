"""A persistent map that forgets its oldest entries beyond a bound."""

import collections.abc
import typing

import attrs
import immutables

K = typing.TypeVar("K")
V = typing.TypeVar("V")


@attrs.frozen
class FifoMap(typing.Generic[K, V]):
    """Persistent map in order of insertion; every step costs the same."""

    limit: int
    """Entries kept at most."""
    entries: immutables.Map[K, V] = attrs.Factory(immutables.Map)
    """Entries by key."""
    order: immutables.Map[int, K] = attrs.Factory(immutables.Map)
    """Keys by their number of insertion."""
    first: int = 0
    """Number of the oldest entry."""
    next: int = 0
    """Number of the next entry."""

    def with_entry(self, key: K, value: V) -> "FifoMap[K, V]":
        """Returns a map with an entry, less the oldest when full.

        Args:
            key: A new key, or one that keeps its place.
            value: Its value.
        """
        entries = self.entries.set(key, value)
        if key in self.entries:
            return attrs.evolve(self, entries=entries)
        order = self.order.set(self.next, key)
        first = self.first
        if len(entries) > self.limit:
            entries = entries.delete(order[first])
            order = order.delete(first)
            first += 1
        return FifoMap(self.limit, entries, order, first, self.next + 1)

    def get(self, key: K) -> V | None:
        """Returns the value of a key; None when there is none."""
        return self.entries.get(key)

    def items(self) -> collections.abc.Iterator[tuple[K, V]]:
        """Yields keys and values, oldest first."""
        for number in range(self.first, self.next):
            key = self.order[number]
            yield key, self.entries[key]
