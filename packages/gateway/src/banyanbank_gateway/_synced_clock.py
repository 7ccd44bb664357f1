"""Estimate of Unix time that is independent of steps of the system clock.

The system clock of a machine may step by seconds and back again, while its
monotonic clock does not. The offset between the two clocks is therefore read
once, and changed only by the leader's time or by a median of several machines.
"""

import statistics

import banyanbank_base as base

STEP_THRESHOLD_S = 0.5
"""A larger difference from the other machines is a clock step, not drift."""


class SyncedClock:
    """Estimates Unix time from the monotonic clock.

    Args:
        clock: Clock of the process; `now` must not stop while the machine
            is suspended.
    """

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self._offset = clock.wall() - clock.now()

    def now(self) -> float:
        """Returns the estimated Unix time in seconds."""
        return self._clock.now() + self._offset

    def at(self, monotonic: float) -> float:
        """Returns the estimated Unix time of a monotonic clock reading."""
        return monotonic + self._offset

    def set_time(self, other: float) -> None:
        """Sets the estimate to the Unix time just received from a leader."""
        self._offset = other - self._clock.now()

    def step_to_median(self, others: list[float]) -> None:
        """Sets the estimate to the median of several machines if it is far off.

        Does nothing with fewer than two other machines.

        Args:
            others: Current estimates of other machines.
        """
        if len(others) < 2:
            return
        median = statistics.median([*others, self.now()])
        if abs(median - self.now()) > STEP_THRESHOLD_S:
            self.set_time(median)
