"""Tests of snapshots of large states, on a simulated clock."""

from collections.abc import Iterator
import itertools

import banyanbank_base as base

from tests.consensus import cluster
from tests.consensus import test_node

PART_S = 0.005
"""Time in which a slow machine encodes a part."""
COMMANDS = 600
STATE_PARTS = 240
"""Parts of the state after so many commands, at least."""
LINK_S = 0.1
"""Delay of a slow link, one way."""


class LargeStateCase(test_node.WorldCase):
    """Base class of tests with many commands."""

    def fill(self) -> None:
        """Commits commands that make the state large."""
        for number in range(COMMANDS):
            self.world.propose(self.leader, f"long command {number}".encode())
        self.world.run(1.0)
        self.assertEqual(len(self.commands(self.leader)), COMMANDS)

    def lose_disk(self, name: str) -> str:
        """Loses the disk of a store that is back at once; returns the new."""
        self.world.crash(name, wipe=True)
        self.world.later_starts.add(base.InstanceId(name))
        self.world.start(name)
        return self.world.stores[base.InstanceId(name)]

    def votes(self, store: str) -> bool:
        status = self.world.node(self.leader).status()
        return any(voter.store == store for voter in status.voters)


class LeaseTest(LargeStateCase):
    """Taking a snapshot takes longer than a lease."""

    settings = {
        "slice_bytes": cluster.PART_BYTES,
        "snapshot_entries": COMMANDS,
    }

    def test_snapshot_of_a_large_state_costs_no_lease(self) -> None:
        """Guards against a leader that is replaced at each snapshot."""
        self.slow_down(self.leader)
        epoch = self.world.node(self.leader).epoch
        self.fill()
        self.world.run_until(lambda: self.took_snapshot(self.leader))
        self.commit(b"last")
        self.assertEqual(self.world.node(self.leader).epoch, epoch)
        self.assertGreater(self.parts, STATE_PARTS)

    def slow_down(self, name: str) -> None:
        """Makes the encoding of each part of a state take some time."""
        machine = self.world.machine(name)
        capture = machine.capture
        self.parts = 0

        def capture_slowly() -> Iterator[bytes]:
            for part in capture():
                self.parts += 1
                self.world.now += PART_S
                yield part

        machine.capture = capture_slowly  # type: ignore[method-assign]

    def took_snapshot(self, name: str) -> bool:
        runner = self.world.node(name)._runner
        return runner is not None and runner.replica.state.snapshot is not None


class RestoreTest(LargeStateCase):
    """A state machine is restored long after its snapshot is durable."""

    settings = {
        "slice_bytes": cluster.PART_BYTES,
        "snapshot_entries": 100,
        "keep_entries": 5,
    }

    def setUp(self) -> None:
        super().setUp()
        self.fill()
        self.lost = self.others()[0]
        self.store = self.lose_disk(self.lost)
        self.machine = self.world.machine(self.lost)
        self.is_blocked = True
        restore_slices = self.machine.restore_slices

        def restore_blocked(data: bytes) -> Iterator[int]:
            while self.is_blocked:
                yield cluster.PART_BYTES
            yield from restore_slices(data)

        self.machine.restore_slices = (  # type: ignore[method-assign]
            restore_blocked
        )

    def test_vote_does_not_wait_for_the_state_machine(self) -> None:
        """Guards against a vote that a large state holds back."""
        self.world.run_until(lambda: self.votes(self.store))
        self.commit(b"last")
        self.assertEqual(self.machine.commands, [])
        self.is_blocked = False
        self.world.run_until(
            lambda: self.machine.commands == self.leader_commands()
        )

    def test_leader_serves_nothing_before_its_state_is_restored(self) -> None:
        """Guards against reads of the state before the snapshot."""
        self.world.run_until(lambda: self.votes(self.store))
        expected = self.leader_commands()
        # Only the restoring store hears no leader, so that it campaigns.
        [other] = [n for n in self.others() if n != self.lost]
        self.world.crash(self.leader)
        node = self.world.node(self.lost)
        self.world.pause(other)
        self.world.run(0.65)
        while not node.is_leader:
            self.world.pause(other)
            self.world.run(0.3)
            self.world.resume(other)
            self.world.run(0.05)
        confirmations: list[object] = []
        node.confirm_leadership().addCallback(confirmations.append)
        self.world.run(2.0)
        self.assertTrue(node.is_leader)
        self.assertFalse(node.lease_held())
        self.assertEqual(confirmations, [])
        self.is_blocked = False
        self.world.run_until(node.lease_held)
        self.assertEqual(self.machine.commands, expected)

    def leader_commands(self) -> list[tuple[int, bytes]]:
        return self.world.machine(self.leader).commands


class SlowLinkTest(LargeStateCase):
    """The new store is far from the others."""

    settings = {
        "snapshot_entries": 100,
        "keep_entries": 5,
        "chunk_bytes": 50,
        "snapshot_window_bytes": 2000,
    }

    def setUp(self) -> None:
        super().setUp()
        self.fill()
        self.lost = self.others()[0]
        for pair, link in self.world.links.items():
            if self.lost in pair:
                link.delay_s = LINK_S

    def test_transfer_does_not_wait_for_each_chunk(self) -> None:
        """Guards against a vote that comes a round trip a chunk later."""
        store = self.lose_disk(self.lost)
        took_s = self.world.run_until(lambda: self.votes(store), 60.0)
        self.assertLess(took_s, STATE_PARTS * 2 * LINK_S / 4)

    def test_transfer_under_load_does_not_start_over(self) -> None:
        """Guards against a transfer that each new snapshot of the leader ends.

        A new one is due every 0.5 s, and the transfer takes longer.
        """
        numbers = itertools.count()
        store = self.lose_disk(self.lost)
        for _ in range(1000):
            if self.votes(store):
                return
            for _ in range(4):
                self.world.propose(self.leader, f"{next(numbers)}".encode())
            self.world.run(cluster.TICK_S)
        self.fail("The new store does not vote after 20 s.")

    def test_log_is_compacted_beside_a_member_that_is_down(self) -> None:
        """Guards against a log that grows as long as a member is down."""
        state = self.world.node(self.leader)._runner.replica.state
        self.lose_disk(self.lost)
        self.world.run_until(lambda: self.is_sent_snapshot(self.lost))
        self.world.crash(self.lost)
        before = state.snapshot.index
        for number in range(500):
            self.world.propose(self.leader, f"{number}".encode())
            self.world.run(cluster.TICK_S)
        self.assertTrue(self.is_sent_snapshot(self.lost))
        self.assertGreater(state.snapshot.index, before + 300)

    def is_sent_snapshot(self, name: str) -> bool:
        runner = self.world.node(self.leader)._runner
        progress = runner.replica.state.leadership.progress
        member = progress.get(base.InstanceId(name))
        return member is not None and member.mode.value == "snapshot"
