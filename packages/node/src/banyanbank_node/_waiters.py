"""Lets calls wait until something changes."""

import typing

from twisted.internet import defer


class Waiters:
    """Wakes everybody who waits, or each at its deadline.

    Args:
        reactor: Carries timers.
    """

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor
        self._waiting: set[defer.Deferred[bool]] = set()

    async def wait(self, deadline: float) -> bool:
        """Waits for a change; False when the deadline passed before.

        Args:
            deadline: On the reactor's clock.
        """
        seconds = deadline - self._reactor.seconds()
        if seconds <= 0:
            return False
        woken: defer.Deferred[bool] = defer.Deferred()
        self._waiting.add(woken)
        timer = self._reactor.callLater(seconds, self._end, woken, False)
        try:
            return await woken
        finally:
            self._waiting.discard(woken)
            if timer.active():
                timer.cancel()

    def wake(self) -> None:
        """Wakes everybody."""
        for woken in list(self._waiting):
            self._end(woken, True)

    def _end(self, woken: defer.Deferred[bool], has_changed: bool) -> None:
        if woken in self._waiting:
            self._waiting.discard(woken)
            woken.callback(has_changed)
