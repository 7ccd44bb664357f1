"""Tests log nodes in a simulated cluster."""

import unittest

import banyanbank_base as base
import banyanbank_consensus as consensus
from returns import result

from tests.consensus import cluster
from tests.consensus import oracle

Kind = consensus.ProposeErrorKind


class WorldCase(unittest.TestCase):
    """Base class of tests of a cluster that has a leader."""

    names = "abc"
    initial: str | None = None
    settings: dict[str, float] = {}

    def setUp(self) -> None:
        self.world = cluster.World(
            self.names, initial=self.initial, **self.settings
        )
        self.world.start()
        self.leader = self.await_lease_holder()

    def await_lease_holder(self) -> str:
        self.world.run_until(lambda: len(self.world.lease_holders()) == 1)
        [holder] = self.world.lease_holders()
        return holder

    def others(self) -> list[str]:
        return [n for n in self.names if n != self.leader]

    def commit(self, payload: bytes) -> None:
        outcomes = self.world.propose(self.leader, payload)
        self.world.run_until(lambda: bool(outcomes))
        self.assertIsInstance(outcomes[0], result.Success)

    def commands(self, name: str) -> list[bytes]:
        return [command for _, command in self.world.machine(name).commands]

    def change(self, method: str, name: str) -> list[object]:
        outcomes: list[object] = []
        node = self.world.node(self.leader)
        instance = base.InstanceId(name)
        getattr(node, method)(instance).addCallback(outcomes.append)
        self.world.run_until(lambda: bool(outcomes))
        return outcomes

    def voters(self) -> str:
        status = self.world.node(self.leader).status()
        return "".join(member.instance for member in status.voters)

    def assert_failed(
        self, outcomes: list[object], kind: Kind, maybe_committed: bool
    ) -> consensus.ProposeError:
        [outcome] = outcomes
        error = outcome.failure()
        self.assertIs(error.kind, kind)
        self.assertEqual(error.maybe_committed, maybe_committed)
        return error


class SingleVoterTest(WorldCase):
    """A log of one voter."""

    names = "a"

    def test_leads_and_holds_the_lease_at_once(self) -> None:
        world = cluster.World("a")
        world.start()
        self.assertTrue(world.node("a").lease_held())

    def test_reply_comes_with_the_first_flush(self) -> None:
        outcomes = self.world.propose("a", b"x")
        self.assertEqual(outcomes, [result.Success(b"3:1")])

    def test_restart_keeps_commands_and_waits_for_the_lease(self) -> None:
        self.commit(b"x")
        epoch = self.world.node("a").epoch
        self.world.crash("a")
        self.world.start("a")
        node = self.world.node("a")
        self.assertEqual(self.world.machine("a").commands, [(3, b"x")])
        self.assertEqual(node.epoch, epoch + 1)
        self.assertFalse(node.lease_held())
        self.world.run(consensus.LEASE_DURATION_S + cluster.TICK_S)
        self.assertTrue(node.lease_held())

    def test_sync_error_stops_the_node_for_good(self) -> None:
        self.world.files["a"].pending_sync_errors = 1
        outcomes = self.world.propose("a", b"x")
        self.assert_failed(outcomes, Kind.STOPPED, True)
        self.assertFalse(self.world.node("a").lease_held())
        self.assertEqual(self.world.node("a").status().phase, "failed")
        outcomes = self.world.propose("a", b"y")
        self.assert_failed(outcomes, Kind.STOPPED, False)

    def test_proposals_beyond_the_limit_are_refused(self) -> None:
        node = self.world.node("a")
        payload = bytes(consensus.MAX_COMMAND_BYTES)
        outcomes: list[object] = []
        for _ in range(33):
            node.propose(payload).addCallback(outcomes.append)
        self.assert_failed(outcomes, Kind.OVERLOADED, False)
        with self.assertRaises(ValueError):
            node.propose(payload + b"x")

    def test_stop_fails_what_waits(self) -> None:
        outcomes: list[object] = []
        node = self.world.node("a")
        node.propose(b"x").addCallback(outcomes.append)
        node.stop()
        self.assert_failed(outcomes, Kind.STOPPED, False)
        self.assertFalse(node.lease_held())

    def test_one_turn_syncs_once(self) -> None:
        disk = self.world.processes[base.InstanceId("a")].disk
        before = disk.syncs
        node = self.world.node("a")
        for number in range(100):
            node.propose(f"{number}".encode())
        self.world.drain(self.world.processes[base.InstanceId("a")])
        self.assertEqual(disk.syncs, before + 1)
        self.assertEqual(len(self.commands("a")), 100)

    def test_defect_of_the_machine_stops_the_node(self) -> None:
        machine = self.world.machine("a")
        machine.apply = lambda index, payload: 1 // 0
        with self.assertRaises(ZeroDivisionError):
            self.world.propose("a", b"x")
        self.assertFalse(self.world.node("a").lease_held())
        self.assertEqual(self.world.node("a").status().phase, "failed")

    def test_starts_only_once(self) -> None:
        with self.assertRaises(base.ChartError):
            self.world.node("a").start()

    def test_frames_that_cannot_be_read_are_dropped(self) -> None:
        for frame in (b"", b"\xff", b"\xa1\x62_t\x65Hello"):
            self.world.node("a").handle_message(base.InstanceId("z"), frame)
        self.commit(b"x")


class ThreeVotersTest(WorldCase):
    """A log of three voters."""

    def test_followers_apply_what_the_leader_replied(self) -> None:
        self.commit(b"x")
        self.world.run(0.3)
        for name in "abc":
            self.assertEqual(self.world.machine(name).commands, [(3, b"x")])

    def test_follower_names_the_leader(self) -> None:
        outcomes = self.world.propose(self.others()[0], b"x")
        error = self.assert_failed(outcomes, Kind.NOT_LEADER, False)
        self.assertEqual(error.leader, self.leader)

    def test_long_commands_pass(self) -> None:
        payload = bytes(consensus.MAX_COMMAND_BYTES)
        for _ in range(9):
            self.commit(payload)
        self.world.run(0.3)
        for name in "abc":
            self.assertEqual(len(self.commands(name)), 9)

    def test_next_leader_after_a_crash(self) -> None:
        self.commit(b"x")
        self.world.crash(self.leader)
        seconds = self.world.run_until(lambda: bool(self.world.lease_holders()))
        self.assertLess(seconds, 2.5)
        self.leader = self.await_lease_holder()
        self.commit(b"y")
        self.assertEqual(self.commands(self.leader), [b"x", b"y"])

    def test_stopped_leader_finds_its_lease_expired(self) -> None:
        old = self.world.node(self.leader)
        self.world.pause(self.leader)
        self.world.run(consensus.LEASE_DURATION_S)
        # It checks its lease before it handles any message since the pause.
        self.assertTrue(old.is_leader)
        self.assertFalse(old.lease_held())

    def test_isolated_leader_stops_before_another_starts(self) -> None:
        for cut in ("both", "out", "in"):
            with self.subTest(cut=cut):
                self.setUp()
                out = [self.leader + n for n in self.others()]
                back = [n + self.leader for n in self.others()]
                self.world.cut(*{"both": out + back, "out": out}.get(cut, back))
                old = self.world.node(self.leader)
                self.world.run_until(lambda node=old: not node.lease_held())
                self.assertEqual(self.world.lease_holders(), [])
                self.world.run(2.5)
                self.assertFalse(old.is_leader)

    def test_isolated_leader_for_an_hour(self) -> None:
        checker = oracle.Oracle(self.world, min_handover_gap_s=0.4)
        self.world.on_step = checker.check
        old = self.leader
        self.world.isolate(old)
        for minute in range(60):
            self.world.run(60.0, tick_s=0.25)
            [self.leader] = self.world.lease_holders()
            self.commit(f"{minute}".encode())
        epoch = self.world.node(self.leader).epoch
        self.world.isolate(old, cut=False)
        self.world.run(3.0)
        self.assertEqual(self.world.node(old).epoch, epoch)
        self.assertEqual(len(self.commands(old)), 60)

    def test_proposal_of_an_isolated_leader_may_be_committed(self) -> None:
        self.world.isolate(self.leader)
        outcomes = self.world.propose(self.leader, b"x")
        self.world.run_until(lambda: bool(outcomes))
        self.assert_failed(outcomes, Kind.LOST_LEADERSHIP, True)

    def test_confirmation_needs_a_quorum(self) -> None:
        for isolated in (False, True):
            with self.subTest(isolated=isolated):
                self.world.isolate(self.leader, cut=isolated)
                outcomes: list[object] = []
                node = self.world.node(self.leader)
                node.confirm_leadership().addCallback(outcomes.append)
                self.world.run_until(lambda out=outcomes: bool(out))
                success = isinstance(outcomes[0], result.Success)
                self.assertEqual(success, not isolated)


class RepairTest(WorldCase):
    """Voters that lose their disks."""

    def test_second_loss_right_after_a_repair(self) -> None:
        """A committed entry survives the loss of two disks in succession.

        The first loss destroys the only copy besides the leader's. The repair
        must copy the entry again before the leader's own disk is lost.
        """
        first, second = self.others()
        self.world.cut(self.leader + second)
        self.commit(b"x")
        self.world.crash(first, wipe=True)
        self.world.cut(self.leader + second, cut=False)
        store = self.world.node(self.leader).status().voters
        self.world.start(first)
        self.world.run_until(lambda: self.is_repaired(store))
        self.world.crash(self.leader, wipe=True)
        self.leader = self.await_lease_holder()
        self.assertEqual(self.commands(self.leader), [b"x"])
        self.commit(b"y")

    def is_repaired(self, before: tuple[consensus.Member, ...]) -> bool:
        status = self.world.node(self.leader).status()
        is_new = len(status.voters) == 3 and status.voters != before
        return is_new and status.members_committed

    def test_lost_voters_never_make_a_quorum(self) -> None:
        """Replacing two of three disks stops the log, but loses no entry.

        The recreated stores must not count towards a quorum.
        """
        self.commit(b"x")
        self.world.run(0.3)
        keeper = self.others()[0]
        for name in (self.leader, self.others()[1]):
            self.world.crash(name, wipe=True)
            self.world.start(name)
        self.world.run(20.0)
        self.assertEqual(self.world.leaders(), [])
        self.assertEqual(self.commands(keeper), [b"x"])


class CommonRestartTest(unittest.TestCase):
    """All voters lose power at once and come back."""

    def restart_all(self, names: str, absent: str = "") -> cluster.World:
        world = cluster.World(names)
        world.start()
        world.run_until(lambda: bool(world.lease_holders()))
        [leader] = world.lease_holders()
        world.propose(leader, b"x")
        world.run(1.0)
        for name in names:
            world.crash(name)
        world.drop_frames_in_flight()
        absent = leader if absent == "leader" else absent
        world.start(*(name for name in names if name != absent))
        return world

    def assert_serves_in_time(self, world: cluster.World) -> None:
        seconds = world.run_until(lambda: bool(world.leaders()))
        self.assertLess(seconds, consensus.MIN_ELECTION_TIMEOUT_S)
        [leader] = world.leaders()
        outcomes = world.propose(leader, b"y")
        world.run_until(lambda: bool(outcomes))
        self.assertIsInstance(outcomes[0], result.Success)

    def test_leads_before_an_election_timeout_has_passed(self) -> None:
        for names in ("abc", "abcde"):
            with self.subTest(names):
                self.assert_serves_in_time(self.restart_all(names))

    def test_waits_while_the_former_leader_is_silent(self) -> None:
        world = self.restart_all("abc", absent="leader")
        world.run(consensus.MIN_ELECTION_TIMEOUT_S - cluster.TICK_S)
        self.assertEqual(world.leaders(), [])
        world.run_until(lambda: bool(world.leaders()))

    def test_lease_waits_as_after_any_election(self) -> None:
        world = self.restart_all("abc")
        world.run_until(lambda: bool(world.leaders()))
        world.run(consensus.LEASE_DURATION_S - cluster.TICK_S)
        self.assertEqual(world.lease_holders(), [])


class RemovalTest(WorldCase):
    """A voter whose own removal is not committed."""

    names = "abcd"

    def test_it_leads_when_nobody_else_can(self) -> None:
        removed = self.leader
        self.world.crash(self.others()[0])
        self.world.isolate(removed)
        node = self.world.node(removed)
        node.remove_voter(base.InstanceId(removed))
        self.world.run(2.0)
        self.world.isolate(removed, cut=False)
        self.leader = self.await_lease_holder()
        self.assertNotIn(removed, self.voters())
        self.commit(b"x")


class MembersTest(WorldCase):
    """Changes of voters and learners."""

    names = "abcd"
    initial = "abc"

    def test_new_voter_is_promoted_when_caught_up(self) -> None:
        self.commit(b"x")
        self.world.run(0.5)
        [outcome] = self.change("add_voter", "d")
        self.assertIsInstance(outcome, result.Success)
        self.world.run_until(lambda: self.voters() == "abcd")
        self.world.run(0.3)
        self.assertEqual(self.commands("d"), [b"x"])

    def test_learner_receives_and_does_not_count(self) -> None:
        self.change("add_learner", "d")
        self.commit(b"x")
        self.world.run(0.3)
        self.assertEqual(self.commands("d"), [b"x"])
        for name in "abc":
            if name != self.leader:
                self.world.isolate(name)
        outcomes = self.world.propose(self.leader, b"y")
        self.world.run_until(lambda: bool(outcomes))
        self.assert_failed(outcomes, Kind.LOST_LEADERSHIP, True)

    def test_removed_leader_hands_over(self) -> None:
        self.change("remove_voter", self.leader)
        self.world.run_until(
            lambda: (
                self.leader not in self.world.leaders()
                and bool(self.world.lease_holders())
            )
        )
        removed, self.leader = self.leader, self.await_lease_holder()
        self.assertNotIn(removed, self.voters())
        self.commit(b"x")

    def test_changes_that_are_refused(self) -> None:
        cases = (
            ("add_voter", "z", "not said hello"),
            ("add_voter", self.leader, "not said hello"),
            ("remove_voter", "z", "no member"),
        )
        for method, name, why in cases:
            with self.subTest(what=method, name=name):
                outcomes = self.change(method, name)
                error = self.assert_failed(outcomes, Kind.REFUSED, False)
                self.assertIn(why, error.detail)


class SnapshotTransferTest(WorldCase):
    """Voters that lag behind the log."""

    settings = {"snapshot_entries": 20, "keep_entries": 5, "chunk_bytes": 100}

    def test_lagging_voter_gets_a_snapshot_in_chunks(self) -> None:
        lagging = self.others()[0]
        for crash in (False, True):
            with self.subTest(crash=crash):
                self.world.isolate(lagging)
                for number in range(60):
                    self.commit(f"{crash} {number}".encode())
                if crash:
                    self.world.crash(lagging)
                    self.world.start(lagging)
                self.world.isolate(lagging, cut=False)
                self.world.run_until(
                    lambda: self.commands(lagging) == self.commands(self.leader)
                )
                self.assertGreater(self.world.machine(lagging).restores, 0)

    def test_restart_after_thousands_of_entries(self) -> None:
        for number in range(300):
            for part in range(10):
                self.world.propose(self.leader, f"{number}.{part}".encode())
            self.world.run(cluster.TICK_S)
        before = self.commands(self.leader)
        self.assertEqual(len(before), 3000)
        for name in "abc":
            self.world.crash(name)
        self.world.start()
        self.leader = self.await_lease_holder()
        self.assertEqual(self.commands(self.leader), before)


class ConfigTest(unittest.TestCase):
    """Constraints that safety depends on."""

    def test_settings_that_are_refused(self) -> None:
        cases = (
            {"lease_s": 0.6},
            {"lease_s": 0.59, "max_clock_drift": 0.05},
            {"election_max_s": 0.6},
            {"initial_voters": ()},
        )
        for settings in cases:
            with self.subTest(settings=settings):
                wanted = {"initial_voters": ("a",), **settings}
                with self.assertRaises(ValueError):
                    consensus.NodeConfig(instance="a", **wanted)


if __name__ == "__main__":
    unittest.main()
