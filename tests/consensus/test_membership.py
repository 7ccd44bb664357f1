"""Tests when a leader replaces and promotes members by itself."""

import unittest

import banyanbank_base as base
import banyanbank_consensus as consensus

from tests.consensus import cluster
from tests.consensus import test_node

CATCH_UP_S = 4.3
"""`catch-up-s` of the users' sheets."""

START_S = 1.5
"""Time from the return of a machine until its store serves."""


class LostStoreTest(unittest.TestCase):
    """A store that lost its disk votes again within `catch-up-s`.

    Guards against another loss after that time which leaves no majority
    (review/12): the silence of the lost store was counted for 3 s, and anew
    after an election.
    """

    def test_leaders_that_lose_their_disks_in_turn(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                world = cluster.World("abc", seed=seed)
                world.start()
                for loss in range(6):
                    lost = _await_lease_holder(world)
                    world.crash(lost, wipe=True)
                    world.later_starts.add(lost)
                    world.run(START_S)
                    world.start(lost)
                    world.run(CATCH_UP_S - START_S)
                    self.assertTrue(_is_voter(world, lost), f"loss {loss}")


class SilentStoreTest(test_node.WorldCase):
    """A silent store keeps its vote unless another one is at its instance."""

    def test_stores_that_do_not_answer(self) -> None:
        node = self.world.node(self.leader)
        follower = self.others()[0]
        for name, disturb, mend in (
            ("frozen", self.world.pause, self.world.resume),
            (
                "cut off",
                self.world.isolate,
                lambda one: self.world.isolate(one, cut=False),
            ),
            ("stopped", self.world.crash, self.world.start),
        ):
            with self.subTest(name):
                before = node.status().voters
                disturb(follower)
                self.world.run(30.0)
                self.assertEqual(node.status().voters, before)
                mend(follower)
                self.world.run(1.0)
                self.assertEqual(node.status().voters, before)

    def test_own_pause_is_no_silence_of_others(self) -> None:
        for name in self.world.names:
            self.world.pause(name)
        self.world.run(1.0)
        for name in self.world.names:
            self.world.node(name).tick()
        node = self.world.node(self.leader)
        silent_s = [
            node._clock.now() - silence.since
            for silence in node.status().silences
        ]
        self.assertEqual(len(silent_s), 2)
        self.assertLess(max(silent_s), consensus.MIN_ELECTION_TIMEOUT_S)

    def test_silence_of_the_former_leader_began_before_the_election(
        self,
    ) -> None:
        former, ended_at = self.leader, self.world.now
        self.world.crash(former)
        self.leader = self.await_lease_holder()
        node = self.world.node(self.leader)
        [silent_s] = [
            node._clock.now() - silence.since
            for silence in node.status().silences
            if silence.instance == former
        ]
        self.assertAlmostEqual(silent_s, self.world.now - ended_at, delta=0.2)


class PromotionTest(test_node.WorldCase):
    """A learner that keeps up with the load is promoted."""

    names = "abcd"
    initial = "abc"

    def test_learner_whose_answers_are_late(self) -> None:
        """Guards against a learner that lags a round and is never promoted."""
        for (source, target), link in self.world.links.items():
            if "d" in (source, target):
                link.delay_s = 2 * consensus.HEARTBEAT_INTERVAL_S
        self.change("add_voter", "d")
        for number in range(300):
            self.world.propose(self.leader, f"{number}".encode())
            self.world.run(cluster.TICK_S)
        self.assertEqual(self.voters(), "abcd")


def _await_lease_holder(world: cluster.World) -> base.InstanceId:
    world.run_until(lambda: bool(world.lease_holders()))
    return world.lease_holders()[0]


def _is_voter(world: cluster.World, name: str) -> bool:
    """Whether the present store of an instance votes."""
    status = world.node(_await_lease_holder(world)).status()
    store = world.node(name).status().store
    return any(voter.store == store for voter in status.voters)
