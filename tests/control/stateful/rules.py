"""Hypothesis rules that drive the simulated control plane.

Hypothesis derives the fixed search from the source text of a rule class: a
changed name or docstring in `ConfigRules`, `EffectRules` or `SoftRules` selects
another search, which may miss a mutant that the present one finds.
"""

import unittest.mock

import banyanbank_control as control
from banyanbank_control.config import _state as config_state
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.control.stateful import config_oracle
from tests.control.stateful import soft_world
from tests.control.stateful import world

NAMES = strategies.sampled_from("xy")
NUMBERS = strategies.integers(0, 9)
KEYS = strategies.sampled_from(world.KEYS)
FLAGS = strategies.booleans()


class _Rules(stateful.RuleBasedStateMachine):
    """Faults and resends that the config and effect searches share."""

    def __init__(self) -> None:
        super().__init__()
        # With one revision of history, entries that lag need a full reply.
        self._patch = unittest.mock.patch.object(
            config_state, "MAX_HISTORY_REVISIONS", 1
        )
        self._patch.start()
        self.world = world.World()
        self._ids = 0
        self.world.commit(self._apply(0, 1, {0, 1, 2}, "ann"))

    def teardown(self) -> None:
        self._patch.stop()

    def _id(self) -> str:
        self._ids += 1
        return f"r{self._ids}"

    def _apply(
        self, expected: int, bound: int, keys: set[int], operator: str
    ) -> control.ApplyDeclarations:
        declared = config_oracle.declared(
            bound, tuple(config_oracle.key(n) for n in sorted(keys))
        )
        return control.ApplyDeclarations(
            self._id(), operator, expected, declared
        )

    @stateful.rule(number=strategies.integers(0, 5), compact=FLAGS)
    def commit_again(self, number: int, compact: bool) -> None:
        committed = self.world.committed
        base_config = self.world.state.config if compact else None
        self.world.commit(committed[-1 - number % len(committed)], base_config)

    @stateful.rule(number=strategies.integers(0, 1))
    def restart_voter(self, number: int) -> None:
        self.world.restart_voter(number)

    @stateful.rule()
    def elect(self) -> None:
        self.world.elect()

    @stateful.rule(name=NAMES)
    def crash(self, name: str) -> None:
        self.world.crash(name)

    @stateful.invariant()
    def promises(self) -> None:
        self.world.check()


class ConfigRules(_Rules):
    """Racing operators, keys that come and go, entries that lag."""

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.9, 1.6, 2.4, 2.4]))
    def wait(self, seconds: float) -> None:
        self.world.now += seconds

    @stateful.rule(
        behind=strategies.sampled_from([0, 0, 0, 1, 2]),
        bound=strategies.integers(1, 2),
        keys=strategies.sets(KEYS, max_size=4),
        compact=FLAGS,
    )
    def apply(
        self, behind: int, bound: int, keys: set[int], compact: bool
    ) -> None:
        expected = max(self.world.config.revision - behind, 0)
        cmd = self._apply(expected, bound, keys, "ann")
        self.world.commit(cmd, self.world.state.config if compact else None)

    @stateful.rule(bound=strategies.integers(1, 2), keys=strategies.sets(KEYS))
    def race(self, bound: int, keys: set[int]) -> None:
        """Two operators under one number; the leader saw neither's change."""
        seen = self.world.state.config
        first = self._apply(seen.revision, bound, set(), "ann")
        second = self._apply(seen.revision, 3 - bound, keys, "bob")
        for cmd in (first, second):
            self.world.commit(cmd, seen)

    @stateful.rule(number=KEYS, alias=strategies.sampled_from(["", "", "x"]))
    def create_key(self, number: int, alias: str) -> None:
        key = config_oracle.key(number, alias)
        self.world.commit(control.CreateKey(self._id(), "ann", key))

    @stateful.rule(number=KEYS)
    def withdraw_key(self, number: int) -> None:
        key_id = f"k{number}"
        self.world.commit(control.WithdrawKey(self._id(), "ann", key_id))

    @stateful.rule(name=NAMES, linked=FLAGS)
    def link(self, name: str, linked: bool) -> None:
        self.world.entries[name].linked = linked

    @stateful.rule(name=NAMES)
    def poll(self, name: str) -> None:
        self.world.poll(name)

    @stateful.precondition(lambda self: self.world.requests)
    @stateful.rule(number=NUMBERS)
    def answer(self, number: int) -> None:
        self.world.answer(number)

    @stateful.rule(name=NAMES)
    def poll_and_answer(self, name: str) -> None:
        self.world.poll(name)
        if self.world.entries[name].linked:
            self.world.answer(len(self.world.requests) - 1)

    @stateful.precondition(lambda self: self.world.replies)
    @stateful.rule(number=NUMBERS, again=FLAGS)
    def deliver(self, number: int, again: bool) -> None:
        self.world.deliver(number, again)

    @stateful.rule(name=NAMES, number=KEYS)
    def restart_before_answer(self, name: str, number: int) -> None:
        self.poll_and_answer(name)
        self.withdraw_key(number)
        self.world.now += 2.4
        self.world.crash(name)
        self.world.poll(name)
        if self.world.replies:
            self.world.deliver(-1, again=False)

    @stateful.rule(name=NAMES)
    def exchange(self, name: str) -> None:
        self.world.exchange(name)


class EffectRules(_Rules):
    """Usage, non-idempotent requests and orders through crashes."""

    @stateful.rule(
        seconds=strategies.sampled_from([1.0, 20.0, 45.0, 80.0]), expire=FLAGS
    )
    def wait(self, seconds: float, expire: bool) -> None:
        self.world.now += seconds
        if expire:
            self.world.commit(control.ExpireIntents(self.world.now))

    @stateful.rule(name=NAMES, account=strategies.sampled_from("ab"))
    def serve(self, name: str, account: str) -> None:
        self.world.serve(name, account)

    @stateful.rule(name=NAMES, answered=FLAGS)
    def flush(self, name: str, answered: bool) -> None:
        self.world.flush(name, answered)

    @stateful.rule(answered=FLAGS)
    def report(self, answered: bool) -> None:
        self.world.report(answered)

    @stateful.rule(
        name=NAMES,
        key=strategies.sampled_from(["i", "i", "i", "j"]),
        choice=strategies.integers(0, 3),
    )
    def begin(self, name: str, key: str, choice: int) -> None:
        self.world.begin(name, key, self._id())
        self.world.step_attempt(name, -1, choice)

    @stateful.rule(name=NAMES, number=NUMBERS, choice=strategies.integers(0, 3))
    def step_attempt(self, name: str, number: int, choice: int) -> None:
        if self.world.entries[name].attempts:
            self.world.step_attempt(name, number, choice)

    @stateful.rule(name=NAMES, key=strategies.sampled_from("ij"))
    def run_request(self, name: str, key: str) -> None:
        self.world.run_request(name, key, self._id())

    @stateful.rule(name=NAMES, key=strategies.sampled_from("ij"))
    def abandon_late(self, name: str, key: str) -> None:
        """An abandonment that comes again after the next claim."""
        abandon = self.world.abandon_request(name, key, self._id())
        self.world.run_request(name, key, self._id())
        if abandon is not None:
            self.world.commit(abandon)

    @stateful.rule(
        needs=strategies.lists(
            strategies.sampled_from(["n1", "n2"]), unique=True, max_size=2
        ),
        accept=FLAGS,
        answered=FLAGS,
    )
    def order(self, needs: list[str], accept: bool, answered: bool) -> None:
        self.world.order(needs, accept, answered)


class SoftRules(stateful.RuleBasedStateMachine):
    """Instances and endpoints that come, go and are cut off."""

    @stateful.initialize(seed=strategies.integers(0, 999))
    def begin(self, seed: int) -> None:
        self.world = soft_world.SoftWorld(seed)

    @stateful.rule(seconds=strategies.sampled_from([0.4, 1.2, 4.0, 8.0]))
    def wait(self, seconds: float) -> None:
        self.world.pass_time(seconds)

    @stateful.rule(name=strategies.sampled_from("ef"))
    def crash_and_elect(self, name: str) -> None:
        self.world.start(name)
        self.world.pass_time(soft_world.SETTLE_S)
        self.world.crash(name)
        self.world.pass_time(5.2)
        self.world.elect()
        self.world.pass_time(8.0)

    @stateful.rule(name=strategies.sampled_from("ef"))
    def settle_and_leave(self, name: str) -> None:
        self.world.start(name)
        self.world.pass_time(soft_world.SETTLE_S + 1.0)
        self.world.leave(name)
        self.world.pass_time(2.0)

    @stateful.rule()
    def elect(self) -> None:
        self.world.elect()

    @stateful.rule()
    def resume(self) -> None:
        self.world.resume()

    @stateful.rule(name=strategies.sampled_from("xyz"))
    def restart(self, name: str) -> None:
        self.world.restart(name)

    @stateful.rule(name=strategies.sampled_from("xyz"), linked=FLAGS)
    def link(self, name: str, linked: bool) -> None:
        self.world.link(name, linked)

    @stateful.rule(name=strategies.sampled_from("ef"))
    def leave(self, name: str) -> None:
        self.world.leave(name)

    @stateful.rule(name=strategies.sampled_from("ef"))
    def crash_endpoint(self, name: str) -> None:
        self.world.crash(name)

    @stateful.rule(name=strategies.sampled_from("ef"))
    def start(self, name: str) -> None:
        self.world.start(name)


ALL = (ConfigRules, EffectRules, SoftRules)
"""All rule classes."""


def run(
    rules: type[stateful.RuleBasedStateMachine],
    examples: int,
    steps: int,
    seed: int | None = None,
    phases: tuple[hypothesis.Phase, ...] = (hypothesis.Phase.generate,),
) -> None:
    """Runs a search over the rules.

    Args:
        rules: `ConfigRules`, `EffectRules` or `SoftRules`.
        examples: Number of runs, each from a new world.
        steps: Maximum number of rules in a run.
        seed: Seed of a random search; None for the fixed search.
        phases: Hypothesis phases; `shrink` also minimizes a failing run.

    Raises:
        AssertionError: An invariant does not hold.
    """
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=seed is None,
        database=None,
        deadline=None,
        phases=phases,
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    if seed is not None:
        rules = hypothesis.seed(seed)(type(rules.__name__, (rules,), {}))
    stateful.run_state_machine_as_test(rules, settings=settings)
