"""Tests how many engines are ordered, and what trainers get by it."""

import unittest

import attrs
import banyanbank_base as base
import banyanbank_jobs as jobs
from banyanbank_jobs import _capacity

A, B, C = (base.FailureDomain(name) for name in "abc")
SERVICE = "engines"
BOUNDS = jobs.CapacityBounds(least=1, most=6)


def make_domains(
    *counts: tuple[int, int],
) -> list[jobs.DomainEngines]:
    """Returns domains `a`, `b`, … with ready and present engines."""
    return [
        jobs.DomainEngines(base.FailureDomain(name), ready, present)
        for name, (ready, present) in zip("abc", counts, strict=False)
    ]


class WantedEnginesTest(unittest.TestCase):
    """The number of engines follows the work that arrives."""

    def test_wanted(self) -> None:
        slots = 10
        full = slots * _capacity.TARGET_UTILIZATION
        cases = (
            ("no work", 0.0, 1),
            ("little work", 0.1, 1),
            ("one engine's share", full, 1),
            ("more than one engine's share", full + 0.1, 2),
            ("ten engines' share", 10 * full - 0.1, 10),
        )
        for name, busy_slots, wanted in cases:
            with self.subTest(name):
                self.assertEqual(
                    jobs.count_wanted_engines(busy_slots, slots), wanted
                )


class CapacityPlannerTest(unittest.TestCase):
    """Orders are absolute: one that is too low takes engines away."""

    def setUp(self) -> None:
        self.planner = jobs.CapacityPlanner(SERVICE)

    def plan(
        self, wanted: int, *counts: tuple[int, int], now: float = 0.0
    ) -> jobs.CapacityOrder | None:
        return self.planner.plan(make_domains(*counts), wanted, BOUNDS, now)

    def test_first_order(self) -> None:
        cases = (
            ("enough", 3, ((1, 1), (1, 1), (1, 1)), None),
            ("fewest first", 5, ((2, 2), (1, 1), (1, 1)), (B, 2)),
            ("silent engines still count", 5, ((2, 2), (1, 3)), (B, 4)),
            ("draining ones do not serve", 4, ((2, 2), (1, 2)), (B, 3)),
            ("a domain without any", 1, ((0, 0),), (A, 1)),
            ("a domain at its maximum", 9, ((0, 6), (2, 2)), (B, 3)),
            ("all at their maximum", 20, ((6, 6), (6, 6)), None),
        )
        for name, wanted, counts, expected in cases:
            with self.subTest(name):
                self.setUp()
                order = self.plan(wanted, *counts)
                self.assertEqual(
                    None if order is None else (order.domain, order.count),
                    expected,
                )

    def test_engine_on_its_way_is_not_ordered_again(self) -> None:
        order = self.plan(3, (1, 1), (1, 1))
        assert order is not None
        self.planner.record_accepted(order, ready=1, now=0.0)
        self.assertIsNone(self.plan(3, (1, 1), (1, 1), now=1.0))
        self.assertIsNone(self.plan(3, (2, 2), (1, 1), now=5.0))

    def test_engine_that_does_not_appear_is_ordered_again(self) -> None:
        order = self.plan(3, (1, 1), (1, 1))
        assert order is not None
        self.planner.record_accepted(order, ready=1, now=0.0)
        again = self.plan(3, (1, 1), (1, 1), now=_capacity.ARRIVAL_TIMEOUT_S)
        self.assertEqual(again, order)

    def test_domain_without_supply_is_left_out_for_a_while(self) -> None:
        self.planner.record_unavailable(A, now=0.0)
        order = self.plan(5, (1, 1), (1, 1), now=0.1)
        assert order is not None
        self.assertEqual(order.domain, B)
        order = self.plan(
            5, (1, 1), (2, 2), now=_capacity.UNAVAILABLE_BACKOFF_S
        )
        assert order is not None
        self.assertEqual(order.domain, A)


@attrs.define
class _Engine:
    domain: base.FailureDomain
    ready_at: float = 0.0
    ends_at: list[float] = attrs.Factory(list)


class _Fleet:
    """Model of a fleet that serves steps of items, first come first served."""

    SLOTS = 8
    RUN_S = 0.6
    ITEMS = 44
    STEP_S = 4.0
    BOOT_S = 4.0
    TICK_S = 0.1

    def __init__(self, has_planner: bool) -> None:
        self.has_planner = has_planner
        self.planner = jobs.CapacityPlanner(SERVICE)
        self.engines = [_Engine(domain) for domain in (A, A, B, B, C)]
        self.waiting: list[float] = []
        self.submitted: list[float] = []
        self.completion_s: list[float] = []

    def run(self, until: float, lost_at: float) -> None:
        """Plays the load; all engines but one are taken away at a time."""
        now = 0.0
        next_step_at = 0.0
        while now < until:
            if now >= next_step_at:
                next_step_at += self.STEP_S
                self.waiting += [now] * self.ITEMS
                self.submitted += [now] * self.ITEMS
            if now >= lost_at:
                del self.engines[1:]
                lost_at = until
            if self.has_planner:
                self._order(now)
            self._start_items(now)
            now += self.TICK_S

    def _order(self, now: float) -> None:
        domains = [
            jobs.DomainEngines(
                domain,
                sum(
                    engine.domain == domain and engine.ready_at <= now
                    for engine in self.engines
                ),
                sum(engine.domain == domain for engine in self.engines),
            )
            for domain in (A, B, C)
        ]
        recent = [t for t in self.submitted if t > now - jobs.DEMAND_WINDOW_S]
        busy_slots = len(recent) / jobs.DEMAND_WINDOW_S * self.RUN_S
        order = self.planner.plan(
            domains,
            jobs.count_wanted_engines(busy_slots, self.SLOTS),
            BOUNDS,
            now,
        )
        if order is not None:
            ready = next(d.ready for d in domains if d.domain == order.domain)
            self.planner.record_accepted(order, ready, now)
            self.engines.append(_Engine(order.domain, now + self.BOOT_S))

    def _start_items(self, now: float) -> None:
        for engine in self.engines:
            engine.ends_at = [end for end in engine.ends_at if end > now]
            while (
                self.waiting
                and engine.ready_at <= now
                and len(engine.ends_at) < self.SLOTS
            ):
                submitted_at = self.waiting.pop(0)
                engine.ends_at.append(now + self.RUN_S)
                self.completion_s.append(now + self.RUN_S - submitted_at)


class LostEnginesTest(unittest.TestCase):
    """Four of five engines are taken away for good."""

    DUE_S = 3.0

    def count_late(self, has_planner: bool) -> int:
        fleet = _Fleet(has_planner)
        fleet.run(until=90.0, lost_at=14.0)
        late = [
            seconds for seconds in fleet.completion_s if seconds > self.DUE_S
        ]
        return len(late) + len(fleet.waiting)

    def test_later_steps_are_in_time_again(self) -> None:
        late_alone = self.count_late(has_planner=False)
        late = self.count_late(has_planner=True)
        # One step is under way while the ordered engines start.
        self.assertLessEqual(late, _Fleet.ITEMS)
        self.assertGreater(late_alone, 3 * _Fleet.ITEMS)


if __name__ == "__main__":
    unittest.main()
