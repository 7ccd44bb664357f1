"""Tests of what is worked out from measured slopes."""

import collections
import unittest

from banyanbank_bench.slopes import _control
from banyanbank_bench.slopes import _derived
from banyanbank_bench.slopes import _meter


class DerivedTest(unittest.TestCase):
    """Factors follow from the target size and the costs."""

    def _derive(self, **cost: float) -> dict[str, float]:
        names = {name.replace("_", " "): value for name, value in cost.items()}
        costs: dict[str, float] = collections.defaultdict(float, names)
        return {f.name: f.value for f in _derived.derive(costs)}

    def test_processor_time(self) -> None:
        derived = self._derive(idle_poll_at_leader=100.0)
        self.assertAlmostEqual(derived["leader: polls, of a core"], 9.0)
        self.assertAlmostEqual(derived["leader: polls, against budget"], 4.5)
        self.assertEqual(derived["entry: polls, of a core"], 0.0)

    def test_bytes(self) -> None:
        derived = self._derive(idle_poll=180.0, idle_answer=200.0)
        self.assertAlmostEqual(
            derived["entry: polls, bytes a second"], 2.5 * 380
        )
        self.assertAlmostEqual(
            derived["leader: polls, bytes against budget"], 18.0
        )


class MeterTest(unittest.TestCase):
    """Measurements see what the measured code does."""

    def test_held_bytes_counts_what_is_kept(self) -> None:
        held = _meter.held_bytes(lambda: bytes(100_000))
        self.assertGreater(held, 100_000)
        self.assertLess(held, 110_000)

    def test_idle_answer_carries_no_lists(self) -> None:
        world = _control._Exchange(20, 20, 0)
        first = world.answer(world.poll())
        world.apply_reply(first)
        idle = world.answer(world.poll())
        self.assertGreater(len(first), 20 * 200)
        self.assertLess(len(idle), 400)
