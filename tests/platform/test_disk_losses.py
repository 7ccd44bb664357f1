"""Tests of stores that lose their disks in turn, as processes in real time."""

import pathlib
import random
import tempfile
import unittest

from tests import support
from tests.platform import disk_losses
from tests.platform import stores

BUDGET_S = 0.8 * disk_losses.CATCH_UP_S
"""Time within which the store of a new disk must vote. The rest of `catch-up-s`
is for slower machines."""
LOSSES = 4


class DiskLossTest(unittest.TestCase):
    """Each new store votes before the next disk may be lost.

    Guards against a lost vote that comes back too late, so that the loss of
    the next leader's disk ends the log for good (review/12).
    """

    def test_leaders_lose_their_disks_in_turn(self) -> None:
        async def run() -> None:
            with tempfile.TemporaryDirectory() as folder:
                there = stores.Stores(pathlib.Path(folder))
                try:
                    await there.start()
                    outcome = await disk_losses.play(
                        there, "leader", random.Random(1), LOSSES
                    )
                finally:
                    await there.stop()
            self.assertEqual(outcome.faults, [])
            for loss in outcome.losses:
                with self.subTest(str(loss)):
                    self.assertLess(loss.stages["voted"], BUDGET_S)

        support.run_async(run, 2 * support.TEST_LIMIT_S)
