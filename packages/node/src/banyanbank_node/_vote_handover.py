"""Handover of the vote of a store that stops to another store.

A store that gets SIGTERM may return with its disk or be removed for good, which
it cannot tell. It hands its vote over in either case, so that no further loss
meets a set of voters of which one is already missing.
"""

import attrs
import banyanbank_base as base
from returns import result

from banyanbank_node import _ledger_replica
from banyanbank_node import _messages
from banyanbank_node import _node

REQUEST_INTERVAL_S = 0.1
"""Interval between requests of a leaving store to the leader."""

REQUEST_TIMEOUT_S = 0.9
"""Timeout of a request to the leader, and of a heartbeat before it."""

NO_LEADER_TIMEOUT_S = 2.5
"""Time without a leader's answer after which a store keeps its vote and ends.
It exceeds an election and the time until the new leader may answer."""

HANDED_OVER = "handed over"
"""Outcome of a handover after which the log no longer counts on the store."""


class LeavingStores:
    """Stores that have told this leader that they end.

    A store that returns is no longer one of them: its heartbeats come after
    the requests of the process that has ended.
    """

    def __init__(self) -> None:
        self._requested_at: dict[base.InstanceId, float] = {}

    @property
    def names(self) -> tuple[base.InstanceId, ...]:
        """The stores, in the order in which they first said so."""
        return tuple(self._requested_at)

    def note_request(self, instance: base.InstanceId, now: float) -> None:
        """Records a request of a store that ends."""
        self._requested_at[instance] = now

    def note_heartbeat(self, instance: base.InstanceId, now: float) -> None:
        """Forgets a store that sends heartbeats again.

        One that the ending process sent may arrive up to its timeout later.
        """
        requested_at = self._requested_at.get(instance)
        if requested_at is not None and requested_at + REQUEST_TIMEOUT_S < now:
            del self._requested_at[instance]

    def clear(self) -> None:
        """Forgets all; another store leads."""
        self._requested_at.clear()


@attrs.frozen
class VoteHandover:
    """Asks the leader to hand over the vote of this store, which ends."""

    node: _node.Node
    """Clock, client and event log of the process."""
    stored: _ledger_replica.LedgerReplica
    """Replicated log of this store."""

    async def run(self, deadline: float) -> None:
        """Waits until another store has the vote, or none can take it.

        Args:
            deadline: When this store ends at the latest, on the monotonic
                clock.
        """
        started_at = self.node.clock.now()
        was_voter = self._is_voter()
        outcome = await self._request_until_over(deadline, was_voter)
        if was_voter:
            elapsed_s = self.node.clock.now() - started_at
            self.node.events.write(
                "members.handover",
                outcome=outcome,
                took_ms=round(1000 * elapsed_s),
            )

    async def _request_until_over(
        self, deadline: float, was_voter: bool
    ) -> str:
        """Repeats the request and returns how the handover ended."""
        clock = self.node.clock
        answered_at = now = clock.now()
        reason = "no time was left to ask the leader"
        while now + REQUEST_INTERVAL_S < deadline:
            # A leader that has removed itself answers no more.
            if was_voter and self._is_removed():
                return HANDED_OVER
            answered = await self.node.client.call(
                _messages.LEAVE,
                _messages.Leave(),
                min(deadline, now + REQUEST_TIMEOUT_S),
            )
            now = clock.now()
            if isinstance(answered, result.Success):
                handover: _messages.VoteHandover = answered.unwrap()
                if handover.is_over:
                    return HANDED_OVER
                if handover.refusal:
                    return handover.refusal
                answered_at = now
                reason = "the successor did not catch up in time"
            elif not was_voter or answered_at + NO_LEADER_TIMEOUT_S < now:
                return "no leader answered"
            await self.node.sleep(REQUEST_INTERVAL_S)
            now = clock.now()
        return reason

    def _is_voter(self) -> bool:
        status = self.stored.node.status()
        return any(voter.store == status.store for voter in status.voters)

    def _is_removed(self) -> bool:
        """Whether this replica's log holds its committed removal."""
        return (
            self.stored.node.status().members_committed and not self._is_voter()
        )
