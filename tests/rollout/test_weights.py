"""Tests of weight rollouts with fake engines."""

import unittest

import banyanbank_base as base
import banyanbank_rollout as rollout
from banyanbank_rollout import _weights

from tests.rollout import cases
from tests.rollout import fleet

GIB = 1 << 30


def make_fleet(engines: int = 5, **changes: object) -> fleet.Fleet:
    """Returns a fleet in three failure domains with a fast store."""
    cfg = rollout.WeightCfg(store_bytes_per_s=100 * GIB, load_timeout_s=10.0)
    return fleet.Fleet(engines, 3, cfg, **changes)


class WeightRolloutTest(unittest.TestCase):
    """Published weights reach all engines without interrupting service."""

    def test_reaches_all(self) -> None:
        for engines, adapters in ((1, False), (2, True), (5, True)):
            with self.subTest(engines=engines, adapters=adapters):
                case = make_fleet(engines, adapters=adapters)
                case.publish(2, GIB)
                if adapters:
                    case.publish_adapter(2)
                case.run_until_current(120.0)
                expected = engines * (1 + adapters)
                self.assertEqual(len(case.orders), expected)

    def test_failed_engine_leaves_and_reenters_service(self) -> None:
        case = make_fleet()
        failing = case.loaders[base.EndpointId("e0")]
        failing.failures = 4
        case.publish(2, GIB)
        for _ in range(240):
            case.tick()
        self.assertEqual(failing.taken_out, {cases.MODEL: 2})
        self.assertEqual(case.lag(), 1)
        case.run_until_current(600.0)
        case.tick()
        self.assertEqual(failing.taken_out, {})

    def test_new_leader_keeps_failed_engine_out_of_service(self) -> None:
        fleet.broken_walk(1)

    def test_new_leader_repeats_the_order_id(self) -> None:
        case = make_fleet(1)
        case.publish(2, GIB)
        case.tick()
        loader = case.loaders[base.EndpointId("e0")]
        loader.order = None
        case.change_leader()
        case.tick()
        first, second = case.orders
        self.assertEqual(first, second)

    def test_skips_superseded_versions(self) -> None:
        case = make_fleet()
        for version in (2, 3, 4):
            case.publish(version, GIB)
            case.tick()
        case.run_until_current(120.0)
        versions = [order.version for order in case.orders]
        self.assertEqual(versions, [2, 4, 4, 4, 4, 4])

    def test_estimate_matches_the_fleet(self) -> None:
        for engines, rate in ((30, 100.0), (30, 1.0), (60, 4.0)):
            with self.subTest(engines=engines, rate=rate):
                cfg = rollout.WeightCfg(store_bytes_per_s=rate * GIB)
                case = fleet.Fleet(engines, 3, cfg, load_s=(2.0, 2.0))
                case.publish(2, GIB)
                elapsed_s = case.run_until_current(600.0)
                estimate = rollout.estimate_rollout_s(
                    cfg,
                    dict.fromkeys(("a", "b", "c"), engines // 3),
                    GIB,
                    2.0,
                )
                self.assertLess(abs(elapsed_s - estimate), 0.2 * estimate + 1)


if __name__ == "__main__":
    unittest.main()


class StoreRateLimiterTest(unittest.TestCase):
    """Downloads stay within the rate limit reported by the store."""

    def test_limit(self) -> None:
        limiter = _weights.StoreRateLimiter(100.0, burst_s=1.0)
        self.assertTrue(limiter.try_reserve(100, 0.0))
        limiter.set_rate(10.0)
        self.assertTrue(limiter.try_reserve(100, 0.0))
        self.assertFalse(limiter.try_reserve(1, 9.9))
        self.assertTrue(limiter.try_reserve(1, 10.0))
