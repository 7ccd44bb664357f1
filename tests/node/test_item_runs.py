"""Tests of starting, losing and cancelling item runs."""

import unittest

from tests.jobs import samples
from tests.node import running


class CancelledRunTest(unittest.TestCase):
    """A run that the leader cancels is not a failure of its engine."""

    def test_which_failures_exclude_engine(self) -> None:
        job = samples.make_job("first", due_at=200.0)
        for name, cancel, is_excluded in (
            (
                "its trainer ends the job",
                lambda leader: leader.end(job),
                False,
            ),
            (
                "the leader steps down",
                lambda leader: leader.runs.stop(),
                False,
            ),
            ("the engine is silent", _exceed_idle_timeout, True),
            ("the engine resets the connection", _reset_connections, True),
        ):
            with self.subTest(name):
                engines = running.FakeEngines("e")
                leader = running.Leader(engines)
                leader.runs.tick()
                leader.accept(job)
                self.assertEqual(len(engines.waiting()), running.SLOTS)
                cancel(leader)
                leader.runs.tick()
                leader.accept(samples.make_job("next", due_at=200.0))
                started = [sent.item.job.job for sent in engines.waiting()]
                self.assertEqual(started == [], is_excluded, started)


class MassResetTest(unittest.TestCase):
    """Losing all runs of all engines at once stops a job for 2 s at most.

    Guards against steps that run out of time after connections went silent or
    were reset once.
    """

    def test_items_run_again_after_an_event(self) -> None:
        for name, lose in (
            ("connections are silent", _exceed_idle_timeout),
            ("connections are reset", _reset_connections),
        ):
            with self.subTest(name):
                engines = running.FakeEngines("e1", "e2")
                leader = running.Leader(engines)
                leader.runs.tick()
                items = [samples.make_item(f"i{n}") for n in range(4)]
                leader.accept(samples.make_job("j", *items, due_at=200.0))
                self.assertEqual(len(engines.waiting()), 4)
                lose(leader)
                leader.runs.tick()
                leader.clock.advance(2.1)
                leader.runs.tick()
                self.assertEqual(len(engines.waiting()), 4)

    def test_stale_connection_is_not_a_failure_of_the_engine(self) -> None:
        """Guards against engines excluded for closing idle connections."""
        engines = running.FakeEngines("e")
        leader = running.Leader(engines)
        leader.runs.tick()
        leader.accept(samples.make_job("j", due_at=200.0))
        lost = engines.waiting()
        for sent in lost:
            sent.answered.errback(ConnectionError(running.STALE))
        leader.runs.tick()
        self.assertEqual(len(engines.waiting()), len(lost))


def _exceed_idle_timeout(leader: running.Leader) -> None:
    leader.clock.advance(3.0)


def _reset_connections(leader: running.Leader) -> None:
    for sent in leader.engines.waiting():
        sent.answered.errback(ConnectionError("reset"))


if __name__ == "__main__":
    unittest.main()
