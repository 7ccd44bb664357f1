"""Decides endpoint orders, sends them and tracks their outcome."""

import collections.abc

import attrs
import banyanbank_base as base

from banyanbank_control import commands
from banyanbank_control import orders
from banyanbank_control.duties import _effects
from banyanbank_control.duties import _pacing

ORDER_TIMEOUT_S = 600.0
"""Maximum wait for the outcome of an acknowledged order, in seconds.

Afterwards the order has failed, or is fulfilled if the platform named no
endpoints.
"""

DOMAIN_AVOIDANCE_S = 300.0
"""Time to avoid a failure domain after a failed start, in seconds."""

DISCOVERY_GRACE_S = 8.0
"""Time into the term during which absent endpoints are ignored, in seconds.

A new leader has received no announcements yet and would reorder every endpoint.
"""


@attrs.frozen
class OrderResult:
    """Answer of the platform to an order."""

    number: int
    """Order number."""
    accepted: bool
    """Whether the platform accepts the order."""
    endpoints: tuple[str, ...] = ()
    """Assigned endpoints; empty if the platform names none."""
    detail: str = ""
    """Reference of the platform, or the reason for a rejection."""


@attrs.frozen
class _Arrivals:
    initially_present: frozenset[base.EndpointId]
    count: int = 0


class OrderPlanner:
    """Turns needs into committed orders and sends those until answered.

    One instance serves one leadership term. Only committed orders are sent,
    so a new leader resends the orders of its predecessor under the same
    idempotency keys and decides no second order for the same need.

    Args:
        epoch: Control epoch of the term.
    """

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._backoff: _pacing.RetryBackoff[str] = _pacing.RetryBackoff()
        self._deadlines: dict[int, float] = {}
        self._grace_ends_at: float | None = None
        self._arrivals: dict[int, _Arrivals] = {}
        self._claimed: frozenset[base.EndpointId] = frozenset()
        self._avoided: dict[base.FailureDomain, float] = {}
        self._next_closed: int | None = None

    def decide(
        self,
        state: orders.OrderState,
        needs: collections.abc.Iterable[commands.OrderRequest],
        announced: collections.abc.Collection[base.EndpointId],
        now: float,
    ) -> tuple[_effects.Effect, ...]:
        """Returns the effects that are due.

        Args:
            state: Committed order state.
            needs: Planned requests, at most one per need.
            announced: Endpoints that currently serve.
            now: Monotonic time in seconds.
        """
        effects: list[_effects.Effect] = []
        if self._grace_ends_at is None:
            self._grace_ends_at = now + DISCOVERY_GRACE_S
        is_grace_over = now >= self._grace_ends_at
        self._record_failed_domains(state, now)
        requests = tuple(needs) if is_grace_over else ()
        for number in sorted(state.live):
            order = state.live[number]
            if order.status is not commands.OrderStatus.ACKNOWLEDGED:
                effects.extend(self._send(order, now))
            elif is_grace_over:
                effects.extend(self._check_completion(order, announced, now))
        for request in requests:
            if request.need in state.needs:
                continue
            if self._backoff.begin_attempt(_need_key(request), now):
                effects.append(
                    _effects.Propose(commands.DecideOrder(request, self._epoch))
                )
        self._prune(state, requests)
        return tuple(effects)

    def _prune(
        self,
        state: orders.OrderState,
        requests: tuple[commands.OrderRequest, ...],
    ) -> None:
        live = state.live.values()
        keys = {_need_key(request) for request in requests}
        # Keeps the backoff of a need across consecutive failed orders.
        keys.update(_need_key(order.request) for order in live)
        keys.update(order.idempotency_key for order in live)
        keys.update(_outcome_key(order) for order in live)
        self._backoff.retain(keys)
        self._deadlines = {
            number: deadline
            for number, deadline in self._deadlines.items()
            if number in state.live
        }
        self._arrivals = {
            number: arrivals
            for number, arrivals in self._arrivals.items()
            if number in state.live
        }

    def avoided(self, now: float) -> frozenset[base.FailureDomain]:
        """Returns the failure domains with a recent failed start."""
        return frozenset(
            domain
            for domain, deadline in self._avoided.items()
            if now < deadline
        )

    def _record_failed_domains(
        self, state: orders.OrderState, now: float
    ) -> None:
        # Orders that closed under an earlier leader may have failed long ago.
        first = state.closed.next
        if self._next_closed is not None:
            first = max(self._next_closed, state.closed.first)
        self._next_closed = state.closed.next
        for position in range(first, state.closed.next):
            order = state.closed.entries[state.closed.keys_by_number[position]]
            is_start = order.request.action is commands.Action.START
            if is_start and order.status is commands.OrderStatus.FAILED:
                domain = order.request.failure_domain
                self._avoided[domain] = now + DOMAIN_AVOIDANCE_S

    def build_result_proposal(self, result: OrderResult) -> _effects.Propose:
        """Returns the effect that commits an answer of the platform."""
        status = commands.OrderStatus.FAILED
        if result.accepted:
            status = commands.OrderStatus.ACKNOWLEDGED
        return self._propose_mark(
            result.number, status, result.detail, result.endpoints
        )

    def _send(
        self, order: orders.Order, now: float
    ) -> collections.abc.Iterator[_effects.Effect]:
        if self._backoff.begin_attempt(order.idempotency_key, now):
            yield _effects.SendOrder(order, self._epoch)

    def _check_completion(
        self,
        order: orders.Order,
        announced: collections.abc.Collection[base.EndpointId],
        now: float,
    ) -> collections.abc.Iterator[_effects.Effect]:
        deadline = self._deadlines.setdefault(
            order.number, now + ORDER_TIMEOUT_S
        )
        is_overdue = now >= deadline
        status = _determine_outcome(order, announced, is_overdue)
        if _has_no_endpoint_names(order):
            has_all = self._have_all_arrived(order, announced)
            status = (
                commands.OrderStatus.FULFILLED
                if has_all or is_overdue
                else None
            )
        if status is not None and self._backoff.begin_attempt(
            _outcome_key(order), now
        ):
            yield self._propose_mark(
                order.number, status, order.detail, order.endpoints
            )

    def _have_all_arrived(
        self,
        order: orders.Order,
        announced: collections.abc.Collection[base.EndpointId],
    ) -> bool:
        """Returns whether an order without endpoint names is complete.

        Counts the endpoints that are new since the first check of the order.
        Each new endpoint counts for one order, whichever model it serves.
        """
        present = frozenset(announced)
        before = self._arrivals.get(order.number, _Arrivals(present))
        arrived = sorted(present - before.initially_present - self._claimed)
        claimed = arrived[: order.request.count - before.count]
        self._claimed = (self._claimed & present) | frozenset(claimed)
        after = _Arrivals(before.initially_present, before.count + len(claimed))
        self._arrivals[order.number] = after
        return after.count >= order.request.count

    def _propose_mark(
        self,
        number: int,
        status: commands.OrderStatus,
        detail: str,
        endpoints: tuple[str, ...],
    ) -> _effects.Propose:
        return _effects.Propose(
            commands.MarkOrder(number, status, self._epoch, detail, endpoints)
        )


def _need_key(request: commands.OrderRequest) -> str:
    return f"need-{request.need}"


def _outcome_key(order: orders.Order) -> str:
    return f"end-{order.number}"


def _has_no_endpoint_names(order: orders.Order) -> bool:
    is_start = order.request.action is commands.Action.START
    return is_start and not order.endpoints


def _determine_outcome(
    order: orders.Order,
    announced: collections.abc.Collection[base.EndpointId],
    is_overdue: bool,
) -> commands.OrderStatus | None:
    """Returns the outcome of an acknowledged order; None while pending."""
    if order.request.action is commands.Action.STOP:
        done = order.request.endpoint not in announced
    else:
        done = all(endpoint in announced for endpoint in order.endpoints)
    if done:
        return commands.OrderStatus.FULFILLED
    return commands.OrderStatus.FAILED if is_overdue else None
