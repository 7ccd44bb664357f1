"""The duty to order endpoints and to follow orders up."""

import collections.abc

import attrs
import banyanbank_base as base

from banyanbank_control import commands
from banyanbank_control import orders
from banyanbank_control.duties import _effects
from banyanbank_control.duties import _pacing

START_TIMEOUT_S = 600.0
"""Time after which an acknowledged order without its endpoints has failed."""

AVOID_S = 300.0
"""Time for which a failure domain is avoided after a failed order, seconds."""

SETTLE_S = 8.0
"""Time in office before which absent endpoints mean nothing, in seconds.

A new leader has heard of no endpoint yet: it would order all of them anew.
"""


@attrs.frozen
class OrderResult:
    """The platform's answer to an order."""

    number: int
    """Number of the order."""
    accepted: bool
    """Whether the platform carries it out."""
    endpoints: tuple[str, ...] = ()
    """Endpoints promised; empty when the platform names none."""
    detail: str = ""
    """Platform's reference or reason of refusal."""


@attrs.frozen
class _Arrivals:
    known: frozenset[base.EndpointId]
    count: int = 0


class OrderPlanner:
    """Turns needs into committed orders, and sends those until answered.

    One serves one office of a leader. An order is sent only as it stands in
    the committed state, so a new leader repeats what the last one decided
    under the same idempotency key and never decides another one meanwhile.

    Args:
        epoch: Control epoch of the office.
    """

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._pacing: _pacing.Pacing[str] = _pacing.Pacing()
        self._waiting: dict[int, float] = {}
        self._settled_at: float | None = None
        self._arrivals: dict[int, _Arrivals] = {}
        self._claimed: frozenset[base.EndpointId] = frozenset()
        self._avoided: dict[base.FailureDomain, float] = {}
        self._closed_seen: int | None = None

    def decide(
        self,
        state: orders.OrderState,
        needs: collections.abc.Iterable[commands.OrderRequest],
        announced: collections.abc.Collection[base.EndpointId],
        now: float,
    ) -> tuple[_effects.Effect, ...]:
        """Returns what to do now.

        Args:
            state: Orders as committed.
            needs: What the plan wants, at most one request a need.
            announced: Endpoints that serve.
            now: Monotonic time in seconds.
        """
        effects: list[_effects.Effect] = []
        if self._settled_at is None:
            self._settled_at = now + SETTLE_S
        settled = now >= self._settled_at
        self._note_failures(state, now)
        requests = tuple(needs) if settled else ()
        for number in sorted(state.live):
            order = state.live[number]
            if order.status is not commands.OrderStatus.ACKNOWLEDGED:
                effects.extend(self._send(order, now))
            elif settled:
                effects.extend(self._follow(order, announced, now))
        for request in requests:
            if request.need in state.needs:
                continue
            if self._pacing.take(_need_key(request), now):
                effects.append(
                    _effects.Propose(commands.DecideOrder(request, self._epoch))
                )
        self._forget(state, requests)
        return tuple(effects)

    def _forget(
        self,
        state: orders.OrderState,
        requests: tuple[commands.OrderRequest, ...],
    ) -> None:
        live = state.live.values()
        keys = {_need_key(request) for request in requests}
        # A need whose order fails is tried again ever more slowly.
        keys.update(_need_key(order.request) for order in live)
        keys.update(order.idempotency_key for order in live)
        keys.update(_end_key(order) for order in live)
        self._pacing.keep(keys)
        self._waiting = {
            number: deadline
            for number, deadline in self._waiting.items()
            if number in state.live
        }
        self._arrivals = {
            number: arrivals
            for number, arrivals in self._arrivals.items()
            if number in state.live
        }

    def avoided(self, now: float) -> frozenset[base.FailureDomain]:
        """Returns the failure domains in which starts have failed of late."""
        return frozenset(
            domain
            for domain, deadline in self._avoided.items()
            if now < deadline
        )

    def _note_failures(self, state: orders.OrderState, now: float) -> None:
        # What failed under an earlier leader may be long ago.
        first = state.closed.next
        if self._closed_seen is not None:
            first = max(self._closed_seen, state.closed.first)
        self._closed_seen = state.closed.next
        for place in range(first, state.closed.next):
            order = state.closed.entries[state.closed.order[place]]
            is_start = order.request.action is commands.Action.START
            if is_start and order.status is commands.OrderStatus.FAILED:
                domain = order.request.failure_domain
                self._avoided[domain] = now + AVOID_S

    def on_result(self, result: OrderResult) -> _effects.Propose:
        """Returns what to commit once the platform has answered."""
        status = commands.OrderStatus.FAILED
        if result.accepted:
            status = commands.OrderStatus.ACKNOWLEDGED
        return self._mark(
            result.number, status, result.detail, result.endpoints
        )

    def _send(
        self, order: orders.Order, now: float
    ) -> collections.abc.Iterator[_effects.Effect]:
        if self._pacing.take(order.idempotency_key, now):
            yield _effects.SendOrder(order, self._epoch)

    def _follow(
        self,
        order: orders.Order,
        announced: collections.abc.Collection[base.EndpointId],
        now: float,
    ) -> collections.abc.Iterator[_effects.Effect]:
        deadline = self._waiting.setdefault(order.number, now + START_TIMEOUT_S)
        late = now >= deadline
        status = _outcome(order, announced, late)
        if _names_none(order):
            has_all = self._have_arrived(order, announced)
            status = commands.OrderStatus.FULFILLED if has_all or late else None
        if status is not None and self._pacing.take(_end_key(order), now):
            yield self._mark(
                order.number, status, order.detail, order.endpoints
            )

    def _have_arrived(
        self,
        order: orders.Order,
        announced: collections.abc.Collection[base.EndpointId],
    ) -> bool:
        """Counts what is new since an order that the platform named none for.

        Each new endpoint counts for one order, whatever it serves.
        """
        present = frozenset(announced)
        before = self._arrivals.get(order.number, _Arrivals(present))
        fresh = sorted(present - before.known - self._claimed)
        taken = fresh[: order.request.count - before.count]
        self._claimed = (self._claimed & present) | frozenset(taken)
        after = _Arrivals(before.known, before.count + len(taken))
        self._arrivals[order.number] = after
        return after.count >= order.request.count

    def _mark(
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


def _end_key(order: orders.Order) -> str:
    return f"end-{order.number}"


def _names_none(order: orders.Order) -> bool:
    is_start = order.request.action is commands.Action.START
    return is_start and not order.endpoints


def _outcome(
    order: orders.Order,
    announced: collections.abc.Collection[base.EndpointId],
    late: bool,
) -> commands.OrderStatus | None:
    """Returns how an acknowledged order ended; None while it runs."""
    if order.request.action is commands.Action.STOP:
        done = order.request.endpoint not in announced
    else:
        done = all(endpoint in announced for endpoint in order.endpoints)
    if done:
        return commands.OrderStatus.FULFILLED
    return commands.OrderStatus.FAILED if late else None
