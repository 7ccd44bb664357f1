"""Tests of servers that send bytes without end to real processes.

Guards against a process that keeps what a faulty server sends until its memory
is exhausted, which ends the requests of other callers with it.
"""

import collections
import json
import pathlib
import tempfile
import typing
import unittest

from twisted.internet import defer

from tests import support
from tests.platform import deployment
from tests.platform import fakes
from tests.platform import floods
from tests.platform import machines

HOST = "127.0.0.1"
SCENARIO_S = 120.0
REQUESTS = 50
"""Floods at once; each answer alone may have 8 MiB."""

LARGE_REQUEST_BYTES = 16 * 1024 * 1024
"""More than the sockets of both sides take."""

MACHINE_BYTES = 300_000_000
"""Memory of a machine, after which the process is killed."""

MAX_GROWTH = 128 * 1024 * 1024
"""The 64 MiB that answers may hold, and a copy of them."""


def _make_route(name: str, **fields: typing.Any) -> dict[str, typing.Any]:
    return (
        deployment.DOCUMENT["routes"][0]
        | {
            "name": name,
            "path-prefix": f"/{name}/",
            "timeout-ms": 4000,
            "service": name,
            "max-attempts": 1,
        }
        | fields
    )


DOCUMENT = deployment.DOCUMENT | {
    "routes": [
        _make_route("flood"),
        # A route's timeout is how long a sound request may wait.
        _make_route("sound", **{"timeout-ms": 2000}),
        _make_route(
            "jobs",
            **{
                "type": "rollout",
                "service": "engines",
                "due-ms": 7500,
                "item-ttl-s": 3,
            },
        ),
    ],
    "services": [
        {"name": name, "health-path": "/health", "max-connections": 100}
        for name in ("flood", "sound")
    ]
    + [
        {
            "name": "engines",
            "health-path": "/health",
            "max-connections": 100,
            "engine": {
                "slots": 64,
                "kv-tokens": 1_000_000,
                "models": [{"name": "model"}],
            },
        }
    ],
}


class World:
    """Both machines, a server that floods and a sound one.

    Attributes:
        machines: The store and the entry.
        flood: Server of the service `flood`.
        engine: Server of the service `engines`.
        cloud: Server that can stand for the platform's API.

    Args:
        is_cloud_flooding: Whether the platform's API floods.
    """

    def __init__(self, is_cloud_flooding: bool = False) -> None:
        from twisted.internet import reactor

        self._folder = tempfile.TemporaryDirectory()
        ports = support.free_ports(5)
        self.api = fakes.PlatformApi(reactor, HOST, ports[0])
        self.flood = floods.FloodServer(reactor, HOST, ports[1])
        self.sound = fakes.PlainServer(reactor, HOST, ports[2])
        self.engine = floods.FloodServer(reactor, HOST, ports[4])
        self.cloud = floods.FloodServer(reactor, HOST, ports[3])
        self.machines = machines.Machines(
            pathlib.Path(self._folder.name),
            self.cloud.address if is_cloud_flooding else self.api.address,
        )
        self._announcing: defer.Deferred[typing.Any] | None = None

    async def start(self) -> None:
        """Waits until the entry serves both services."""
        services = {
            "flood": self.flood.address,
            "engines": self.engine.address,
            "sound": self.sound.address,
        }
        await self.machines.configure(DOCUMENT, services)
        self._announcing = deployment.run_until_cancelled(
            self.machines.keep_announcing(services)
        )

    async def stop(self) -> None:
        """Ends everything that was started."""
        if self._announcing is not None:
            self._announcing.cancel()
        self.machines.stop()
        for server in (
            self.api,
            self.flood,
            self.engine,
            self.sound,
            self.cloud,
        ):
            await server.stop()
        self._folder.cleanup()

    async def flood_requests(
        self, body: bytes = b""
    ) -> tuple[collections.Counter[int], collections.Counter[int]]:
        """Sends requests that are flooded, and sound ones meanwhile.

        Returns:
            Number of answers by status, of the flooded and the sound requests.
        """
        flooded: collections.Counter[int] = collections.Counter()
        sound: collections.Counter[int] = collections.Counter()

        async def send(number: int) -> None:
            reply = await self.machines.call_front(
                "POST" if body else "GET",
                f"/flood/{number}",
                body,
                x_banyanbank_request_id=f"r{number}",
            )
            flooded[reply.status] += 1

        calls = [defer.ensureDeferred(send(n)) for n in range(REQUESTS)]
        ended = defer.gatherResults(calls, consumeErrors=True)
        while not ended.called:
            reply = await self.machines.call_front("GET", "/sound/a")
            sound[reply.status] += 1
            await support.next_turn(0.02)
        await ended
        return flooded, sound

    async def ask_until_ended(self, job: str) -> collections.Counter[int]:
        """Sends sound requests until each item of a job has a result.

        Returns:
            Number of their answers, and of pages of results, by status.
        """
        statuses: collections.Counter[int] = collections.Counter()
        read = 0
        while read < REQUESTS:
            reply = await self.machines.call_front("GET", "/sound/a")
            statuses[reply.status] += 1
            path = f"/-/lots/{job}?after={read}"
            page = await self.machines.call_front("GET", path)
            statuses[page.status] += 1
            if page.status == 200:
                read = page.json()["next"]
            await support.next_turn(0.1)
        return statuses


def run_scenario(
    scenario: typing.Callable[
        [World], typing.Coroutine[typing.Any, typing.Any, None]
    ],
    is_cloud_flooding: bool = False,
) -> None:
    """Runs a scenario against new machines."""
    deployment.run_against(
        lambda: World(is_cloud_flooding), scenario, SCENARIO_S
    )


class ForwardedRequestTest(unittest.TestCase):
    """An entry ends floods within bounds and serves others meanwhile."""

    def _check(
        self, places: dict[str, floods.Flood], want_status: int | None
    ) -> None:
        async def scenario(world: World) -> None:
            for name, flood in places.items():
                with self.subTest(name):
                    await self._check_one(world, flood, want_status)

        run_scenario(scenario)

    async def _check_one(
        self, world: World, flood: floods.Flood, want_status: int | None
    ) -> None:
        world.flood.flood = flood
        entry = world.machines.entry
        entry.reset_peak()
        held_before = entry.held_bytes
        flooded, sound = await world.flood_requests()
        self.assertEqual(flooded.total(), REQUESTS)
        if want_status is not None:
            self.assertEqual(set(flooded), {want_status})
        self.assertEqual(set(sound), {200})
        await support.until(lambda: world.flood.closed == world.flood.opened)
        self.assertLess(entry.peak_bytes - held_before, MAX_GROWTH)
        self.assertLess(entry.peak_bytes, MACHINE_BYTES)

    def test_requests_that_are_not_read(self) -> None:
        async def scenario(world: World) -> None:
            world.flood.reads_requests = False
            for place in ("no answer", "headers"):
                with self.subTest(place):
                    world.flood.flood = floods.HEAD_PLACES[place]
                    body = b"x" * LARGE_REQUEST_BYTES
                    reply = await world.machines.call_front(
                        "POST", "/flood/a", body
                    )
                    self.assertEqual(reply.status, 502)
                    await support.until(
                        lambda: world.flood.closed == world.flood.opened
                    )

        run_scenario(scenario)

    def test_head(self) -> None:
        self._check(floods.HEAD_PLACES, 502)

    def test_body(self) -> None:
        self._check(floods.BODY_PLACES, 502)

    def test_after_an_answer(self) -> None:
        self._check(floods.BEYOND_PLACES, None)


class ItemRunTest(unittest.TestCase):
    """A store bounds what engines send without end."""

    async def _check_one(
        self, world: World, name: str, flood: floods.Flood
    ) -> None:
        world.engine.flood = flood
        opened = world.engine.opened
        store = world.machines.store
        store.reset_peak()
        held_before = store.held_bytes
        reply = await world.machines.call_front(
            "POST",
            "/jobs/x",
            make_job(REQUESTS),
            x_banyanbank_request_id=name.replace(" ", "-"),
        )
        self.assertEqual(reply.status, 202, reply.body)
        await support.until(lambda: world.engine.opened >= opened + REQUESTS)
        sound = await world.ask_until_ended(name.replace(" ", "-"))
        self.assertEqual(set(sound), {200})
        await support.until(lambda: world.engine.closed == world.engine.opened)
        self.assertLess(store.peak_bytes - held_before, MAX_GROWTH)
        self.assertLess(store.peak_bytes, MACHINE_BYTES)

    def test_events(self) -> None:
        for name, flood in floods.EVENT_PLACES.items():

            async def scenario(
                world: World, name: str = name, flood: floods.Flood = flood
            ) -> None:
                await self._check_one(world, name, flood)

            with self.subTest(name):
                # An engine that has failed before gets few items.
                run_scenario(scenario)


class DutyTest(unittest.TestCase):
    """A store ends floods in answer to its own calls, and serves others."""

    PLACES: typing.ClassVar[dict[str, floods.Flood]] = {
        "headers": floods.HEAD_PLACES["headers"],
        "interim answers": floods.HEAD_PLACES["interim answers"],
        "body": floods.BODY_PLACES["body without a length"],
        "small chunks": floods.BODY_PLACES["small chunks"],
    }
    CALLS = 3

    def test_loads(self) -> None:
        async def scenario(world: World) -> None:
            world.engine.reports = False
            document = DOCUMENT | {
                "version": 4,
                "routes": [*DOCUMENT["routes"]],
            }
            document["routes"][-1] = document["routes"][-1] | {"item-ttl-s": 40}
            reply = await world.machines.call_store(
                "PUT", "/-/config", document
            )
            self.assertEqual(reply.status, 200, reply.body)
            reply = await world.machines.call_store(
                "POST",
                "/-/version-put",
                {"model": "model", "version": 2},
            )
            self.assertEqual(reply.status, 200, reply.body)
            reply = await world.machines.call_front(
                "POST",
                "/jobs/x",
                make_job(1, min_version=2),
                x_banyanbank_request_id="job",
            )
            self.assertEqual(reply.status, 202, reply.body)
            await self._check(world, world.engine)

        run_scenario(scenario)

    def test_usage_reports(self) -> None:
        async def scenario(world: World) -> None:
            await self._check(world, world.cloud)

        run_scenario(scenario, is_cloud_flooding=True)

    async def _check(self, world: World, server: floods.FloodServer) -> None:
        store = world.machines.store
        for name, flood in self.PLACES.items():
            with self.subTest(name):
                server.flood = flood
                opened = server.opened
                store.reset_peak()
                held_before = store.held_bytes
                while server.opened < opened + self.CALLS:
                    reply = await world.machines.call_front("GET", "/sound/a")
                    self.assertEqual(reply.status, 200)
                    await support.next_turn(0.05)
                self.assertLess(store.peak_bytes - held_before, MAX_GROWTH)
        await support.until(lambda: server.closed >= server.opened - 1)


def make_job(items: int, min_version: int = 1) -> bytes:
    """Returns the body of a batch job without scorers, each item a group."""
    job = json.loads(deployment.make_job(items, min_version))
    for number, item in enumerate(job["requests"]):
        del item["scorer"]
        item["group"] = f"g{number}"
    return json.dumps(job).encode()


if __name__ == "__main__":
    unittest.main()
