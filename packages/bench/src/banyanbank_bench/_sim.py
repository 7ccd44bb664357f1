"""Discrete-event loop over a manual clock."""

import collections.abc
import heapq
import itertools

import banyanbank_base as base


class Simulator:
    """Runs callbacks in the order of their times."""

    def __init__(self) -> None:
        self.clock = base.ManualClock()
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._numbers = itertools.count()

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return self.clock.now()

    def after(
        self, seconds: float, action: collections.abc.Callable[[], None]
    ) -> None:
        """Runs an action later."""
        entry = (self.now + seconds, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def run(self, until: float) -> None:
        """Runs until no event is left or the time has come."""
        while self._events and self._events[0][0] <= until:
            at, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.now))
            action()
