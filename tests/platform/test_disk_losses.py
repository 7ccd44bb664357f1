"""Tests of stores that lose their disks in turn, as processes in real time."""

import pathlib
import random
import tempfile
import typing
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
        async def story(there: stores.Stores) -> None:
            outcome = await disk_losses.play(
                there, "leader", random.Random(1), LOSSES
            )
            self.assertEqual(outcome.faults, [])
            self._check_votes(outcome.losses)

        run_with_stores(story)

    def test_two_of_five_lose_their_disks(self) -> None:
        async def story(there: stores.Stores) -> None:
            losses = []
            for _ in range(2):
                leader, follower = (
                    there.find_leader(),
                    there.find_followers()[0],
                )
                pair = [
                    disk_losses.lose_disk(there, store)
                    for store in (leader, follower)
                ]
                await support.next_turn(disk_losses.INTERVAL_S)
                for loss in pair:
                    until = loss.at + disk_losses.INTERVAL_S
                    stages = disk_losses.read_stages(there, loss, until)
                    loss.stages.update(stages)
                losses += pair
            self.assertEqual(there.faults, [])
            self._check_votes(losses)

        run_with_stores(story, count=5, tolerated=2)

    def _check_votes(self, losses: list[disk_losses.Loss]) -> None:
        for loss in losses:
            with self.subTest(str(loss)):
                self.assertLess(loss.stages["voted"], BUDGET_S)


def run_with_stores(
    story: typing.Callable[
        [stores.Stores], typing.Coroutine[typing.Any, typing.Any, None]
    ],
    count: int = stores.FIRST_STORES,
    tolerated: int = 1,
) -> None:
    """Runs a story against stores, which are stopped in the end."""

    async def run() -> None:
        with tempfile.TemporaryDirectory() as folder:
            there = stores.Stores(pathlib.Path(folder), count, tolerated)
            try:
                await there.start()
                await story(there)
            finally:
                await there.stop()

    support.run_async(run, 2 * support.TEST_LIMIT_S)
