"""Tests of endpoints that state in their answers that they leave."""

import json
import time
import typing
import unittest

import banyanbank_base as base
import banyanbank_gateway as gateway

from tests import support
from tests.platform import deployment
from tests.platform import fakes

READY = gateway.EndpointState.READY
DRAINING = gateway.EndpointState.DRAINING


class DepartureTest(unittest.TestCase):
    """No call goes to an endpoint after an answer that says it leaves.

    Guards against late heartbeats, and reads of the directory, that bring it
    back.
    """

    def check_state(
        self,
        directory: gateway.Directory,
        endpoint: str,
        state: gateway.EndpointState | None,
    ) -> None:
        found = directory.get(base.EndpointId(endpoint))
        self.assertIs(None if found is None else found.state, state)

    async def submit_job(
        self, system: deployment.Deployment, job: str, min_version: int = 1
    ) -> None:
        body = json.loads(deployment.make_job(1, min_version))
        body["requests"][0]["id"] = f"item-of-{job}"
        await system.call_front(
            "POST",
            "/jobs/x",
            json.dumps(body).encode(),
            x_banyanbank_request_id=job,
        )

    async def read_job(self, system: deployment.Deployment, job: str) -> None:
        while True:
            reply = await system.call_front("GET", f"/-/lots/{job}?after=0")
            if reply.status == 200 and reply.json()["results"]:
                return
            await support.next_turn(0.05)

    async def send_request(self, system: deployment.Deployment) -> int:
        reply = await system.call_front("POST", "/plain/", b"x")
        return reply.status

    def test_request(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            system.server.is_leaving = True
            self.assertEqual(await self.send_request(system), 200)
            count = len(system.server.requests)
            reply = await system.call_front("POST", "/plain/", b"x")
            self.assertEqual(reply.status, 503)
            self.assertIn("retry-after", reply.headers)
            for sequence in (100, 101):
                await system.announce(
                    "server-1", "plain", system.server.address, sequence
                )
                await support.next_turn(0.8)
                self.assertEqual(await self.send_request(system), 503)
            self.assertEqual(len(system.server.requests), count)
            system.server.is_leaving = False
            await system.announce(
                "server-1", "plain", system.server.address, 1, born=2_000
            )
            await support.until(
                lambda: (
                    system.entry.sync.directory.of_service("plain")[0].state
                    is READY
                )
            )
            self.assertEqual(await self.send_request(system), 200)

        deployment.run_with_heartbeats(scenario)

    def test_entry_that_is_cut_off(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            for store in system.stores:
                await store.stop()
            await support.until(lambda: not system.entry.sync.is_current)
            system.server.is_leaving = True
            self.assertEqual(await self.send_request(system), 200)
            self.assertEqual(await self.send_request(system), 503)
            self.assertEqual(len(system.server.requests), 1)

        deployment.run_with_heartbeats(scenario)

    def test_calls_of_the_leader(self) -> None:
        async def run_job(system: deployment.Deployment) -> None:
            await self.submit_job(system, "job-1")
            await self.read_job(system, "job-1")

        async def name_version(system: deployment.Deployment) -> None:
            body = {"model": "model", "version": 2}
            await system.call_store("POST", "/-/version-put", body)
            await self.submit_job(system, "job-1", min_version=2)

        cases: tuple[
            tuple[
                str,
                typing.Callable[
                    [deployment.Deployment],
                    typing.Coroutine[typing.Any, typing.Any, None],
                ],
                str,
                str,
            ],
            ...,
        ] = (
            ("item", run_job, "engine", "engine-1"),
            ("grading", run_job, "server", "server-1"),
            ("report of an engine", name_version, "engine", "engine-1"),
        )
        for name, call, who, endpoint in cases:

            async def scenario(
                system: deployment.Deployment,
                call: typing.Any = call,
                who: str = who,
                endpoint: str = endpoint,
            ) -> None:
                await support.until(lambda: system.leader is not None)
                leader = system.leader
                assert leader is not None
                one: fakes.FakeServer = getattr(system, who)
                self.check_state(leader.directory, endpoint, READY)
                one.is_leaving = True
                await call(system)
                await support.until(lambda: bool(one.requests))
                await support.next_turn(0.3)
                self.check_state(leader.directory, endpoint, DRAINING)
                count = len(one.requests)
                await self.submit_job(system, "job-2")
                await support.next_turn(1.5)
                self.assertEqual(len(one.requests), count)

            with self.subTest(name):
                deployment.run_with_heartbeats(scenario)


class UnknownWithdrawalTest(unittest.TestCase):
    """An endpoint that no store knows can withdraw."""

    def test_late_heartbeat(self) -> None:
        """Guards against a heartbeat that brings a withdrawn endpoint back."""

        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            reply = await system.call_store(
                "DELETE", "/-/instances/server-9", None
            )
            self.assertEqual(reply.status, 200)
            await system.announce("server-9", "plain", "127.0.0.1:9")
            await support.next_turn(0.5)
            for store in system.stores:
                self.check(store.directory)
            self.check(system.entry.sync.directory)

        deployment.run_scenario(scenario)

    def check(self, directory: gateway.Directory) -> None:
        self.assertIsNone(directory.get(base.EndpointId("server-9")))


class LateRemovalTest(unittest.TestCase):
    """A late removal of a former incarnation leaves the present one in use.

    Guards against a server that is not used for two minutes after its restart.
    """

    BODIES: typing.ClassVar[dict[str, typing.Any]] = {
        "with its incarnation": {"born": 1_000, "sequence": 2},
        "without a body": None,
        "with fields of other types": {"born": "x", "sequence": []},
        "with no object": [1],
    }

    async def check_incarnation(
        self, system: deployment.Deployment, born: int | None
    ) -> None:
        """Waits until all running processes know this incarnation, or none."""
        directories = [
            store.directory for store in system.stores if store.stored.has_lease
        ]
        directories.append(system.entry.sync.directory)

        def is_known(directory: gateway.Directory) -> bool:
            found = directory.get(base.EndpointId("server-1"))
            return born == (None if found is None else found.born_ms)

        await support.until(lambda: all(map(is_known, directories)))

    def test_removals(self) -> None:
        for name, body in self.BODIES.items():
            for late_at in range(1, deployment.STORE_COUNT + 1):

                async def scenario(
                    system: deployment.Deployment,
                    body: typing.Any = body,
                    late_at: int = late_at,
                ) -> None:
                    await self.restart_with_late_removal(system, body, late_at)

                with self.subTest(name, store=late_at):
                    deployment.run_scenario(scenario)

    async def restart_with_late_removal(
        self, system: deployment.Deployment, body: typing.Any, late_at: int
    ) -> None:
        await system.configure()
        path, address = "/-/instances/server-1", system.server.address
        await system.call_store("DELETE", path, body, 2)
        await self.check_incarnation(system, None)
        born = round(1000 * time.time())
        for sequence in (1, 2):
            await system.announce("server-1", "plain", address, sequence, born)
        await self.check_incarnation(system, born)
        reply = await system.call_store("DELETE", path, body, late_at)
        self.assertEqual(reply.status, 200)
        for sequence in (3, 4, 5):
            await system.announce("server-1", "plain", address, sequence, born)
        await self.check_incarnation(system, born)
        reply = await system.call_front("POST", "/plain/", b"x")
        self.assertEqual(reply.status, 200)

    def test_change_of_leader(self) -> None:
        """Guards against a new leader that lists a former end."""

        async def scenario(system: deployment.Deployment) -> None:
            await self.restart_with_late_removal(system, None, 1)
            await support.until(lambda: system.leader is not None)
            leader = system.leader
            assert leader is not None
            known = leader.directory.get(base.EndpointId("server-1"))
            assert known is not None
            await leader.stop()
            system.stores.remove(leader)
            await support.until(lambda: system.leader is not None)
            alive = int(system.stores[0].settings.node.name[-1])
            body = {"born": known.born_ms, "sequence": 9}
            for sequence in (6, 7):
                await self.announce_at(system, alive, sequence, known.born_ms)
            await self.check_incarnation(system, known.born_ms)
            reply = await system.call_front("POST", "/plain/", b"x")
            self.assertEqual(reply.status, 200)
            # A real departure stays one.
            path = "/-/instances/server-1"
            await system.call_store("DELETE", path, body, alive)
            await self.announce_at(system, alive, 8, known.born_ms)
            await self.check_incarnation(system, None)

        deployment.run_scenario(scenario)

    async def announce_at(
        self,
        system: deployment.Deployment,
        store: int,
        sequence: int,
        born: int,
    ) -> None:
        await system.call_store(
            "PUT",
            "/-/instances/server-1",
            {
                "service": "plain",
                "address": system.server.address,
                "zone": "zone-a",
                "slots": 4,
                "state": "ready",
                "sequence": sequence,
                "born": born,
            },
            store,
        )


if __name__ == "__main__":
    unittest.main()
