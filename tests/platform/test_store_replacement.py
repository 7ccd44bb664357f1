"""Tests of stores that stop, are replaced and lose their disks, as processes.

They play rows of `docs/design/0026-votes-of-stores-that-leave.md`.
"""

import pathlib
import tempfile
import typing
import unittest

from tests import support
from tests.platform import stores

CATCH_UP_S = 4.3
"""`catch-up-s` of the users' sheets."""
RECOVER_S = 12.0
"""`recover-s` of the users' sheets."""
DOWN_S = 1.0
"""Time until a machine that lost its disk is back."""
VOTERS = 3

Story = typing.Callable[
    [stores.Stores], typing.Coroutine[typing.Any, typing.Any, None]
]


class NextLossTest(unittest.TestCase):
    """After each way of leaving, one more disk may be lost in time.

    Guards against a planned replacement after which the loss of a disk ends
    the log for good (review/11).
    """

    def test_planned_removal_of_a_follower(self) -> None:
        async def story(there: stores.Stores) -> None:
            await there.add_caught_up()
            await there.find_followers()[0].terminate()

        self.play(story)

    def test_planned_removal_of_the_leader(self) -> None:
        async def story(there: stores.Stores) -> None:
            await there.add_caught_up()
            await there.find_leader().terminate()

        self.play(story)

    def test_two_planned_removals_with_the_leader_first(self) -> None:
        async def story(there: stores.Stores) -> None:
            await there.add_caught_up()
            await there.find_leader().terminate()
            await there.add_caught_up()
            await there.find_leader().terminate()

        self.play(story)

    def test_removal_of_the_leader_without_sigterm(self) -> None:
        async def story(there: stores.Stores) -> None:
            await there.add_caught_up()
            there.find_leader().kill()
            await support.next_turn(CATCH_UP_S)

        self.play(story)

    def play(self, story: Story) -> None:
        """Plays a story; then a follower or the leader loses its disk."""
        for picks_leader in (False, True):
            with self.subTest(picks_leader=picks_leader):

                async def scenario(
                    there: stores.Stores, picks_leader: bool = picks_leader
                ) -> None:
                    await story(there)
                    await self._check_next_loss(there, picks_leader)

                run_with_stores(scenario)

    async def _check_next_loss(
        self, there: stores.Stores, picks_leader: bool
    ) -> None:
        lost = there.find_leader()
        if not picks_leader:
            lost = there.find_followers()[0]
        lost.lose_disk()
        acknowledged = there.acknowledged
        await support.next_turn(DOWN_S)
        lost.start()
        until = there.reactor.seconds() + CATCH_UP_S + RECOVER_S
        # One more change may have been on its way before the loss.
        while there.acknowledged <= acknowledged + 1:
            self.assertLess(there.reactor.seconds(), until, "no change")
            await support.next_turn(0.05)
        version = await there.read_version()
        self.assertGreaterEqual(version or 0, acknowledged)
        self.assertEqual(there.faults, [])


class RestartTest(unittest.TestCase):
    """A restart costs no vote for good, with a spare or without one."""

    def test_restarts_in_turn_with_a_spare(self) -> None:
        """Guards against sets of voters that shrink or become even."""

        async def scenario(there: stores.Stores) -> None:
            await there.add_caught_up()
            for store in list(there.all):
                await store.terminate()
                await support.next_turn(DOWN_S)
                store.start()
                await support.next_turn(CATCH_UP_S)
            self.assertEqual(there.count_voters(), VOTERS)
            self.assertEqual(len(there.read_members()), VOTERS + 1)
            self.assertEqual(there.faults, [])

        run_with_stores(scenario)

    def test_restart_without_a_spare(self) -> None:
        """Guards against a vote that is given away to nobody."""

        async def scenario(there: stores.Stores) -> None:
            # A leader knows all running stores some seconds after its election.
            await support.next_turn(CATCH_UP_S)
            for store in (there.find_followers()[0], there.find_leader()):
                await store.terminate()
                [handover] = store.read_events("members.handover")
                self.assertIn("no other store", handover["outcome"])
                await support.next_turn(DOWN_S)
                store.start()
                await support.next_turn(CATCH_UP_S)
            changes = [s.read_events("members.changing") for s in there.all]
            self.assertEqual(changes, [[]] * VOTERS)
            self.assertEqual(there.faults, [])

        run_with_stores(scenario)


def run_with_stores(scenario: Story) -> None:
    """Runs a scenario against three stores, which are stopped in the end."""

    async def run() -> None:
        with tempfile.TemporaryDirectory() as folder:
            there = stores.Stores(pathlib.Path(folder))
            try:
                await there.start()
                await scenario(there)
            finally:
                await there.stop()

    support.run_async(run, 2 * support.TEST_LIMIT_S)
