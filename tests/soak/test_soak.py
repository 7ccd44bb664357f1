"""A short seeded soak, and the seeds that have failed."""

import pathlib
import tempfile
import unittest

from tests.soak import run

SHORT_S = 8.0

SEEDS = (
    # seed, seconds, why it failed once
    (6, 15.0, "a store that was still importing died of a settings change"),
)


class SoakTest(unittest.TestCase):
    """Promises hold while processes and links misbehave."""

    def test_short_run(self) -> None:
        self._play(11, SHORT_S)

    def test_seeds_that_failed(self) -> None:
        for seed, seconds, why in SEEDS:
            with self.subTest(seed=seed, why=why):
                self._play(seed, seconds)

    def _play(self, seed: int, seconds: float) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome = run.play(seed, seconds, pathlib.Path(folder))
        self.assertEqual(outcome.broken, [], f"faults: {outcome.faults}")
        self.assertTrue(outcome.counts.get("jobs read to the end"))
