"""Tests of the speed estimate of engines and of moves between them."""

import unittest

import banyanbank_base as base
import banyanbank_jobs as jobs

from tests.jobs import samples

HERE = base.EndpointId("here")
THERE = base.EndpointId("there")

STEADY = [0.037] * 40
MAX_INTERVAL_S = 0.06


class SpeedTest(unittest.TestCase):
    """Guards against engines taken for slow because a stream paused."""

    def test_intervals(self) -> None:
        for name, intervals, is_slow in (
            ("steady", STEADY, False),
            ("one pause", [*STEADY, 0.6], False),
            ("all six runs pause", [*STEADY, *[0.6] * 6], False),
            ("they pause twice", [*STEADY, *[0.6] * 6, *STEADY[:6]] * 2, False),
            ("a new engine pauses", [0.6] * 3, False),
            ("twice as slow for 13 events", [*STEADY, *[0.074] * 13], True),
            ("slow from its start", [0.12] * 8, True),
            ("fast again", [*[0.12] * 40, *STEADY[:13]], False),
        ):
            with self.subTest(name):
                health = jobs.EngineHealth()
                for interval_s in intervals:
                    health.record_event_interval(HERE, interval_s)
                interval_s = health.speed(HERE).event_interval_s
                self.assertEqual(interval_s > MAX_INTERVAL_S, is_slow)


class MoveTest(unittest.TestCase):
    """An item moves only if that saves more time than it costs."""

    def setUp(self) -> None:
        self.health = jobs.EngineHealth()
        self.scheduler = jobs.Scheduler(self.health, samples.find_services)

    def start(self, *items: jobs.JobItem) -> None:
        """Starts items on the engine that is left."""
        job = samples.make_job("j", *items)
        self.scheduler.add_job(jobs.JobState(job, []))
        for placement in self.scheduler.plan([samples.make_engine(HERE)], 0.0):
            self.scheduler.mark_started(placement)

    def hear(self, engine: base.EndpointId, intervals: list[float]) -> None:
        for interval_s in intervals:
            self.health.record_event_interval(engine, interval_s)

    def plan(self, now: float, slots: int = 2) -> list[jobs.Move]:
        engines = [
            samples.make_engine(HERE),
            samples.make_engine(THERE, slots=slots),
        ]
        return self.scheduler.plan_moves(engines, now)

    def test_which_items_move(self) -> None:
        slow, uneven = [0.1] * 25, [0.02, 0.3] * 13
        for name, here, there, hint, done, reason in (
            ("same speed", STEADY, STEADY, 900, 0, None),
            ("one pause", [*STEADY, 0.6], STEADY, 900, 0, None),
            ("slow", slow, STEADY, 500, 0, "SLOW"),
            ("slow, short text", slow, STEADY, 80, 0, None),
            ("slow, nearly complete text", slow, STEADY, 300, 27, None),
            ("slow, text longer than expected", slow, STEADY, 500, 90, "SLOW"),
            ("slow, as is the other one", slow, slow, 500, 0, None),
            ("slow, other one is uneven", slow, uneven, 500, 0, None),
            ("a bit slower, long text", [0.045] * 25, STEADY, 900, 0, None),
            ("slower, long text", [0.063] * 25, [0.026] * 25, 900, 0, "FASTER"),
        ):
            with self.subTest(name):
                self.setUp()
                self.start(samples.make_item("i", length_hint=hint))
                (item,) = self.scheduler.items()
                for number in range(done):
                    item.text.append(jobs.StreamEvent(number, "x", None))
                self.hear(HERE, here)
                self.hear(THERE, there)
                found = [move.reason.name for move in self.plan(1.0)]
                self.assertEqual(found, [reason] if reason else [])

    def test_next_move(self) -> None:
        """Guards against items that go back and forth between engines."""
        self.start(samples.make_item("i"))
        self.hear(HERE, [0.12] * 25)
        (move,) = self.plan(1.0)
        self.assertEqual(move.engine, THERE)
        self.scheduler.mark_moved(move, 1.0)
        self.assertEqual(self.scheduler.running_on(HERE), 0)
        self.hear(THERE, [0.12] * 25)
        self.hear(HERE, STEADY)
        self.assertEqual(self.plan(2.9), [])
        self.assertEqual([move.engine for move in self.plan(3.1)], [HERE])

    def test_longest_text_gets_the_only_slot(self) -> None:
        self.start(
            samples.make_item("short", length_hint=300),
            samples.make_item("long", length_hint=900),
        )
        self.hear(HERE, [0.12] * 25)
        moves = self.plan(1.0, slots=1)
        self.assertEqual([move.item.spec.item for move in moves], ["long"])


if __name__ == "__main__":
    unittest.main()
