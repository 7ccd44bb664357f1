"""Tests of the groups that a trainer is expected to finish without."""

import heapq
import random
import unittest

import attrs
import banyanbank_jobs as jobs
from banyanbank_jobs import _groups

from tests.jobs import samples

SLOTS = 6
GROUPS = 10
GROUP_SIZE = 4
WANTED_GROUPS = 9
MAX_WAIT_RATIO = 0.95
"""Maximum ratio of the waiting times with and without a spare group of ten."""


def make_item(group: str, number: int, length: int) -> jobs.JobItem:
    item = samples.make_item(f"{group}-{number}", length_hint=length)
    return attrs.evolve(item, group=group)


def make_step(rng: random.Random, wanted: int) -> jobs.Job:
    """Returns a step with heavy-tailed item lengths."""
    items = [
        make_item(f"g{group}", number, round(rng.paretovariate(1.5) * 10))
        for group in range(GROUPS)
        for number in range(GROUP_SIZE)
    ]
    return attrs.evolve(samples.make_job("j", *items), wanted_groups=wanted)


class SpareGroupsTest(unittest.TestCase):
    """The longest groups beyond the wanted number are spare."""

    def test_choice_of_groups(self) -> None:
        items = [
            make_item(group, number, length)
            for group, length in (("a", 30), ("b", 50), ("c", 40), ("d", 10))
            for number in range(2)
        ]
        job = samples.make_job("j", *items)
        for name, wanted, listed, returned, spare in (
            ("all are wanted", 4, (), (), ""),
            ("no wanted number", 0, (), (), ""),
            ("the longest", 3, (), (), "b"),
            ("the two longest", 2, (), (), "bc"),
            ("longest was left unfinished before", 3, (), ("b",), "c"),
            ("longest has a result", 3, ("b-1",), (), "c"),
            ("more wanted than there are", 9, (), (), ""),
        ):
            with self.subTest(name):
                found = _groups.spare_groups(
                    attrs.evolve(job, wanted_groups=wanted), listed, returned
                )
                self.assertEqual(found, frozenset(spare))

    def test_unfinished_group_is_not_spare_again(self) -> None:
        scheduler = jobs.Scheduler(jobs.EngineHealth(), samples.find_services)
        first = make_step(random.Random(1), WANTED_GROUPS)
        scheduler.add_job(jobs.JobState(first, []))
        (left,) = {i.spec.group for i in scheduler.items() if i.is_spare}
        for item in list(scheduler.items()):
            if item.spec.group != left:
                scheduler.remove(item)
        scheduler.end_job("j")
        again = attrs.evolve(first, job="k")
        scheduler.add_job(jobs.JobState(again, []))
        spare = {i.spec.group for i in scheduler.items() if i.is_spare}
        self.assertEqual(len(spare), 1)
        self.assertNotIn(left, spare)


class LoadedStepTest(unittest.TestCase):
    """Placing spare groups last shortens the wait on overloaded engines."""

    def test_spare_groups_shorten_the_wait(self) -> None:
        waits = {0: 0.0, WANTED_GROUPS: 0.0}
        for seed in range(20):
            for wanted in waits:
                step = make_step(random.Random(seed), wanted)
                waits[wanted] += _simulate_step(step)
        self.assertLess(waits[WANTED_GROUPS], MAX_WAIT_RATIO * waits[0])


def _simulate_step(step: jobs.Job) -> float:
    """Returns when the wanted groups are complete; a token takes one second."""
    scheduler = jobs.Scheduler(jobs.EngineHealth(), samples.find_services)
    scheduler.add_job(jobs.JobState(step, []))
    engine = samples.make_engine("e", slots=SLOTS)
    running: list[tuple[float, int, jobs.ItemProgress]] = []
    missing = {f"g{group}": GROUP_SIZE for group in range(GROUPS)}
    now = 0.0
    while sum(not count for count in missing.values()) < WANTED_GROUPS:
        for placement in scheduler.plan([engine], now):
            scheduler.mark_started(placement)
            item = placement.item
            ends_at = now + item.spec.length_hint
            heapq.heappush(running, (ends_at, id(item), item))
        now, _, done = heapq.heappop(running)
        scheduler.remove(done)
        missing[done.spec.group] -= 1
    return now
