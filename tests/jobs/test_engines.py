"""Tests of the failures and backoffs of engines."""

import typing
import unittest

import banyanbank_base as base
import banyanbank_jobs as jobs

from tests.jobs import samples

ENGINE = base.EndpointId("e1")
RUNS = 4

Step = tuple[str, float, float]
"""What happens to a run, when the run began and when that happens."""


class BackoffTest(unittest.TestCase):
    """One event that ends many runs of an engine counts as one failure.

    Guards against engines that get no items for 16 s after connections to them
    were lost once.
    """

    def test_time_from_which_an_engine_is_used_again(self) -> None:
        lost, event = "lost", "first event"
        cases: tuple[tuple[str, list[Step], float], ...] = (
            ("one run is lost", [(lost, 0.0, 1.0)], 3.0),
            (
                "one event ends all runs",
                [(lost, 0.1 * run, 1.0) for run in range(RUNS)],
                3.0,
            ),
            (
                "their loss is noticed at different times",
                [(lost, 0.1 * run, 1.0 + 0.2 * run) for run in range(RUNS)],
                3.0,
            ),
            (
                "runs that began after the failure are lost, too",
                [(lost, 0.0, 1.0), (lost, 2.0, 4.0), (lost, 8.0, 9.0)],
                17.0,
            ),
            (
                "a run that began after the failure generates",
                [(lost, 0.0, 1.0), (event, 1.5, 1.8)],
                1.8,
            ),
            (
                "a run that began before the failure generates",
                [(lost, 0.0, 1.0), (event, 0.5, 1.8)],
                3.0,
            ),
            (
                "a failure after a run that generated is the first one",
                [(lost, 0.0, 1.0), (event, 1.5, 1.8), (lost, 2.0, 4.0)],
                6.0,
            ),
        )
        for name, steps, usable_from in cases:
            with self.subTest(name):
                health = jobs.EngineHealth()
                last = 0.0
                for what, began_at, at in steps:
                    last = at
                    if what == lost:
                        health.record_failure(ENGINE, began_at, at)
                    else:
                        health.record_first_event(ENGINE, began_at)
                self.assertFalse(health.is_suspect(ENGINE, usable_from))
                is_suspect = health.is_suspect(ENGINE, usable_from - 0.01)
                self.assertEqual(is_suspect, usable_from > last)

    def test_new_incarnation_is_not_suspect(self) -> None:
        for name, born_ms, is_suspect in (
            ("same incarnation", 5, True),
            ("earlier incarnation", 4, True),
            ("new incarnation", 6, False),
        ):
            with self.subTest(name):
                health = jobs.EngineHealth()
                health.observe_incarnation(ENGINE, 5)
                health.record_failure(ENGINE, 0.0, 1.0)
                health.observe_incarnation(ENGINE, born_ms)
                self.assertEqual(health.is_suspect(ENGINE, 1.5), is_suspect)


class ProbeTest(unittest.TestCase):
    """Items are not held back while every engine is in its backoff."""

    def setUp(self) -> None:
        self.health = jobs.EngineHealth()
        self.scheduler = jobs.Scheduler(self.health, samples.find_services)
        names = [f"i{number}" for number in range(9)]
        job = samples.make_job("j", *map(samples.make_item, names))
        self.scheduler.add_job(jobs.JobState(job, []))
        self.engines = [
            samples.make_engine("e1", slots=3),
            samples.make_engine("e2", slots=3),
        ]

    def start(self, now: float) -> list[str]:
        """Starts the planned items; returns their engines."""
        planned = self.scheduler.plan(self.engines, now)
        for placement in planned:
            self.scheduler.mark_started(placement)
        return sorted(str(placement.engine) for placement in planned)

    def fail(self, *names: str) -> None:
        for name in names:
            self.health.record_failure(base.EndpointId(name), -1.0, 0.0)

    def test_suspect_engines(self) -> None:
        cases: tuple[tuple[str, typing.Any, float, list[str]], ...] = (
            ("all, at once", ("e1", "e2"), 0.1, []),
            ("all, later", ("e1", "e2"), 0.6, ["e1", "e2"]),
            ("one of two", ("e1",), 0.6, ["e2"] * 3),
        )
        for name, failed, now, want in cases:
            with self.subTest(name):
                self.setUp()
                self.fail(*failed)
                self.assertEqual(self.start(now), want)

    def test_probed_engine_gets_further_items_after_an_event(self) -> None:
        self.fail("e1", "e2")
        self.assertEqual(self.start(0.6), ["e1", "e2"])
        self.assertEqual(self.start(0.7), [])
        self.health.record_first_event(base.EndpointId("e1"), began_at=0.6)
        self.assertEqual(self.start(0.8), ["e1", "e1"])


if __name__ == "__main__":
    unittest.main()
