"""Tests reads of results at a leader and at its followers."""

import types
import typing
import unittest

import banyanbank_base as base
import banyanbank_jobs as jobs
from banyanbank_node import _change_notifier
from banyanbank_node import _leadership
from banyanbank_node import _messages
from banyanbank_node import _result_reads
from banyanbank_node import _store_client
from returns import result
from twisted.internet import defer
from twisted.internet import task

ENTRY = base.InstanceId("entry")
STEP_S = 0.01
WAIT_S = 1.0


class _FakeLog:
    """Fake log of one store."""

    def __init__(self, is_leader: bool) -> None:
        self.is_leader = is_leader
        self.applied_index = 5
        self.can_confirm = True

    def status(self) -> typing.Any:
        return types.SimpleNamespace(applied_index=self.applied_index)

    async def confirm_leadership(self) -> result.Result[float, str]:
        if self.can_confirm:
            return result.Success(0.0)
        return result.Failure("not leading")


class _FakeClient:
    """Fake client; the leader has applied the log up to an index."""

    def __init__(self) -> None:
        self.leader_index: int | None = 5
        self.calls = 0

    async def call(self, *_: typing.Any) -> result.Result[typing.Any, str]:
        self.calls += 1
        if self.leader_index is None:
            return result.Failure("no leader")
        return result.Success(_messages.LogPosition(self.leader_index))


class ResultReadsTest(unittest.TestCase):
    """What readers see, whichever store they ask."""

    def setUp(self) -> None:
        self.clock = task.Clock()
        self.log = _FakeLog(is_leader=False)
        self.client = _FakeClient()
        self.state = types.SimpleNamespace(
            results=[], job=types.SimpleNamespace(items=(1, 2, 3))
        )
        self.is_known = True
        stored = types.SimpleNamespace(
            node=self.log,
            has_lease=False,
            ledger=types.SimpleNamespace(
                find=lambda job, account: self.state if self.is_known else None
            ),
        )
        self.results = _change_notifier.ChangeNotifier(self.clock)
        monotonic_clock = base.ManualClock()
        monotonic_clock.now = self.clock.seconds  # type: ignore[method-assign]
        self.reads = _result_reads.ResultReads(
            self.clock,
            monotonic_clock,
            typing.cast(_store_client.StoreClient, self.client),
            typing.cast(typing.Any, stored),
            self.results,
        )

    def begin_read(self, after: int = 0) -> "defer.Deferred[typing.Any]":
        req = _messages.ResultsRequest(
            "job", base.AccountId("account"), after, WAIT_S
        )
        return defer.ensureDeferred(
            self.reads.read_results(ENTRY, _messages.CODEC.encode(req))
        )

    def list_result(self, item: str) -> None:
        self.state.results.append(
            jobs.ItemResult(item, jobs.ItemOutcome.COMPLETED, "text", (1,), "")
        )
        self.results.wake()

    def run_to_end(self, running: "defer.Deferred[typing.Any]") -> object:
        for _ in range(round(2 * WAIT_S / STEP_S)):
            if running.called:
                break
            self.clock.advance(STEP_S)
        outcomes: list[object] = []
        running.addBoth(outcomes.append)
        return outcomes[0]

    def get_items(self, page: object) -> list[str]:
        assert isinstance(page, _messages.ResultsPage)
        return [item_result.item for item_result in page.results]

    def test_stores_that_may_be_stale_refuse(self) -> None:
        cases = (
            ("follower without a leader", False, None, True, True),
            ("follower that stays behind", False, 9, True, True),
            ("follower that is current", False, 5, True, False),
            ("leader that cannot confirm", True, None, False, True),
            ("leader that can confirm", True, None, True, False),
        )
        self.list_result("a")
        for name, is_leader, index, can_confirm, is_refused in cases:
            with self.subTest(name):
                self.log.is_leader = is_leader
                self.log.can_confirm = can_confirm
                self.client.leader_index = index
                outcome = self.run_to_end(self.begin_read())
                failure = getattr(outcome, "value", None)
                self.assertEqual(
                    isinstance(failure, _leadership.NotLeaderError),
                    is_refused,
                )

    def test_follower_answers_once_it_has_caught_up(self) -> None:
        self.client.leader_index = 6
        running = self.begin_read()
        self.clock.advance(STEP_S)
        self.assertFalse(running.called)
        self.list_result("a")
        self.log.applied_index = 6
        self.assertEqual(self.get_items(self.run_to_end(running)), ["a"])

    def test_waiting_read_asks_the_leader_once(self) -> None:
        running = self.begin_read()
        self.clock.advance(WAIT_S / 2)
        self.assertFalse(running.called)
        self.list_result("a")
        self.assertEqual(self.get_items(self.run_to_end(running)), ["a"])
        self.assertEqual(self.client.calls, 1)

    def test_empty_page_after_the_wait(self) -> None:
        self.list_result("a")
        page = self.run_to_end(self.begin_read(after=1))
        self.assertEqual(self.get_items(page), [])
        self.assertGreaterEqual(self.clock.seconds(), WAIT_S)

    def test_unknown_job(self) -> None:
        self.is_known = False
        self.assertEqual(
            self.run_to_end(self.begin_read()), _messages.NotThere()
        )


if __name__ == "__main__":
    unittest.main()
