"""Interfaces that a log node requires from its environment."""

from collections.abc import Callable
import typing

import banyanbank_base as base

Scheduler = Callable[[Callable[[], None]], None]
"""Schedules a function for later in this, or in the next, event loop turn."""


class StateMachine(typing.Protocol):
    """State machine driven by the log; it must be deterministic."""

    def apply(self, index: int, payload: bytes) -> bytes:
        """Applies one committed command and returns its reply."""
        ...

    def snapshot(self) -> bytes:
        """Returns the complete state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replaces the complete state by that of a snapshot."""
        ...


class PeerTransport(typing.Protocol):
    """Sends frames to other instances."""

    def send(self, peer: base.InstanceId, data: bytes) -> None:
        """Sends a frame, best effort; the call never blocks."""
        ...


def schedule_on_reactor(callback: Callable[[], None]) -> None:
    """Schedules a function for the next turn of the Twisted reactor."""
    # The first import installs the reactor; the daemon decides when.
    from twisted.internet import reactor

    typing.cast(typing.Any, reactor).callLater(0, callback)
