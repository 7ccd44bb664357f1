"""Tests of the whole path over stand-ins, on loopback."""

import copy
import unittest

from tests import support
from tests.platform import deployment
from tests.platform import standins


class RequestTest(unittest.TestCase):
    """Requests of callers."""

    def test_request(self) -> None:
        async def story(there: deployment.Deployment) -> None:
            await there.serve()
            reply = await there.front(
                "POST",
                "/plain/a?b=c",
                b"body",
                x_banyanbank_request_id="r1",
                x_banyanbank_tenant="forged",
            )
            self.assertEqual((reply.status, reply.body), (200, b"answer to r1"))
            self.assertEqual(
                reply.headers["x-banyanbank-response-signature"], "signed.r1"
            )
            (got,) = there.server.requests
            self.assertEqual(got.uri, b"/plain/a?b=c")
            self.assertEqual(got.getHeader("host"), "host.example")
            self.assertEqual(got.getHeader("x-banyanbank-tenant"), "account-1")
            self.assertEqual(
                got.getHeader("x-banyanbank-expect-instance"), "server-1"
            )
            self.assertIsNone(got.getHeader("authorization"))

        deployment.play(story)

    def test_refusals(self) -> None:
        async def story(there: deployment.Deployment) -> None:
            self.assertEqual((await there.front("GET", "/plain/")).status, 503)
            await there.serve()
            for name, path, headers, status in (
                ("no route", "/none/", {}, 404),
                ("no key", "/plain/", {"authorization": "none"}, 401),
                ("unknown key", "/plain/", {"authorization": "Token x"}, 401),
                ("no key needed", "/score/", {"authorization": "none"}, 200),
            ):
                with self.subTest(name):
                    reply = await there.front("POST", path, b"x", **headers)
                    self.assertEqual(reply.status, status)

        deployment.play(story)

    def test_what_may_be_repeated(self) -> None:
        async def story(there: deployment.Deployment) -> None:
            await there.serve()
            await there.announce("server-2", "plain", "127.0.0.1:1")
            await support.until(lambda: len(there.entry.sync.directory) == 3)
            for name, path, script, status in (
                ("full", "/plain/", [503], 503),
                ("full, not repeated", "/once/", [503], 503),
                ("failed", "/plain/", [500], 500),
                ("failed once", "/once/", [500], 500),
            ):
                with self.subTest(name):
                    there.server.script.extend(script)
                    reply = await there.front("POST", path, b"x")
                    self.assertEqual(reply.status, status)
                    there.server.script.clear()

        deployment.play(story)


class ConfigurationTest(unittest.TestCase):
    """Documents of operators."""

    def test_highest_wins(self) -> None:
        async def story(there: deployment.Deployment) -> None:
            await there.serve()
            older = copy.deepcopy(deployment.DOCUMENT) | {"version": 2}
            same = copy.deepcopy(deployment.DOCUMENT) | {"limits": {}}
            newer = copy.deepcopy(deployment.DOCUMENT) | {"version": 9}
            del newer["routes"][0]
            for document in (older, same, newer):
                reply = await there.operate("PUT", "/-/config", document, 2)
                self.assertEqual(reply.status, 200)
            read = await there.operate("GET", "/-/config", None, 3)
            self.assertEqual(read.json(), newer)
            await support.until(
                lambda: (
                    there.entry.admit("host.example", "/plain/", "key-1")
                    is not None
                    and there.entry.sync.table.document.number == 9
                )
            )
            reply = await there.front("POST", "/plain/", b"x")
            self.assertEqual(reply.status, 404)

        deployment.play(story)


class JobTest(unittest.TestCase):
    """Batch jobs of trainers."""

    def test_job(self) -> None:
        async def story(there: deployment.Deployment) -> None:
            await there.serve()
            for _ in range(2):
                reply = await there.front(
                    "POST",
                    "/jobs/x",
                    deployment.make_job(),
                    x_banyanbank_request_id="job-1",
                )
                self.assertEqual(reply.status, 202)
            page = await self.read_all(there, 2)
            self.assertEqual(page["total"], 2)
            self.assertEqual(
                {one["id"] for one in page["results"]}, {"item-0", "item-1"}
            )
            for one in page["results"]:
                self.assertEqual(one["state"], "completed")
                self.assertEqual(
                    one["text"], "piece 1\npiece 2\npiece 3\npiece 4"
                )
                self.assertEqual(one["versions"], [1])
                number = one["id"].removeprefix("item-")
                self.assertEqual(one["score"], f"signed.score-{number}")
            other = await there.front(
                "GET", "/-/lots/job-1", authorization="Token key-2"
            )
            self.assertEqual(other.status, 404)
            for _ in range(2):
                reply = await there.front("DELETE", "/-/lots/job-1")
                self.assertEqual(reply.status, 200)

        deployment.play(story)

    async def read_all(
        self, there: deployment.Deployment, count: int
    ) -> dict[str, object]:
        while True:
            reply = await there.front(
                "GET", "/-/lots/job-1?after=0", x_banyanbank_wait_ms="1000"
            )
            self.assertEqual(reply.status, 200)
            page = reply.json()
            if len(page["results"]) == count:
                return page

    def test_run_that_is_cut_goes_on(self) -> None:
        async def story(there: deployment.Deployment) -> None:
            await there.serve()
            there.engine.cuts.append(2)
            await there.front(
                "POST",
                "/jobs/x",
                deployment.make_job(items=1),
                x_banyanbank_request_id="job-1",
            )
            page = await self.read_all(there, 1)
            (one,) = page["results"]
            self.assertEqual(one["text"], "piece 1\npiece 2\npiece 3\npiece 4")
            self.assertEqual(there.engine.resumed_after, [None, "2"])

        deployment.play(story)

    def test_run_that_is_cut_after_its_last_event(self) -> None:
        async def story(there: deployment.Deployment) -> None:
            await there.serve()
            there.engine.cuts.append(4)
            await there.front(
                "POST",
                "/jobs/x",
                deployment.make_job(items=1),
                x_banyanbank_request_id="job-1",
            )
            page = await self.read_all(there, 1)
            (one,) = page["results"]
            self.assertEqual(one["state"], "completed")
            self.assertEqual(one["text"], "piece 1\npiece 2\npiece 3\npiece 4")
            self.assertEqual(one["versions"], [1])
            self.assertEqual(there.engine.resumed_after, [None, "4"])

        deployment.play(story)

    def test_scorer_that_always_fails(self) -> None:
        async def story(there: deployment.Deployment) -> None:
            await there.serve()
            there.server.script.extend([500] * 4)
            await there.front(
                "POST",
                "/jobs/x",
                deployment.make_job(items=1),
                x_banyanbank_request_id="job-1",
            )
            page = await self.read_all(there, 1)
            self.assertEqual(page["results"][0]["state"], "dead")
            self.assertEqual(len(there.server.ran), 4)

        deployment.play(story)

    def test_scorer_that_fails_at_every_server(self) -> None:
        """Each server's failure counts, not each round over all of them."""

        async def story(there: deployment.Deployment) -> None:
            await there.serve()
            servers = [
                standins.PlainServer(there.reactor, "127.0.0.1", port)
                for port in support.free_ports(3)
            ]
            for number, server in enumerate(servers, 2):
                name = f"server-{number}"
                await there.announce(name, "plain", server.address)
            servers.append(there.server)
            for server in servers:
                server.script.extend([500] * 16)
            await there.front(
                "POST",
                "/jobs/x",
                deployment.make_job(items=1),
                x_banyanbank_request_id="job-1",
            )
            page = await self.read_all(there, 1)
            self.assertEqual(page["results"][0]["state"], "dead")
            self.assertEqual(sum(len(one.ran) for one in servers), 4)
            for server in servers[:3]:
                await server.stop()

        deployment.play(story)

    def test_body_of_an_item(self) -> None:
        async def story(there: deployment.Deployment) -> None:
            await there.serve()
            await there.front(
                "POST",
                "/jobs/x",
                deployment.make_job(items=1, min_version=2),
                x_banyanbank_request_id="job-1",
            )
            path = "/-/items/job-1?id=item-0"
            reply = await there.front("GET", path)
            self.assertEqual((reply.status, reply.body), (200, b"prompt"))
            await there.front("DELETE", "/-/lots/job-1")
            self.assertEqual((await there.front("GET", path)).status, 404)

        deployment.play(story)

    def test_new_version_is_loaded_and_used(self) -> None:
        async def story(there: deployment.Deployment) -> None:
            await there.serve()
            named = {"model": "model", "version": 2}
            reply = await there.operate("POST", "/-/version-put", named)
            self.assertEqual(reply.status, 200)
            await there.front(
                "POST",
                "/jobs/x",
                deployment.make_job(items=1, min_version=2),
                x_banyanbank_request_id="job-1",
            )
            page = await self.read_all(there, 1)
            self.assertEqual(page["results"][0]["versions"], [2])
            (order,) = there.engine.orders
            # An order goes over the connection of the report before it.
            connections = {
                request.getClientAddress().port
                for request in there.engine.requests
                if request.path in (b"/-/report", b"/-/order")
            }
            self.assertEqual(len(connections), 1)
            await support.until(lambda: there.leader is not None)
            leader = there.leader
            assert leader is not None
            self.assertEqual(order["holder"], leader.settings.node.name)
            self.assertEqual(order["fence"], leader.stored.node.epoch)

        deployment.play(story)


class UsageTest(unittest.TestCase):
    """Reports of usage windows."""

    def test_reports(self) -> None:
        async def story(there: deployment.Deployment) -> None:
            await there.serve()
            for number in range(3):
                await there.front(
                    "POST",
                    "/plain/",
                    b"x",
                    x_banyanbank_request_id=f"r{number}",
                )
            await support.until(
                lambda: (
                    sum(
                        report["counts"].get("account-1", 0)
                        for _, _, report in there.api.reports
                    )
                    == 3
                )
            )
            windows = [
                report["window-number"] for *_, report in there.api.reports
            ]
            self.assertEqual(len(windows), len(set(windows)))

        deployment.play(story)


class LeaderLossTest(unittest.TestCase):
    """Another store goes on with what was accepted."""

    def test_loss_of_the_leader(self) -> None:
        async def story(there: deployment.Deployment) -> None:
            await there.serve()
            await there.front(
                "POST",
                "/jobs/x",
                deployment.make_job(items=1, min_version=2),
                x_banyanbank_request_id="job-1",
            )
            await support.until(lambda: there.leader is not None)
            lost = there.leader
            assert lost is not None
            await lost.stop()
            await support.until(
                lambda: there.leader is not None and there.leader is not lost
            )
            there.engine.versions["model"] = 2
            working = there.stores.index(there.leader) + 1
            said = {"service": "engines", "address": there.engine.address}
            said |= {"zone": "a", "slots": 4, "state": "ready", "born": 1000}
            said |= {"sequence": 2, "models": [{"name": "model", "version": 2}]}
            await there.operate("PUT", "/-/instances/engine-1", said, working)
            page = await JobTest.read_all(self, there, 1)
            self.assertEqual(page["results"][0]["versions"], [2])

        deployment.play(story)
