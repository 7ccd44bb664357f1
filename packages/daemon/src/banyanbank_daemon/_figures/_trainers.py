"""Counts the time in which trainers wait for steps."""

import collections.abc
import contextlib

import attrs
import banyanbank_base as base

from banyanbank_daemon._figures import _messages


@attrs.define
class _Waits:
    """Waits of one trainer."""

    first_at: float
    """Monotonic seconds of its first fetch."""
    waiting: int = 0
    """Fetches that wait."""
    since: float = 0.0
    """Monotonic seconds since which at least one waits."""
    idle_s: float = 0.0
    """Seconds of waits that have ended."""


class TrainerWaits:
    """Waits of all trainers at one instance, since its start.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self._waits: dict[base.TrainerId, _Waits] = {}

    @contextlib.contextmanager
    def waiting(
        self, trainer: base.TrainerId
    ) -> collections.abc.Iterator[collections.abc.Callable[[], None]]:
        """Counts a fetch; what it yields ends the wait before the block."""
        waits = self._begin(trainer)
        is_open = True

        def end() -> None:
            nonlocal is_open
            if is_open:
                is_open = False
                self._end(waits)

        try:
            yield end
        finally:
            end()

    def figures(self) -> tuple[_messages.TrainerFigures, ...]:
        """Returns the figures, waits under way included."""
        now = self._clock.now()
        return tuple(
            _messages.TrainerFigures(
                trainer,
                waits.idle_s + (now - waits.since if waits.waiting else 0.0),
                now - waits.first_at,
                waits.waiting > 0,
            )
            for trainer, waits in sorted(self._waits.items())
        )

    def _begin(self, trainer: base.TrainerId) -> _Waits:
        now = self._clock.now()
        waits = self._waits.setdefault(trainer, _Waits(now))
        if not waits.waiting:
            waits.since = now
        waits.waiting += 1
        return waits

    def _end(self, waits: _Waits) -> None:
        waits.waiting -= 1
        if not waits.waiting:
            waits.idle_s += self._clock.now() - waits.since
