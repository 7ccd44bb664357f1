"""Tests when a leader orders engines, and how many it says exist."""

import types
import typing
import unittest

import banyanbank_base as base
import banyanbank_gateway as gateway
from banyanbank_gateway import _directory
import banyanbank_jobs as jobs
from banyanbank_node import _capacity_duty
from banyanbank_node import _ports
import banyanbank_web as web
from returns import result

from tests.node import running

HERE = base.FailureDomain("here")
THERE = base.FailureDomain("there")
SLOTS = 8
STEP_S = 0.5
SETTLED_S = _capacity_duty.SETTLE_S + STEP_S


class _FakeWire:
    """Fake of the platform; answers orders with a status, or not at all."""

    def __init__(self) -> None:
        self.status: int | None = 200
        self.orders: list[jobs.CapacityOrder] = []

    def build_capacity_request(
        self, order: jobs.CapacityOrder, *_: typing.Any
    ) -> jobs.CapacityOrder:
        return order

    async def send(
        self, order: jobs.CapacityOrder
    ) -> result.Result[typing.Any, web.UpstreamError]:
        self.orders.append(order)
        if self.status is None:
            return result.Failure(
                web.UpstreamError(base.Outcome.MAY_HAVE_RUN, "no answer")
            )

        async def read_all(limit: int) -> None:
            del limit

        return result.Success(
            types.SimpleNamespace(status=self.status, read_all=read_all)
        )


class CapacityDutyTest(unittest.TestCase):
    """Too few engines are ordered; none are taken away by mistake."""

    def setUp(self) -> None:
        self.clock = base.ManualClock(100.0)
        self.directory = gateway.Directory()
        self.ledger = jobs.Ledger()
        self.wire = _FakeWire()
        self.may_act = True
        self.items_per_s = 0
        service = gateway.Service(
            "engines",
            10,
            gateway.EngineShape(SLOTS, 1000, ()),
            gateway.Scaling(1, 6),
        )
        route = running.make_rollout_route(gateway.Target("engines", 1.0))
        document = gateway.Document(
            1, (route,), {"engines": service}, gateway.Limits(), None
        )
        stored = types.SimpleNamespace(
            ledger=self.ledger,
            table=gateway.RouteTable(document),
            node=types.SimpleNamespace(epoch=3),
        )
        self.regions: dict[base.FailureDomain, str] = {}
        guard = types.SimpleNamespace(
            may_act=lambda: self.may_act,
            make_permit=lambda epoch: lambda: True,
        )
        self.duty = _capacity_duty.CapacityDuty(
            self.clock,
            gateway.SyncedClock(self.clock),
            typing.cast(typing.Any, stored),
            self.directory,
            lambda: 1.0,
            typing.cast(typing.Any, self.wire),
            typing.cast(_ports.WireProtocol, self.wire),
            "leader",
            HERE,
            typing.cast(
                typing.Any, types.SimpleNamespace(write=lambda *_, **__: None)
            ),
            typing.cast(typing.Any, guard),
            self.regions,
        )

    def announce(
        self,
        name: str,
        domain: base.FailureDomain = HERE,
        state: gateway.EndpointState = gateway.EndpointState.READY,
        sequence: int = 1,
    ) -> None:
        self.directory.apply(
            gateway.Announcement(
                base.EndpointId(name),
                "engines",
                f"10.0.0.1:{name}",
                domain,
                SLOTS,
                state,
                born_ms=1,
                sequence=sequence,
            ),
            self.clock.now(),
        )

    def submit(self, items: int) -> None:
        """Submits a job whose runs take a second each."""
        now = self.clock.wall()
        job = jobs.Job(
            job=f"job-{now}",
            account=base.AccountId("a"),
            host="host.example",
            route="/route/",
            items=tuple(
                jobs.JobItem(f"i{n}", "/", (), b"", 1) for n in range(items)
            ),
            accepted_at=now,
            due_at=now + 8,
            give_up_at=now + 40,
            max_attempts=3,
        )
        self.ledger.jobs[job.job] = jobs.JobState(job, [])

    def run_for(self, seconds: float, items_per_step: int = 0) -> None:
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            if items_per_step:
                self.submit(items_per_step)
            self.duty.tick()
            self.clock.advance(STEP_S)

    def ordered(self) -> list[tuple[base.FailureDomain, int]]:
        return [(order.domain, order.count) for order in self.wire.orders]

    def test_new_leader_waits_for_announcements(self) -> None:
        self.run_for(_capacity_duty.SETTLE_S, items_per_step=20)
        self.assertEqual(self.ordered(), [])

    def test_orders_until_there_are_enough(self) -> None:
        for name in ("1", "2"):
            self.announce(name, HERE)
        self.announce("3", THERE)
        # 80 items a second, a second each, keep 80 slots busy: more than the
        # 12 engines that both domains may have.
        self.assertGreater(jobs.count_wanted_engines(80.0, SLOTS), 12)
        self.run_for(20.0, items_per_step=40)
        highest = max(count for _, count in self.ordered())
        self.assertLessEqual(highest, 6)
        self.assertEqual(
            sorted({domain for domain, _ in self.ordered()}), [HERE, THERE]
        )

    def test_no_order_without_need_or_right(self) -> None:
        cases = (
            ("little work", 1, True),
            ("not permitted to act", 20, False),
        )
        for name, items, may_act in cases:
            with self.subTest(name):
                self.setUp()
                self.may_act = may_act
                self.announce("1")
                self.run_for(SETTLED_S, items_per_step=items)
                self.assertEqual(self.ordered(), [])

    def test_engines_that_may_exist_are_counted(self) -> None:
        cases = (
            ("silent", lambda: None, 3),
            (
                "draining",
                lambda: self.announce(
                    "2", state=gateway.EndpointState.DRAINING, sequence=2
                ),
                3,
            ),
            (
                "withdrawn",
                lambda: self.directory.withdraw(
                    base.EndpointId("2"), self.clock.now(), unix_ms=5_000
                ),
                2,
            ),
        )
        for name, change, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.announce("1")
                self.announce("2")
                self.run_for(SETTLED_S)
                change()
                self.clock.advance(_directory.ANNOUNCEMENT_TTL_S + STEP_S)
                self.announce("1", sequence=9)
                self.directory.expire(self.clock.now())
                self.run_for(STEP_S, items_per_step=200)
                self.assertEqual(self.ordered()[:1], [(HERE, expected)])

    def test_missing_engines_are_ordered_elsewhere(self) -> None:
        """Guards against orders in, or engines counted of, such a domain."""
        near, far = map(base.FailureDomain, ("near", "far"))
        for name, evacuated, regions, ordered in (
            ("none", [], {}, {HERE, THERE}),
            ("the other one", [THERE], {}, {HERE}),
            ("the own one", [HERE], {}, {THERE}),
            ("all known", [HERE, THERE], {}, set()),
            (
                "all that have engines",
                [HERE, THERE],
                {HERE: "r1", THERE: "r1", near: "r1", far: "r2"},
                {near},
            ),
        ):
            with self.subTest(name):
                self.setUp()
                self.regions.update(regions)
                for domain in evacuated:
                    self.ledger.evacuations = self.ledger.evacuations.evacuate(
                        domain
                    )
                # Six engines would be enough.
                for number in range(6):
                    self.announce(str(number), (HERE, THERE)[number % 2])
                items = 10 if evacuated else 40
                self.run_for(SETTLED_S + 4.0, items_per_step=items)
                self.assertEqual({d for d, _ in self.ordered()}, ordered)

    def test_unclear_answers_delay_the_next_order(self) -> None:
        cases = (("no answer", None), ("an error", 500), ("none there", 409))
        for name, status in cases:
            with self.subTest(name):
                self.setUp()
                self.wire.status = status
                self.announce("1")
                self.run_for(SETTLED_S)
                self.run_for(2 * STEP_S, items_per_step=200)
                self.assertEqual(len(self.ordered()), 1)


if __name__ == "__main__":
    unittest.main()
