"""Pairs of meshes on loopback for the tests of the transport."""

import collections.abc
import random
import unittest

import banyanbank_base as base
import banyanbank_mesh as mesh
from returns import result
from twisted.internet import defer

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
        source_host: str | None = None,
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
            source_host=source_host,
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
