"""Commands and replies about orders for endpoints."""

import enum

import attrs
import banyanbank_base as base

from banyanbank_control import _lifecycles
from banyanbank_control import declarations


class Action(enum.Enum):
    """Operation that an order requests from the platform."""

    START = "start"
    """Start endpoints."""
    STOP = "stop"
    """Stop one endpoint."""


class OrderStatus(enum.Enum):
    """Progress of an order."""

    DECIDED = "decided"
    SENT = "sent"
    ACKNOWLEDGED = "acknowledged"
    FULFILLED = "fulfilled"
    FAILED = "failed"

    @property
    def live(self) -> bool:
        """Whether the platform may still act on the order."""
        return not _lifecycles.ORDER.is_final(self.value)


@attrs.frozen
class OrderRequest:
    """Content of an order; immutable once decided."""

    need: str
    """Need of the plan that the order meets; at most one live order each."""
    action: Action
    """Requested operation."""
    model: base.ModelName
    """Model that the endpoints serve."""
    failure_domain: base.FailureDomain
    """Failure domain of the endpoints."""
    supply: declarations.Supply
    """Supply of the endpoints: safe or reclaimable."""
    count: int
    """Number of endpoints; 1 for a stop."""
    price_ceiling: float
    """Maximum price of one endpoint per hour."""
    endpoint: str = ""
    """Endpoint to stop; empty for a start."""


@attrs.frozen
class DecideOrder:
    """Creates an order; the leader sends it only after this is committed."""

    request: OrderRequest
    """Content of the order."""
    epoch: int
    """Control epoch of the leader that creates it."""


@attrs.frozen
class MarkOrder:
    """Records the progress of an order; a status never moves backwards."""

    number: int
    """Number of the order."""
    status: OrderStatus
    """Status that the leader learned."""
    epoch: int
    """Control epoch of that leader."""
    detail: str = ""
    """The platform's reference for the order, or why it failed."""
    endpoints: tuple[str, ...] = ()
    """Endpoints that the platform named in its reply; empty if none."""


@attrs.frozen
class OrderDecided:
    """The order is created and ready to send."""

    number: int
    """Number of the order; never reused."""
    idempotency_key: str
    """Idempotency key of every attempt to send the order."""


@attrs.frozen
class OrderExists:
    """The need has a live order already; the leader resends that one."""

    number: int
    """Number of the live order."""


@attrs.frozen
class OrderMarked:
    """The order has this status or a later one."""

    number: int
    """Number of the order."""
    status: OrderStatus
    """Current status of the order."""
