"""Mutation tests: seeded random walks detect faults in the decision code."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import importlib
import importlib.abc
import importlib.machinery
import sys
import types
import unittest
from unittest import mock

import attrs

from tests.rollout import cases
from tests.rollout import fleet
from tests.rollout import platform
from tests.rollout import simulation
from tests.rollout import walks

PACKAGE = "banyanbank_rollout"
MAX_SEEDS_BY_WALK = {
    walks.walk: 120,
    walks.walk_reopened_slots: 1,
    fleet.walk: 40,
    fleet.wide_walk: 2,
    fleet.broken_walk: 1,
    platform.walk: 20,
}


@attrs.frozen
class Mutant:
    """Fault that replaces the source text `old` of a module by `new`."""

    module: str
    old: str
    new: str
    walk: Callable[[int], object] = walks.walk
    seed: int = 0
    """First seed to try; the others are tried if its walk passes."""


MUTANTS = {
    "bound off by one at hand-out": Mutant(
        "_batches",
        "newest - oldest > group.spec.staleness_bound",
        "newest - oldest > group.spec.staleness_bound + 1",
        seed=1,
    ),
    "no second check at first hand-out": Mutant(
        "_batches",
        "    pruned, discarded = _discard_stale(step, newest)\n"
        "    if discarded:\n"
        "        reopened",
        "    pruned, discarded = _discard_stale(step, newest)\n"
        "    if False:\n"
        "        reopened",
        seed=1,
    ),
    "hand-out not committed": Mutant(
        "_batches",
        "batch = attrs.evolve(step.batch, handed_out_at=newest)",
        "batch = step.batch",
    ),
    "reopened batch keeps its id": Mutant(
        "_batches", "generation=step.generation + 1", "generation=0", seed=52
    ),
    "acknowledged step stays open": Mutant(
        "_batches",
        "return tables.without_step(step), _replies.BatchAcknowledged",
        "return tables, _replies.BatchAcknowledged",
        seed=9,
    ),
    "last result wins": Mutant(
        "_groups",
        "if winner is not None and not _may_supersede(step, winner, cmd):",
        "if False:",
        seed=21,
    ),
    "formed batch can be superseded": Mutant(
        "_groups",
        "if step.batch is not None or cmd.supersedes != winner.attempt_id:",
        "if cmd.supersedes != winner.attempt_id:",
        seed=113,
    ),
    "complete group accepts spare samples": Mutant(
        "_groups",
        "(step.batch is not None or group.is_complete)",
        "step.batch is not None",
    ),
    "incomplete report is accepted": Mutant(
        "_groups", "if not _samples.is_full_report(", "if False and bool("
    ),
    "done step can be submitted again": Mutant(
        "_state",
        "return step < self.done_below or step in self.done",
        "return False",
        seed=23,
    ),
    "discarded sample counts as recorded": Mutant(
        "_state",
        "self._replace_samples(key[0], -1, ",
        "self._replace_samples(key[0], 0, ",
        seed=1,
    ),
    "done step loses the generation of its batch": Mutant(
        "_state",
        "self.done.set(step, generation)",
        "self.done.set(step, 0)",
        seed=1,
    ),
    "snapshot omits the hand-out": Mutant(
        "_snapshot",
        "handed_out_at=None if batch is None else batch.handed_out_at",
        "handed_out_at=None",
    ),
    "attempt ids repeat after a leader change": Mutant(
        "_starts", 'f"{self._incarnation}-', 'f"'
    ),
    "one slot of a group is never started": Mutant(
        "_plan", "idle[:missing]", "idle[: missing - 1]", seed=1
    ),
    "stale tokens are resumed indefinitely": Mutant(
        "_retries",
        "for slot in closed:",
        "for slot in closed[:0]:",
        walks.walk_reopened_slots,
    ),
    "resumed tokens change their version": Mutant(
        "_retries",
        "resume_from=resume_from or before.resume_from",
        "resume_from=resume_from and _effects.ResumePoint("
        "resume_from.stretches[1:])",
    ),
    "wave ignores engines already swapping": Mutant(
        "_weight_rollout",
        "counts.unavailable.update(scopes)\n            yield",
        "yield",
        fleet.walk,
    ),
    "wave ignores failure domains": Mutant(
        "_weight_rollout",
        "return (report.model, None), (report.model, report.failure_domain)",
        "return (report.model, None), (report.model, None)",
        fleet.wide_walk,
    ),
    "engine gets two orders at once": Mutant(
        "_weight_rollout",
        "if endpoint in busy_endpoints or not _has_base_loaded(",
        "if not _has_base_loaded(",
        fleet.wide_walk,
    ),
    "ordered version counts as loaded": Mutant(
        "_weight_swap",
        "is_current = report.version is not None and report.version >= newest",
        "is_current = self.target == newest",
        fleet.walk,
    ),
    "mixed weights stay in service": Mutant(
        "_weight_rollout",
        "has_failed or (is_mixed and not report.loading)",
        "has_failed",
        fleet.walk,
    ),
    "failed engine gets no further orders": Mutant(
        "_weight_swap",
        'return self.state == "out_of_service" and',
        "return False and",
        fleet.walk,
    ),
    "new leader returns a failed engine to service": Mutant(
        "_weight_swap",
        "return report.version >= self.required_version",
        "return True",
        fleet.broken_walk,
    ),
    "store rate limit is ignored": Mutant(
        "_weights",
        "self._busy_until > now + self._burst_s",
        "False",
        fleet.wide_walk,
    ),
    "surplus is drained immediately": Mutant(
        "_demand",
        "if at > start and old > value",
        "if False",
        platform.walk,
    ),
    "endpoint is released while work runs on it": Mutant(
        "_capacity_planner",
        "if e.draining and e.running == 0 and",
        "if e.draining and",
        platform.walk,
    ),
    "safe endpoints fill one domain first": Mutant(
        "_capacity_planner",
        "floor = min(self._cfg.safe_per_domain, fill.room(kind))",
        "floor = 0",
        platform.walk,
    ),
    "protected need is placed on reclaimable endpoints": Mutant(
        "_capacity_planner",
        "fill.capacity(safe) < protected",
        "False",
        platform.walk,
    ),
    "reclaimable endpoints fill one domain": Mutant(
        "_capacity_planner",
        "fill.capacity((kind,)) + offer.tokens_per_s <= cap",
        "True",
        platform.walk,
    ),
    "reclaimed endpoints count as capacity": Mutant(
        "_capacity_planner",
        "if endpoint.gone_at is not None:\n        return False",
        "if False:\n        return False",
        platform.walk,
    ),
    "endpoint is drained before the others cover the need": Mutant(
        "_capacity_planner",
        "capacity - speed < total",
        "False",
        platform.walk,
    ),
}


class MutantLoader(importlib.machinery.SourceFileLoader):
    """Loads a module with the fault applied, bypassing cached bytecode."""

    def __init__(self, fullname: str, path: str, mutant: Mutant) -> None:
        super().__init__(fullname, path)
        self._mutant = mutant

    def get_code(self, fullname: str) -> types.CodeType:
        source = self.get_data(self.path).decode()
        if source.count(self._mutant.old) != 1:
            raise ValueError(
                f"{self._mutant}: old text must occur exactly once in its"
                " module; update it to the current source."
            )
        source = source.replace(self._mutant.old, self._mutant.new)
        return self.source_to_code(source.encode(), self.path)


class MutantFinder(importlib.abc.MetaPathFinder):
    """Finds the mutated module of the package; leaves others to the default."""

    def __init__(self, mutant: Mutant) -> None:
        self._mutant = mutant

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        if fullname != f"banyanbank_rollout.{self._mutant.module}":
            return None
        spec = importlib.machinery.PathFinder.find_spec(fullname, path)
        spec.loader = MutantLoader(fullname, spec.origin, self._mutant)
        return spec


@contextlib.contextmanager
def mutated_package(mutant: Mutant) -> Iterator[None]:
    """Runs the simulations on a fresh import of the package with the fault."""
    finder = MutantFinder(mutant)
    with mock.patch.dict(sys.modules):
        for name in [n for n in sys.modules if n.startswith(PACKAGE)]:
            del sys.modules[name]
        sys.meta_path.insert(0, finder)
        try:
            mutated = importlib.import_module(PACKAGE)
        finally:
            sys.meta_path.remove(finder)
        with (
            mock.patch.object(simulation, "rollout", mutated),
            mock.patch.object(cases, "rollout", mutated),
            mock.patch.object(fleet, "rollout", mutated),
            mock.patch.object(platform, "rollout", mutated),
        ):
            yield


def find_failing_seed(
    walk: Callable[[int], object], first: int = 0
) -> int | None:
    """Returns a seed whose walk violates an invariant, None if all pass."""
    for seed in (first, *range(MAX_SEEDS_BY_WALK[walk])):
        try:
            walk(seed)
        except AssertionError:
            return seed
    return None


class MutantTest(unittest.TestCase):
    """The unchanged package passes all walks; each mutant fails one."""

    def test_unchanged(self) -> None:
        for walk in MAX_SEEDS_BY_WALK:
            with self.subTest(walk=walk):
                self.assertIsNone(find_failing_seed(walk))

    def test_each_mutant_is_caught(self) -> None:
        for name, mutant in MUTANTS.items():
            with self.subTest(mutant=name), mutated_package(mutant):
                self.assertIsNotNone(
                    find_failing_seed(mutant.walk, mutant.seed)
                )


if __name__ == "__main__":
    unittest.main()
