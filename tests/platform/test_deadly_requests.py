"""Tests of requests that end the endpoints that run them."""

import typing
import unittest

from twisted.internet import defer
from twisted.web import server

from tests import support
from tests.platform import deployment
from tests.platform import fakes

DEADLY = b"deadly"
RESTART_S = 0.3


class MortalServer(fakes.PlainServer):
    """Endpoint whose connections all end when it runs a deadly request.

    Attributes:
        crashes: How often it has crashed.
        resets: How many further requests have their connection reset alone.
        held: Requests that are under way.
    """

    def __init__(self, reactor: typing.Any, host: str, port: int) -> None:
        super().__init__(reactor, host, port)
        self.crashes = 0
        self.resets = 0
        self.held: list[server.Request] = []
        self._is_down = False

    def answer(self, request: server.Request) -> None:
        """Answers after a moment, unless the endpoint ends before."""
        self.held.append(request)
        self._reactor.callLater(0.05, self._finish, request)

    def _finish(self, request: server.Request) -> None:
        if request not in self.held:
            return
        self.held.remove(request)
        assert request.content is not None
        if request.content.read() == DEADLY:
            self.crashes += 1
            self.crash()
            request.transport.abortConnection()
        elif self.resets:
            self.resets -= 1
            request.transport.abortConnection()
        else:
            super().answer(request)

    def crash(self) -> None:
        """Resets the connections of all requests under way."""
        for held in self.held:
            held.transport.abortConnection()
        self.held.clear()


class DeadlyRequestTest(unittest.TestCase):
    """A deadly request ends two endpoints, and others are served.

    Guards against a request that ends one endpoint after the other, since it is
    sent again wherever its caller repeats it.
    """

    SERVERS = 5

    def run_scenario(
        self,
        scenario: typing.Callable[
            [deployment.Deployment, list[MortalServer]],
            typing.Coroutine[typing.Any, typing.Any, None],
        ],
    ) -> None:
        async def run(system: deployment.Deployment) -> None:
            await system.configure()
            await system.call_store("DELETE", "/-/instances/server-1", None)
            servers = [
                MortalServer(system.reactor, "127.0.0.1", port)
                for port in support.free_ports(self.SERVERS)
            ]
            for number, one in enumerate(servers):
                await system.announce(f"m-{number}", "plain", one.address)
            await support.until(
                lambda: (
                    len(system.entry.sync.directory.of_service("plain"))
                    == self.SERVERS
                )
            )
            await scenario(system, servers)
            for one in servers:
                await one.stop()

        deployment.run_scenario(run)

    def test_repeated_deadly_request(self) -> None:
        async def scenario(
            system: deployment.Deployment, servers: list[MortalServer]
        ) -> None:
            statuses = []
            for number in range(4):
                reply = await system.call_front(
                    "POST",
                    "/plain/a",
                    DEADLY,
                    x_banyanbank_request_id=f"r{number}",
                )
                statuses.append(reply.status)
            self.assertEqual(statuses, [400] * 4)
            self.assertEqual(sum(one.crashes for one in servers), 2)
            reply = await system.call_front("POST", "/plain/a", b"good")
            self.assertEqual(reply.status, 200)

        self.run_scenario(scenario)

    def test_repeated_at_another_entry(self) -> None:
        async def scenario(
            system: deployment.Deployment, servers: list[MortalServer]
        ) -> None:
            await system.add_entry()
            for entry in (1, 2):
                reply = await system.call_front(
                    "POST", "/plain/a", DEADLY, entry=entry
                )
                self.assertEqual(reply.status, 400)
                await support.next_turn(0.5)
            self.assertEqual(sum(one.crashes for one in servers), 2)

        self.run_scenario(scenario)

    def test_requests_beside_a_deadly_one(self) -> None:
        async def scenario(
            system: deployment.Deployment, servers: list[MortalServer]
        ) -> None:
            calls = [
                defer.ensureDeferred(
                    system.call_front(
                        "POST",
                        f"/plain/{number}",
                        DEADLY if number == 0 else b"good",
                        x_banyanbank_request_id=f"r{number}",
                    )
                )
                for number in range(2 * self.SERVERS)
            ]
            statuses = [(await call).status for call in calls]
            self.assertEqual(statuses, [400] + [200] * (len(calls) - 1))
            self.assertEqual(sum(one.crashes for one in servers), 2)

        self.run_scenario(scenario)

    def test_losses_for_other_reasons(self) -> None:
        def reset_all(servers: list[MortalServer]) -> None:
            for one in servers:
                one.crash()

        def reset_once(servers: list[MortalServer]) -> None:
            for one in servers:
                one.resets = 1 if one.held else 0

        for name, disturb in (
            ("all endpoints crash at once", reset_all),
            ("connections are reset", reset_once),
        ):

            async def scenario(
                system: deployment.Deployment,
                servers: list[MortalServer],
                disturb: typing.Any = disturb,
            ) -> None:
                calls = [
                    defer.ensureDeferred(
                        system.call_front("POST", f"/plain/{number}", b"good")
                    )
                    for number in range(self.SERVERS)
                ]
                await support.until(
                    lambda: sum(len(one.held) for one in servers) >= len(calls)
                )
                disturb(servers)
                statuses = [(await call).status for call in calls]
                self.assertEqual(statuses, [200] * len(calls))

            with self.subTest(name):
                self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
