"""Tests of the priorities of batch jobs and of the header that states them."""

import json
import unittest

import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
from banyanbank_node import _endpoint_requests
from banyanbank_platform import _batch_job
from banyanbank_platform import _document
from banyanbank_platform import _wire_protocol

from tests.gateway import samples
from tests.platform import deployment

HEADER = "x-banyanbank-request-priority"


def read_table(*tenants: dict[str, object]) -> gateway.RouteTable:
    """Returns the sample configuration with other client accounts."""
    source = deployment.DOCUMENT | {"tenants": list(tenants)}
    return gateway.RouteTable(
        _document.DocumentReader().read(json.dumps(source).encode())
    )


def make_item(priority: int, *headers: tuple[str, str]) -> jobs.ItemProgress:
    """Returns an item of a job with a priority."""
    spec = jobs.JobItem("i", "/jobs/x", headers, b"", 100)
    job = jobs.Job(
        "j",
        base.AccountId("a"),
        "host.example",
        "/jobs/",
        (spec,),
        0.0,
        10.0,
        40.0,
        3,
        priority=priority,
    )
    return jobs.ItemProgress(job, spec)


class PriorityTest(unittest.TestCase):
    """An account's priority counts for its jobs and is stated to engines."""

    def test_tenants(self) -> None:
        table = read_table(
            {"name": "urgent", "api-keys": ["k1"], "priority": 0},
            {"name": "later", "api-keys": ["k2"], "priority": 3.0},
            {"name": "none", "api-keys": ["k3"], "priority": None},
        )
        self.assertEqual(
            table.document.account_priorities, {"urgent": 0, "later": 3}
        )
        self.assertTrue(table.has_several_priorities)

    def test_tenant_that_is_listed_twice(self) -> None:
        """Guards against a stored document that an upgrade cannot read."""
        table = read_table(
            {"name": "x", "api-keys": ["k1"], "priority": 2},
            {"name": "x", "api-keys": ["k2"], "priority": 1},
        )
        self.assertEqual(table.document.account_priorities, {"x": 1})

    def test_job_keeps_the_priority_it_was_accepted_with(self) -> None:
        """Guards against jobs reordered by a later configuration."""
        route = next(
            route
            for route in read_table().document.routes
            if route.kind is gateway.RouteKind.ROLLOUT
        )
        ledger = jobs.Ledger()
        for priority in (2, 5):
            job = _batch_job.read_job(
                "job-1",
                deployment.make_job(),
                route,
                base.AccountId("a"),
                0.0,
                priority,
            )
            ledger.apply(1, jobs.COMMAND_CODEC.encode(jobs.AcceptJob(job)))
        self.assertEqual(ledger.jobs["job-1"].job.priority, 2)

    def test_header(self) -> None:
        """Guards against a changed wire without priorities, and two values.

        Also against a client that is more urgent than its configuration says.
        """
        stated = ("X-Banyanbank-Request-Priority", "0")
        for name, priority, headers, states, expected in (
            ("one priority", 2, (), False, []),
            ("one priority, stated by the client", 2, (stated,), False, []),
            ("several", 2, (), True, ["2"]),
            ("several, stated by the client", 2, (stated,), True, ["2"]),
            ("the most urgent", 0, (), True, ["0"]),
            ("above the range", 12, (), True, ["9"]),
        ):
            with self.subTest(name):
                req = _wire_protocol.PlatformWireProtocol(
                    None
                ).build_item_request(
                    make_item(priority, *headers),
                    samples.make_announcement("e"),
                    1.0,
                    0.0,
                    states,
                )
                values = [
                    value
                    for name, value in _endpoint_requests.compose_headers(
                        req.received, req.stated, frozenset(), ()
                    ).headers
                    if name.lower() == HEADER
                ]
                self.assertEqual(values, expected)


if __name__ == "__main__":
    unittest.main()
