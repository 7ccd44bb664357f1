"""Tests of hybrid logical time."""

import unittest

import banyanbank_base as base


class HybridClockTest(unittest.TestCase):
    """Hybrid time never goes back and follows what was observed."""

    def test_rises_while_wall_time_stands(self) -> None:
        clock = base.HybridClock(base.ManualClock(5.0))
        times = [clock.tick() for _ in range(3)]
        self.assertEqual(times, sorted(set(times)))

    def test_follows_remote(self) -> None:
        clock = base.HybridClock(base.ManualClock(5.0))
        remote = base.HybridTime(9_000_000, 4)
        clock.observe(remote)
        self.assertGreater(clock.tick(), remote)
