"""Tests of the choice among shared plain endpoints, in the model."""

import random
import unittest

import banyanbank_base as base
import banyanbank_gateway as gateway

from tests.gateway import choice_model
from tests.gateway import samples

BURST = (64, 232)
HIGH_RATE_PER_S = 800.0
"""Enough requests in 0.5 s to overload a single endpoint."""

RECOVERY_AT = 30.0
"""End of the failures."""

LOADS = (
    ("calls", 6.0, BURST, 8),
    ("many requests", HIGH_RATE_PER_S, (0, 0), 1),
)
"""Name, interactive requests a second, scorer calls in a burst, seeds."""


def run(
    speeds: list[float],
    rate_per_s: float = 6.0,
    burst: tuple[int, int] = (0, 0),
    seconds: float = 20.0,
    seeds: int = 1,
    **changes: object,
) -> tuple[choice_model.Result, list[choice_model.Endpoint]]:
    """Runs the model, with `changes` to the first endpoint.

    The result is that of all seeds together.
    """
    total = choice_model.Result()
    for seed in range(7, 7 + seeds):
        endpoints = choice_model.make_endpoints(speeds)
        for name, value in changes.items():
            setattr(endpoints[0], name, value)
        model = choice_model.Model(
            endpoints, choice_model.choose_weighted, seed, 65, rate_per_s, burst
        )
        result = model.run(seconds)
        total.times += result.times
        total.failed += result.failed
        total.sent += result.sent
        total.sent_at += result.sent_at
        total.revisions += result.revisions
    return total, endpoints


class ModelTest(unittest.TestCase):
    """65 entries whose figures are 0.5 s old spread their requests."""

    def test_equal_endpoints(self) -> None:
        """Guards against messages about noise; also in bursts of calls."""
        for burst in ((0, 0), BURST):
            with self.subTest(burst):
                result, _ = run(choice_model.EQUAL, burst=burst)
                self.assertEqual(result.revisions, 0)

    def test_unequal_endpoints(self) -> None:
        """Guards against a herd: the fastest gets all entries' requests."""
        result, endpoints = run(choice_model.UNEQUAL, HIGH_RATE_PER_S)
        worst = choice_model.find_worst_share(result, endpoints)
        self.assertLess(worst, 2.0)
        self.assertEqual(result.late_share, 0.0)
        share = result.sent["e9"] / result.sent["e0"]
        self.assertGreater(share, 1.7 / 0.7)

    def test_endpoint_that_turns_slow(self) -> None:
        """Guards against waits at an endpoint that is slow at present.

        Also guards against one that is not used again afterwards.
        """
        for name, rate_per_s, burst, seeds in LOADS:
            with self.subTest(name):
                result, _ = run(
                    choice_model.EQUAL,
                    rate_per_s,
                    burst,
                    60.0,
                    seeds,
                    slow_spans=((20.0, 40.0),),
                )
                self.assertLess(result.late_share, 0.01)
                before, during, after = (
                    _find_share(result, "e0", start, start + 15.0)
                    for start in (5.0, 22.0, 45.0)
                )
                self.assertLess(during, 0.6 * before)
                self.assertGreater(after, 0.6 * before)

    def test_endpoint_that_fails_half_of_its_requests(self) -> None:
        """Guards against failures that each entry has to find for itself.

        Also guards against an endpoint that stays unused once it recovered.
        """
        for name, rate_per_s, burst, seeds in LOADS:
            with self.subTest(name):
                result, _ = run(
                    choice_model.EQUAL,
                    rate_per_s,
                    burst,
                    60.0,
                    seeds,
                    failing_span=(10.0, RECOVERY_AT),
                )
                self.assertEqual(result.failed, 0)
                self.assertLess(_find_share(result, "e0", 12.0, 30.0), 0.04)
                soon = _find_share(result, "e0", RECOVERY_AT, 38.0)
                self.assertGreater(soon, 0.01)
                self.assertGreater(_find_share(result, "e0", 45.0, 60.0), 0.05)


def _find_share(
    result: choice_model.Result, endpoint: str, start: float, end: float
) -> float:
    names = [name for when, name in result.sent_at if start <= when < end]
    return names.count(endpoint) / len(names)


class RankTest(unittest.TestCase):
    """Order at one instance, by figures, own load and own experience."""

    def setUp(self) -> None:
        self.picker = gateway.EndpointPicker(
            base.FailureDomain("a"), random.Random(1)
        )
        self.figures = gateway.KnownFigures()
        self.connected: set[str] = set()
        self.targets = [
            samples.make_announcement(name, domain=base.FailureDomain(domain))
            for name, domain in (("e0", "b"), ("e1", "a"), ("e2", "b"))
        ]

    def rank(self, *tried: str) -> list[str]:
        view = gateway.SharedView(
            self.figures, lambda target: target.endpoint in self.connected
        )
        ranked = self.picker.rank(self.targets, tried, 10.0, view=view)
        return [target.endpoint for target in ranked]

    def report(self, factor: float = 1.0, is_failing: bool = False) -> None:
        figure = gateway.EndpointFigure(
            base.EndpointId("e1"), 1_000, factor, is_failing
        )
        self.figures.replace("leader/1", [figure], 10.0)

    def test_equal_endpoints(self) -> None:
        self.assertEqual(self.rank()[0], "e1")
        self.connected = {"e2"}
        firsts = [self.rank()[0] for _ in range(200)]
        # Half of the choices prefer it, the others the own domain.
        self.assertAlmostEqual(firsts.count("e2") / 200, 0.5, delta=0.1)
        self.assertEqual(set(firsts), {"e1", "e2"})
        self.picker.started(base.EndpointId("e2"))
        self.assertEqual(self.rank()[::2], ["e1", "e2"])

    def test_endpoints_to_avoid_come_last(self) -> None:
        """Guards against a first attempt that is likely to be in vain."""
        one = base.EndpointId("e1")
        for name, note in (
            ("others saw it fail", lambda: self.report(is_failing=True)),
            ("it failed here", lambda: self.picker.failed(one, 9.0, 9.5)),
            ("it was full", lambda: self.picker.rejected(one, 9.95)),
        ):
            with self.subTest(name):
                self.setUp()
                note()
                self.assertEqual(self.rank()[-1], "e1")
                # It remains the last resort.
                self.assertEqual(self.rank("e0", "e2"), ["e1"])

    def test_figures_of_another_incarnation(self) -> None:
        """Guards against an endpoint that is avoided after its restart."""
        self.report(is_failing=True)
        self.targets[1] = samples.make_announcement("e1", born_ms=2_000)
        self.assertEqual(self.rank()[0], "e1")

    def test_connected_endpoint_first_among_equally_slow_ones(self) -> None:
        self.report(4.0)
        self.connected = {"e2"}
        ranked = [self.rank() for _ in range(200)]
        before = sum(one.index("e2") < one.index("e0") for one in ranked)
        # All of the half that prefers it, and half of the others.
        self.assertAlmostEqual(before / 200, 0.75, delta=0.1)
        slow_first = sum(one[0] == "e1" for one in ranked)
        # 1 / 16 of the weight of each other one.
        self.assertLess(slow_first, 20)
        self.assertGreater(slow_first, 0)


if __name__ == "__main__":
    unittest.main()
