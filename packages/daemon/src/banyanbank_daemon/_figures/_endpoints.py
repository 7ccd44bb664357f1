"""Counts the time that endpoints run, while this instance leads."""

import collections
import collections.abc

import banyanbank_base as base
import banyanbank_control as control

from banyanbank_daemon._figures import _messages

COUNT_S = 1.0
"""Seconds between two looks at the endpoints that run."""

Sort = tuple[base.FailureDomain, str, str, str]
"""Failure domain, kind, supply, and what is served."""

Running = collections.abc.Callable[
    [], collections.abc.Iterable[control.Announcement]
]


class EndpointTime:
    """Endpoint seconds by failure domain, kind, supply and what is served.

    A duty of the leader: a time is counted by the one instance that leads in
    it, so that the counts of all instances add up.

    Args:
        clock: Source of time.
        running: Returns the endpoints that run; asked while leading.
    """

    def __init__(self, clock: base.Clock, running: Running) -> None:
        self._clock = clock
        self._running = running
        self._counted_until: float | None = None
        self._now_running: collections.Counter[Sort] = collections.Counter()
        self._seconds: dict[Sort, float] = {}

    def tick(self) -> None:
        """Counts the time since the last look, when the next is due."""
        now = self._clock.now()
        before = self._counted_until
        if before is not None and now < before + COUNT_S:
            return
        self._now_running = collections.Counter(
            _sort_of(item) for item in self._running()
        )
        self._counted_until = now
        for sort, count in self._now_running.items():
            passed = 0.0 if before is None else now - before
            known = self._seconds.get(sort, 0.0)
            self._seconds[sort] = known + count * passed

    def stop(self) -> None:
        """Stops counting; what was counted stays."""
        self._counted_until = None
        self._now_running.clear()

    def figures(self) -> tuple[_messages.EndpointFigures, ...]:
        """Returns the figures."""
        return tuple(
            _messages.EndpointFigures(*sort, self._now_running[sort], seconds)
            for sort, seconds in sorted(self._seconds.items())
        )


def _sort_of(item: control.Announcement) -> Sort:
    serves = item.models[0].model if item.models else item.service
    return item.failure_domain, item.kind.value, item.supply.value, serves
