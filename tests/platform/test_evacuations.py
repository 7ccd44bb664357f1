"""Tests of evacuated failure domains over the whole path."""

import itertools
import pathlib
import random
import shutil
import tempfile
import types
import typing
import unittest

import banyanbank_base as base
import banyanbank_node as node
from banyanbank_platform import _control
import banyanbank_web as web
from twisted.internet import defer
from twisted.internet import task

from tests import support
from tests.platform import deployment
from tests.soak import http
from tests.soak import load
from tests.soak import world

ENGINE_ZONE, SERVER_ZONE = "zone-a", "zone-b"
HELD_S = 2.0
"""Seconds for which a test looks for requests that must be held back."""

ENTRIES_LEARN_S = 5.0
"""Seconds from the acknowledgement after which the promise holds."""

WORLD_LIMIT_S = 120.0
NOT_ASKED: list[tuple[str, bool]] = []


class ControlTest(unittest.TestCase):
    """Each call has the status that operators act on."""

    def call(
        self, method: str, path: str, body: bytes, done: object
    ) -> tuple[int, list[tuple[str, bool]]]:
        """Returns the status, and what the store was asked."""
        asked: list[tuple[str, bool]] = []
        statuses: list[int] = []

        async def order_evacuation(
            domain: base.FailureDomain, is_evacuated: bool
        ) -> object:
            asked.append((domain, is_evacuated))
            return done

        store: typing.Any = types.SimpleNamespace(
            order_evacuation=order_evacuation
        )
        routes = web.RouteTable(_control.ControlHandlers(store).routes())
        found = routes.find(method, path)
        assert found is not None
        route, parameters = found
        exchange: typing.Any = types.SimpleNamespace(
            parameters=parameters,
            body=body,
            relay=lambda status, *_: statuses.append(status),
        )
        assert route.handler is not None
        defer.ensureDeferred(
            typing.cast(typing.Any, route.handler(exchange))
        ).addErrback(lambda failure: failure.raiseException())
        return statuses[0], asked

    def test_statuses(self) -> None:
        """Guards against 503 for what may take effect, and against 409."""
        ran, open_, not_run = (
            base.Outcome.RAN,
            base.Outcome.MAY_HAVE_RUN,
            base.Outcome.NOT_RUN,
        )
        zone = [("zone-a", True)]
        for name, path, body, done, status, asked in (
            ("confirmed", "zone-a", b"", ran, 200, zone),
            ("open", "zone-a", b"", open_, 504, zone),
            ("not run", "zone-a", b"", not_run, 503, zone),
            ("unknown", "zone-a", b"", node.NotThere(), 404, zone),
            ("encoded", "zone%2Da", b"", ran, 200, zone),
            ("body", "zone-a", b"{}", ran, 400, NOT_ASKED),
            ("no name", "", b"", ran, 400, NOT_ASKED),
            ("further parts", "zone-a/b", b"", ran, 400, NOT_ASKED),
            ("blank", "zone%20a", b"", ran, 400, NOT_ASKED),
            ("no letter", "..", b"", ran, 400, NOT_ASKED),
            ("not Unicode", "zone%ff", b"", ran, 400, NOT_ASKED),
            ("too long", "z" * 129, b"", ran, 400, NOT_ASKED),
        ):
            for method in ("POST", "DELETE"):
                with self.subTest(name, method=method):
                    expected = [(z, method == "POST") for z, _ in asked]
                    self.assertEqual(
                        self.call(method, f"/-/evacuate/{path}", body, done),
                        (status, expected),
                    )


async def announce(system: deployment.Deployment, sequence: int) -> None:
    """Announces the engine and the server, each in a zone of its own."""
    await system.announce(
        "engine-1", "engines", system.engine.address, sequence
    )
    await system.call_store(
        "PUT",
        "/-/instances/server-1",
        {
            "service": "plain",
            "address": system.server.address,
            "zone": SERVER_ZONE,
            "slots": 4,
            "state": "ready",
            "sequence": sequence,
            "born": 1_000,
        },
    )


async def keep_announcing(system: deployment.Deployment) -> None:
    """Announces both every second until it is cancelled."""
    for sequence in itertools.count(2):
        await announce(system, sequence)
        await task.deferLater(system.reactor, 1.0)


async def order(
    system: deployment.Deployment, method: str, zone: str, store: int = 1
) -> int:
    """Sends an order until its outcome is clear; returns the status."""
    path = f"/-/evacuate/{zone}"
    return (await system.call_store(method, path, None, store)).status


async def submit(system: deployment.Deployment, job: str, version: int) -> int:
    """Submits a job of one item; returns the status."""
    reply = await system.call_front(
        "POST",
        "/jobs/x",
        deployment.make_job(items=1, min_version=version),
        x_banyanbank_request_id=job,
    )
    return reply.status


async def count_results(
    system: deployment.Deployment, job: str, wait_ms: int = 0
) -> int:
    """Returns how many items of a job have a result."""
    reply = await system.call_front(
        "GET",
        f"/-/lots/{job}?after=0",
        x_banyanbank_wait_ms=str(wait_ms),
    )
    return len(reply.json()["results"])


class PathsTest(unittest.TestCase):
    """Nothing reaches an evacuated domain on any path, even after a restart."""

    def test_paths(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            announcing = deployment.run_until_cancelled(keep_announcing(system))
            try:
                await self.play(system)
            finally:
                announcing.cancel()

        deployment.run_scenario(scenario)

    async def play(self, system: deployment.Deployment) -> None:
        await support.until(
            lambda: system.entry.sync.directory.domains >= {SERVER_ZONE}
        )
        self.assertEqual(await order(system, "POST", "zone-x"), 404)
        self.assertEqual((await self.ask(system)).status, 200)
        for store in (1, 2, 3):
            status = await order(system, "POST", SERVER_ZONE, store)
            self.assertEqual(status, 200)
        await self.check_scorer_and_callers(system)
        self.assertEqual(await order(system, "POST", ENGINE_ZONE, 2), 200)
        await self.check_items_and_weights(system)
        await system.restart()
        await support.until(lambda: system.entry.is_ready)
        await self.check_items_and_weights(system, job="job-3")
        for zone in (SERVER_ZONE, ENGINE_ZONE, ENGINE_ZONE):
            self.assertEqual(await order(system, "DELETE", zone, 3), 200)
        self.assertEqual((await self.ask(system)).status, 200)
        for job in ("job-1", "job-2", "job-3"):
            while not await count_results(system, job, 500):
                pass
        self.assertEqual(len(system.engine.orders), 1)

    async def ask(self, system: deployment.Deployment) -> deployment.Reply:
        return await system.call_front(
            "POST", "/plain/x", b"x", x_banyanbank_request_id="r"
        )

    async def check_scorer_and_callers(
        self, system: deployment.Deployment
    ) -> None:
        """The engine generates a text, but no scorer gets it."""
        arrived = len(system.server.requests)
        began_at = system.reactor.seconds()
        reply = await self.ask(system)
        self.assertEqual(reply.status, 503, reply)
        self.assertIn("retry-after", reply.headers)
        self.assertLess(system.reactor.seconds() - began_at, 1.0)
        self.assertEqual(await submit(system, "job-1", 1), 202)
        await support.until(lambda: system.engine.resumed_after)
        await support.next_turn(HELD_S)
        self.assertEqual(await count_results(system, "job-1"), 0)
        self.assertEqual(len(system.server.requests), arrived)

    async def check_items_and_weights(
        self, system: deployment.Deployment, job: str = "job-2"
    ) -> None:
        """Neither items nor orders and reports reach the engine."""
        arrived = len(system.engine.requests)
        reply = await system.call_store(
            "POST", "/-/version-put", {"model": "model", "version": 2}
        )
        self.assertEqual(reply.status, 200)
        self.assertEqual(await submit(system, job, 2), 202)
        await support.next_turn(HELD_S)
        self.assertEqual(await count_results(system, job), 0)
        self.assertEqual(len(system.engine.requests), arrived)


class ProcessesTest(unittest.TestCase):
    """The promise holds with all paths in use, and after a loss of power."""

    def test_kill_of_all_stores(self) -> None:
        """Guards against an evacuation that a loss of power ends."""
        folder = pathlib.Path(tempfile.mkdtemp(prefix="evacuation-"))
        support.run_async(lambda: self.play(folder), WORLD_LIMIT_S)
        shutil.rmtree(folder)

    async def play(self, folder: pathlib.Path) -> None:
        there = world.World(folder)
        people = load.Load(there, random.Random(1), load.Promises())
        try:
            await there.start()
            for work in (people.beat, people.operate):
                people.start(work())
            await support.until(lambda: people.acknowledged)
            for work in (people.ask, people.train, people.publish):
                people.start(work())
            await self.until_reached(there, "before the evacuation")
            status = await self.order(there, "POST")
            self.assertEqual(status, 200)
            await support.next_turn(ENTRIES_LEARN_S)
            before = self.count(there)
            await support.next_turn(3.0)
            self.assertEqual(self.count(there), before)
            for store in there.stores:
                store.kill()
            for store in there.stores:
                store.start()
            acknowledged = people.acknowledged
            await support.until(lambda: people.acknowledged > acknowledged)
            await support.next_turn(3.0)
            self.assertEqual(self.count(there), before, f"logs {folder}")
            self.assertEqual(await self.order(there, "DELETE"), 200)
            await self.until_reached(there, "after the withdrawal")
            self.assertGreater(people.promises.counts["requests answered"], 50)
        finally:
            people.is_running = people.are_servers_up = False
            await support.next_turn(load.BEAT_S)
            await people.stop()
            await there.stop()

    async def order(self, there: world.World, method: str) -> int:
        """Sends an order until its outcome is clear; returns the status."""
        caller = http.Caller(there.reactor)
        try:
            for store in itertools.cycle(there.stores):
                url = there.control_url(store) + "/-/evacuate/zone-2"
                reply = await caller.call(method, url, b"", 2.0)
                if reply is not None and reply.status not in (503, 504):
                    return reply.status
                await support.next_turn(0.05)
        finally:
            await caller.close()
        raise AssertionError

    def count(self, there: world.World) -> list[int]:
        """Returns the requests that each server of the domain has received."""
        farm = there.farm
        servers = (farm.plain[1], farm.engines[1], farm.tuned[1])
        return [len(one.requests) for one in servers]

    async def until_reached(self, there: world.World, when: str) -> None:
        """Waits until each server of the domain gets further requests."""
        before = self.count(there)
        until = there.reactor.seconds() + 20.0
        while any(
            now <= then
            for now, then in zip(self.count(there), before, strict=True)
        ):
            self.assertLess(there.reactor.seconds(), until, when)
            await support.next_turn(0.05)


if __name__ == "__main__":
    unittest.main()
