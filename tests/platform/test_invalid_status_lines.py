"""Tests of answers that begin with no status line, on each way of reading."""

import typing
import unittest

import banyanbank_node as node

from tests import support
from tests.platform import deployment
from tests.platform import fakes

LINES = (b"HTTP/1.1 000 OK", b"HTTP/1.1 +200 OK", b"HTTP/1.1 600 Own", b"{}")

Scenario = typing.Callable[
    [deployment.Deployment, fakes.FakeServer],
    typing.Coroutine[typing.Any, typing.Any, None],
]


class InvalidStatusLineTest(unittest.TestCase):
    """Such an answer counts as a lost one, on each way.

    Guards against a client, an item or a duty that takes it for an answer
    (MIXED).
    """

    async def request(
        self, system: deployment.Deployment, broken: fakes.FakeServer
    ) -> None:
        await self.check_request(system, broken, b"/plain/")

    async def request_that_runs_once(
        self, system: deployment.Deployment, broken: fakes.FakeServer
    ) -> None:
        await self.check_request(system, broken, b"/once/")

    async def check_request(
        self,
        system: deployment.Deployment,
        broken: fakes.FakeServer,
        path: bytes,
    ) -> None:
        broken.status_lines[path] = list(LINES)
        for _ in LINES:
            reply = await system.call_front("POST", path.decode(), b"x")
            self.assertEqual(reply.status, 502)
            self.assertNotIn("x-banyanbank-response-signature", reply.headers)

    async def item(
        self, system: deployment.Deployment, broken: fakes.FakeServer
    ) -> None:
        broken.status_lines[b"/jobs/"] = list(LINES)
        await self.check_job(system)

    async def scorer_call(
        self, system: deployment.Deployment, broken: fakes.FakeServer
    ) -> None:
        broken.status_lines[b"/score/"] = list(LINES)
        await self.check_job(system)

    async def check_job(self, system: deployment.Deployment) -> None:
        """Checks that a job is completed, and what its results are."""
        reply = await system.call_front(
            "POST",
            "/jobs/x",
            deployment.make_job(1),
            x_banyanbank_request_id="job-1",
        )
        self.assertEqual(reply.status, 202)
        results: list[dict[str, typing.Any]] = []
        while not results:
            await support.next_turn(0.05)
            reply = await system.call_front("GET", "/-/lots/job-1?after=0")
            results = reply.json()["results"] if reply.status == 200 else []
        (result,) = results
        self.assertEqual(result["state"], "completed")
        self.assertEqual(result["versions"], [1])
        self.assertEqual(result["score"], "signed.score-0")
        pieces = [f"piece {n}" for n in range(1, fakes.EVENT_COUNT + 1)]
        self.assertEqual(result["text"], "\n".join(pieces))

    async def report(
        self, system: deployment.Deployment, broken: fakes.FakeServer
    ) -> None:
        broken.status_lines[b"/-/report"] = list(LINES)
        await self.check_load(system)

    async def order(
        self, system: deployment.Deployment, broken: fakes.FakeServer
    ) -> None:
        broken.status_lines[b"/-/order"] = list(LINES)
        await self.check_load(system)

    async def check_load(self, system: deployment.Deployment) -> None:
        """Checks that a published version is loaded in the end."""
        body = {"model": "model", "version": 2}
        await system.call_store("POST", "/-/version-put", body)
        reply = await system.call_front(
            "POST",
            "/jobs/x",
            deployment.make_job(1, min_version=2),
            x_banyanbank_request_id="job-1",
        )
        self.assertEqual(reply.status, 202)
        await support.until(lambda: system.engine.versions["model"] == 2)
        self.assertEqual(len(system.engine.orders), 1)

    async def usage_report(
        self, system: deployment.Deployment, broken: fakes.FakeServer
    ) -> None:
        broken.status_lines[b"/usage"] = list(LINES)
        await system.call_front("POST", "/plain/", b"x")
        await support.until(lambda: bool(system.api.reports))
        (holder, fence, report) = system.api.reports[0]
        self.assertTrue(holder)
        self.assertGreater(fence, 0)
        self.assertIn("window-number", report)

    WAYS: typing.ClassVar[dict[str, tuple[str, str]]] = {
        "request": ("server", "request"),
        "request that runs once": ("server", "request_that_runs_once"),
        "item": ("engine", "item"),
        "scorer call": ("server", "scorer_call"),
        "report of an engine": ("engine", "report"),
        "order to an engine": ("engine", "order"),
        "usage report": ("api", "usage_report"),
    }

    def test_ways(self) -> None:
        for name, (who, method) in self.WAYS.items():
            check: Scenario = getattr(self, method)

            async def scenario(
                system: deployment.Deployment,
                who: str = who,
                check: Scenario = check,
            ) -> None:
                await support.until(lambda: system.leader is not None)
                broken: fakes.FakeServer = getattr(system, who)
                await check(system, broken)
                self.assertEqual(broken.broken_count, len(LINES))

            with self.subTest(name):
                deployment.run_with_heartbeats(scenario)

    def test_each_request_has_a_way(self) -> None:
        """Guards against a new kind of request that this table leaves out."""
        builders = {
            name for name in vars(node.WireProtocol) if name.startswith("build")
        }
        self.assertEqual(
            builders,
            {
                "build_forward_request",
                "build_item_request",
                "build_report_request",
                "build_load_request",
                "build_usage_request",
                # Its answers are read as those of a usage report.
                "build_capacity_request",
            },
        )


if __name__ == "__main__":
    unittest.main()
