"""Tests of which endpoints the planner starts, drains and stops."""

import unittest

import attrs
import banyanbank_control as control
import banyanbank_rollout as rollout

from tests.control import samples
from tests.control.sync import test_exchange

CAPACITY = control.Capacity("coach", 0, 9, 0, ("a", "b"), 2.5)
SAFE, RECLAIMABLE = control.Supply.SAFE, control.Supply.RECLAIMABLE
PAST_DELAY_S = 1000.0  # past the scale-down delay of a new term
ONE_MODEL = (control.ServedModel("coach", 1),)
TWO_MODELS = (control.ServedModel("coach", 1), control.ServedModel("judge", 1))
PLACES = [("a", SAFE), ("b", RECLAIMABLE), ("b", RECLAIMABLE)]
OFFERS = (
    control.Offer("coach", "a", SAFE, 2.0, 100.0, 9),
    control.Offer("coach", "a", RECLAIMABLE, 0.5, 100.0, 1),
    control.Offer("coach", "b", RECLAIMABLE, 1.5, 100.0, 9),
    control.Offer("coach", "b", SAFE, 2.6, 500.0, 9),
    control.Offer("coach", "c", RECLAIMABLE, 0.1, 100.0, 9),
    control.Offer("judge", "a", RECLAIMABLE, 0.1, 100.0, 9),
)


def engines(*places: tuple, models: tuple = ONE_MODEL) -> tuple:
    """Returns engines e0, e1, … with eight slots each."""
    return tuple(
        attrs.evolve(
            test_exchange.engine(f"e{number}"),
            failure_domain=domain,
            supply=supply,
            models=models,
            slots=8,
        )
        for number, (domain, supply) in enumerate(places)
    )


def bounds(
    minimum: int, maximum: int, floor: int = 0, domains: tuple = ("a", "b")
) -> control.Capacity:
    """Returns capacity bounds of the model that all cases use."""
    return control.Capacity("coach", minimum, maximum, floor, domains, 2.5)


class PlanCase(unittest.TestCase):
    """A planner of a term that began at 0, with its inputs."""

    def setUp(self) -> None:
        self.planner = control.EndpointPlanner(0.0)
        self.reports = control.EngineReports(0.0)
        self.inputs = control.PlanInputs(
            (CAPACITY,), (), (), (), self.reports, rollout.Ledger()
        )

    def load(self, now: float, owner: str = "i1", **requests: int) -> None:
        """Reports the running requests by engine."""
        reports = tuple(
            control.EngineReport(name, 0, count, 0.0, 0.0, 100.0)
            for name, count in requests.items()
        )
        self.reports.record(owner, reports, now)

    def plan(self, now: float, **changes: object) -> control.EndpointPlan:
        """Plans after changing some inputs, which stay changed."""
        self.inputs = attrs.evolve(self.inputs, **changes)
        return self.planner.plan(self.inputs, now)

    def starts(self, now: float, **changes: object) -> list[str]:
        """Returns the sorted needs of start requests, without the model."""
        requests = self.plan(now, **changes).requests
        self.assertEqual(
            {r.action for r in requests} - {control.Action.START}, set()
        )
        return sorted(r.need.partition("/")[2] for r in requests)


class DemandTest(PlanCase):
    """The number of starts follows the load; expired reports are ignored."""

    def test_start_count_by_load(self) -> None:
        for name, count, loads, at, starts in [
            ("no report", 1, [], 0.0, 0),
            ("idle", 1, [("i1", "e0", 0)], 0.0, 0),
            ("within the headroom", 1, [("i1", "e0", 6)], 0.0, 0),
            ("headroom used up", 1, [("i1", "e0", 7)], 0.0, 1),
            ("more requests than slots", 1, [("i1", "e0", 17)], 0.0, 2),
            ("sum of owners", 1, [("i1", "e0", 6), ("i2", "e0", 6)], 0.0, 1),
            ("sum of engines", 2, [("i1", "e0", 12), ("i2", "e1", 6)], 0.0, 1),
            ("unknown engine", 1, [("i1", "e7", 18)], 0.0, 0),
            ("expired report", 1, [("i1", "e0", 17)], 5.0, 0),
        ]:
            with self.subTest(name):
                self.setUp()
                for owner, endpoint, requests in loads:
                    self.load(0.0, owner, **{endpoint: requests})
                fleet = engines(*PLACES[:count])
                found = self.starts(at, announced=fleet)
                self.assertEqual(len(found), starts)

    def test_first_endpoint(self) -> None:
        ledger, _ = rollout.Ledger().apply(
            rollout.SubmitGroup("folds", 1, 0, "", "coach", b"{}", 4, 2, 1)
        )
        unserved_coach = (control.UnservedModel("coach", 3),)
        unserved_judge = (control.UnservedModel("judge", 3),)
        for name, unserved, changes, starts in [
            ("no demand", (), {}, 0),
            ("unserved requests", unserved_coach, {}, 1),
            ("unserved requests of another model", unserved_judge, {}, 0),
            ("open samples", (), {"ledger": ledger}, 1),
        ]:
            with self.subTest(name):
                self.setUp()
                self.reports.record("i1", (), 0.0, unserved)
                self.assertEqual(len(self.starts(1.0, **changes)), starts)

    def test_open_samples(self) -> None:
        ledger, _ = rollout.Ledger().apply(
            rollout.SubmitGroup("folds", 1, 0, "", "coach", b"{}", 13, 2, 1)
        )
        fleet = engines(*PLACES[:1])
        starts = self.starts(0.0, announced=fleet, ledger=ledger)
        self.assertEqual(len(starts), 2)

    def test_growing_load_is_forecast(self) -> None:
        fleet = engines(*PLACES)
        self.plan(0.0, announced=fleet)
        for second in range(900):
            self.load(second, e0=second // 50)
            found = self.starts(float(second))
        # 17 requests need three engines; the forecast growth needs a fourth.
        self.assertGreater(len(found), 0)


class StartTest(PlanCase):
    """Starts respect the capacity bounds, the safe floor and the prices."""

    def test_placement_without_offers(self) -> None:
        for present, minimum, names in [
            ([], 0, ["a/safe/1", "b/safe/1"]),
            ([], 3, ["a/reclaimable/1", "a/safe/1", "b/safe/1"]),
            ([("a", SAFE)], 0, ["b/safe/1"]),
            ([("a", SAFE), ("b", SAFE)], 2, []),
            (
                [("a", RECLAIMABLE), ("b", RECLAIMABLE)],
                2,
                ["a/safe/1", "b/safe/1"],
            ),
            ([("a", RECLAIMABLE)] * 4, 4, []),
            ([("a", RECLAIMABLE)] * 3, 4, ["a/safe/1"]),
            (
                [("a", SAFE), ("b", SAFE), ("b", RECLAIMABLE)],
                4,
                ["a/reclaimable/1"],
            ),
        ]:
            with self.subTest(present=present, minimum=minimum):
                self.setUp()
                found = self.starts(
                    0.0,
                    capacities=(bounds(minimum, 4, 2),),
                    announced=engines(*present),
                )
                self.assertEqual(found, names)

    def test_placement_with_offers(self) -> None:
        for name, minimum, floor, reclaimed_domains, names in [
            ("the cheapest", 1, 0, (), ["a/reclaimable/1"]),
            (
                "limited supply",
                2,
                0,
                (),
                ["a/reclaimable/1", "b/reclaimable/1"],
            ),
            ("safe ones below the ceiling", 1, 2, (), ["a/safe/1", "a/safe/2"]),
            (
                "no domain holds more than half",
                4,
                0,
                (),
                [
                    "a/reclaimable/1",
                    "a/safe/1",
                    "b/reclaimable/1",
                    "b/reclaimable/2",
                ],
            ),
            ("a reclaimed domain", 1, 0, ["a"], ["b/reclaimable/1"]),
        ]:
            with self.subTest(name):
                self.setUp()
                reclaimed = tuple(
                    attrs.evolve(one, phase=control.Phase.RECLAIMED)
                    for one in engines(
                        *((domain, RECLAIMABLE) for domain in reclaimed_domains)
                    )
                )
                found = self.starts(
                    0.0,
                    capacities=(bounds(minimum, 9, floor),),
                    offers=OFFERS,
                    announced=reclaimed,
                )
                self.assertEqual(found, names)

    def test_endpoints_on_order_count(self) -> None:
        machine = control.ControlMachine()
        for minimum in (1, 3, 4, 4):
            live = tuple(machine.state.orders.live.values())
            inputs = {"capacities": (bounds(minimum, 4, 1),), "live": live}
            for need in self.plan(0.0, **inputs).requests:
                samples.send(machine, control.DecideOrder(need, 1))
        self.assertEqual(len(machine.state.orders.live), 4)

    def test_failed_domains_are_avoided(self) -> None:
        single_domain = bounds(1, 4, 1, ("a",))
        for capacity, avoided, place in [
            (bounds(1, 4, 1), {"a"}, "b/safe/1"),
            (bounds(1, 4, 1), set(), "a/safe/1"),
            (single_domain, {"a"}, "a/safe/1"),
        ]:
            with self.subTest(place=place, avoided=avoided):
                self.setUp()
                found = self.starts(
                    0.0, capacities=(capacity,), avoided=frozenset(avoided)
                )
                self.assertEqual(found, [place])


class StopTest(PlanCase):
    """Surplus endpoints drain, and stop once they are idle."""

    def test_choice_of_draining_endpoints(self) -> None:
        safe_two = [("a", SAFE), ("a", SAFE), ("b", RECLAIMABLE)]
        for name, places, capacity, overrides, expected in [
            ("reclaimable ones", PLACES, bounds(1, 4, 1), {}, {"e1", "e2"}),
            ("the minimum stays", PLACES, bounds(2, 4, 1), {}, {"e1"}),
            ("the busier one stays", PLACES, bounds(2, 4), {"e2": 1}, {"e1"}),
            ("all are needed", PLACES, bounds(1, 4, 1), {"e0": 18}, set()),
            ("keep the last safe one", PLACES[:2], bounds(1, 4), {}, {"e1"}),
            ("no safe one", PLACES[1:], bounds(1, 4, 1), {}, {"e0"}),
            ("alone", PLACES[1:2], bounds(1, 4), {}, set()),
            (
                "safe above the floor",
                safe_two,
                bounds(1, 4, 1),
                {},
                {"e0", "e2"},
            ),
            ("floor", safe_two, bounds(1, 4, 2), {}, {"e2"}),
            ("above the maximum", PLACES, bounds(1, 2, 1), {"e0": 18}, {"e1"}),
            ("no demand", PLACES[1:], bounds(0, 4), {}, {"e0", "e1"}),
            ("new term", PLACES, bounds(1, 4, 1), {"now": 599.0}, set()),
            (
                "two models",
                PLACES,
                bounds(1, 4, 1),
                {"models": TWO_MODELS},
                set(),
            ),
        ]:
            with self.subTest(name):
                self.setUp()
                now = overrides.pop("now", PAST_DELAY_S)
                fleet = engines(
                    *places, models=overrides.pop("models", ONE_MODEL)
                )
                self.load(now, **overrides)
                plan = self.plan(now, capacities=(capacity,), announced=fleet)
                self.assertEqual(plan.draining, expected)

    def test_scale_down_waits(self) -> None:
        self.load(PAST_DELAY_S, e0=18)
        self.plan(PAST_DELAY_S, announced=engines(*PLACES))
        self.assertEqual(self.plan(PAST_DELAY_S + 599.0).draining, set())
        self.assertEqual(self.plan(PAST_DELAY_S + 601.0).draining, {"e1", "e2"})

    def test_stops_when_idle(self) -> None:
        two = engines(*PLACES[:2])
        self.load(PAST_DELAY_S, e1=1)
        self.plan(PAST_DELAY_S, announced=two, capacities=(bounds(1, 4, 1),))
        for after, running, stops in [
            (1.0, 1, []),
            (5.0, 1, []),
            (8.0, 0, []),
            (10.9, 0, []),
            (11.1, 0, ["e1"]),
        ]:
            with self.subTest(after=after):
                self.load(PAST_DELAY_S + after, e1=running)
                plan = self.plan(PAST_DELAY_S + after)
                self.assertEqual([r.endpoint for r in plan.requests], stops)
                self.assertEqual(plan.draining, {"e1"})
        (stop,) = plan.requests
        self.assertIs(stop.action, control.Action.STOP)
        order = control.Order(1, stop, 1)
        again = self.plan(PAST_DELAY_S + 12.0, live=(order,))
        self.assertEqual(again, control.EndpointPlan((), frozenset({"e1"})))

    def test_rising_demand_ends_drain(self) -> None:
        two = engines(*PLACES[:2])
        capacities = (bounds(1, 2, 1),)
        plan = self.plan(PAST_DELAY_S, announced=two, capacities=capacities)
        self.assertEqual(plan.draining, {"e1"})
        self.load(PAST_DELAY_S + 1.0, e0=9)
        plan = self.plan(PAST_DELAY_S + 1.0)
        self.assertEqual(plan, control.EndpointPlan((), frozenset()))
