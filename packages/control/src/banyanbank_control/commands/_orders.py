"""Commands and replies about orders for endpoints."""

import enum

import attrs
import banyanbank_base as base

from banyanbank_control import _lifecycles
from banyanbank_control import declarations


class Action(enum.Enum):
    """What is asked of the platform."""

    START = "start"
    """Start endpoints."""
    STOP = "stop"
    """Stop one endpoint."""


class OrderStatus(enum.Enum):
    """How far an order has come."""

    DECIDED = "decided"
    SENT = "sent"
    ACKNOWLEDGED = "acknowledged"
    FULFILLED = "fulfilled"
    FAILED = "failed"

    @property
    def live(self) -> bool:
        """Whether the platform may still act on it."""
        return not _lifecycles.ORDER.is_final(self.value)


@attrs.frozen
class OrderRequest:
    """Content of an order; never changes once decided."""

    need: str
    """Need of the plan that it meets; at most one live order each."""
    action: Action
    """What is asked."""
    model: base.ModelName
    """Model that the endpoints serve."""
    failure_domain: base.FailureDomain
    """Where."""
    supply: declarations.Supply
    """Kind of endpoint."""
    count: int
    """How many endpoints; 1 for a stop."""
    price_ceiling: float
    """Most to pay for one endpoint and hour."""
    endpoint: str = ""
    """Endpoint to stop; empty for a start."""


@attrs.frozen
class DecideOrder:
    """Decides one order; it is sent only after this has committed."""

    request: OrderRequest
    """What is asked of the platform."""
    epoch: int
    """Control epoch of the leader that decides."""


@attrs.frozen
class MarkOrder:
    """Records how far an order has come; a status never goes back."""

    number: int
    """Number of the order."""
    status: OrderStatus
    """What was learned."""
    epoch: int
    """Control epoch of the leader that learned it."""
    detail: str = ""
    """Platform's reference or reason of failure."""
    endpoints: tuple[str, ...] = ()
    """Endpoints that the platform promised; empty when it named none."""


@attrs.frozen
class OrderDecided:
    """The order to send."""

    number: int
    """Number of the order, unique for ever."""
    idempotency_key: str
    """Key under which it is sent, each time the same."""


@attrs.frozen
class OrderExists:
    """The need has a live order; send that one unchanged."""

    number: int
    """Number of the live order."""


@attrs.frozen
class OrderMarked:
    """The status is recorded (or was passed before)."""

    number: int
    """Number of the order."""
    status: OrderStatus
    """Status now."""
