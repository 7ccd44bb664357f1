"""Limits the scorer calls that the leader has in flight at each endpoint."""

import collections.abc
import itertools
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
from twisted.internet import defer

from banyanbank_node import _event_log
from banyanbank_node import _ledger_replica
from banyanbank_node import _meters
from banyanbank_node import _shared_endpoints
from banyanbank_node import _target_choice

MIN_LOGGED_WAIT_S = 1.0
"""Wait of a scorer call from which it is logged."""


class ScorerAdmission:
    """Lets scorer calls wait until an endpoint has room for them.

    Waiting calls are reconsidered when a call ends and when `dispatch` is
    called, on a change of the directory or the document. Implements
    `consensus.Duty`: the end of an endpoint's backoff and the return of the
    lease notify nobody, nor do changed figures, so the ticks cover them.

    Args:
        clock: Monotonic clock.
        stored: Replicated ledger; its document holds routes and services.
        find_endpoints: Returns the endpoints of a service; the lookup that the
            forwarder uses.
        picker: Selects the endpoints of calls, and ranks some as failing.
        shared: What is known of shared services.
        events: Event log.
        meters: Metrics of the process.
    """

    def __init__(
        self,
        clock: base.Clock,
        stored: _ledger_replica.LedgerReplica,
        find_endpoints: _target_choice.EndpointLookup,
        picker: gateway.EndpointPicker,
        shared: _shared_endpoints.SharedEndpoints,
        events: _event_log.EventLog,
        meters: _meters.Meters,
    ) -> None:
        self._clock = clock
        self._stored = stored
        self._find_endpoints = find_endpoints
        self._picker = picker
        self._shared = shared
        self._events = events
        self._meters = meters
        self._queue = jobs.ScorerQueue()
        self._waiters: dict[jobs.WaitingScorerCall, defer.Deferred[bool]] = {}
        self._sequence = itertools.count()
        self._table: gateway.RouteTable | None = None
        self._evacuations = gateway.Evacuations()
        # Services with endpoints when calls to those without were released.
        self._served: set[str] | None = None
        self._is_dispatching = False

    def __len__(self) -> int:
        """Returns the number of waiting calls."""
        return len(self._queue)

    def make_gate(
        self, item: jobs.ItemProgress, call: jobs.ScorerCall
    ) -> "ScorerGate":
        """Returns the gate of all attempts to grade an item."""
        return ScorerGate(
            self, self._clock, item, call, next(self._sequence), self._log_wait
        )

    def tick(self) -> None:
        """Reconsiders the waiting calls."""
        self.dispatch()

    def stop(self) -> None:
        """Does nothing; the item runs cancel the calls of their items."""

    def dispatch(self) -> None:
        """Sends the waiting calls for which an endpoint has room."""
        # A call that is sent may end, and ask for a dispatch, at once.
        if self._is_dispatching or not self._waiters:
            return
        if not self._stored.has_lease:
            return
        self._is_dispatching = True
        try:
            self._recheck_routes()
            self._release_unserved()
            while (call := self._choose()) is not None:
                self._resolve(call, True)
        finally:
            self._is_dispatching = False

    def enqueue(self, call: jobs.WaitingScorerCall) -> defer.Deferred[bool]:
        """Adds a call, and sends the calls that need not wait.

        Returns:
            Fires with True once the call may be sent, or with False if its
            route has to be found anew. Cancelling it removes the call.
        """
        waiter: defer.Deferred[bool] = defer.Deferred(
            lambda _: self._remove(call)
        )
        self._waiters[call] = waiter
        self._queue.add(call)
        self.dispatch()
        return waiter

    def has_room(self, target: gateway.Announcement) -> bool:
        """Whether an endpoint may get a further scorer call."""
        return self._queue.has_room(self._describe(target))

    def started(
        self, account: base.AccountId, target: gateway.Announcement
    ) -> None:
        """Records that a call of an account was sent to an endpoint."""
        self._queue.started(
            target.service, account, target.endpoint, target.born_ms
        )

    def ended(
        self, account: base.AccountId, target: gateway.Announcement
    ) -> None:
        """Records that a call has ended, and sends the next one."""
        self._queue.ended(
            target.service, account, target.endpoint, target.born_ms
        )
        self.dispatch()

    def _recheck_routes(self) -> None:
        """Lets the calls find their routes and services anew.

        A document may have changed their routes, and an evacuation may have
        left the service that was drawn for a split route without endpoints.
        """
        table = self._stored.table
        evacuations = self._stored.ledger.evacuations
        if table is self._table and evacuations is self._evacuations:
            return
        self._table = table
        self._evacuations = evacuations
        for call in list(self._waiters):
            self._resolve(call, False)

    def _release_unserved(self) -> None:
        """Lets calls find another service if theirs has lost its endpoints.

        Only calls of split routes may find one; the others keep waiting.
        """
        table = self._stored.table
        if table is None:
            return
        split = table.split_services
        unserved = {
            service
            for service in split.intersection(self._queue.services())
            if not self._find_ready(service)
        }
        if not unserved:
            self._served = None
            return
        served = set(filter(self._find_ready, split))
        if served == self._served:
            return
        self._served = served
        for call in list(self._waiters):
            if call.service in unserved:
                self._resolve(call, False)

    def _find_ready(self, service: str) -> list[gateway.Announcement]:
        return [
            target
            for target in self._find_endpoints(service)
            if target.state is gateway.EndpointState.READY
        ]

    def _choose(self) -> jobs.WaitingScorerCall | None:
        now = self._clock.now()
        for service in self._queue.services():
            # The forwarder then ranks endpoints by the same figures. With
            # others, it could choose one that a call should not wait for.
            view = self._shared.find_view(service)
            endpoints = [
                self._describe(
                    target, self._picker.is_failing(target, now, view)
                )
                for target in self._find_ready(service)
            ]
            call = self._queue.choose(service, endpoints)
            if call is not None:
                return call
        return None

    def _describe(
        self, target: gateway.Announcement, is_failing: bool = False
    ) -> jobs.ScorerEndpoint:
        return jobs.ScorerEndpoint(
            target.endpoint,
            target.born_ms,
            self._max_calls(target),
            is_failing,
        )

    def _max_calls(self, target: gateway.Announcement) -> int | None:
        table = self._stored.table
        if table is None:
            return None
        service = table.document.services.get(target.service)
        if service is not None and service.engine is not None:
            return None
        return jobs.max_scorer_calls(
            target.slots, table.count_routes(target.service) > 1
        )

    def _resolve(self, call: jobs.WaitingScorerCall, may_send: bool) -> None:
        waiter = self._waiters.get(call)
        if waiter is not None:
            self._remove(call)
            waiter.callback(may_send)

    def _remove(self, call: jobs.WaitingScorerCall) -> None:
        self._waiters.pop(call, None)
        self._queue.discard(call)

    def _log_wait(self, gate: "ScorerGate", service: str, outcome: str) -> None:
        self._meters.items.record(gate.waited_s, "grade_wait")
        if gate.waited_s >= MIN_LOGGED_WAIT_S:
            self._events.write(
                "item.grading_waited",
                job=gate.item.job.job,
                item=gate.item.spec.item,
                scorer=gate.call.request_id,
                service=service,
                waited_ms=round(1000 * gate.waited_s),
                outcome=outcome,
            )


@attrs.define(eq=False)
class ScorerGate:
    """Gate of the calls that grade one item; implements `SendGate`.

    A call keeps its place in the order while it is retried.
    """

    admission: ScorerAdmission
    """Decides about all scorer calls."""
    clock: base.Clock
    """Monotonic clock."""
    item: jobs.ItemProgress
    """Item whose text is graded."""
    call: jobs.ScorerCall
    """Request to the scorer."""
    sequence: int
    """Place in the order among calls that are due at the same time."""
    log_wait: typing.Callable[["ScorerGate", str, str], None]
    """Called at the end of a wait, with the service and the outcome."""
    waited_s: float = 0.0
    """Seconds of the latest wait, over all changes of the route."""
    total_waited_s: float = 0.0
    """Seconds of all waits."""
    granted: str | None = None
    """Service to which the call may be sent after a wait; None if it has to
    ask."""

    def begin_call(self) -> None:
        """Drops a turn that the call before has not used.

        Its route was gone, or no endpoint had a permit for it.
        """
        self.granted = None

    async def wait_for_room(
        self,
        service: str,
        tried: collections.abc.Collection[base.EndpointId],
    ) -> float | None:
        """Implements `SendGate.wait_for_room`."""
        is_granted = self.granted == service
        self.granted = None
        if is_granted:
            return None
        waiter = self.admission.enqueue(self._make_waiting(service, tried))
        if waiter.called:
            may_send = await waiter
            return None if may_send else 0.0
        began_at = self.clock.now()
        outcome = "cancelled"
        try:
            if await waiter:
                outcome = "sent"
                self.granted = service
            else:
                outcome = ""
        finally:
            waited_s = self.clock.now() - began_at
            self.waited_s += waited_s
            self.total_waited_s += waited_s
            if outcome:
                self.log_wait(self, service, outcome)
                self.waited_s = 0.0
        return waited_s

    def has_room(self, target: gateway.Announcement) -> bool:
        """Implements `SendGate.has_room`."""
        return self.admission.has_room(target)

    def started(self, target: gateway.Announcement) -> None:
        """Implements `SendGate.started`."""
        self.admission.started(self.item.job.account, target)

    def ended(self, target: gateway.Announcement) -> None:
        """Implements `SendGate.ended`."""
        self.admission.ended(self.item.job.account, target)

    def _make_waiting(
        self,
        service: str,
        tried: collections.abc.Collection[base.EndpointId],
    ) -> jobs.WaitingScorerCall:
        job = self.item.job
        return jobs.WaitingScorerCall(
            service,
            job.account,
            job.priority,
            job.due_at,
            self.sequence,
            frozenset(tried),
        )
