"""What a log node asks of its surroundings."""

from collections.abc import Callable
import typing

import banyanbank_base as base

Scheduler = Callable[[Callable[[], None]], None]
"""Runs a function later in the same, or in the next, turn of the loop."""


class StateMachine(typing.Protocol):
    """What the log drives; it must be deterministic."""

    def apply(self, index: int, payload: bytes) -> bytes:
        """Applies one committed command and returns its reply."""
        ...

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replaces the whole state."""
        ...


class PeerTransport(typing.Protocol):
    """Sends frames to other instances."""

    def send(self, peer: base.InstanceId, data: bytes) -> None:
        """Sends a frame; it may be lost, and the call never blocks."""
        ...


def schedule_on_reactor(callback: Callable[[], None]) -> None:
    """Runs a function in the next turn of the twisted reactor."""
    # The reactor is installed when first imported, which is up to the daemon.
    from twisted.internet import reactor

    typing.cast(typing.Any, reactor).callLater(0, callback)
