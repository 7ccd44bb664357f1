"""Pairs of meshes on loopback for the tests of the transport."""

import collections.abc
import random
import unittest

import banyanbank_base as base
import banyanbank_mesh as mesh
from returns import result
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol

from tests import support

LONG_S = 30.0
"""A deadline that no passing test reaches."""

A = base.InstanceId("a")
B = base.InstanceId("b")


class MeshCase(unittest.TestCase):
    """Base of cases with two connected meshes."""

    def setUp(self) -> None:
        self.clock = base.SystemClock()
        self.started: list[mesh.Mesh] = []

    def run_case(
        self,
        case: collections.abc.Callable[
            [mesh.Mesh, mesh.Mesh],
            collections.abc.Coroutine[defer.Deferred[object], object, None],
        ],
    ) -> None:
        """Runs a coroutine function over meshes `a` and `b`."""

        async def main() -> None:
            try:
                a = await self.start_mesh(A)
                b = await self.start_mesh(B)
                self.introduce(a, b)
                await case(a, b)
            finally:
                for one in self.started:
                    await one.stop()

        support.run_async(main)

    async def start_mesh(
        self,
        instance: base.InstanceId,
        incarnation: int = 1,
        port: int = 0,
        tls: mesh.MeshTls | None = None,
    ) -> mesh.Mesh:
        """Starts a mesh that is stopped at the end of the case."""
        one = mesh.Mesh(
            instance,
            base.Incarnation(incarnation),
            "127.0.0.1",
            port,
            clock=self.clock,
            recorder=base.MemoryRecorder(instance, self.clock),
            tls=tls,
            rng=random.Random(1),
        )
        await one.start()
        self.started.append(one)
        return one

    def introduce(self, one: mesh.Mesh, other: mesh.Mesh) -> None:
        """Tells two meshes where the other listens."""
        one.set_peer(other.instance, "127.0.0.1", other.port)
        other.set_peer(one.instance, "127.0.0.1", one.port)

    def soon(self) -> float:
        """Returns a deadline that is far away for a test."""
        return self.clock.now() + LONG_S

    def expect_error(
        self,
        outcome: result.Result[object, mesh.CallError],
        kind: mesh.CallErrorKind,
        execution: base.Outcome,
    ) -> None:
        """Checks a failure's kind and execution outcome."""
        self.assertIsInstance(outcome, result.Failure)
        error = outcome.failure()
        self.assertEqual((error.kind, error.outcome), (kind, execution))


class Relay(protocol.ServerFactory):
    """Passes bytes on between a mesh and a port, until it is frozen.

    Args:
        target: Port on loopback that bytes go to.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.frozen = False
        self.ends: list[_RelayEnd] = []

    async def start(self) -> None:
        """Starts listening at a port of its own."""
        from twisted.internet import reactor

        self._listener = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.port = self._listener.getHost().port

    async def stop(self) -> None:
        """Closes everything."""
        await self._listener.stopListening()
        for end in self.ends:
            if end.transport is not None:
                end.transport.abortConnection()

    def freeze(self) -> None:
        """Passes nothing on any more, and keeps connections open."""
        self.frozen = True

    def buildProtocol(self, addr: object) -> protocol.Protocol:  # noqa: N802
        from twisted.internet import reactor

        near = _RelayEnd(self)
        far = _RelayEnd(self)
        near.other, far.other = far, near
        self.ends += [near, far]
        if not self.frozen:
            endpoint = endpoints.TCP4ClientEndpoint(
                reactor, "127.0.0.1", self.target
            )
            connecting = endpoints.connectProtocol(endpoint, far)
            connecting.addErrback(lambda _: near.transport.abortConnection())
        return near


class _RelayEnd(protocol.Protocol):
    """One connection of a relay."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._early = b""
        self.other: _RelayEnd = self

    def connectionMade(self) -> None:  # noqa: N802
        early, self._early = self._early, b""
        self.transport.write(early)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._relay.frozen:
            return
        if self.other.transport is None:
            self.other._early += data
        else:
            self.other.transport.write(data)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        if self.other.transport is not None and not self._relay.frozen:
            self.other.transport.loseConnection()
