"""Tests of the permits for cold endpoints, and of preferring warm ones."""

import random
import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway

from tests.gateway import samples

COLD = samples.make_announcement("e1", is_cold=True)


def make_limiter(
    cold_per_s: float, stated_per_s: float | None = None
) -> gateway.RateLimiter:
    """Returns the limiter of a leader that has led for long."""
    known = gateway.KnownLimits()
    known.apply(
        gateway.LimitObservation(
            COLD.endpoint, COLD.born_ms, stated_per_s, observed_at=1.0
        )
    )
    return gateway.RateLimiter(
        known, lambda target: cold_per_s if target.is_cold else None
    )


def send_all(
    limiter: gateway.RateLimiter, since: float, until: float
) -> list[float]:
    """Returns when requests were sent, of 200 tries a second."""
    tries = [
        since + number / 200 for number in range(int(200 * (until - since)))
    ]
    return [now for now in tries if limiter.take(COLD, now)]


class ColdLimiterTest(unittest.TestCase):
    """Guards against crashes of endpoints that have just started."""

    def test_rates(self) -> None:
        for name, cold_per_s, stated_per_s, want_per_s in (
            ("cold alone", 13.0, None, 13.0),
            ("lower limit stated", 13.0, 2.0, 2.0),
            ("higher limit stated", 2.0, 13.0, 2.0),
        ):
            with self.subTest(name):
                sent = send_all(
                    make_limiter(cold_per_s, stated_per_s), 10.0, 30.0
                )
                self.assertLessEqual(len(sent), 20 * want_per_s + 1)
                self.assertGreaterEqual(len(sent), 0.9 * 20 * want_per_s)
                for start in sent:
                    in_second = [m for m in sent if start <= m < start + 1.0]
                    self.assertLessEqual(len(in_second), want_per_s)

    def test_new_leader_pauses(self) -> None:
        """Guards against permits on top of those of the leader before."""
        limiter = make_limiter(13.0)
        limiter.reset(cold_permits_from=11.0)
        self.assertEqual(send_all(limiter, 10.0, 11.0), [])
        turns = [limiter.promise_turn(COLD, 10.5) for _ in range(20)]
        self.assertGreater(min(turns), 11.0)
        self.assertLessEqual(max(turns), 12.0)
        self.assertGreaterEqual(len(send_all(limiter, 11.0, 12.0)), 12)

    def test_orders_count_but_are_not_refused(self) -> None:
        """Guards against reports that add to the rate of a cold engine."""
        limiter = make_limiter(5.0)
        limiter.count_room(COLD, 10.0)
        for _ in range(5):
            limiter.charge_order(COLD, 11.0)
        self.assertEqual(send_all(limiter, 11.0, 11.9), [])
        stated = make_limiter(5.0, 5.0)
        warm = attrs.evolve(COLD, is_cold=False)
        stated.count_room(warm, 10.0)
        stated.charge_order(warm, 11.0)
        self.assertEqual(stated.count_room(warm, 11.0), 5)

    def test_cold_again_starts_without_permits(self) -> None:
        """Guards against a burst that was kept from an earlier cold state."""
        limiter = make_limiter(13.0)
        limiter.count_room(COLD, 10.0)
        self.assertEqual(limiter.count_room(COLD, 20.0), 3)
        limiter.forget_warm(cold=())
        self.assertEqual(limiter.count_room(COLD, 21.0), 0)


class ColdStateTest(unittest.TestCase):
    """Which endpoints are taken for cold."""

    def test_readmitted_domains(self) -> None:
        """Guards against announcements that predate the cold state."""
        warm = attrs.evolve(COLD, is_cold=False)
        here, elsewhere = COLD.domain, base.FailureDomain("other")
        for name, target, heard_at, readmitted, want in (
            ("never evacuated", warm, 100.0, {}, False),
            ("announced as cold", COLD, 100.0, {}, True),
            ("heard before the readmission", warm, 99.0, {here: 100.0}, True),
            ("heard shortly after it", warm, 101.4, {here: 100.0}, True),
            ("heard later", warm, 101.5, {here: 100.0}, False),
            ("heard later, cold", COLD, 101.5, {here: 100.0}, True),
            ("another domain", warm, 100.1, {elsewhere: 100.0}, False),
        ):
            with self.subTest(name):
                got = gateway.may_be_cold(target, heard_at, readmitted)
                self.assertEqual(got, want)

    def test_directory(self) -> None:
        """Guards against polls that return for each remaining time."""
        directory = gateway.Directory()
        warm = attrs.evolve(COLD, is_cold=False)
        for name, announcement, is_cold, revision in (
            ("starts cold", COLD, True, 1),
            ("still cold", attrs.evolve(COLD, sequence=5), True, 1),
            ("warm", attrs.evolve(warm, sequence=6), False, 2),
            ("delayed", attrs.evolve(COLD, sequence=5), False, 2),
            ("assumed", attrs.evolve(COLD, sequence=6), True, 3),
            ("not the same again", attrs.evolve(warm, sequence=6), True, 3),
            ("warm again", attrs.evolve(warm, sequence=7), False, 4),
        ):
            with self.subTest(name):
                directory.apply(announcement, now=10.0)
                known = directory.get(COLD.endpoint)
                assert known is not None
                self.assertEqual(known.is_cold, is_cold)
                self.assertEqual(directory.revision, revision)


class PreferenceTest(unittest.TestCase):
    """Cold endpoints come after warm ones that have room."""

    def test_order(self) -> None:
        """Guards against requests to cold endpoints while others have room."""
        for name, cold, busy, full, tiers in (
            ("all warm, one busy", "", "w1", "", ("w2 w3", "w1")),
            ("one cold", "w1", "", "", ("w2 w3", "w1")),
            ("a warm one is busy", "w1", "w2", "", ("w3", "w2", "w1")),
            ("a warm one is full", "w1", "", "w2", ("w3", "w1", "w2")),
            ("all warm ones are full", "w1", "", "w2 w3", ("w1", "w2 w3")),
            ("all cold, one busy", "w1 w2 w3", "w1", "", ("w2 w3", "w1")),
            ("full, but none is cold", "", "w2 w3", "w1", ("w1", "w2 w3")),
        ):
            with self.subTest(name):
                picker = gateway.EndpointPicker(COLD.domain, random.Random(1))
                for endpoint in busy.split():
                    picker.started(base.EndpointId(endpoint))
                for endpoint in full.split():
                    picker.rejected(base.EndpointId(endpoint), 9.9)
                targets = [
                    samples.make_announcement(
                        endpoint, is_cold=endpoint in cold.split()
                    )
                    for endpoint in ("w1", "w2", "w3")
                ]
                ranked = [t.endpoint for t in picker.rank(targets, (), 10.0)]
                for tier in map(str.split, tiers):
                    self.assertEqual(set(ranked[: len(tier)]), set(tier))
                    del ranked[: len(tier)]


if __name__ == "__main__":
    unittest.main()
