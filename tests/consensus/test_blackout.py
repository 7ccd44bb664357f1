"""Losses of power at all instances, and of a disk, around the first entries."""

import itertools
import unittest

from returns import result

from tests.consensus import cluster
from tests.consensus import oracle
from tests.consensus import simulation

FIRST_S = 2.5
RECOVER_S = 12.0
MAX_OPERATIONS = 24


class FormationBlackoutTest(unittest.TestCase):
    """What was acknowledged survives a loss of power during the formation."""

    def test_acknowledged_command_survives(self) -> None:
        acknowledged_count = 0
        for name, operations, lost in itertools.product(
            "abc", range(MAX_OPERATIONS), ("", "a", "b", "c")
        ):
            with self.subTest(name=name, operations=operations, lost=lost):
                acknowledged_count += self._play(name, operations, lost)
        self.assertGreater(acknowledged_count, 20)

    def _play(self, name: str, operations: int, lost: str) -> bool:
        """Returns whether a command was acknowledged before the loss."""
        world = cluster.World("abc", seed=operations, repair_after_s=1.0)
        checks = oracle.Oracle(world, 0.0)
        world.on_step = checks.check
        acknowledged: list[bytes] = []
        world.files[name].operations_left = operations
        try:
            world.start()
            self._propose_until(world, acknowledged, world.now + FIRST_S)
        except cluster.PowerCutError:
            pass
        world.black_out(*lost)
        world.start(*world.rng.sample("abc", 3))
        if not acknowledged:
            return False
        count = len(acknowledged)
        self._propose_until(world, acknowledged, world.now + RECOVER_S, 1)
        self.assertGreater(len(acknowledged), count, "no service")
        payloads = [payload for _, payload in checks.committed]
        for payload in acknowledged:
            self.assertIn(payload, payloads)
        world.run_until(
            lambda: all(
                world.machine(other).commands == checks.committed
                for other in "abc"
            )
        )
        clusters = {world.node(other).status().cluster for other in "abc"}
        self.assertEqual(len(clusters), 1)
        return True

    def _propose_until(
        self,
        world: cluster.World,
        acknowledged: list[bytes],
        until: float,
        count: int = 1_000_000,
    ) -> None:
        """Proposes commands and notes each one that is acknowledged."""
        wanted = len(acknowledged) + count
        while world.now < until and len(acknowledged) < wanted:
            for leader in world.leaders():
                payload = b"%f by %s" % (world.now, leader.encode())
                process = world.processes[leader]
                process.node.propose(payload).addCallback(
                    lambda outcome, payload=payload: (
                        isinstance(outcome, result.Success)
                        and acknowledged.append(payload)
                    )
                )
                world.drain(process)
            world.step(cluster.TICK_S)


class ReplacementBlackoutTest(unittest.TestCase):
    """A store that has just begun to vote bears the loss of another disk."""

    def test_power_is_lost_as_a_store_begins_to_vote(self) -> None:
        lost_count = 0
        for first, second, operations in itertools.product(
            ("*", "1#", "2#"), ("*", "1#", "2#"), range(6)
        ):
            with self.subTest(
                first=first, second=second, operations=operations
            ):
                lost_count += self._play(first, second, operations)
        self.assertEqual(lost_count, 54)

    def _play(self, first: str, second: str, operations: int) -> int:
        """Returns the number of disks lost with the power."""
        sim = simulation.Simulation(operations, "abc")
        for line in ("lead 8", "run 10", f"wipe {first}"):
            sim.perform(line)
        sim.world.run_until(
            lambda: any(
                sim.may_lose([name]) for name in sim.world.lease_holders()
            )
        )
        sim.perform(f"cut_power * {operations} {second}")
        while not sim.blackouts:
            sim.perform("lead 8")
            sim.perform("run 1")
        sim.perform("recover")
        sim.perform("settle")
        return sim.disks_lost_in_blackouts


if __name__ == "__main__":
    unittest.main()
