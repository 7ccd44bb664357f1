"""Notifies waiting calls of a change."""

import typing

from twisted.internet import defer


class ChangeNotifier:
    """Wakes all waiting calls at a change; a deadline wakes only its own call.

    Args:
        reactor: Twisted reactor for timers.
    """

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor
        self._pending: set[defer.Deferred[bool]] = set()
        self._listeners: list[typing.Callable[[], None]] = []

    def __len__(self) -> int:
        """Returns the number of waiting calls."""
        return len(self._pending)

    def subscribe(self, listener: typing.Callable[[], None]) -> None:
        """Has a function called at each change."""
        self._listeners.append(listener)

    async def wait(self, deadline: float) -> bool:
        """Waits for a change; returns False if the deadline passes first.

        Args:
            deadline: Deadline on the reactor's clock.
        """
        seconds = deadline - self._reactor.seconds()
        if seconds <= 0:
            return False
        waiter: defer.Deferred[bool] = defer.Deferred()
        self._pending.add(waiter)
        timer = self._reactor.callLater(seconds, self._resolve, waiter, False)
        try:
            return await waiter
        finally:
            self._pending.discard(waiter)
            if timer.active():
                timer.cancel()

    def wake(self) -> None:
        """Wakes all waiters."""
        for waiter in list(self._pending):
            self._resolve(waiter, True)
        for listener in self._listeners:
            listener()

    def _resolve(self, waiter: defer.Deferred[bool], has_changed: bool) -> None:
        if waiter in self._pending:
            self._pending.discard(waiter)
            waiter.callback(has_changed)
