"""Tests of the budget of bytes that answers hold."""

import functools
import random
import unittest

import banyanbank_web as web

MAX_BYTES = 100


class BufferBudgetTest(unittest.TestCase):
    """The largest answers end when all together hold too much."""

    def test_answers(self) -> None:
        for name, added, want_cut in (
            ("within the budget", [("a", 60), ("b", 40)], []),
            ("one answer alone", [("a", 60), ("a", 41)], ["a"]),
            ("largest first", [("a", 10), ("b", 60), ("a", 31)], ["b"]),
            ("the one that grows", [("a", 30), ("b", 60), ("b", 11)], ["b"]),
            (
                "as many as needed",
                [("a", 10), ("b", 50), ("c", 40), ("a", 100)],
                ["a"],
            ),
            (
                "small ones beside a flood",
                [("a", 1), ("b", 90), ("c", 1), ("d", 90), ("a", 1)],
                ["b"],
            ),
        ):
            with self.subTest(name):
                budget = web.BufferBudget(MAX_BYTES)
                cut: list[str] = []
                shares = {
                    key: budget.open(functools.partial(cut.append, key))
                    for key in "abcd"
                }
                for key, byte_count in added:
                    budget.add(shares[key], byte_count)
                self.assertEqual(cut, want_cut)
                self.assertEqual(
                    [key for key in shares if shares[key].is_cut], want_cut
                )

    def test_size_of_random_answers(self) -> None:
        rng = random.Random(5)
        budget = web.BufferBudget(MAX_BYTES)
        held: dict[web.BufferShare, int] = {}
        for _ in range(5_000):
            if not held or rng.random() < 0.2:
                share = budget.open(lambda: None)
                held[share] = 0
                continue
            share = rng.choice(list(held))
            if rng.random() < 0.1:
                budget.close(share)
                budget.close(share)
                del held[share]
                continue
            byte_count = rng.randrange(40)
            held[share] += byte_count
            budget.add(share, byte_count)
            held = {one: size for one, size in held.items() if not one.is_cut}
            self.assertEqual(budget.size, sum(held.values()))
            self.assertLessEqual(budget.size, MAX_BYTES)


if __name__ == "__main__":
    unittest.main()
