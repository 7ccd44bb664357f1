"""Time of day that does not jump with the machine's clock.

A machine's time of day may jump by seconds and back again, while its steady
clock goes on. The offset between the two is therefore taken once, and moved
only by what a quorum of other machines says.
"""

import statistics

import banyanbank_base as base

STEP_S = 0.5
"""Seconds beyond which a difference to the others is a jump, not drift."""


class TrueTime:
    """Estimates Unix time from the steady clock.

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

    def at(self, steady: float) -> float:
        """Returns the estimated Unix time of a moment of the steady clock."""
        return steady + self._offset

    def follow(self, other: float) -> None:
        """Takes over the time that a leader has just told."""
        self._offset = other - self._clock.now()

    def agree(self, others: list[float]) -> None:
        """Corrects the own time by the median of several machines.

        Args:
            others: Estimates of other machines, for this very moment.
        """
        if len(others) < 2:
            return
        median = statistics.median([*others, self.now()])
        if abs(median - self.now()) > STEP_S:
            self.follow(median)
