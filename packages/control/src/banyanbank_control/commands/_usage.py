"""Commands and replies about usage counts and usage windows."""

import attrs
import banyanbank_base as base


@attrs.frozen
class UsageFigures:
    """Usage totals of one client account."""

    calls: int = 0
    """Requests that an endpoint answered."""
    tokens_in: int = 0
    """Prompt tokens, cached ones included."""
    tokens_out: int = 0
    """Generated tokens."""
    tokens_cached: int = 0
    """Prompt tokens that were served from a prefix cache."""
    engine_us: int = 0
    """Engine time, in microseconds."""

    def plus(self, other: "UsageFigures") -> "UsageFigures":
        """Returns the sum of both totals, field by field."""
        return UsageFigures(
            self.calls + other.calls,
            self.tokens_in + other.tokens_in,
            self.tokens_out + other.tokens_out,
            self.tokens_cached + other.tokens_cached,
            self.engine_us + other.engine_us,
        )


@attrs.frozen
class UsageDelta:
    """Usage of one client account since an instance's previous flush."""

    account: base.AccountId
    """Client account of the caller."""
    figures: UsageFigures
    """Counts to add; none is negative."""


@attrs.frozen
class AddUsage:
    """Adds one flush of an instance's counts; idempotent."""

    instance: base.InstanceId
    """Entry instance that counted the requests."""
    incarnation: base.Incarnation
    """Incarnation of that entry instance."""
    sequence: int
    """Number of the flush within the incarnation, counted from 1."""
    deltas: tuple[UsageDelta, ...]
    """Counts to add, by client account."""
    final: bool = False
    """Whether this is the last flush of a graceful shutdown."""


@attrs.frozen
class CloseWindow:
    """Freezes the open window and opens the next one."""

    window: int
    """Number of the window to close."""
    end: float
    """Wall time at which it ends, in seconds."""
    first_start: float = 0.0
    """Wall time at which the first window of all starts, in seconds; each
    later window starts at the end of the previous one."""


@attrs.frozen
class MarkReported:
    """Records that the platform has accepted a window's report."""

    window: int
    """Number of the window."""


@attrs.frozen
class UsageAdded:
    """The flush is counted, now or earlier."""

    window: int
    """Number of the open window; a retry may get a later one than the first
    attempt."""


@attrs.frozen
class UsageGap:
    """An earlier flush of the same incarnation is missing."""

    expected_sequence: int
    """Sequence number that the instance must send next."""


@attrs.frozen
class WindowClosed:
    """The window is frozen, now or earlier."""

    window: int
    """Number of the window."""
    end: float
    """Wall time at which the window ended, in seconds."""


@attrs.frozen
class WindowReported:
    """The window is recorded as reported, now or earlier."""

    window: int
    """Number of the window."""
