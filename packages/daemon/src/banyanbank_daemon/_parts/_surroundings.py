"""What an instance takes from outside, and who it is."""

import itertools
import random
import typing

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_mesh as mesh

MICROSECONDS = 1_000_000


@attrs.frozen
class Surroundings:
    """What an instance takes from outside instead of reaching for it."""

    reactor: typing.Any
    """Carries sockets and timers."""
    clock: base.Clock
    """Source of time."""
    rng: random.Random
    """Source of random numbers."""
    recorder: base.MemoryRecorder
    """Takes time line events."""
    disk: consensus.Disk | None
    """Durable storage; None on an instance that is no voter."""
    mesh_tls: mesh.MeshTls | None = None
    """Mutual TLS between instances; None for plain TCP."""
    caller_tls: typing.Any = None
    """TLS context factory of the callers' listener; None for plain HTTP."""
    on_failed: typing.Callable[[], None] | None = None
    """Called when the log here has stopped for good, after a disk fault."""
    on_drained: typing.Callable[[], None] | None = None
    """Called once a drain that somebody asked for is over."""


class Identity:
    """One life of one instance; draws its request ids.

    Args:
        name: The instance.
        clock: Gives the incarnation: the microsecond of the start.
    """

    def __init__(self, name: base.InstanceId, clock: base.Clock) -> None:
        self.name = name
        self.incarnation = base.Incarnation(int(clock.wall() * MICROSECONDS))
        self._numbers = itertools.count(1)

    def new_request_id(self) -> base.RequestId:
        """Draws a request id that no other instance and life draws."""
        number = next(self._numbers)
        return base.RequestId(f"{self.name}-{self.incarnation:x}-{number:x}")
