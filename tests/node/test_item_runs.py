"""Tests of starting, losing and cancelling item runs."""

import unittest

import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs

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
            ("the leader withholds the requests", _withhold, False),
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
        # An item that ends its engines must not go through them at once.
        self.assertEqual(engines.waiting(), [])
        leader.clock.advance(jobs.FAILED_RETRY_DELAY_S)
        leader.runs.tick()
        self.assertEqual(len(engines.waiting()), len(lost))


class WithheldRunTest(unittest.TestCase):
    """A request that the leader did not send is no failure of its engine."""

    def test_items_run_again_at_once(self) -> None:
        """Guards against items that wait longer each time."""
        engines = running.FakeEngines("e")
        leader = running.Leader(engines)
        leader.runs.tick()
        leader.accept(samples.make_job("j", due_at=200.0))
        count = len(engines.waiting())
        for _ in range(5):
            _withhold(leader)
            self.assertEqual(engines.waiting(), [])
            leader.runs.tick()
            self.assertEqual(len(engines.waiting()), count)
        runs = [fields["outcome"] for _, fields in leader.events]
        self.assertEqual(runs, ["withheld"] * 5 * count)

    def test_evacuation(self) -> None:
        """Guards against engines excluded after their domain is readmitted."""
        engines = running.FakeEngines("e")
        leader = running.Leader(engines)
        leader.runs.tick()
        zone = base.FailureDomain("zone")
        leader.order(jobs.EvacuateDomain(zone))
        leader.accept(samples.make_job("j", due_at=200.0))
        for _ in range(3):
            leader.runs.tick()
        self.assertEqual(engines.sent, [])
        leader.order(jobs.ReadmitDomain(zone, 1.0))
        leader.runs.tick()
        self.assertEqual(len(engines.waiting()), running.SLOTS)


class RouteTest(unittest.TestCase):
    """Items run at the services that their route names now.

    Guards against items run by the engines of another route.
    """

    def setUp(self) -> None:
        self.engines = running.FakeEngines("a1", "b1", services={"b1": "other"})
        self.leader = running.Leader(self.engines)
        self.leader.runs.tick()

    def accept(self, name: str) -> set[str]:
        """Accepts a job; returns the engines that its items run on."""
        self.leader.accept(samples.make_job(name, due_at=200.0))
        return {
            str(sent.engine)
            for sent in self.engines.waiting()
            if sent.item.job.job == name
        }

    def test_change_of_the_route(self) -> None:
        self.assertEqual(self.accept("before"), {"a1"})
        self.leader.configure(gateway.Target("other", 1.0))
        self.assertEqual(self.accept("after"), {"b1"})

    def test_service_without_weight(self) -> None:
        self.leader.configure(
            gateway.Target("engines", 0.0), gateway.Target("other", 1.0)
        )
        self.assertEqual(self.accept("j"), {"b1"})

    def test_route_that_is_gone(self) -> None:
        self.leader.configure()
        self.assertEqual(self.accept("j"), set())
        for seconds, outcomes in (
            (1.0, []),
            (3.0, [jobs.ItemOutcome.DEAD] * 2),
        ):
            self.leader.runs.tick()
            self.leader.clock.advance(seconds)
            self.leader.runs.tick()
            results = self.leader.ledger.jobs["j"].results
            self.assertEqual([found.outcome for found in results], outcomes)


def _exceed_idle_timeout(leader: running.Leader) -> None:
    leader.clock.advance(3.0)


def _withhold(leader: running.Leader) -> None:
    for sent in leader.engines.waiting():
        sent.answered.errback(ConnectionError(running.WITHHELD))


def _reset_connections(leader: running.Leader) -> None:
    for sent in leader.engines.waiting():
        sent.answered.errback(ConnectionError("reset"))


if __name__ == "__main__":
    unittest.main()
