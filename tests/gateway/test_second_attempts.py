"""Tests of the decision to start a second attempt of a request."""

import random
import unittest

import attrs
import banyanbank_gateway as gateway

from tests.gateway import samples

BUCKETS = (36, 44, 48, 60)
"""Quantiles 0.5, 0.9, 0.95 and 0.99, 8 buckets to a doubling of 1 ms."""

LATENCY = gateway.RouteLatency("app", "route", BUCKETS)


def make_policy(
    share: float = 0.5, room: float = 0.25, seed: int = 1
) -> gateway.SecondAttemptPolicy:
    """Returns a policy with its initial part of a token."""
    return gateway.SecondAttemptPolicy(
        gateway.SecondAttemptRules(share, room), random.Random(seed)
    )


def make_endpoints(count: int, slots: int = 6) -> list[gateway.Announcement]:
    """Returns endpoints of the service `app`."""
    return [
        samples.make_announcement(f"e{number}", service="app", slots=slots)
        for number in range(count)
    ]


def start(
    policy: gateway.SecondAttemptPolicy,
    endpoints: list[gateway.Announcement],
    now: float = 0.0,
) -> str:
    """Returns the endpoint of a second attempt, or the obstacle."""
    chosen = policy.start("app", endpoints, now)
    if isinstance(chosen, gateway.Obstacle):
        return chosen.value
    return chosen.endpoint


class DelayTest(unittest.TestCase):
    """Second attempts start after a quantile of the usual times."""

    def test_delays(self) -> None:
        """Guards against a budget spent on ordinary requests.

        Also guards against second attempts that come too late to help.
        """
        for name, objective_s, delay_s in (
            ("quantile 0.99", 5.0, 0.181),
            ("in time for the objective", 0.2, 0.2 - 0.0453),
            ("not below quantile 0.9", 0.06, 0.0453),
            ("objective that cannot be met", 0.04, 0.181),
            ("no objective", 0.0, 0.181),
        ):
            with self.subTest(name):
                delay = make_policy().find_delay(LATENCY, objective_s)
                self.assertAlmostEqual(delay or 0.0, delay_s, places=3)

    def test_unknown(self) -> None:
        """Guards against second attempts on the grounds of a few requests."""
        self.assertIsNone(make_policy().find_delay(None, 0.2))
        short = attrs.evolve(LATENCY, buckets=BUCKETS[:1])
        self.assertIsNone(make_policy().find_delay(short, 0.2))

    def test_few_observations(self) -> None:
        for count, is_known in ((49, False), (50, True)):
            histogram = gateway.LatencyHistogram()
            histogram.add({40: count}, 0.0)
            sent = gateway.summarize_latencies({("app", "route"): histogram})
            self.assertEqual(bool(sent), is_known)

    def test_many_routes(self) -> None:
        """Guards against messages that grow with thousands of routes."""
        histograms = {}
        for number in range(500):
            histogram = gateway.LatencyHistogram()
            histogram.add({40: 100 + number}, 0.0)
            histograms["app", f"route-{number:03}"] = histogram
        sent = gateway.summarize_latencies(histograms)
        self.assertEqual(len(sent), 64)
        self.assertEqual(sent[-1].route, "route-499")


class BudgetTest(unittest.TestCase):
    """Instances keep to the share together, whatever their number."""

    def test_fleets(self) -> None:
        """Guards against a bound that holds only at one size of the system.

        Also guards against a budget that instances with few requests never
        have a whole token of.
        """
        for instances, requests in ((7, 2000), (65, 6), (360, 2), (360, 50)):
            with self.subTest(instances=instances, requests=requests):
                started = 0
                for seed in range(instances):
                    policy = make_policy(0.05, 1.0, seed)
                    own = 0
                    for _ in range(requests):
                        policy.count_request()
                        if start(policy, make_endpoints(1)) == "e0":
                            policy.ended(make_endpoints(1)[0].endpoint)
                            own += 1
                    self.assertLess(own, 0.05 * requests + 1)
                    started += own
                allowed = 0.05 * requests * instances
                # The first part of a token is drawn; 3 standard deviations.
                spread = 3 * 0.5 * instances**0.5
                self.assertLess(abs(started - allowed), spread)

    def test_saved_tokens(self) -> None:
        """Guards against a burst that quiet hours have paid for."""
        policy = make_policy(0.5, 1.0)
        for _ in range(10_000):
            policy.count_request()
        endpoints = make_endpoints(50)
        started = [start(policy, endpoints) for _ in range(50)]
        self.assertEqual(started.count("budget"), 45)

    def test_off(self) -> None:
        policy = make_policy(0.0)
        for _ in range(100):
            policy.count_request()
        policy.rejected("app", 0.0)
        self.assertFalse(policy.is_on)
        self.assertEqual(start(policy, make_endpoints(3)), "budget")


class RoomTest(unittest.TestCase):
    """Second attempts take a limited share of an endpoint's slots."""

    def test_slots(self) -> None:
        """Guards against endpoints that second attempts occupy."""
        for slots, room, most in (
            (1, 0.25, 0),
            (3, 0.25, 0),
            (4, 0.25, 1),
            (6, 0.25, 1),
            (8, 0.25, 2),
            (1, 1.0, 1),
            (10, 0.3, 3),
        ):
            with self.subTest(slots=slots, room=room):
                policy = make_policy(0.5, room)
                for _ in range(100):
                    policy.count_request()
                endpoints = make_endpoints(1, slots)
                started = [start(policy, endpoints) for _ in range(most + 1)]
                self.assertEqual(started, ["e0"] * most + ["no-endpoint"])
                if most:
                    policy.ended(endpoints[0].endpoint)
                    self.assertEqual(start(policy, endpoints), "e0")

    def test_next_endpoint(self) -> None:
        policy = make_policy()
        for _ in range(100):
            policy.count_request()
        endpoints = make_endpoints(2)
        started = [start(policy, endpoints) for _ in range(3)]
        self.assertEqual(started, ["e0", "e1", "no-endpoint"])


class OverloadTest(unittest.TestCase):
    """Rejections end second attempts for some seconds."""

    def test_stop(self) -> None:
        """Guards against extra work where endpoints have no room."""
        policy = make_policy(room=1.0)
        for _ in range(100):
            policy.count_request()
        policy.rejected("app", 10.0)
        policy.rejected("other", 14.0)
        seen = [start(policy, make_endpoints(1), now) for now in (10.0, 14.9)]
        self.assertEqual(seen, ["overload"] * 2)
        self.assertEqual(start(policy, make_endpoints(1), 15.0), "e0")


class CutTimesTest(unittest.TestCase):
    """Cancelled attempts count as times, not as successes."""

    def test_quantiles_keep_their_tail(self) -> None:
        """Guards against quantiles that fall with each second attempt.

        Also guards against a slow endpoint that looks as fast as others since
        its slow answers are never awaited.
        """
        collector = gateway.FigureCollector()
        for step in range(20):
            log = gateway.SampleLog()
            for target in make_endpoints(3):
                for _ in range(20):
                    if target.endpoint == "e2":
                        log.record_cut(target, "route", 0.1)
                    else:
                        log.record_success(target, "route", 0.025)
            collector.add("entry", log.take(), 0.5 * step)
        (figure,) = collector.find_figures(10.0)
        self.assertEqual(figure.endpoint, "e2")
        self.assertGreater(figure.time_factor, 2.0)
        (latency,) = gateway.summarize_latencies(collector.latencies)
        self.assertEqual(latency.buckets[1:], (53, 53, 53))

    def test_no_success(self) -> None:
        """Guards against a failing endpoint that cancellations clear."""
        collector = gateway.FigureCollector()
        for reporter in ("entry-1", "entry-2"):
            log = gateway.SampleLog()
            for target in make_endpoints(3):
                for _ in range(20):
                    log.record_success(target, "route", 0.025)
            failing = samples.make_announcement("e9", service="app")
            for _ in range(5):
                log.record_failure(failing, "route")
            for _ in range(100):
                log.record_cut(failing, "route", 0.025)
            collector.add(reporter, log.take(), 0.0)
        (figure,) = collector.find_figures(1.0)
        self.assertTrue(figure.is_failing)


if __name__ == "__main__":
    unittest.main()
