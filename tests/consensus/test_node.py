"""Log nodes in small scripted situations."""

import unittest

import banyanbank_consensus as consensus
from returns import result

from tests.consensus import cluster


class SingleVoterTest(unittest.TestCase):
    """A log of one voter."""

    def setUp(self) -> None:
        self.world = cluster.World("a")
        self.world.start()

    def test_leads_and_holds_the_lease_at_once(self) -> None:
        self.assertTrue(self.world.node("a").is_leader)
        self.assertTrue(self.world.node("a").lease_held())

    def test_reply_comes_with_the_first_flush(self) -> None:
        outcomes = self.world.propose("a", b"x")
        self.assertEqual(outcomes, [result.Success(b"3:1")])

    def test_restart_keeps_commands_and_waits_for_the_lease(self) -> None:
        self.world.propose("a", b"x")
        epoch = self.world.node("a").epoch
        self.world.crash("a")
        self.world.start("a")
        node = self.world.node("a")
        self.assertEqual(self.world.machine("a").commands, [(3, b"x")])
        self.assertEqual(node.epoch, epoch + 1)
        self.assertFalse(node.lease_held())
        self.world.run(consensus.LEASE_S + cluster.TICK_S)
        self.assertTrue(node.lease_held())

    def test_sync_error_stops_the_node_for_good(self) -> None:
        self.world.files["a"].sync_errors = 1
        outcomes = self.world.propose("a", b"x")
        [failure] = outcomes
        error = failure.failure()
        self.assertIs(error.kind, consensus.ProposeErrorKind.STOPPED)
        self.assertTrue(error.maybe_committed)
        self.assertFalse(self.world.node("a").lease_held())
        self.assertEqual(self.world.node("a").status().phase, "failed")


class ThreeVotersTest(unittest.TestCase):
    """A log of three voters."""

    def setUp(self) -> None:
        self.world = cluster.World("abc")
        self.world.start()
        self.world.run_until(lambda: len(self.world.holders()) == 1)
        [self.leader] = self.world.holders()

    def test_followers_apply_what_the_leader_replied(self) -> None:
        outcomes = self.world.propose(self.leader, b"x")
        self.world.run(0.3)
        self.assertEqual(outcomes, [result.Success(b"3:1")])
        for name in "abc":
            self.assertEqual(self.world.machine(name).commands, [(3, b"x")])

    def test_follower_names_the_leader(self) -> None:
        [other, _] = [n for n in "abc" if n != self.leader]
        [failure] = self.world.propose(other, b"x")
        error = failure.failure()
        self.assertIs(error.kind, consensus.ProposeErrorKind.NOT_LEADER)
        self.assertEqual(error.leader, self.leader)
        self.assertFalse(error.maybe_committed)


if __name__ == "__main__":
    unittest.main()
