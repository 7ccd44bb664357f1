"""Runs the leader's duties while this instance holds the lease."""

import typing

import banyanbank_base as base
from twisted.internet import task

from banyanbank_consensus import _node

TICK_S = 0.05
"""Seconds between ticks of the log and of the duties."""


class Duty(typing.Protocol):
    """Something that only the leader does."""

    def tick(self) -> None:
        """Does what is due; called while the lease is held."""
        ...

    def stop(self) -> None:
        """Ends what is under way; the lease is not held any more."""
        ...


class LeaderLoop:
    """Ticks the log and the duties.

    Args:
        reactor: Reactor that carries timers.
        node: The log here.
        recorder: Takes time line events.
        duties: What the leader does.
        on_failed: Called once when the log has stopped for good.
        lasting: Duties whose work under way goes on while the lease has
            lapsed and no other leader is known. They ask for the lease
            themselves before they begin anything.
    """

    def __init__(
        self,
        reactor: typing.Any,
        node: _node.LogNode,
        recorder: base.Recorder,
        duties: typing.Sequence[Duty],
        on_failed: typing.Callable[[], None],
        lasting: typing.Sequence[Duty] = (),
    ) -> None:
        self._node = node
        self._recorder = recorder
        self._duties = duties
        self._lapse_tolerant_duties = lasting
        self._lapse_tolerant_epoch: int | None = None
        self._on_failed = on_failed
        self._is_leading = False
        self._loop = task.LoopingCall(self._tick)
        self._loop.clock = reactor

    def start(self) -> None:
        """Begins to tick."""
        self._loop.start(TICK_S)

    def stop(self) -> None:
        """Ends the duties and the log."""
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
