"""Numbers the changes of soft state, so that a reader gets just the new."""

import collections
import collections.abc
import typing

import attrs

K = typing.TypeVar("K")

MAX_GONE = 4096
"""Changes remembered beyond the ones of what there is now."""


@attrs.define
class ChangeLog(typing.Generic[K]):
    """The newest change of each key, in order."""

    sequence: int = 0
    """Number of the newest change."""
    floor: int = 0
    """Changes up to this number may be forgotten."""
    _newest: collections.OrderedDict[K, int] = attrs.Factory(
        collections.OrderedDict
    )

    def note(self, key: K) -> None:
        """Notes that a key has changed or gone."""
        self.sequence += 1
        self._newest[key] = self.sequence
        self._newest.move_to_end(key)

    def trim(self, live: int) -> None:
        """Forgets the oldest changes.

        Args:
            live: How many keys there are now.
        """
        while len(self._newest) > live + MAX_GONE:
            _, self.floor = self._newest.popitem(last=False)

    def since(self, sequence: int) -> collections.abc.Iterator[K] | None:
        """Returns the keys changed after a number; None when forgotten."""
        if not self.floor <= sequence <= self.sequence:
            return None
        return self._after(sequence)

    def _after(self, sequence: int) -> collections.abc.Iterator[K]:
        for key, number in reversed(self._newest.items()):
            if number <= sequence:
                return
            yield key
