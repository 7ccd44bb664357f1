"""Stateful fuzz of ledger and scheduler against the world's oracle."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests.rollout import world

WHICH = st.integers(0, 5)
STEP = st.integers(0, 2)


class RolloutMachine(stateful.RuleBasedStateMachine):
    """Any party may act, fail or repeat itself at any moment."""

    def __init__(self) -> None:
        super().__init__()
        self.world = world.World()

    @stateful.rule(which=WHICH, step=STEP)
    def submit(self, which: int, step: int) -> None:
        self.world.submit(which, step)

    @stateful.rule(which=WHICH, step=STEP)
    def submit_other_content(self, which: int, step: int) -> None:
        self.world.submit_other_content(which, step)

    @stateful.rule(losing=st.sampled_from((0, 0, 0, 2)), seconds=st.just(1.0))
    def decide(self, losing: int, seconds: float) -> None:
        self.world.wait(seconds)
        self.world.decide(losing)

    @stateful.rule(tokens=st.integers(1, 7))
    def generate_everywhere(self, tokens: int) -> None:
        for which in range(world.ENGINES):
            self.world.generate(which, tokens)

    @stateful.rule(which=WHICH, step=STEP, rounds=st.integers(1, 4))
    def work(self, which: int, step: int, rounds: int) -> None:
        self.world.submit(which, step)
        for _ in range(rounds):
            self.decide(0, 1.0)
            self.generate_everywhere(4)
            self.deliver_all(keep=False)
        self.world.fetch(which, step, lost=False)

    @stateful.rule(slot=st.integers(0, 23), superseding=st.booleans())
    def record_elsewhere(self, slot: int, superseding: bool) -> None:
        self.world.record_elsewhere(slot, superseding)

    @stateful.rule(which=WHICH, tokens=st.sampled_from((-1, 1)))
    def tear_report(self, which: int, tokens: int) -> None:
        self.world.tear_report(which, tokens)

    @stateful.rule(which=WHICH, tokens=st.integers(1, 7))
    def generate(self, which: int, tokens: int) -> None:
        self.world.generate(which, tokens)

    @stateful.rule(keep=st.booleans())
    def deliver_all(self, keep: bool) -> None:
        for which in range(len(self.world.messages)):
            self.world.deliver(which, keep)

    @stateful.rule(which=WHICH, keep=st.booleans())
    def deliver(self, which: int, keep: bool) -> None:
        self.world.deliver(which, keep)

    @stateful.rule(which=WHICH)
    def lose_message(self, which: int) -> None:
        self.world.lose_message(which)

    @stateful.rule(which=WHICH, step=STEP, lost=st.booleans())
    def fetch(self, which: int, step: int, lost: bool) -> None:
        self.world.fetch(which, step, lost)

    @stateful.rule(which=WHICH, step=STEP)
    def acknowledge(self, which: int, step: int) -> None:
        self.world.acknowledge(which, step)

    @stateful.rule(which=WHICH, step=STEP)
    def reject(self, which: int, step: int) -> None:
        self.world.reject(which, step)

    @stateful.rule(which=WHICH, step=STEP)
    def cancel_step(self, which: int, step: int) -> None:
        self.world.cancel_step(which, step)

    @stateful.rule(which=WHICH, lost=st.booleans())
    def publish(self, which: int, lost: bool) -> None:
        self.world.publish(which, lost)

    @stateful.rule(which=WHICH, version=st.integers(0, 9))
    def swap(self, which: int, version: int) -> None:
        self.world.swap(which, version)

    @stateful.rule(which=WHICH, noticed=st.booleans())
    def crash_engine(self, which: int, noticed: bool) -> None:
        self.world.crash_engine(which, noticed)

    @stateful.rule(which=WHICH)
    def reclaim(self, which: int) -> None:
        self.world.reclaim(which)

    @stateful.rule(attempts_lost=st.booleans())
    def change_leader(self, attempts_lost: bool) -> None:
        self.world.change_leader(attempts_lost)

    @stateful.rule()
    def restart_from_snapshot(self) -> None:
        self.world.restart_from_snapshot()

    def teardown(self) -> None:
        self.world.settle(new_leader=False)


RolloutFuzzTest = RolloutMachine.TestCase
RolloutFuzzTest.settings = hypothesis.settings(
    max_examples=100,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

if __name__ == "__main__":
    unittest.main()
