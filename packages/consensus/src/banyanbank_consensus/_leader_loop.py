"""Runs leader-only duties while this instance holds the lease."""

import typing

import banyanbank_base as base
from twisted.internet import task

from banyanbank_consensus import _node

TICK_S = 0.05
"""Interval between ticks of the log node and of the duties, in seconds."""


class Duty(typing.Protocol):
    """Periodic work that only the leader performs."""

    def tick(self) -> None:
        """Performs work that is due; called while the lease is held."""
        ...

    def stop(self) -> None:
        """Ends work in progress; the lease is no longer held."""
        ...


class LeaderLoop:
    """Ticks the log node and, while the lease is held, the duties.

    Args:
        reactor: Reactor that schedules the ticks.
        node: Log node of this instance.
        recorder: Sink of timeline events.
        duties: Duties that are stopped once the lease has lapsed.
        on_failed: Called once when the log node has failed permanently.
        lapse_tolerant_duties: Duties whose work in progress continues after
            the lease has lapsed, as long as this node considers itself leader
            of the same epoch. They check the lease themselves before they
            start work.
    """

    def __init__(
        self,
        reactor: typing.Any,
        node: _node.LogNode,
        recorder: base.Recorder,
        duties: typing.Sequence[Duty],
        on_failed: typing.Callable[[], None],
        lapse_tolerant_duties: typing.Sequence[Duty] = (),
    ) -> None:
        self._node = node
        self._recorder = recorder
        self._duties = duties
        self._lapse_tolerant_duties = lapse_tolerant_duties
        self._lapse_tolerant_epoch: int | None = None
        self._on_failed = on_failed
        self._is_leading = False
        self._loop = task.LoopingCall(self._tick)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts ticking, with the first tick at once."""
        self._loop.start(TICK_S)

    def stop(self) -> None:
        """Stops ticking the log node, and stops all duties."""
        if self._loop.running:
            self._loop.stop()
        self._stop_duties()
        self._stop_lapse_tolerant_duties()

    def _tick(self) -> None:
        self._node.tick()
        if self._node.failure is not None:
            self.stop()
            self._on_failed()
            return
        if not self._node.is_leader or (
            self._lapse_tolerant_epoch not in (None, self._node.epoch)
        ):
            self._stop_lapse_tolerant_duties()
        if not self._node.lease_held():
            self._stop_duties()
            return
        if not self._is_leading:
            self._is_leading = True
            self._recorder.record("lease.acquired", epoch=self._node.epoch)
        self._lapse_tolerant_epoch = self._node.epoch
        for duty in (*self._duties, *self._lapse_tolerant_duties):
            try:
                duty.tick()
            except Exception as exc:
                self._recorder.record(
                    "duty.failed",
                    detail=f"{type(duty).__name__}: {exc!r}",
                )

    def _stop_duties(self) -> None:
        if not self._is_leading:
            return
        self._is_leading = False
        self._recorder.record("lease.lost", epoch=self._node.epoch)
        for duty in self._duties:
            duty.stop()

    def _stop_lapse_tolerant_duties(self) -> None:
        if self._lapse_tolerant_epoch is None:
            return
        self._lapse_tolerant_epoch = None
        for duty in self._lapse_tolerant_duties:
            duty.stop()
