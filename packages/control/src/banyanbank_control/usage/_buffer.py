"""Counts of one instance on their way to the replicated log."""

import collections

import banyanbank_base as base

from banyanbank_control import commands

FLUSH_S = 1.0
"""Time between two flushes, in seconds.

With the time that a commit takes, the bound of what the crash of an instance
leaves uncounted; its window says that the instance was interrupted.
"""


class UsageBuffer:
    """Adds up what an instance served and flushes it in numbered steps.

    A flush is sent unchanged until it is acknowledged, and only then the
    next one is made: the log counts each number once. The first one may be
    empty; it makes this life of the instance known.

    Args:
        instance: This instance.
        incarnation: This life of it.
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
    def empty(self) -> bool:
        """Whether everything counted so far is in the log."""
        return not self._counts and self._pending is None

    def count(
        self, account: base.AccountId, figures: commands.UsageFigures
    ) -> None:
        """Adds one answered request."""
        self._counts[account] = self._counts[account].plus(figures)

    def flush(self, final: bool = False) -> commands.AddUsage | None:
        """Returns the command to commit next.

        Args:
            final: Whether the instance shuts down and counts no more.

        Returns:
            The flush that is not yet acknowledged, unchanged; else a new
            one; None when there is nothing to say.
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
        """Notes that a flush is in the log.

        Args:
            flush: What was committed; one that is not pending is ignored.
        """
        if flush == self._pending:
            self._pending = None
