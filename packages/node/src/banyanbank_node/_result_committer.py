"""Commits item results at the next free positions of their jobs."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_jobs as jobs
from returns import result
from twisted.internet import task

from banyanbank_node import _event_log
from banyanbank_node import _ledger_replica
from banyanbank_node import _meters


@attrs.define
class ResultCommitter:
    """Proposes a result until it is committed or no longer wanted."""

    reactor: typing.Any
    """Schedules retries."""
    clock: base.Clock
    """Monotonic clock for the commit latency."""
    stored: _ledger_replica.LedgerReplica
    """Replicated ledger."""
    events: _event_log.EventLog
    """Event log."""
    meters: _meters.Meters
    """Metrics of the process."""

    async def commit_result(
        self,
        item: jobs.ItemProgress,
        outcome: jobs.ItemOutcome,
        score: str,
        is_wanted: typing.Callable[[], bool],
    ) -> bool:
        """Commits a result; returns False if it is no longer wanted.

        Args:
            item: Item that the result belongs to.
            outcome: Whether the item completed or was abandoned.
            score: Signature of the scorer's answer; empty without one.
            is_wanted: Whether the item still needs a result.
        """
        item_result = make_result(item, outcome, score)
        command = jobs.ListResult(item.job.job, item_result)
        began_at = self.clock.now()
        while is_wanted():
            replied = await self.stored.propose(command)
            if isinstance(replied, result.Success):
                took_s = self.clock.now() - began_at
                self.meters.items.record(took_s, "commit")
                self.events.write(
                    "item.listed",
                    job=item.job.job,
                    item=item.spec.item,
                    outcome=outcome.value,
                    versions=item_result.versions,
                )
                return True
            await task.deferLater(self.reactor, jobs.MIN_RETRY_DELAY_S)
        return False


def make_result(
    item: jobs.ItemProgress, outcome: jobs.ItemOutcome, score: str
) -> jobs.ItemResult:
    """Returns the result of an item; without text if it was abandoned."""
    if outcome is not jobs.ItemOutcome.COMPLETED:
        return jobs.ItemResult(item.spec.item, outcome, "", (), score)
    return jobs.ItemResult(
        item=item.spec.item,
        outcome=outcome,
        text=item.text.text,
        versions=tuple(sorted(item.text.versions)),
        score=score,
    )
