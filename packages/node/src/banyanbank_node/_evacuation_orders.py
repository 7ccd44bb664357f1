"""Takes the orders of operators to evacuate and readmit failure domains."""

import collections.abc
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
from returns import result

from banyanbank_node import _event_log
from banyanbank_node import _leadership
from banyanbank_node import _ledger_replica
from banyanbank_node import _messages
from banyanbank_node import _store_calls
from banyanbank_node import _store_client


@attrs.define
class EvacuationOrders:
    """Passes orders to the leader, and commits them there.

    Orders have no identity: one that arrives at the leader after its
    withdrawal, such as a late repetition, evacuates the domain again.
    """

    clock: base.Clock
    """Monotonic clock for deadlines."""
    true_time: gateway.SyncedClock
    """Estimated Unix time, in which readmissions are recorded."""
    client: _store_client.StoreClient
    """Calls the leader."""
    calls: _store_calls.StoreCalls
    """Registers the handler for calls of other stores, and commits."""
    stored: _ledger_replica.LedgerReplica
    """Replicated ledger."""
    directory: gateway.Directory
    """Endpoints, whose failure domains may be evacuated."""
    events: _event_log.EventLog
    """Event log."""
    regions: collections.abc.Mapping[base.FailureDomain, str]
    """Failure domains that the settings name, and their regions."""

    def __attrs_post_init__(self) -> None:
        self.calls.serve(_messages.ORDER_EVACUATION, self._handle_order)

    async def commit(
        self, domain: base.FailureDomain, is_evacuated: bool, deadline: float
    ) -> int | _messages.NotThere | base.Outcome:
        """Lets the leader commit an order.

        Args:
            domain: The failure domain.
            is_evacuated: Whether to evacuate the domain; false to readmit it.
            deadline: When to give up, on the monotonic clock.

        Returns:
            The revision that follows from the order; whether the order may have
            taken effect if no leader answered.
        """
        order = _messages.EvacuationOrder(
            domain, is_evacuated, domain in self.regions
        )
        answered = await self.client.call(
            _messages.ORDER_EVACUATION, order, deadline
        )
        revision: int | None = None
        if isinstance(answered, result.Failure):
            outcome = answered.failure().detail
        elif isinstance(answered.unwrap(), _messages.NotThere):
            outcome = "unknown domain"
        else:
            revision = answered.unwrap().revision
            outcome = "committed"
        self.events.write(
            "evacuation.ordered",
            domain=domain,
            order=_name_order(is_evacuated),
            outcome=outcome,
            revision=revision,
        )
        if revision is not None:
            return revision
        if isinstance(answered, result.Failure):
            return _store_client.find_outcome(answered.failure())
        return _messages.NotThere()

    def log_committed(
        self, command: jobs.EvacuateDomain | jobs.ReadmitDomain
    ) -> None:
        """Logs a change that this store has applied."""
        self.events.write(
            "evacuation.committed",
            domain=command.domain,
            order=_name_order(isinstance(command, jobs.EvacuateDomain)),
            revision=self.stored.ledger.evacuations.revision,
            evacuated=self.stored.ledger.evacuations.domains,
            leads=self.stored.node.is_leader,
        )

    async def _handle_order(
        self, sender: base.InstanceId, data: bytes
    ) -> object:
        del sender
        order: _messages.EvacuationOrder = _messages.CODEC.decode(data)
        if not self._is_known(order):
            await _leadership.ensure_current(self.stored)
            if (
                not self.calls.knows_endpoints
                or self.directory.has_forgotten_domains
            ):
                # An endpoint of this domain may not be known yet, or may have
                # been forgotten.
                raise _leadership.NotLeaderError
            return _messages.NotThere()
        command: typing.Any = (
            jobs.EvacuateDomain(order.domain)
            if order.is_evacuated
            else jobs.ReadmitDomain(order.domain, self.true_time.now())
        )
        await self.calls.commit(command)
        return _messages.EvacuationState(
            self.stored.ledger.evacuations.revision
        )

    def _is_known(self, order: _messages.EvacuationOrder) -> bool:
        evacuations = self.stored.ledger.evacuations
        return (
            order.is_configured
            or self.directory.knows_domain(order.domain)
            or order.domain in evacuations.domains
            or order.domain in evacuations.readmitted
        )


def _name_order(is_evacuated: bool) -> str:
    return "evacuate" if is_evacuated else "readmit"
