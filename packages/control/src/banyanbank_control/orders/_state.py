"""Orders by number and by the need that they meet."""

import attrs
import immutables

from banyanbank_control import _fifo
from banyanbank_control import commands

CLOSED_ORDERS_KEPT = 1024
"""Fulfilled and failed orders kept for look-up."""


@attrs.frozen
class Order:
    """One order to the platform."""

    number: int
    """Number, unique for ever; rising by one from 1."""
    request: commands.OrderRequest
    """What is asked; never changes."""
    epoch: int
    """Control epoch that decided it."""
    status: commands.OrderStatus = commands.OrderStatus.DECIDED
    """How far it has come."""
    detail: str = ""
    """Platform's reference or reason of failure; empty when none."""
    endpoints: tuple[str, ...] = ()
    """Endpoints that the platform promised; empty when it named none."""

    @property
    def idempotency_key(self) -> str:
        """Key under which it is sent, each time the same."""
        return f"order-{self.number}"


@attrs.frozen
class OrderRecord:
    """Orders as a snapshot holds them."""

    live: tuple[Order, ...]
    """Orders that the platform may still act on."""
    closed: tuple[Order, ...]
    """Newest closed orders, oldest first."""
    next: int
    """Number of the next order."""
    epoch: int
    """Highest control epoch seen."""


def _no_orders() -> _fifo.FifoMap[int, Order]:
    return _fifo.FifoMap(CLOSED_ORDERS_KEPT)


@attrs.frozen
class OrderState:
    """Every live order and the newest closed ones."""

    live: immutables.Map[int, Order] = attrs.Factory(immutables.Map)
    """Live orders by number."""
    needs: immutables.Map[str, int] = attrs.Factory(immutables.Map)
    """Number of the live order by need."""
    closed: _fifo.FifoMap[int, Order] = attrs.Factory(_no_orders)
    """Closed orders by number."""
    next: int = 1
    """Number of the next order."""
    epoch: int = 0
    """Highest control epoch seen: commands of earlier ones are refused."""

    def get(self, number: int) -> Order | None:
        """Returns an order; None when unknown or forgotten."""
        return self.live.get(number) or self.closed.get(number)

    def with_order(self, order: Order) -> "OrderState":
        """Returns the state with a new or changed order."""
        if order.status.live:
            return attrs.evolve(
                self,
                live=self.live.set(order.number, order),
                needs=self.needs.set(order.request.need, order.number),
                next=max(self.next, order.number + 1),
            )
        return attrs.evolve(
            self,
            live=self.live.delete(order.number),
            needs=self.needs.delete(order.request.need),
            closed=self.closed.with_entry(order.number, order),
        )

    def record(self) -> OrderRecord:
        """Returns the orders for a snapshot."""
        return OrderRecord(
            live=tuple(self.live[number] for number in sorted(self.live)),
            closed=tuple(order for _, order in self.closed.items()),
            next=self.next,
            epoch=self.epoch,
        )

    @classmethod
    def from_record(cls, record: OrderRecord) -> "OrderState":
        """Returns the orders that a snapshot holds."""
        state = cls(next=record.next, epoch=record.epoch)
        for order in record.live:
            state = state.with_order(order)
        closed = _no_orders()
        for order in record.closed:
            closed = closed.with_entry(order.number, order)
        return attrs.evolve(state, closed=closed)
