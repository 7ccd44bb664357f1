"""Tests of what an entry decides by the configuration in force."""

import os
import typing
import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
from banyanbank_node import _entry
from banyanbank_node import _job_calls
from banyanbank_node import _messages
from banyanbank_node import _ports
from banyanbank_node import _settings
from returns import result
from twisted.internet import defer
from twisted.internet import task

from tests.jobs import samples

HOST = "host.example"

FAR = 1000.0
"""Time that a patient caller leaves, in seconds."""


def make_entry(log_fd: int) -> _entry.Entry:
    """Returns an entry that is not started and knows no configuration."""
    address = _settings.Address("127.0.0.1", 1)
    node = _settings.NodeSettings(
        name="entry-1",
        domain=base.FailureDomain("a"),
        mesh=address,
        seeds=(base.InstanceId("127.0.0.1:2"),),
        window_s=5.0,
        shutdown_timeout_s=8.0,
        job_retention_s=120.0,
    )
    unused: typing.Any = None
    return _entry.Entry(
        _settings.EntrySettings(node, address, address),
        task.Clock(),
        unused,
        log_fd,
    )


def make_route(name: str, **changes: typing.Any) -> gateway.Route:
    """Returns a route to the service `app` with some fields changed."""
    route = gateway.Route(
        name=name,
        host=HOST,
        prefix=f"/{name}/",
        kind=gateway.RouteKind.IDEMPOTENT,
        targets=(gateway.Target("app", 1.0),),
        timeout_s=2.0,
        objective_s=0.2,
        max_attempts=2,
        is_public=False,
    )
    return attrs.evolve(route, **changes)


class EntryTest(unittest.TestCase):
    """Requests are handled by the newest configuration at their arrival."""

    def setUp(self) -> None:
        log_fd = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, log_fd)
        self.entry = make_entry(log_fd)

    def configure(
        self, number: int, *routes: gateway.Route, **accounts: str
    ) -> None:
        """Puts a document in force; `accounts` holds the account of a key."""
        self.entry.sync.table = gateway.RouteTable(
            gateway.Document(
                number,
                routes,
                {},
                gateway.Limits(),
                {key: base.AccountId(name) for key, name in accounts.items()},
            )
        )

    def make_request(self, patience_s: float = FAR) -> _ports.CallerRequest:
        """Returns a request whose deadline is that far away."""
        deadline = self.entry.node.clock.now() + patience_s
        return _ports.CallerRequest(
            "r-1", "POST", HOST, "/a/", "/a/", (), b"", "key", deadline
        )

    def test_changes(self) -> None:
        """Guards against a decision that a former configuration takes."""
        kept = make_route("a")
        moved = attrs.evolve(kept, targets=(gateway.Target("other", 1.0),))
        nested = make_route("b", prefix="/a/b/")
        for name, routes, accounts, path, service, account in (
            ("no change", [kept], {"key": "x"}, "/a/b/1", "app", "x"),
            ("the route moved", [moved], {"key": "x"}, "/a/1", "other", "x"),
            (
                "a longer prefix was added",
                [moved, nested],
                {"key": "x"},
                "/a/b/1",
                "app",
                "x",
            ),
            (
                "a longer prefix was dropped",
                [moved],
                {"key": "x"},
                "/a/b/1",
                "other",
                "x",
            ),
            ("the key moved", [kept], {"key": "y"}, "/a/1", "app", "y"),
        ):
            with self.subTest(name):
                self.configure(1, kept, nested, key="x")
                self.configure(2, *routes, **accounts)
                matched = self.entry.match_route(HOST, path, "key")
                assert not isinstance(matched, base.Refusal)
                route, found = matched
                self.assertEqual(route.targets[0].service, service)
                self.assertEqual(found, account)

    def test_what_is_gone_is_refused(self) -> None:
        kept = make_route("a")
        for name, routes, accounts in (
            ("the route was dropped", [make_route("b")], {"key": "x"}),
            ("the key was dropped", [kept], {"other": "x"}),
            ("all keys were dropped", [kept], {}),
        ):
            with self.subTest(name):
                self.configure(1, kept, key="x")
                self.configure(2, *routes, **accounts)
                matched = self.entry.match_route(HOST, "/a/1", "key")
                self.assertIsInstance(matched, base.Refusal)

    def test_no_configuration_denies_nothing(self) -> None:
        """Guards against 401, 403 and 404 of an entry that knows nothing."""
        entry = self.entry
        for name, refusal in (
            ("request", entry.match_route(HOST, "/a/1", "key")),
            ("request without a key", entry.match_route(HOST, "/a/1", None)),
            ("call of a batch job", entry.authenticate_for_jobs("key")),
            ("call without a key", entry.authenticate_for_jobs(None)),
        ):
            with self.subTest(name):
                assert isinstance(refusal, base.Refusal)
                self.assertIs(refusal.reason, base.RefusalReason.NO_LEADER)
                self.assertIs(refusal.outcome, base.Outcome.NOT_RUN)

    def test_time_limit_of_a_request(self) -> None:
        """Guards against a former time-out, and against none."""
        for name, timeout_s, patience_s, expected_s in (
            ("shorter time-out", 0.5, FAR, 0.5),
            ("longer time-out", 30.0, FAR, 30.0),
            ("deadline of the caller", 30.0, 10.0, 10.0),
        ):
            with self.subTest(name):
                self.configure(1, make_route("a"), key="x")
                self.configure(2, make_route("a", timeout_s=timeout_s), key="x")
                req = self.make_request(patience_s)
                before = self.entry.node.clock.now()
                matched = self.entry.match_route(HOST, "/a/1", "key")
                assert not isinstance(matched, base.Refusal)
                forwarding = self.entry.prepare_forwarding(req, *matched)
                assert not isinstance(forwarding, base.Refusal)
                after = self.entry.node.clock.now()
                least = min(before + expected_s, req.deadline)
                self.assertLessEqual(least, forwarding.deadline)
                self.assertLessEqual(forwarding.deadline, after + expected_s)

    def test_time_limit_of_a_submission(self) -> None:
        """Guards against a submission held past the time-out of its route."""
        limit_s = _job_calls.JOB_CALL_TIMEOUT_S
        for name, timeout_s, patience_s, expected_s in (
            ("patient caller", 10.0, FAR, limit_s),
            ("short time-out", 0.5, FAR, 0.5),
            ("deadline of the caller", 10.0, 0.25, 0.25),
        ):
            with self.subTest(name):
                deadlines: list[float] = []

                async def call_raw(
                    method: str,
                    data: bytes,
                    deadline: float,
                    asked: list[float] = deadlines,
                ) -> result.Result[bytes, typing.Any]:
                    self.assertEqual(method, _messages.PROPOSE)
                    asked.append(deadline)
                    applied = jobs.Applied(is_new=True)
                    return result.Success(jobs.REPLY_CODEC.encode(applied))

                client: typing.Any = self.entry.node.client
                client.call_raw = call_raw
                route = make_route(
                    "a", kind=gateway.RouteKind.ROLLOUT, timeout_s=timeout_s
                )
                req = self.make_request(patience_s)
                before = self.entry.node.clock.now()
                done = defer.ensureDeferred(
                    self.entry.jobs.submit(samples.make_job("j"), req, route)
                )
                after = self.entry.node.clock.now()
                self.assertIsNone(done.result)
                (deadline,) = deadlines
                least = min(before + expected_s, req.deadline)
                self.assertLessEqual(least, deadline)
                self.assertLessEqual(deadline, after + expected_s)


if __name__ == "__main__":
    unittest.main()
