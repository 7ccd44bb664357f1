"""Stateful fuzz test of ledger and scheduler against the oracle."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from tests.rollout import simulation

SELECTORS = st.integers(0, 5)
STEPS = st.integers(0, 2)


class RolloutMachine(stateful.RuleBasedStateMachine):
    """Trainers, engines and leaders act, fail and resend in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = simulation.Simulation()

    @stateful.rule(selector=SELECTORS, step=STEPS)
    def submit(self, selector: int, step: int) -> None:
        self.simulation.submit(selector, step)

    @stateful.rule(selector=SELECTORS, step=STEPS)
    def submit_other_content(self, selector: int, step: int) -> None:
        self.simulation.submit_other_content(selector, step)

    @stateful.rule(
        drop_every=st.sampled_from((0, 0, 0, 2)), seconds=st.just(1.0)
    )
    def decide(self, drop_every: int, seconds: float) -> None:
        self.simulation.wait(seconds)
        self.simulation.decide(drop_every)

    @stateful.rule(tokens=st.integers(1, 7))
    def generate_everywhere(self, tokens: int) -> None:
        for selector in range(simulation.ENGINE_COUNT):
            self.simulation.generate(selector, tokens)

    @stateful.rule(selector=SELECTORS, step=STEPS, rounds=st.integers(1, 4))
    def run_step(self, selector: int, step: int, rounds: int) -> None:
        self.simulation.submit(selector, step)
        for _ in range(rounds):
            self.decide(0, 1.0)
            self.generate_everywhere(4)
            self.deliver_all(keep=False)
        self.simulation.fetch(selector, step, is_lost=False)

    @stateful.rule(slot=st.integers(0, 23), superseding=st.booleans())
    def record_elsewhere(self, slot: int, superseding: bool) -> None:
        self.simulation.record_elsewhere(slot, superseding)

    @stateful.rule(selector=SELECTORS, tokens=st.sampled_from((-1, 1)))
    def send_incomplete_report(self, selector: int, tokens: int) -> None:
        self.simulation.send_incomplete_report(selector, tokens)

    @stateful.rule(selector=SELECTORS, tokens=st.integers(1, 7))
    def generate(self, selector: int, tokens: int) -> None:
        self.simulation.generate(selector, tokens)

    @stateful.rule(keep=st.booleans())
    def deliver_all(self, keep: bool) -> None:
        for selector in range(len(self.simulation.messages)):
            self.simulation.deliver(selector, keep)

    @stateful.rule(selector=SELECTORS, keep=st.booleans())
    def deliver(self, selector: int, keep: bool) -> None:
        self.simulation.deliver(selector, keep)

    @stateful.rule(selector=SELECTORS)
    def lose_message(self, selector: int) -> None:
        self.simulation.lose_message(selector)

    @stateful.rule(selector=SELECTORS, step=STEPS, is_lost=st.booleans())
    def fetch(self, selector: int, step: int, is_lost: bool) -> None:
        self.simulation.fetch(selector, step, is_lost)

    @stateful.rule(selector=SELECTORS, step=STEPS)
    def acknowledge(self, selector: int, step: int) -> None:
        self.simulation.acknowledge(selector, step)

    @stateful.rule(selector=SELECTORS, step=STEPS)
    def reject(self, selector: int, step: int) -> None:
        self.simulation.reject(selector, step)

    @stateful.rule(selector=SELECTORS, step=STEPS)
    def cancel_step(self, selector: int, step: int) -> None:
        self.simulation.cancel_step(selector, step)

    @stateful.rule(selector=SELECTORS, is_lost=st.booleans())
    def publish(self, selector: int, is_lost: bool) -> None:
        self.simulation.publish(selector, is_lost)

    @stateful.rule(selector=SELECTORS, version=st.integers(0, 9))
    def swap(self, selector: int, version: int) -> None:
        self.simulation.swap(selector, version)

    @stateful.rule(selector=SELECTORS, is_detected=st.booleans())
    def crash_engine(self, selector: int, is_detected: bool) -> None:
        self.simulation.crash_engine(selector, is_detected)

    @stateful.rule(selector=SELECTORS)
    def toggle_reclaim(self, selector: int) -> None:
        self.simulation.toggle_reclaim(selector)

    @stateful.rule(attempts_lost=st.booleans())
    def change_leader(self, attempts_lost: bool) -> None:
        self.simulation.change_leader(attempts_lost)

    @stateful.rule()
    def restart_from_snapshot(self) -> None:
        self.simulation.restart_from_snapshot()

    def teardown(self) -> None:
        self.simulation.settle(new_leader=False)


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
