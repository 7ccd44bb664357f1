"""Counts of requests by usage window and client account.

Entries count what endpoints began to run and tell whole counts of a window,
not increments: a message that is lost or comes twice changes nothing.
"""

import collections
import collections.abc

import attrs
import banyanbank_base as base

KEEP_S = 30.0
"""Seconds for which an entry keeps telling a window to new leaders."""


@attrs.frozen
class WindowCounts:
    """One entry's counts of one window."""

    window: int
    """Number of the window."""
    counts: dict[base.AccountId, int]
    """Requests that began to run, by client account."""


class UsageMeter:
    """Counts at one entry.

    Args:
        window_s: Length of a window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._windows: dict[int, collections.Counter[base.AccountId]] = {}

    def count(self, account: base.AccountId, began_at: float) -> None:
        """Counts a request that began to run at a Unix time."""
        window = int(began_at // self._window_s)
        counter = self._windows.setdefault(window, collections.Counter())
        counter[account] += 1

    def tell(self, now: float) -> tuple[WindowCounts, ...]:
        """Returns the counts of the newest windows; forgets old ones."""
        oldest = int((now - KEEP_S) // self._window_s)
        for window in [w for w in self._windows if w < oldest]:
            del self._windows[window]
        return tuple(
            WindowCounts(window, dict(counter))
            for window, counter in sorted(self._windows.items())
        )


class UsageTotals:
    """Adds up what entries tell; kept by the leader."""

    def __init__(self) -> None:
        self._told: dict[int, dict[str, dict[base.AccountId, int]]] = {}

    def take(
        self, entry: str, told: collections.abc.Iterable[WindowCounts]
    ) -> None:
        """Takes the counts of one life of an entry in.

        Args:
            entry: Names the entry's life.
            told: Whole counts of its newest windows.
        """
        for window in told:
            by_entry = self._told.setdefault(window.window, {})
            by_entry[entry] = dict(window.counts)

    def total(self, window: int) -> dict[base.AccountId, int]:
        """Returns the counts of a window over all entries."""
        total: collections.Counter[base.AccountId] = collections.Counter()
        for counts in self._told.get(window, {}).values():
            total.update(counts)
        return dict(sorted(total.items()))

    def forget_before(self, window: int) -> None:
        """Drops windows that are older than one."""
        for old in [w for w in self._told if w < window]:
            del self._told[old]
