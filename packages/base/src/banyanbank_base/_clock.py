"""The injected clock: the only source of time for decisions."""

import time
import typing


class Clock(typing.Protocol):
    """Source of time, given to an instance at construction."""

    def now(self) -> float:
        """Returns monotonic seconds, comparable in this process only."""
        ...

    def wall(self) -> float:
        """Returns seconds since the Unix epoch, for people and reports."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> float:
        """Returns monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """Clock that moves only when told to; for tests and experiments.

    Args:
        start: First value of `now()`, in seconds.
    """

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Returns the seconds set so far."""
        return self._now

    def wall(self) -> float:
        """Returns the seconds set so far."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward.

        Args:
            seconds: How far; not negative.
        """
        if seconds < 0:
            raise ValueError(f"A clock cannot go back by {-seconds} s.")
        self._now += seconds
