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


def _exceed_idle_timeout(leader: running.Leader) -> None:
    leader.clock.advance(3.0)


def _reset_connections(leader: running.Leader) -> None:
    for sent in leader.engines.waiting():
        sent.answered.errback(ConnectionError("reset"))


if __name__ == "__main__":
    unittest.main()
