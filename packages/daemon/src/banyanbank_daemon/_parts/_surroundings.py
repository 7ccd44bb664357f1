"""Injected dependencies and identity of an instance."""

import itertools
import random
import typing

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_mesh as mesh

MICROSECONDS_PER_S = 1_000_000


@attrs.frozen
class Surroundings:
    """Dependencies that are injected into an instance."""

    reactor: typing.Any
    """Twisted reactor for sockets and timers."""
    clock: base.Clock
    """Monotonic and wall clock."""
    rng: random.Random
    """Source of random numbers."""
    recorder: base.MemoryRecorder
    """Recorder of timeline events."""
    disk: consensus.Disk | None
    """Durable storage of the log; None on an instance that is not a voter."""
    mesh_tls: mesh.MeshTls | None = None
    """Mutual TLS between instances; None for plain TCP."""
    caller_tls: typing.Any = None
    """TLS context factory of the callers' listener; None for plain HTTP."""
    on_failed: typing.Callable[[], None] | None = None
    """Called when the local log stops permanently after a disk fault."""
    on_drained: typing.Callable[[], None] | None = None
    """Called once a requested drain has completed."""


class Identity:
    """One incarnation of an instance; generates its request ids.

    Args:
        name: Id of the instance.
        clock: Its wall time at startup, in microseconds, is the incarnation.
    """

    def __init__(self, name: base.InstanceId, clock: base.Clock) -> None:
        self.name = name
        self.incarnation = base.Incarnation(
            int(clock.wall() * MICROSECONDS_PER_S)
        )
        self._request_numbers = itertools.count(1)

    def new_request_id(self) -> base.RequestId:
        """Returns a request id unique across instances and incarnations."""
        number = next(self._request_numbers)
        return base.RequestId(f"{self.name}-{self.incarnation:x}-{number:x}")
