"""Order state, indexed by order number and by need."""

import attrs
import immutables

from banyanbank_control import _fifo
from banyanbank_control import commands

MAX_CLOSED_ORDERS = 1024
"""Maximum number of fulfilled and failed orders kept for lookup."""


@attrs.frozen
class Order:
    """One order to the platform."""

    number: int
    """Order number; starts at 1, increases by 1 and is never reused."""
    request: commands.OrderRequest
    """Requested change; never changes."""
    epoch: int
    """Control epoch in which the order was decided."""
    status: commands.OrderStatus = commands.OrderStatus.DECIDED
    """Current status."""
    detail: str = ""
    """Reference or failure reason from the platform; empty if none."""
    endpoints: tuple[str, ...] = ()
    """Endpoints that the platform assigned; empty if it named none."""

    @property
    def idempotency_key(self) -> str:
        """Key sent with the order; the same for every resend."""
        return f"order-{self.number}"


@attrs.frozen
class OrderRecord:
    """Order state as stored in a snapshot."""

    live: tuple[Order, ...]
    """Orders that the platform may still act on, sorted by number."""
    closed: tuple[Order, ...]
    """Newest closed orders, oldest first."""
    next: int
    """Number of the next new order."""
    epoch: int
    """Highest control epoch seen."""


def _make_closed_orders() -> _fifo.FifoMap[int, Order]:
    return _fifo.FifoMap(MAX_CLOSED_ORDERS)


@attrs.frozen
class OrderState:
    """All live orders and the newest closed ones."""

    live: immutables.Map[int, Order] = attrs.Factory(immutables.Map)
    """Live orders by number."""
    needs: immutables.Map[str, int] = attrs.Factory(immutables.Map)
    """Number of the live order, by need."""
    closed: _fifo.FifoMap[int, Order] = attrs.Factory(_make_closed_orders)
    """Newest closed orders by number."""
    next: int = 1
    """Number of the next new order."""
    epoch: int = 0
    """Highest control epoch seen; commands of earlier epochs are rejected."""

    def get(self, number: int) -> Order | None:
        """Returns an order, or None if it is unknown or evicted."""
        return self.live.get(number) or self.closed.get(number)

    def with_order(self, order: Order) -> "OrderState":
        """Returns a copy with one order added or replaced."""
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

    def to_record(self) -> OrderRecord:
        """Returns the record to store in a snapshot."""
        return OrderRecord(
            live=tuple(self.live[number] for number in sorted(self.live)),
            closed=tuple(order for _, order in self.closed.items()),
            next=self.next,
            epoch=self.epoch,
        )

    @classmethod
    def from_record(cls, record: OrderRecord) -> "OrderState":
        """Restores the state from a snapshot record."""
        state = cls(next=record.next, epoch=record.epoch)
        for order in record.live:
            state = state.with_order(order)
        closed = _make_closed_orders()
        for order in record.closed:
            closed = closed.with_entry(order.number, order)
        return attrs.evolve(state, closed=closed)
