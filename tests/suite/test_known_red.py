"""Tests of passing over known failures."""

import unittest

from tests import known_red

TEXT = """# test | command | seed | what was seen | issue
tests.a.Case.test_known | python -m unittest tests.a | 7 | seen | 9
"""


class KnownRedTest(unittest.TestCase):
    """Only the tests listed are passed over, with their subtests."""

    def test_split(self) -> None:
        known = known_red.read(TEXT)
        counting, passed_over = known_red.split(
            [
                "tests.a.Case.test_known",
                "tests.a.Case.test_known (name='x')",
                "tests.a.Case.test_known_too",
                "tests.b.Case.test_known",
            ],
            known,
        )
        self.assertEqual(len(passed_over), 2)
        self.assertEqual(
            counting, ["tests.a.Case.test_known_too", "tests.b.Case.test_known"]
        )

    def test_nothing_listed(self) -> None:
        self.assertEqual(known_red.read("# only a heading\n"), frozenset())
