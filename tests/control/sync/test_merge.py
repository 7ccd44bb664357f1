"""Property tests of merging announcements."""

import unittest

import banyanbank_control as control
import hypothesis
from hypothesis import strategies

from tests.control.sync import test_exchange

_ANNOUNCEMENTS = strategies.lists(
    strategies.builds(
        test_exchange.engine,
        name=strategies.just("e"),
        incarnation=strategies.integers(1, 2),
        sequence=strategies.integers(1, 3),
        phase=strategies.sampled_from(control.Phase),
    ),
    min_size=1,
    max_size=6,
)


class MergeTest(unittest.TestCase):
    """Merging is commutative, associative and idempotent."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(_ANNOUNCEMENTS, strategies.randoms(use_true_random=False))
    def test_merge_is_order_independent(self, heard: list, rng: object) -> None:
        tables = []
        for _ in range(2):
            table = control.EndpointTable()
            for announcement in heard + heard[:2]:
                table.merge_announcement(announcement, 10.0)
            tables.append(table)
            rng.shuffle(heard)
        self.assertEqual(tables[0].heard(10.0), tables[1].heard(10.0))
        newest = max(item.incarnation for item in heard)
        leaves = any(
            item.incarnation == newest
            and item.phase is not control.Phase.SERVING
            for item in heard
        )
        self.assertEqual(not tables[0].serving(), leaves)
