"""Tests of the map with first-in, first-out eviction."""

import unittest

from banyanbank_control import _fifo


class FifoMapTest(unittest.TestCase):
    """A bounded map keeps the newest entries in insertion order."""

    def test_evicts_oldest(self) -> None:
        held: _fifo.FifoMap[str, int] = _fifo.FifoMap(3)
        cases = [
            ("a", 1, [("a", 1)]),
            ("b", 2, [("a", 1), ("b", 2)]),
            ("a", 3, [("a", 3), ("b", 2)]),
            ("c", 4, [("a", 3), ("b", 2), ("c", 4)]),
            ("d", 5, [("b", 2), ("c", 4), ("d", 5)]),
            ("a", 6, [("c", 4), ("d", 5), ("a", 6)]),
        ]
        for key, value, expected in cases:
            before = list(held.items())
            updated = held.with_entry(key, value)
            self.assertEqual(list(updated.items()), expected)
            self.assertEqual(list(held.items()), before)
            held = updated
        self.assertIsNone(held.get("b"))
