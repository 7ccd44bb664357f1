"""Tests of order commands and of the leader duties."""

import unittest

import attrs
import banyanbank_control as control

from tests.control import samples
from tests.control.sync import test_exchange

REQUEST = control.OrderRequest(
    need="coach/a/safe/1",
    action=control.Action.START,
    model="coach",
    failure_domain="a",
    supply=control.Supply.SAFE,
    count=1,
    price_ceiling=2.5,
)
DECIDE = control.DecideOrder(REQUEST, epoch=2)


class OrderTest(unittest.TestCase):
    """A need has one live order; statuses and epochs never go back."""

    def setUp(self) -> None:
        self.machine = control.ControlMachine()

    def send(self, cmd: control.Command) -> control.Reply:
        """Applies a command and returns the reply."""
        return samples.send(self.machine, cmd)

    def test_one_live_order(self) -> None:
        first = self.send(DECIDE)
        self.assertEqual(first, control.OrderDecided(1, "order-1"))
        self.assertEqual(self.send(DECIDE), control.OrderExists(1))
        status = control.OrderStatus
        for before, after in [
            (status.ACKNOWLEDGED, status.ACKNOWLEDGED),
            (status.SENT, status.ACKNOWLEDGED),
            (status.FULFILLED, status.FULFILLED),
            (status.FAILED, status.FULFILLED),
            (status.SENT, status.FULFILLED),
        ]:
            reply = self.send(control.MarkOrder(1, before, 2))
            self.assertEqual(reply, control.OrderMarked(1, after))
        second = self.send(DECIDE)
        self.assertEqual(second, control.OrderDecided(2, "order-2"))

    def test_earlier_epoch(self) -> None:
        self.send(DECIDE)
        mark = control.MarkOrder(1, control.OrderStatus.SENT, 1)
        old = attrs.evolve(
            DECIDE, epoch=1, request=attrs.evolve(REQUEST, need="n")
        )
        for cmd in (mark, old):
            reply = self.send(cmd)
            self.assertEqual(reply.reason, control.RejectReason.STALE)


class PlannerTest(unittest.TestCase):
    """Orders are committed first, survive a change of leader and are unique."""

    def setUp(self) -> None:
        self.machine = control.ControlMachine()
        self.needs = (REQUEST,)
        self.announced: tuple[str, ...] = ()

    def make_settled_planner(self, epoch: int) -> control.OrderPlanner:
        """Returns a planner whose discovery grace is over."""
        planner = control.OrderPlanner(epoch)
        planner.decide(control.OrderState(), (), (), -100.0)
        return planner

    def decide(
        self, planner: control.OrderPlanner, now: float
    ) -> tuple[control.Effect, ...]:
        """Returns the due effects and commits the proposed commands."""
        orders = self.machine.state.orders
        effects = planner.decide(orders, self.needs, self.announced, now)
        for effect in effects:
            if isinstance(effect, control.Propose):
                samples.send(self.machine, effect.command)
        return effects

    def test_from_need_to_endpoint(self) -> None:
        first = self.make_settled_planner(epoch=2)
        (proposal,) = self.decide(first, 0.0)
        self.assertEqual(proposal.command, DECIDE)
        (sent,) = self.decide(first, 0.1)
        self.assertEqual(self.decide(first, 0.2), ())
        second = control.OrderPlanner(epoch=3)
        (again,) = self.decide(second, 0.3)
        self.assertEqual(again.order, sent.order)
        self.assertEqual((sent.fencing_token, again.fencing_token), (2, 3))
        result = control.OrderResult(1, True, ("e1",), "ref")
        samples.send(self.machine, second.build_result_proposal(result).command)
        self.assertEqual(self.decide(second, 5.0), ())
        self.announced = ("e1",)
        self.needs = ()
        self.decide(second, 9.0)
        self.assertEqual(len(self.machine.state.orders.live), 0)
        order = self.machine.state.orders.get(1)
        self.assertEqual(order.status, control.OrderStatus.FULFILLED)
        self.assertEqual(self.decide(second, 10.0), ())

    def test_new_leader_waits_for_announcements(self) -> None:
        self.decide(self.make_settled_planner(epoch=2), 0.0)
        result = control.OrderResult(1, True, ("e1",))
        planner = control.OrderPlanner(epoch=3)
        samples.send(
            self.machine, planner.build_result_proposal(result).command
        )
        stop = attrs.evolve(
            REQUEST, need="s", action=control.Action.STOP, endpoint="e2"
        )
        samples.send(self.machine, control.DecideOrder(stop, 3))
        result = control.OrderResult(2, True)
        samples.send(
            self.machine, planner.build_result_proposal(result).command
        )
        self.needs = (attrs.evolve(REQUEST, need="other"),)
        for now in (10.0, 17.9):
            self.assertEqual(self.decide(planner, now), ())
        self.announced = ("e2",)
        (proposal,) = self.decide(planner, 18.0)
        self.assertEqual(proposal.command.request.need, "other")

    def test_failed_need_is_retried_with_backoff(self) -> None:
        planner = self.make_settled_planner(epoch=2)
        decided_at_s = []
        for tenth in range(200):
            for effect in self.decide(planner, tenth / 10):
                if isinstance(effect, control.SendOrder):
                    result = control.OrderResult(effect.order.number, False)
                    mark = planner.build_result_proposal(result).command
                    samples.send(self.machine, mark)
                    decided_at_s.append(tenth // 10)
        self.assertEqual(decided_at_s, [0, 1, 3, 7, 15])

    def test_failure_domain_is_avoided_for_a_while(self) -> None:
        planner = self.make_settled_planner(epoch=2)
        avoided_domains = []
        for now in (0.0, 299.0, 301.0):
            self.decide(planner, now)
            for order in self.machine.state.orders.live.values():
                result = control.OrderResult(order.number, False)
                mark = planner.build_result_proposal(result).command
                samples.send(self.machine, mark)
            self.needs = ()
            self.decide(planner, now)
            avoided_domains.append(planner.avoided(now))
        self.assertEqual(avoided_domains, [{"a"}, {"a"}, set()])

    def test_platform_names_no_endpoint(self) -> None:
        other = attrs.evolve(REQUEST, need="coach/b/safe/1")
        self.needs = (REQUEST, other)
        planner = self.make_settled_planner(epoch=2)
        for now, announced, live in [
            (0.0, ("e0",), [1, 2]),
            (1.0, ("e0",), [1, 2]),
            (300.0, ("e0",), [1, 2]),
            (301.0, ("e0", "e1"), [2]),
            (302.0, ("e0", "e1"), [2]),
            (601.5, ("e0", "e1"), []),
        ]:
            with self.subTest(now=now):
                self.announced = announced
                self.decide(planner, now)
                orders = self.machine.state.orders
                self.assertEqual(sorted(orders.live), live)
                for number in live:
                    mark = planner.build_result_proposal(
                        control.OrderResult(number, True)
                    )
                    samples.send(self.machine, mark.command)
                self.needs = ()

    def test_failed_stop_does_not_avoid_its_domain(self) -> None:
        stop = attrs.evolve(REQUEST, action=control.Action.STOP, endpoint="e1")
        for request, avoided in [(stop, set()), (REQUEST, {"a"})]:
            with self.subTest(request.action):
                self.needs = (request,)
                planner = self.make_settled_planner(epoch=2)
                self.decide(planner, 0.0)
                for number in self.machine.state.orders.live:
                    result = control.OrderResult(number, False)
                    mark = planner.build_result_proposal(result).command
                    samples.send(self.machine, mark)
                self.needs = ()
                self.decide(planner, 1.0)
                self.assertEqual(planner.avoided(1.0), avoided)

    def test_order_fails_if_endpoint_never_appears(self) -> None:
        planner = self.make_settled_planner(epoch=2)
        self.decide(planner, 0.0)
        result = control.OrderResult(1, True, ("e1",))
        samples.send(
            self.machine, planner.build_result_proposal(result).command
        )
        self.decide(planner, 1.0)
        self.decide(planner, 602.0)
        order = self.machine.state.orders.get(1)
        self.assertEqual(order.status, control.OrderStatus.FAILED)


class ReporterTest(unittest.TestCase):
    """Windows close when due; a report stays equal until it is acknowledged."""

    def setUp(self) -> None:
        self.machine = control.ControlMachine()

    def decide(
        self, reporter: control.UsageReporter, now: float
    ) -> list[control.UsageReport]:
        """Commits the proposed commands and returns the due reports."""
        usage = self.machine.state.usage
        reports = []
        for effect in reporter.decide(usage, now, wall=1200.0 + now):
            if isinstance(effect, control.Propose):
                samples.send(self.machine, effect.command)
            else:
                reports.append(effect.report)
        return reports

    def test_reports_survive_a_new_leader(self) -> None:
        delta = control.UsageDelta("acme", control.UsageFigures(calls=1))
        add = control.AddUsage("ann", 1, 1, (delta,))
        samples.send(self.machine, add)
        first = control.UsageReporter(1)
        self.assertEqual(self.decide(first, 0.0), [])
        (report,) = self.decide(first, 0.1)
        self.assertEqual((report.start, report.end), (1140.0, 1200.0))
        self.assertEqual(report.rows, (delta,))
        samples.send(self.machine, attrs.evolve(add, sequence=2))
        self.assertEqual(self.decide(first, 0.5), [])
        self.assertEqual(self.decide(first, 1.2), [report])
        second = control.UsageReporter(2)
        self.assertEqual(self.decide(second, 1.3), [report])
        mark = second.build_delivery_proposal(report).command
        samples.send(self.machine, mark)
        self.assertEqual(self.decide(second, 50.0), [])
        self.assertEqual(self.decide(second, 61.0), [])
        (next_report,) = self.decide(second, 62.0)
        self.assertEqual(next_report.window, 2)
        self.assertEqual(next_report.start, report.end)


class LossTest(unittest.TestCase):
    """Incarnations in the log that are silent are recorded as ended."""

    def test_records_loss_once(self) -> None:
        machine = control.ControlMachine()
        samples.send(machine, control.AddUsage("ann", 1, 1, ()))
        recorder = control.LossRecorder(term_began_at=0.0)
        ann = test_exchange.member("ann")
        cases = [(4.0, (), 0), (6.0, (ann,), 0), (7.0, (), 1), (7.5, (), 0)]
        for now, members, count in cases:
            effects = recorder.decide(machine.state, members, now)
            self.assertEqual(len(effects), count, now)
            for effect in effects:
                samples.send(machine, effect.command)
        self.assertEqual(recorder.decide(machine.state, (), 60.0), ())

    def test_intents_expire_when_due(self) -> None:
        machine = control.ControlMachine()
        begin = control.BeginIntent(
            "acme", "k", b"d", "r", "ann", 1, "e", 0.0, 10.0
        )
        samples.send(machine, begin)
        expirer = control.IntentExpirer()
        counts = [
            len(expirer.decide(machine.state.intents, wall, wall))
            for wall in (100.0, 119.0, 130.0, 135.0)
        ]
        self.assertEqual(counts, [0, 0, 1, 0])
