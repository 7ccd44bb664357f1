"""Tests of single decisions of the capacity planner."""

import unittest

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

from tests.rollout import cases
from tests.rollout import platform

CFG = rollout.CapacityCfg(headroom=0.0, scale_down_after_s=100.0)


def status(number: int, **changes: object) -> rollout.EndpointStatus:
    """Returns a ready, safe endpoint in one of three failure domains."""
    endpoint = rollout.EndpointStatus(
        endpoint=base.EndpointId(f"x{number}"),
        model=cases.MODEL,
        failure_domain=platform.DOMAINS[number % 3],
        reclaimable=False,
    )
    return attrs.evolve(endpoint, **changes)


def counts(plan: rollout.CapacityPlan) -> tuple[int, int]:
    """Returns the target number of safe and of reclaimable endpoints."""
    safe = sum(need.count for need in plan.needs if not need.reclaimable)
    return safe, sum(need.count for need in plan.needs) - safe


class NeedTest(unittest.TestCase):
    """Demand and prices determine the target endpoints."""

    def test_mix_of_safe_and_reclaimable(self) -> None:
        table = (
            # tokens, protected, spot price, available -> safe, spot
            (0.0, 0.0, 3.0, 50, (3, 0)),
            (9_000.0, 0.0, 3.0, 50, (3, 6)),
            (9_000.0, 5_000.0, 3.0, 50, (5, 4)),
            (9_000.0, 9_000.0, 3.0, 50, (9, 0)),
            (9_000.0, 0.0, 12.0, 50, (9, 0)),
            (9_000.0, 0.0, 3.0, 1, (3, 3)),
        )
        for tokens, protected, price, available, expected in table:
            planner = rollout.CapacityPlanner(CFG)
            plan = planner.plan(
                rollout.Demand(cases.MODEL, tokens, protected),
                platform.offers(spot_price=price, available=available),
                (),
                now=0.0,
            )
            with self.subTest(tokens=tokens, price=price):
                self.assertEqual(counts(plan), expected)
                short = max(0.0, tokens - 1_000.0 * sum(expected))
                self.assertEqual(plan.unmet_tokens_per_s, short)

    def test_total_safe_floor_spreads_over_domains(self) -> None:
        cfg = attrs.evolve(CFG, safe_per_domain=0, safe_floor=2)
        plan = rollout.CapacityPlanner(cfg).plan(
            rollout.Demand(cases.MODEL, 0.0), platform.offers(), (), now=0.0
        )
        wanted = {n.failure_domain: n.count for n in plan.needs if n.count}
        self.assertEqual(wanted, {"d0": 1, "d1": 1})

    def test_reclaim_notice_orders_in_other_domains(self) -> None:
        planner = rollout.CapacityPlanner(CFG)
        leaving = [
            status(number, reclaimable=True, gone_at=5.0)
            for number in (0, 3, 6)
        ]
        safe = [status(number) for number in range(3)]
        plan = planner.plan(
            rollout.Demand(cases.MODEL, 6_000.0),
            platform.offers(),
            (*safe, *leaving),
            now=0.0,
        )
        missing = {
            need.failure_domain: need.missing
            for need in plan.needs
            if need.reclaimable
        }
        self.assertEqual(missing["d0"], 0)
        self.assertEqual(sum(missing.values()), 3)


class ScaleDownTest(unittest.TestCase):
    """Scale-down waits for lower demand, replacements and idle endpoints."""

    def setUp(self) -> None:
        self.planner = rollout.CapacityPlanner(CFG)

    def changes(
        self, tokens: float, now: float, *endpoints: rollout.EndpointStatus
    ) -> tuple[rollout.EndpointChange, ...]:
        demand = rollout.Demand(cases.MODEL, tokens)
        return self.planner.plan(
            demand, platform.offers(), endpoints, now
        ).changes

    def test_drains_after_delay_and_releases_when_idle(self) -> None:
        endpoints = [status(number, running=1) for number in range(4)]
        self.assertEqual(self.changes(4_000.0, 0.0, *endpoints), ())
        self.assertEqual(self.changes(3_000.0, 90.0, *endpoints), ())
        drain = rollout.DrainEndpoint(base.EndpointId("x0"), "not needed")
        self.assertEqual(self.changes(3_000.0, 101.0, *endpoints), (drain,))
        endpoints[0] = status(0, running=1, draining=True)
        self.assertEqual(self.changes(3_000.0, 102.0, *endpoints), ())
        endpoints[0] = status(0, draining=True)
        release = rollout.ReleaseEndpoint(base.EndpointId("x0"))
        self.assertEqual(self.changes(3_000.0, 103.0, *endpoints), (release,))

    def test_returning_demand_stops_draining(self) -> None:
        endpoints = [status(number) for number in range(2)]
        endpoints.append(status(2, draining=True))
        self.assertEqual(
            self.changes(3_000.0, 0.0, *endpoints),
            (rollout.UndrainEndpoint(base.EndpointId("x2")),),
        )

    def test_waits_for_replacements_to_be_ready(self) -> None:
        starting = [
            status(number, reclaimable=True, start_deadline=50.0)
            for number in range(3)
        ]
        safe = [status(number) for number in range(6)]
        self.assertEqual(self.changes(6_000.0, 0.0, *safe, *starting), ())

    def test_missing_offers_drain_nothing(self) -> None:
        safe = [status(number) for number in range(3)]
        self.changes(3_000.0, 0.0, *safe)
        plan = self.planner.plan(
            rollout.Demand(cases.MODEL, 3_000.0), (), safe, now=1.0
        )
        self.assertEqual(plan.changes, ())
        self.assertEqual(plan.unmet_tokens_per_s, 0.0)


class PlacementAndForecastTest(unittest.TestCase):
    """Placement on reclaimable endpoints, and the demand forecast."""

    def test_may_run_on(self) -> None:
        for reclaimable, repeatable, allowed, expected in (
            (False, False, False, True),
            (True, False, False, False),
            (True, True, False, True),
            (True, False, True, True),
        ):
            with self.subTest(reclaimable=reclaimable, repeatable=repeatable):
                self.assertIs(
                    rollout.may_run_on(reclaimable, repeatable, allowed),
                    expected,
                )

    def test_forecast_follows_rising_demand(self) -> None:
        forecast = rollout.DemandForecast()
        for second in range(0, 1_200, 10):
            forecast.observe(1_000.0 + second, float(second))
        ahead = forecast.predict(1_190.0 + 90.0)
        self.assertLess(abs(ahead - 2_280.0), 100.0)


if __name__ == "__main__":
    unittest.main()
