"""Tests of endpoints that state in their answers that they leave."""

import json
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


if __name__ == "__main__":
    unittest.main()
