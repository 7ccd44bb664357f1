"""Counts of requests by usage window and client account.

Entries count the requests that endpoints began to run. They report the total
of each window rather than increments, so reports are idempotent, and the next
one makes up for a lost one.
"""

import collections
import collections.abc

import attrs
import banyanbank_base as base

WINDOW_RETENTION_S = 30.0
"""Time for which an entry repeats its report of a window for new leaders."""


@attrs.frozen
class WindowCounts:
    """Counts of one window at one entry."""

    window: int
    """Number of the window."""
    counts: dict[base.AccountId, int]
    """Requests that began to run, by client account."""


class UsageMeter:
    """Counts the requests of one entry by usage window.

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

    def report(self, now: float) -> tuple[WindowCounts, ...]:
        """Returns the counts of recent windows; drops expired ones."""
        oldest = int((now - WINDOW_RETENTION_S) // self._window_s)
        for window in [w for w in self._windows if w < oldest]:
            del self._windows[window]
        return tuple(
            WindowCounts(window, dict(counter))
            for window, counter in sorted(self._windows.items())
        )


class UsageTotals:
    """Sums the counts that entries report; kept by the leader."""

    def __init__(self) -> None:
        self._counts_by_window: dict[
            int, dict[str, dict[base.AccountId, int]]
        ] = {}

    def replace_counts(
        self, entry: str, reported: collections.abc.Iterable[WindowCounts]
    ) -> None:
        """Replaces the counts of one incarnation of an entry.

        Counts only grow, so a report that arrives after a later one changes
        nothing.

        Args:
            entry: Identifies the incarnation of the entry.
            reported: Total counts of its recent windows.
        """
        for window in reported:
            by_entry = self._counts_by_window.setdefault(window.window, {})
            counts = by_entry.setdefault(entry, {})
            for account, count in window.counts.items():
                counts[account] = max(count, counts.get(account, 0))

    def total(self, window: int) -> dict[base.AccountId, int]:
        """Returns the counts of a window, summed over all entries."""
        total: collections.Counter[base.AccountId] = collections.Counter()
        for counts in self._counts_by_window.get(window, {}).values():
            total.update(counts)
        return dict(sorted(total.items()))

    def forget_before(self, window: int) -> None:
        """Drops all windows before a given window."""
        for old in [w for w in self._counts_by_window if w < window]:
            del self._counts_by_window[old]
