"""Unit of work that queues schedule."""

import enum

import attrs
import banyanbank_base as base


class WorkKind(enum.Enum):
    """Service class of a request, in descending order of priority."""

    INTERACTIVE = "interactive"
    """A request that a client is waiting for."""
    TAIL = "tail"
    """A sample of a rollout group that is nearly complete."""
    ROLLOUT = "rollout"
    """Any other sample of a rollout group."""


@attrs.frozen
class Work:
    """One request as seen by the queue of an endpoint."""

    request_id: base.RequestId
    """Unique over all instances."""
    account: base.AccountId
    """Client account that the cost is charged to."""
    key_id: base.KeyId
    """API key of the request; empty on routes without authentication."""
    kind: WorkKind
    """Service class."""
    cost_tokens: float
    """Estimated cost in tokens; at least 1."""
    deadline: float
    """Monotonic time in seconds; the request must not be dispatched later."""
    prefix: str = ""
    """Digest of the prompt prefix; empty when unknown."""
    idempotent: bool = True
    """Whether the request may safely run twice."""
    weight: float = 1.0
    """Weight of the account relative to other accounts; positive."""

    def with_kind(self, kind: WorkKind) -> "Work":
        """Returns a copy of the work in another service class."""
        return attrs.evolve(self, kind=kind)
