"""Commands and replies about usage and its windows."""

import attrs
import banyanbank_base as base


@attrs.frozen
class UsageFigures:
    """What one account used; sums of counts."""

    calls: int = 0
    """Requests answered by an endpoint."""
    tokens_in: int = 0
    """Prompt tokens, cached ones included."""
    tokens_out: int = 0
    """Generated tokens."""
    tokens_cached: int = 0
    """Prompt tokens that a prefix cache held."""
    engine_us: int = 0
    """Engine time in microseconds."""

    def plus(self, other: "UsageFigures") -> "UsageFigures":
        """Returns the sum."""
        return UsageFigures(
            self.calls + other.calls,
            self.tokens_in + other.tokens_in,
            self.tokens_out + other.tokens_out,
            self.tokens_cached + other.tokens_cached,
            self.engine_us + other.engine_us,
        )


@attrs.frozen
class UsageDelta:
    """What one account used since the last flush of an instance."""

    account: base.AccountId
    """The account."""
    figures: UsageFigures
    """Counts to add; none below zero."""


@attrs.frozen
class AddUsage:
    """Adds the counts of one instance, once."""

    instance: base.InstanceId
    """Entry that counted."""
    incarnation: base.Incarnation
    """Life of that entry."""
    sequence: int
    """Number of the flush in that life, rising by one from 1."""
    deltas: tuple[UsageDelta, ...]
    """Counts by account."""
    final: bool = False
    """Whether this is the last flush of a graceful shutdown."""


@attrs.frozen
class CloseWindow:
    """Freezes the figures of the open window and opens the next."""

    window: int
    """Number of the window to close."""
    end: float
    """Wall time at which it ends, in seconds."""
    first_start: float = 0.0
    """Wall time at which the very first window began, in seconds; others
    begin at the end of the one before."""


@attrs.frozen
class MarkReported:
    """Records that the platform has taken a window's report."""

    window: int
    """Number of the window."""


@attrs.frozen
class UsageAdded:
    """The flush counts (or has counted before)."""

    window: int
    """Window open now; a resend may find a later one than the first time."""


@attrs.frozen
class UsageGap:
    """An earlier flush of the same life is missing."""

    expected_sequence: int
    """Number to send next."""


@attrs.frozen
class WindowClosed:
    """The window is frozen (or was before)."""

    window: int
    """Its number."""
    end: float
    """Its end as it was frozen."""


@attrs.frozen
class WindowReported:
    """The report is recorded (or was before)."""

    window: int
    """Its number."""
