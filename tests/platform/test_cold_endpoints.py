"""Tests of endpoints that are cold after their start."""

import copy
import json
import unittest

import banyanbank_gateway as gateway
from banyanbank_platform import _announcement
from banyanbank_platform import _document
from twisted.internet import defer
from twisted.internet import task

from tests import support
from tests.node import test_cold_model
from tests.platform import deployment
from tests.platform import fakes

COLD_PER_S = 4.0
ENTRIES = 3
COLD_S = 5


def make_document(version: int) -> bytes:
    """Returns a configuration whose services state rates."""
    document = copy.deepcopy(deployment.DOCUMENT) | {"version": version}
    for service in document["services"]:
        service |= {"cold-start-s": 3.0, "cold-per-s": COLD_PER_S}
    return json.dumps(document).encode()


class ColdEndpointTest(unittest.TestCase):
    """All instances together keep to the rate of cold endpoints."""

    async def configure(self, system: deployment.Deployment) -> None:
        await system.call_store(
            "PUT", "/-/config", json.loads(make_document(version=4))
        )
        for _ in range(ENTRIES - 1):
            await system.add_entry()
        entries = (system.entry, *system.further_entries)
        system.cold_ms = 3_000
        await support.until(
            lambda: all(
                endpoint.is_cold
                for entry in entries
                for endpoint in entry.sync.directory.all()
            )
        )

    def check_arrivals(self, server: fakes.FakeServer, since: float) -> None:
        arrived_at = [moment for moment in server.arrived_at if moment > since]
        most = test_cold_model.count_most_in_second(arrived_at)
        self.assertLessEqual(most, 1.5 * COLD_PER_S + 5)
        self.assertGreaterEqual(
            len(arrived_at), 0.6 * COLD_PER_S * (COLD_S - 1)
        )

    def test_callers(self) -> None:
        """Guards against the full load on a service that becomes cold."""

        async def scenario(system: deployment.Deployment) -> None:
            await self.configure(system)
            began_at = system.reactor.seconds()
            calls = []
            for number in range(10 * COLD_S):
                calls += [
                    defer.ensureDeferred(
                        system.call_front(
                            "POST",
                            "/plain/a",
                            b"x",
                            entry,
                            x_banyanbank_request_id=f"r{entry}-{number}",
                        )
                    )
                    for entry in range(1, ENTRIES + 1)
                ]
                await task.deferLater(system.reactor, 0.1)
            replies = await defer.gatherResults(calls)
            self.check_arrivals(system.server, began_at)
            refused = [reply for reply in replies if reply.status != 200]
            self.assertEqual({reply.status for reply in refused}, {503})
            for reply in refused:
                self.assertLessEqual(float(reply.headers["retry-after"]), 1.1)
            system.cold_ms = 0
            directory = system.entry.sync.directory
            await support.until(
                lambda: not any(e.is_cold for e in directory.all())
            )
            reply = await system.call_front("POST", "/plain/a", b"x")
            self.assertEqual(reply.status, 200)

        deployment.run_with_heartbeats(scenario)

    def test_items_and_scorer_calls(self) -> None:
        """Guards against a step that ends cold engines and scorers."""

        async def scenario(system: deployment.Deployment) -> None:
            await self.configure(system)
            began_at = system.reactor.seconds()
            await system.call_front(
                "POST",
                "/jobs/x",
                deployment.make_job(60),
                x_banyanbank_request_id="job-1",
            )
            await task.deferLater(system.reactor, COLD_S)
            self.check_arrivals(system.engine, began_at)
            self.check_arrivals(system.server, began_at)
            system.cold_ms = 0
            await support.until(
                lambda: len(set(system.server.ran_request_ids)) >= 60
            )

        deployment.run_with_heartbeats(scenario)


class ColdFieldsTest(unittest.TestCase):
    """Fields of announcements and configurations that concern cold states."""

    def test_announcements(self) -> None:
        announcement = {
            "service": "plain",
            "address": "127.0.0.1:1",
            "zone": "zone-a",
            "slots": 1,
            "state": "ready",
            "sequence": 1,
        }
        for name, fields, want in (
            ("none", {}, False),
            ("null", {"cold-remaining-ms": None}, False),
            ("zero", {"cold-remaining-ms": 0}, False),
            ("whole number", {"cold-remaining-ms": 1}, True),
            ("fraction", {"cold-remaining-ms": 0.5}, True),
        ):
            with self.subTest(name):
                content = json.dumps(announcement | fields).encode()
                got = _announcement.read_announcement("e1", content)
                self.assertEqual(got.is_cold, want)

    def test_services(self) -> None:
        for name, content, want in (
            ("none", json.dumps(deployment.DOCUMENT).encode(), None),
            ("stated", make_document(version=4), COLD_PER_S),
        ):
            with self.subTest(name):
                document = _document.DocumentReader().read(content)
                rate = gateway.find_cold_rate(document, "plain")
                self.assertEqual(rate, want)
        self.assertEqual(document.services["plain"].cold_start_s, 3.0)


if __name__ == "__main__":
    unittest.main()
