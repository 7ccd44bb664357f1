"""End-to-end tests with fake endpoints on loopback."""

import copy
import functools
import itertools
import json
import typing
import unittest

import banyanbank_base as base
import banyanbank_node as node
from banyanbank_node import _entry_contacts
from banyanbank_node import _messages
from twisted.internet import defer

from tests import support
from tests.platform import deployment
from tests.platform import fakes


class RequestTest(unittest.TestCase):
    """Requests of callers."""

    def test_request(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            reply = await system.call_front(
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
            (upstream_request,) = system.server.requests
            self.assertEqual(upstream_request.uri, b"/plain/a?b=c")
            self.assertEqual(upstream_request.getHeader("host"), "host.example")
            self.assertEqual(
                upstream_request.getHeader("x-banyanbank-tenant"), "account-1"
            )
            self.assertEqual(
                upstream_request.getHeader("x-banyanbank-expect-instance"),
                "server-1",
            )
            self.assertIsNone(upstream_request.getHeader("authorization"))

        deployment.run_scenario(scenario)

    def test_refusals(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            self.assertEqual(
                (await system.call_front("GET", "/plain/")).status, 503
            )
            await system.configure()
            for name, path, headers, status in (
                ("no route", "/none/", {}, 404),
                ("no key", "/plain/", {"authorization": "none"}, 401),
                ("unknown key", "/plain/", {"authorization": "Token x"}, 401),
                ("no key needed", "/score/", {"authorization": "none"}, 200),
            ):
                with self.subTest(name):
                    reply = await system.call_front(
                        "POST", path, b"x", **headers
                    )
                    self.assertEqual(reply.status, status)

        deployment.run_scenario(scenario)

    def test_errors_of_the_only_reachable_endpoint(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            await system.announce("server-2", "plain", "127.0.0.1:1")
            await support.until(lambda: len(system.entry.sync.directory) == 3)
            for name, path, next_statuses, status in (
                ("full", "/plain/", [503] * 3, 503),
                ("full, non-idempotent", "/once/", [503] * 3, 503),
                ("full for a moment", "/plain/", [503], 200),
                ("for a moment, non-idempotent", "/once/", [503], 200),
                ("failed", "/plain/", [500], 500),
                ("failed, non-idempotent", "/once/", [500], 500),
            ):
                with self.subTest(name):
                    system.server.next_statuses.extend(next_statuses)
                    reply = await system.call_front("POST", path, b"x")
                    self.assertEqual(reply.status, status)
                    self.assertFalse(system.server.next_statuses)

        deployment.run_scenario(scenario)


class ControlPathTest(unittest.TestCase):
    """Callers cannot make the calls that only this system may make."""

    def test_route_for_all_paths(self) -> None:
        """Guards against an order to an engine that a caller sent."""

        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            document = copy.deepcopy(deployment.DOCUMENT)
            document["version"] += 1
            document["routes"].append(
                document["routes"][0]
                | {"name": "all", "path-prefix": "/", "service": "engines"}
            )
            await system.call_store("PUT", "/-/config", document)
            for path, status in (
                ("/-/order", 404),
                ("/%2D/order", 404),
                ("/-/report", 404),
                ("/other", 200),
            ):
                with self.subTest(path):
                    count = len(system.engine.requests)
                    reply = await system.call_front(
                        "POST", path, b"{}", x_banyanbank_request_id="r1"
                    )
                    self.assertEqual(reply.status, status)
                    sent = len(system.engine.requests) - count
                    self.assertEqual(sent, status == 200)

        deployment.run_scenario(scenario)


class NotRunStatusTest(unittest.TestCase):
    """Callers are told "not run" only of requests that no endpoint ran.

    Guards against an order that ran and was answered with 503, so that its
    client sent it again.
    """

    def test_statuses_of_an_endpoint_that_runs_the_request(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            (port,) = support.free_ports(1)
            other = fakes.PlainServer(system.reactor, "127.0.0.1", port)
            await system.announce("server-2", "plain", other.address)
            await support.until(lambda: len(system.entry.sync.directory) == 3)
            # Whichever is asked first gives the first answer.
            other.next_statuses = system.server.next_statuses
            other.ran_request_ids = system.server.ran_request_ids
            for status, is_signed, (path, want, count) in itertools.product(
                (408, 429, 503),
                (True, False),
                (("/once/", 502, 1), ("/plain/", 200, 2)),
            ):
                with self.subTest(path, status=status, signed=is_signed):
                    for server in (system.server, other):
                        server.runs_all = True
                        server.signs_all = is_signed
                        server.ran_request_ids.clear()
                    system.server.next_statuses.append(status)
                    reply = await system.call_front(
                        "POST", path, b"x", x_banyanbank_request_id="r1"
                    )
                    self.assertEqual(reply.status, want)
                    self.assertEqual(
                        "x-banyanbank-response-signature" in reply.headers,
                        want == 200,
                    )
                    ran = system.server.ran_request_ids
                    self.assertEqual(ran, ["r1"] * count)
            await other.stop()

        deployment.run_scenario(scenario)


class OddAnnouncementTest(unittest.TestCase):
    """An announcement of another writer names no endpoint, and others hold."""

    ANNOUNCEMENT: typing.ClassVar[dict[str, typing.Any]] = {
        "service": "plain",
        "address": "127.0.0.1:9",
        "zone": "zone-a",
        "slots": 4,
        "state": "ready",
        "sequence": 1,
        "born": 1,
    }

    ODD: tuple[dict[str, typing.Any], ...] = (
        {"service": "\ud800"},
        {"zone": "\udc00"},
        {"models": [{"name": "\ud800", "version": 1}]},
        {"models": [{"name": "model", "version": 10**30}]},
        {"sequence": 10**400},
        {"address": "127.0.0.1:70000"},
        {"address": "127.0.0.1: 80"},
        {"slots": 2**62},
    )

    def test_entries_follow_the_directory(self) -> None:
        """Guards against an entry of the directory that no reader can read."""

        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            for number in range(1, deployment.STORE_COUNT + 1):
                for odd in self.ODD:
                    content = self.ANNOUNCEMENT | odd
                    reply = await system.call_store(
                        "PUT", "/-/instances/odd", content, number
                    )
                    self.assertEqual(reply.status, 400)
                for encoding in ("utf-8", "utf-16"):
                    text = json.dumps(
                        self.ANNOUNCEMENT | {"service": "\ud800"},
                        ensure_ascii=encoding == "utf-16",
                    )
                    reply = await system.call(
                        "PUT",
                        f"http://127.0.1.{number}:{system.control_port}"
                        "/-/instances/odd",
                        text.encode(encoding, "surrogatepass"),
                    )
                    self.assertEqual(reply.status, 400)
            await system.announce("server-2", "plain", "127.0.0.1:9")
            await support.until(
                lambda: (
                    system.entry.sync.directory.get(base.EndpointId("server-2"))
                    is not None
                )
            )

        deployment.run_scenario(scenario)


class ConfigurationTest(unittest.TestCase):
    """Configuration documents of operators."""

    def test_highest_version_wins(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            older = copy.deepcopy(deployment.DOCUMENT) | {"version": 2}
            same = copy.deepcopy(deployment.DOCUMENT) | {"limits": {}}
            newer = copy.deepcopy(deployment.DOCUMENT) | {"version": 9}
            del newer["routes"][0]
            for document in (older, same, newer):
                reply = await system.call_store("PUT", "/-/config", document, 2)
                self.assertEqual(reply.status, 200)
            stored_document = await system.call_store(
                "GET", "/-/config", None, 3
            )
            self.assertEqual(stored_document.json(), newer)
            await support.until(
                lambda: (
                    system.entry.match_route("host.example", "/plain/", "key-1")
                    is not None
                    and system.entry.sync.table.document.number == 9
                )
            )
            reply = await system.call_front("POST", "/plain/", b"x")
            self.assertEqual(reply.status, 404)

        deployment.run_scenario(scenario)

    def test_entry_out_of_touch_denies_nothing(self) -> None:
        """Guards against a 404 or 401 that a newer configuration disproves."""

        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            calls = {
                "route": ("/missing/", "Token key-1"),
                "key": ("/plain/", "Token missing"),
                "key of a job": ("/-/lots/job-1", "Token missing"),
            }

            async def read_statuses() -> dict[str, int]:
                statuses = {}
                for name, (path, key) in calls.items():
                    reply = await system.call_front(
                        "GET", path, authorization=key
                    )
                    statuses[name] = reply.status
                return statuses

            self.assertEqual(
                await read_statuses(),
                {"route": 404, "key": 401, "key of a job": 401},
            )
            for store in system.stores:
                await store.stop()
            await support.until(lambda: not system.entry.sync.is_current)
            self.assertEqual(await read_statuses(), dict.fromkeys(calls, 503))
            reply = await system.call_front("POST", "/plain/", b"x")
            self.assertEqual(reply.status, 200)

        deployment.run_scenario(scenario)

    def test_acknowledged_document_is_in_force_at_once(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            await system.add_entry()
            entries = [system.entry, *system.further_entries]
            for number in range(10, 20):
                document = deployment.DOCUMENT | {"version": number}
                await system.call_store("PUT", "/-/config", document)
                self.assertEqual(
                    [entry.sync.table.document.number for entry in entries],
                    [number] * len(entries),
                )

        deployment.run_scenario(scenario)

    def test_lost_entry_holds_up_an_acknowledgement_for_its_window_only(
        self,
    ) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            await system.add_entry()
            system.further_entries[0].sync.stop()
            began_at = system.reactor.seconds()
            document = deployment.DOCUMENT | {"version": 10}
            await system.call_store("PUT", "/-/config", document)
            took_s = system.reactor.seconds() - began_at
            self.assertEqual(system.entry.sync.table.document.number, 10)
            self.assertGreater(took_s, 1.0)
            self.assertLess(took_s, _entry_contacts.CONTACT_WINDOW_S + 1.0)

        deployment.run_scenario(scenario)

    def test_wait_for_a_document_that_no_store_has_ends(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            client = system.stores[0].node.client
            answered = await client.call(
                _messages.AWAIT_ENTRIES,
                _messages.AwaitEntries(99, 0.3),
                system.reactor.seconds() + 0.8,
            )
            self.assertFalse(answered.unwrap().is_settled)

        deployment.run_scenario(scenario)

    def test_first_document_waits_for_no_entry(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await support.until(lambda: system.leader is not None)
            began_at = system.reactor.seconds()
            reply = await system.call_store(
                "PUT", "/-/config", deployment.DOCUMENT
            )
            self.assertEqual(reply.status, 200)
            took_s = system.reactor.seconds() - began_at
            self.assertLess(took_s, _entry_contacts.CONTACT_WINDOW_S)

        deployment.run_scenario(scenario)


class JobTest(unittest.TestCase):
    """Batch jobs of trainers."""

    def test_job(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            for _ in range(2):
                reply = await system.call_front(
                    "POST",
                    "/jobs/x",
                    deployment.make_job(),
                    x_banyanbank_request_id="job-1",
                )
                self.assertEqual(reply.status, 202)
            page = await self.read_results(system, 2)
            self.assertEqual(page["total"], 2)
            self.assertEqual(
                {result["id"] for result in page["results"]},
                {"item-0", "item-1"},
            )
            for result in page["results"]:
                self.assertEqual(result["state"], "completed")
                self.assertEqual(
                    result["text"], "piece 1\npiece 2\npiece 3\npiece 4"
                )
                self.assertEqual(result["versions"], [1])
                number = result["id"].removeprefix("item-")
                self.assertEqual(result["score"], f"signed.score-{number}")
            other = await system.call_front(
                "GET", "/-/lots/job-1", authorization="Token key-2"
            )
            self.assertEqual(other.status, 404)
            for _ in range(2):
                reply = await system.call_front("DELETE", "/-/lots/job-1")
                self.assertEqual(reply.status, 200)

        deployment.run_scenario(scenario)

    async def read_results(
        self, system: deployment.Deployment, count: int
    ) -> dict[str, typing.Any]:
        while True:
            reply = await system.call_front(
                "GET", "/-/lots/job-1?after=0", x_banyanbank_wait_ms="1000"
            )
            self.assertEqual(reply.status, 200)
            page = reply.json()
            if len(page["results"]) == count:
                return page

    def test_every_store_serves_the_results(self) -> None:
        """Each store serves reads, and none that it refuses is lost.

        A follower that cannot confirm its replica in time refuses, and the
        leader is asked.
        """

        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            await system.call_front(
                "POST",
                "/jobs/x",
                deployment.make_job(),
                x_banyanbank_request_id="job-1",
            )
            page = await self.read_results(system, 2)
            expected = [item["id"] for item in page["results"]]
            for store in system.stores:
                name = store.node.instance
                for read in (self.read_first_at, self.read_at):
                    results = (await read(system, name)).results
                    self.assertEqual([r.item for r in results], expected)

        deployment.run_scenario(scenario)

    RESULTS = node.ResultsRequest("job-1", base.AccountId("account-1"), 0, 1.0)

    async def read_first_at(
        self, system: deployment.Deployment, store: base.InstanceId
    ) -> node.ResultsPage:
        """Reads as an entry does that asks one store before the leader."""
        answered = await system.entry.node.client.call(
            "store.results",
            self.RESULTS,
            system.reactor.seconds() + 2.0,
            1.5,
            store,
        )
        page: node.ResultsPage = answered.unwrap()
        return page

    async def read_at(
        self, system: deployment.Deployment, store: base.InstanceId
    ) -> node.ResultsPage:
        """Reads at one store alone, again after a refusal."""
        while True:
            answered = await system.entry.node.client.call_store(
                store,
                "store.results",
                self.RESULTS,
                system.reactor.seconds() + 2.0,
            )
            page = answered.value_or(None)
            if isinstance(page, node.ResultsPage):
                return page
            self.assertEqual(answered.failure().detail, f"{store} refused")

    def test_interrupted_run_resumes(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            system.engine.abort_after_events.append(2)
            await system.call_front(
                "POST",
                "/jobs/x",
                deployment.make_job(items=1),
                x_banyanbank_request_id="job-1",
            )
            page = await self.read_results(system, 1)
            (result,) = page["results"]
            self.assertEqual(
                result["text"], "piece 1\npiece 2\npiece 3\npiece 4"
            )
            self.assertEqual(system.engine.resumed_after, [None, "2"])

        deployment.run_scenario(scenario)

    def test_error_after_broken_stream_is_not_in_text(self) -> None:
        for status, body in (
            (500, b"id: 3\ndata: internal error\n\n"),
            (502, b"HTTP/1.1 502 Bad Gateway\r\n\r\n"),
            (200, b"<html>error</html>\n\n"),
            (200, b"id: 3\ndata: internal error\n\n"),
        ):
            with self.subTest(status=status, body=body):
                deployment.run_with_heartbeats(
                    functools.partial(
                        self._break_stream_and_fail, status=status, body=body
                    )
                )

    def test_empty_answer_after_broken_stream_is_not_its_end(self) -> None:
        """Guards against texts listed as complete without their last events."""
        deployment.run_with_heartbeats(
            functools.partial(self._break_stream_and_fail, status=200, body=b"")
        )

    async def _break_stream_and_fail(
        self, system: deployment.Deployment, status: int, body: bytes
    ) -> None:
        system.engine.abort_after_events.append(2)
        system.engine.error_after_abort = (status, body)
        await system.call_front(
            "POST",
            "/jobs/x",
            deployment.make_job(items=1),
            x_banyanbank_request_id="job-1",
        )
        page = await self.read_results(system, 1)
        self.assertEqual(
            [(found["state"], found["text"]) for found in page["results"]],
            [("completed", "piece 1\npiece 2\npiece 3\npiece 4")],
        )
        self.assertIsNone(system.engine.error_after_abort)

    def test_run_interrupted_after_its_last_event(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            system.engine.abort_after_events.append(4)
            await system.call_front(
                "POST",
                "/jobs/x",
                deployment.make_job(items=1),
                x_banyanbank_request_id="job-1",
            )
            page = await self.read_results(system, 1)
            (result,) = page["results"]
            self.assertEqual(result["state"], "completed")
            self.assertEqual(
                result["text"], "piece 1\npiece 2\npiece 3\npiece 4"
            )
            self.assertEqual(result["versions"], [1])
            self.assertEqual(system.engine.resumed_after, [None, "4"])

        deployment.run_scenario(scenario)

    def test_scorer_that_always_fails(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            system.server.next_statuses.extend([500] * 4)
            await system.call_front(
                "POST",
                "/jobs/x",
                deployment.make_job(items=1),
                x_banyanbank_request_id="job-1",
            )
            page = await self.read_results(system, 1)
            self.assertEqual(page["results"][0]["state"], "dead")
            self.assertEqual(len(system.server.ran_request_ids), 4)

        deployment.run_scenario(scenario)

    def test_scorer_that_fails_at_every_server(self) -> None:
        """An attempt is one call of one endpoint.

        Guards against counting one attempt for a round over all endpoints.
        """

        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            servers = [
                fakes.PlainServer(system.reactor, "127.0.0.1", port)
                for port in support.free_ports(3)
            ]
            for number, server in enumerate(servers, 2):
                name = f"server-{number}"
                await system.announce(name, "plain", server.address)
            servers.append(system.server)
            for server in servers:
                server.next_statuses.extend([500] * 16)
            await system.call_front(
                "POST",
                "/jobs/x",
                deployment.make_job(items=1),
                x_banyanbank_request_id="job-1",
            )
            page = await self.read_results(system, 1)
            self.assertEqual(page["results"][0]["state"], "dead")
            self.assertEqual(
                sum(len(server.ran_request_ids) for server in servers), 4
            )
            for server in servers[:3]:
                await server.stop()

        deployment.run_scenario(scenario)

    def test_item_body(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            await system.call_front(
                "POST",
                "/jobs/x",
                deployment.make_job(items=1, min_version=2),
                x_banyanbank_request_id="job-1",
            )
            path = "/-/items/job-1?id=item-0"
            reply = await system.call_front("GET", path)
            self.assertEqual((reply.status, reply.body), (200, b"prompt"))
            await system.call_front("DELETE", "/-/lots/job-1")
            self.assertEqual((await system.call_front("GET", path)).status, 404)

        deployment.run_scenario(scenario)

    def test_new_version_is_loaded_and_used(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            version_notice = {"model": "model", "version": 2}
            reply = await system.call_store(
                "POST", "/-/version-put", version_notice
            )
            self.assertEqual(reply.status, 200)
            await system.call_front(
                "POST",
                "/jobs/x",
                deployment.make_job(items=1, min_version=2),
                x_banyanbank_request_id="job-1",
            )
            page = await self.read_results(system, 1)
            self.assertEqual(page["results"][0]["versions"], [2])
            (order,) = system.engine.orders
            # The order reuses the connection of the preceding report request.
            connections = {
                request.getClientAddress().port
                for request in system.engine.requests
                if request.path in (b"/-/report", b"/-/order")
            }
            self.assertEqual(len(connections), 1)
            await support.until(lambda: system.leader is not None)
            leader = system.leader
            assert leader is not None
            self.assertEqual(order["holder"], leader.settings.node.name)
            self.assertEqual(order["fence"], leader.stored.node.epoch)

        deployment.run_scenario(scenario)


class CommonRestartTest(unittest.TestCase):
    """All processes are lost at once and callers return at once."""

    CALLERS = 8

    def test_callers_are_answered_without_a_refusal(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            await system.restart()
            calls = [
                defer.ensureDeferred(
                    system.call_front(
                        "POST",
                        "/plain/a",
                        b"body",
                        x_banyanbank_request_id=f"r{number}",
                    )
                )
                for number in range(self.CALLERS)
            ]
            await system.announce(
                "server-1", "plain", system.server.address, sequence=2
            )
            statuses = [(await call).status for call in calls]
            self.assertEqual(statuses, [200] * self.CALLERS)

        deployment.run_scenario(scenario)


class UsageTest(unittest.TestCase):
    """Reports of usage windows."""

    def test_reports(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            for number in range(3):
                await system.call_front(
                    "POST",
                    "/plain/",
                    b"x",
                    x_banyanbank_request_id=f"r{number}",
                )
            await support.until(
                lambda: (
                    sum(
                        report["counts"].get("account-1", 0)
                        for _, _, report in system.api.reports
                    )
                    == 3
                )
            )
            windows = [
                report["window-number"] for *_, report in system.api.reports
            ]
            self.assertEqual(len(windows), len(set(windows)))

        deployment.run_scenario(scenario)


class LeaderLossTest(unittest.TestCase):
    """A new leader continues the accepted jobs."""

    def test_loss_of_the_leader(self) -> None:
        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            await system.call_front(
                "POST",
                "/jobs/x",
                deployment.make_job(items=1, min_version=2),
                x_banyanbank_request_id="job-1",
            )
            await support.until(lambda: system.leader is not None)
            stopped_leader = system.leader
            assert stopped_leader is not None
            await stopped_leader.stop()
            await support.until(
                lambda: (
                    system.leader is not None
                    and system.leader is not stopped_leader
                )
            )
            system.engine.versions["model"] = 2
            leader_number = system.stores.index(system.leader) + 1
            announcement = {
                "service": "engines",
                "address": system.engine.address,
            }
            announcement |= {
                "zone": "a",
                "slots": 4,
                "state": "ready",
                "born": 1000,
            }
            announcement |= {
                "sequence": 2,
                "models": [{"name": "model", "version": 2}],
            }
            await system.call_store(
                "PUT", "/-/instances/engine-1", announcement, leader_number
            )
            page = await JobTest.read_results(self, system, 1)
            self.assertEqual(page["results"][0]["versions"], [2])

        deployment.run_scenario(scenario)
