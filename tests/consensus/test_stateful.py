"""Stateful fuzzing of the replicated log against the oracle."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests.consensus import fuzz
from tests.consensus import simulation

INSTANCES = st.sampled_from(simulation.SOMEONE)
FAULTS = ("crash", "restart", "wipe", "pause", "isolate", "sync_error")
CHANGES = ("add_voter", "add_learner", "remove_voter")
RECOVERIES = ("resume", "restart", "heal", "mend", "confirm")


class LogMachine(stateful.RuleBasedStateMachine):
    """Draws the same actions as `fuzz`, and shrinks failing examples."""

    @stateful.initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed: int) -> None:
        self.sim = simulation.Simulation(seed)

    @stateful.rule(ticks=st.sampled_from(simulation.RUN_TICKS))
    def run_ticks(self, ticks: int) -> None:
        self.sim.perform(f"run {ticks}")

    @stateful.rule(size=st.sampled_from((8, 40, 300)), ticks=st.integers(0, 9))
    def lead(self, size: int, ticks: int) -> None:
        self.sim.perform(f"lead {size}")
        self.sim.perform(f"run {ticks}")

    @stateful.rule(who=INSTANCES, name=st.sampled_from(FAULTS))
    def fault(self, who: str, name: str) -> None:
        self.sim.perform(f"{name} {who}")

    @stateful.rule(who=INSTANCES, name=st.sampled_from(RECOVERIES))
    def mend(self, who: str, name: str) -> None:
        line = name if name in ("heal", "mend", "confirm") else f"{name} {who}"
        self.sim.perform(line)

    @stateful.rule(
        who=INSTANCES, other=INSTANCES, name=st.sampled_from(("cut", "late"))
    )
    def cut(self, who: str, other: str, name: str) -> None:
        self.sim.perform(f"{name} {who} {other}")

    @stateful.rule(
        who=INSTANCES, other=INSTANCES, drop=st.sampled_from((0.0, 0.3, 0.8))
    )
    def noise(self, who: str, other: str, drop: float) -> None:
        self.sim.perform(f"noise {who} {other} {drop}")

    @stateful.rule(who=INSTANCES, name=st.sampled_from(CHANGES))
    def change_voters(self, who: str, name: str) -> None:
        self.sim.perform(f"{name} {who}")

    def teardown(self) -> None:
        if hasattr(self, "sim"):
            self.sim.perform("settle")


class BlackoutMachine(LogMachine):
    """Draws losses of power at all instances and of some disks besides."""

    @stateful.rule(who=INSTANCES, other=INSTANCES)
    def black_out(self, who: str, other: str) -> None:
        self.sim.perform(f"black_out {who} {other}")

    @stateful.rule(
        who=INSTANCES,
        operations=st.integers(0, simulation.MAX_OPERATIONS_BEFORE_CUT),
        victim=INSTANCES,
    )
    def cut_power(self, who: str, operations: int, victim: str) -> None:
        self.sim.perform(f"cut_power {who} {operations} {victim}")

    @stateful.rule()
    def recover(self) -> None:
        self.sim.perform("recover")


LogMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=40,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)


BlackoutMachine.TestCase.settings = LogMachine.TestCase.settings


class StatefulTest(LogMachine.TestCase):  # type: ignore[misc, name-defined]
    """Runs the state machine with fixed examples."""


class BlackoutTest(BlackoutMachine.TestCase):  # type: ignore[misc, name-defined]
    """Runs the state machine with losses of power with fixed examples."""


class FixedTracesTest(unittest.TestCase):
    """Long traces with fixed seeds."""

    def test_traces_keep_every_promise(self) -> None:
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                sim = fuzz.run_trace(seed, fuzz.draw_trace(seed, 600))
                self.assertGreater(sim.oracle.successes, 10)
                self.assertGreater(sim.oracle.elections, 3)
                self.assertGreater(sim.disks_lost_in_blackouts, 0)

    def test_recorded_trace_replays(self) -> None:
        first = fuzz.run_trace(9, fuzz.draw_trace(9, 300))
        again = fuzz.run_trace(9, first.trace)
        self.assertEqual(again.trace, first.trace)
        self.assertEqual(again.oracle.committed, first.oracle.committed)
        self.assertEqual(again.world.now, first.world.now)
        self.assertEqual(again.world.sent, first.world.sent)


if __name__ == "__main__":
    unittest.main()
