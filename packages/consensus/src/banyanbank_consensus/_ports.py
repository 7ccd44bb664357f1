"""Interfaces that a log node requires from its environment."""

from collections.abc import Callable
from collections.abc import Iterator
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


@typing.runtime_checkable
class SlicedStateMachine(StateMachine, typing.Protocol):
    """State machine whose snapshots are encoded and restored part by part.

    A large state would otherwise hold up the node for longer than its lease.
    """

    def capture(self) -> Iterator[bytes]:
        """Yields the parts of the encoded state as it is at the call.

        Commands that are applied meanwhile change nothing in it.
        """
        ...

    def restore_slices(self, data: bytes) -> Iterator[int]:
        """Replaces the complete state by that of a snapshot, part by part.

        The state is unchanged until the iterator ends.

        Yields:
            Number of bytes that were decoded since the previous part.
        """
        ...


def capture(machine: StateMachine) -> Iterator[bytes]:
    """Returns the parts of a machine's encoded state; one if it has no more."""
    if isinstance(machine, SlicedStateMachine):
        return machine.capture()
    return iter([machine.snapshot()])


def restore_slices(machine: StateMachine, data: bytes) -> Iterator[int]:
    """Restores a machine part by part, or at once if it has no parts."""
    if isinstance(machine, SlicedStateMachine):
        return machine.restore_slices(data)
    machine.restore(data)
    return iter(())


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
