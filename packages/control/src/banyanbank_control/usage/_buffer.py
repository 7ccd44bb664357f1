"""Buffers the usage counts of one instance for the replicated log."""

import collections

import banyanbank_base as base

from banyanbank_control import commands

FLUSH_INTERVAL_S = 1.0
"""Interval between flushes, in seconds.

A crash of an instance loses at most the counts of this interval plus the time
that a commit takes; the window then counts the incarnation as interrupted.
"""


class UsageBuffer:
    """Accumulates usage counts and returns them in numbered flushes.

    The log counts each sequence number once. A flush is therefore sent
    unchanged until it is acknowledged, and only then the next one is made.
    The first flush may be empty; it registers this incarnation.

    Args:
        instance: Instance that counts.
        incarnation: Incarnation of that instance.
    """

    def __init__(
        self, instance: base.InstanceId, incarnation: base.Incarnation
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._counts: dict[base.AccountId, commands.UsageFigures] = (
            collections.defaultdict(commands.UsageFigures)
        )
        self._pending: commands.AddUsage | None = None
        self._sequence = 0

    @property
    def is_empty(self) -> bool:
        """Whether all counts so far are acknowledged."""
        return not self._counts and self._pending is None

    def count(
        self, account: base.AccountId, figures: commands.UsageFigures
    ) -> None:
        """Adds the figures of one answered request."""
        self._counts[account] = self._counts[account].plus(figures)

    def flush(self, final: bool = False) -> commands.AddUsage | None:
        """Returns the command to commit next.

        Args:
            final: Whether the instance is shutting down and stops counting.

        Returns:
            The unacknowledged flush, unchanged, or else a new one; None if
            there is nothing to flush.
        """
        if self._pending is not None:
            return self._pending
        if not self._counts and self._sequence > 0 and not final:
            return None
        self._sequence += 1
        self._pending = commands.AddUsage(
            self._instance,
            self._incarnation,
            self._sequence,
            tuple(
                commands.UsageDelta(account, self._counts[account])
                for account in sorted(self._counts)
            ),
            final,
        )
        self._counts.clear()
        return self._pending

    def acknowledge(self, flush: commands.AddUsage) -> None:
        """Records that a flush is committed.

        Args:
            flush: Committed flush; ignored unless it is the pending one.
        """
        if flush == self._pending:
            self._pending = None
