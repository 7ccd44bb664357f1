"""Random calls and streams through random faults, against an oracle.

The seed and the steps can be set for long runs by hand:
`MESH_SEED=7 MESH_STEPS=5000 python -m unittest tests.mesh.test_faults`.
"""

import collections
import os
import random
import unittest.mock

import banyanbank_base as base
import banyanbank_mesh as mesh
from banyanbank_mesh import _peer
from banyanbank_mesh import _sockets
from returns import result
from twisted.internet import defer

from tests import relay
from tests import support
from tests.mesh import support as mesh_support

SEED = int(os.environ.get("MESH_SEED", "1"))
STEPS = int(os.environ.get("MESH_STEPS", "250"))
NAMES = [base.InstanceId(name) for name in "abc"]


class Oracle:
    """What really ran, and what callers were told."""

    def __init__(self) -> None:
        self.ran: collections.Counter[bytes] = collections.Counter()
        self.told: dict[bytes, result.Result[bytes, mesh.CallError]] = {}
        self.asked = 0

    def body(self, request: bytes) -> bytes:
        """Returns the answer that a request must get."""
        rng = random.Random(request)
        return rng.randbytes(rng.choice((0, 10, 1000, 300_000)))

    async def call(self, sender: base.InstanceId, data: bytes) -> bytes:
        """Handles a call, at once or on a later turn."""
        self.ran[data] += 1
        rng = _handler_random(data)
        if rng.random() < 0.5:
            await support.next_turn(rng.random() * 0.01)
        return self.body(data)

    async def stream(
        self, sender: base.InstanceId, data: bytes, writer: mesh.StreamWriter
    ) -> None:
        """Handles a stream in pieces."""
        self.ran[data] += 1
        body = self.body(data)
        rng = _handler_random(data)
        for start in range(0, len(body), 7_000):
            await writer.write(body[start : start + 7_000])
            if rng.random() < 0.1:
                await support.next_turn()


def _handler_random(request: bytes) -> random.Random:
    """Returns the random numbers of one handler.

    They are its own: if handlers shared the numbers of the steps, the order
    in which sockets answer would decide which faults a run meets.
    """
    return random.Random(b"handler of " + request)


class World:
    """Three instances, each reached through a relay of its own."""

    def __init__(self, case: mesh_support.MeshCase, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        self.oracle = Oracle()
        self.lives = dict.fromkeys(NAMES, 0)
        self.meshes: dict[base.InstanceId, mesh.Mesh] = {}
        self.relays: dict[base.InstanceId, relay.Relay] = {}
        self.asking: list[defer.Deferred[None]] = []
        self.faults: collections.Counter[str] = collections.Counter()

    async def start(self) -> None:
        """Starts all instances."""
        for name in NAMES:
            await self.restart(name)

    async def stop(self) -> None:
        """Stops the relays; the case stops the meshes."""
        for front in self.relays.values():
            await front.stop()

    async def restart(self, name: base.InstanceId) -> None:
        """Ends the life of an instance, if any, and starts the next."""
        if name in self.meshes:
            await self.meshes[name].stop()
        self.lives[name] += 1
        one = await self.case.start_mesh(name, self.lives[name])
        one.on_call("call", self.oracle.call)
        one.on_stream("stream", self.oracle.stream)
        self.meshes[name] = one
        await self.renew_relay(name)

    async def renew_relay(self, name: base.InstanceId) -> None:
        """Cuts all connections to an instance and gives it a new address."""
        if name in self.relays:
            await self.relays[name].stop()
        front = relay.Relay(self.meshes[name].port)
        await front.start()
        self.relays[name] = front
        for other in self.meshes.values():
            other.set_peer(name, "127.0.0.1", front.port)
        for peer, known in self.relays.items():
            self.meshes[name].set_peer(peer, "127.0.0.1", known.port)

    async def step(self) -> None:
        """Asks something, or has something fail."""
        dice = self.rng.random()
        name = self.rng.choice(NAMES)
        if dice < 0.02:
            self.faults["restart"] += 1
            await self.restart(name)
        elif dice < 0.05:
            self.faults["cut"] += 1
            await self.renew_relay(name)
        elif dice < 0.06:
            self.faults["freeze"] += 1
            self.relays[name].freeze()
        elif dice < 0.10:
            await support.next_turn(self.rng.random() * 0.05)
        else:
            self.ask(name)

    def ask(self, sender: base.InstanceId) -> None:
        """Starts a call or a stream with a short or long deadline."""
        self.oracle.asked += 1
        request = b"%d" % self.oracle.asked
        peer = self.rng.choice(NAMES)
        deadline = self.case.clock.now() + self.rng.choice((0.005, 0.05, 5.0))
        one = self.meshes[sender]
        asked = self.rng.choice((self.ask_call, self.ask_stream))
        running = asked(one, peer, request, deadline)
        self.asking.append(defer.ensureDeferred(running))

    async def ask_call(
        self,
        one: mesh.Mesh,
        peer: base.InstanceId,
        request: bytes,
        deadline: float,
    ) -> None:
        """Calls and notes what was told."""
        told = await one.call(peer, "call", request, deadline)
        self.note(request, told)

    async def ask_stream(
        self,
        one: mesh.Mesh,
        peer: base.InstanceId,
        request: bytes,
        deadline: float,
    ) -> None:
        """Reads a stream, now and then only in part."""
        stream = one.open_stream(peer, "stream", request, deadline)
        give_up = self.rng.random() < 0.1
        body = b""
        while True:
            read = await stream.read()
            if isinstance(read, result.Failure):
                self.note(request, read)
                return
            chunk = read.unwrap()
            if chunk is None:
                self.note(request, result.Success(body))
                return
            body += chunk
            if give_up:
                stream.cancel()

    def note(
        self, request: bytes, told: result.Result[bytes, mesh.CallError]
    ) -> None:
        """Notes what a caller was told, and checks that it is told once."""
        self.case.assertNotIn(request, self.oracle.told)
        self.oracle.told[request] = told


class FaultsTest(mesh_support.MeshCase):
    """Whatever fails, callers are told the truth, once."""

    def test_random_faults(self) -> None:
        with (
            unittest.mock.patch.object(_sockets, "PING_PERIOD_S", 0.05),
            unittest.mock.patch.object(_sockets, "PING_LIMIT_S", 0.1),
            unittest.mock.patch.object(_sockets, "CLOSE_LIMIT_S", 0.05),
            unittest.mock.patch.object(_peer, "MAX_DELAY_S", 0.1),
        ):
            support.run_async(self.main, limit_s=60 + STEPS / 10)

    async def main(self) -> None:
        world = World(self, SEED)
        try:
            await world.start()
            for _ in range(STEPS):
                await world.step()
            await defer.gatherResults(world.asking)
            for one in world.meshes.values():
                await support.until(lambda one=one: not one.calls_running)
                self.assertEqual(one.calls_under_way, 0)
            self.check(world.oracle)
            self.assertEqual(len(world.faults), 3)
        finally:
            for one in self.started:
                await one.stop()
            await world.stop()

    def check(self, oracle: Oracle) -> None:
        """Holds what was told against what ran."""
        self.assertEqual(len(oracle.told), oracle.asked)
        kinds: collections.Counter[str] = collections.Counter()
        for request, told in oracle.told.items():
            self.assertLessEqual(oracle.ran[request], 1, request)
            if isinstance(told, result.Success):
                kinds["answered"] += 1
                self.assertEqual(told.unwrap(), oracle.body(request), request)
                self.assertEqual(oracle.ran[request], 1)
                continue
            error = told.failure()
            kinds[f"{error.kind.value}, {error.outcome.value}"] += 1
            if error.outcome is base.Outcome.NOT_RUN:
                self.assertEqual(oracle.ran[request], 0, (request, error))
        if os.environ.get("MESH_STEPS"):
            print(SEED, dict(kinds))  # noqa: T201
        # Each way out must have been met, or the run shows little.
        for word in ("answered", "deadline, not run", "disconnected, may"):
            self.assertTrue(any(word in kind for kind in kinds), kinds)
