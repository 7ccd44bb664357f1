"""A short seeded soak, and the seeds that have failed."""

import pathlib
import shutil
import tempfile
import unittest

from tests.soak import disk_loss_faults
from tests.soak import faults
from tests.soak import replacement_faults
from tests.soak import run
from tests.soak import shared_load_faults

SHORT_S = 8.0

SEEDS = (
    # seed, seconds, kinds that it draws from, why it failed once
    (
        6,
        15.0,
        faults.MEMBER_KINDS,
        "a store that was still importing died of a settings change",
    ),
)


class SoakTest(unittest.TestCase):
    """Promises hold while processes and links misbehave."""

    def test_short_run(self) -> None:
        self._play(11, SHORT_S)

    def test_losses_of_power(self) -> None:
        self._play(122, SHORT_S, faults.BLACKOUT_KINDS)

    def test_evacuations_and_cold_returns(self) -> None:
        """Guards against requests that pass an order or a cold rate."""
        counts = self._play(5097, SHORT_S, shared_load_faults.KINDS)
        self.assertTrue(counts.get("requests during evacuations"))
        self.assertTrue(counts.get("requests to cold servers"))

    def test_planned_replacements(self) -> None:
        """Guards against a loss after a replacement that ends the log."""
        counts = self._play(9, SHORT_S, replacement_faults.KINDS)
        self.assertTrue(counts.get("planned replacements"))

    def test_disks_lost_in_turn(self) -> None:
        """Guards against a vote that comes back after the next loss."""
        counts = self._play(21, SHORT_S, disk_loss_faults.KINDS)
        self.assertTrue(counts.get("disks lost in turn"))

    def test_seeds_that_failed(self) -> None:
        for seed, seconds, kinds, why in SEEDS:
            with self.subTest(seed=seed, why=why):
                self._play(seed, seconds, kinds)

    def _play(
        self,
        seed: int,
        seconds: float,
        kinds: dict[str, faults.Inject] = faults.KINDS,
    ) -> dict[str, int]:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        outcome = run.play(seed, seconds, folder, kinds)
        self.assertEqual(
            outcome.broken, [], f"faults: {outcome.faults}, logs: {folder}"
        )
        shutil.rmtree(folder)
        self.assertTrue(outcome.counts.get("jobs read to the end"))
        return outcome.counts
