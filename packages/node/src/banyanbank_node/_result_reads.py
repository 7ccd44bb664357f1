"""Serves reads of batch jobs, at the leader and at its followers.

The results of a job are read several times, and are most of what entries and
stores exchange. A follower in the entry's failure domain serves them without
traffic between domains: it asks the leader only how far the log is committed,
and answers once it has applied the log up to there.
"""

import typing

import banyanbank_base as base
import banyanbank_jobs as jobs
from returns import result
from twisted.internet import task

from banyanbank_node import _change_notifier
from banyanbank_node import _leadership
from banyanbank_node import _ledger_replica
from banyanbank_node import _messages
from banyanbank_node import _store_client

MAX_PAGE_CHARS = 600 * 1024
"""Maximum characters of a page of results; a single result may exceed it."""

CATCH_UP_TIMEOUT_S = 0.4
"""Time in which a follower has to apply what the leader has committed."""

CATCH_UP_POLL_S = 0.02
"""Interval between checks of how far the log is applied."""


class ResultReads:
    """Reads jobs from this store's replica of the ledger.

    Args:
        reactor: Schedules timeouts of waiting calls.
        clock: Monotonic clock for deadlines.
        client: Calls the leader.
        stored: Replicated ledger.
        results: Notifies of new item results.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        client: _store_client.StoreClient,
        stored: _ledger_replica.LedgerReplica,
        results: _change_notifier.ChangeNotifier,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._client = client
        self._stored = stored
        self._results = results

    async def read_results(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        """Returns a page of results; waits if there is none yet.

        Raises:
            NotLeaderError: The replica may be stale; ask the leader.
        """
        del sender
        req: _messages.ResultsRequest = _messages.CODEC.decode(data)
        deadline = self._clock.now() + req.wait_s
        await self._ensure_current()
        while True:
            state = self._stored.ledger.find(req.job, req.account)
            if state is None:
                return _messages.NotThere()
            # A committed result keeps its position, so a page that is not
            # empty needs no further confirmation.
            if len(state.results) > req.after:
                break
            if not await self._results.wait(deadline):
                break
        return _messages.ResultsPage(
            len(state.job.items), _make_page(state.results, req.after)
        )

    async def read_body(self, sender: base.InstanceId, data: bytes) -> object:
        """Returns the body of an item whose result is not listed yet.

        Raises:
            NotLeaderError: The replica may be stale; ask the leader.
        """
        del sender
        req: _messages.BodyRequest = _messages.CODEC.decode(data)
        await self._ensure_current()
        state = self._stored.ledger.find(req.job, req.account)
        if state is None or state.is_ended or req.item in state.listed:
            return _messages.NotThere()
        for spec in state.job.items:
            if spec.item == req.item:
                return _messages.Body(spec.body)
        return _messages.NotThere()

    async def read_log_position(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        """Returns how far the log is committed, as the leader.

        Raises:
            NotLeaderError: Another store may lead.
        """
        del sender, data
        await _leadership.ensure_current(self._stored)
        return _messages.LogPosition(self._stored.node.status().applied_index)

    async def _ensure_current(self) -> None:
        if self._stored.node.is_leader:
            await _leadership.ensure_current(self._stored)
            return
        deadline = self._clock.now() + CATCH_UP_TIMEOUT_S
        called = await self._client.call(
            _messages.READ_LOG_POSITION,
            _messages.Accepted(),
            deadline,
            CATCH_UP_TIMEOUT_S,
        )
        if isinstance(called, result.Failure):
            raise _leadership.NotLeaderError
        position: _messages.LogPosition = called.unwrap()
        while self._stored.node.status().applied_index < position.index:
            if self._clock.now() >= deadline:
                raise _leadership.NotLeaderError
            await task.deferLater(self._reactor, CATCH_UP_POLL_S)


def _make_page(
    results: list[jobs.ItemResult], after: int
) -> tuple[jobs.ItemResult, ...]:
    page: list[jobs.ItemResult] = []
    size = 0
    for item_result in results[after:]:
        size += len(item_result.text)
        if page and size > MAX_PAGE_CHARS:
            break
        page.append(item_result)
    return tuple(page)
