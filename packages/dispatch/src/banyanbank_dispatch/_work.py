"""The unit that queues and routers decide about."""

import enum

import attrs
import banyanbank_base as base


class WorkKind(enum.Enum):
    """Class of a request; the order of members is the order of service."""

    INTERACTIVE = "interactive"
    """A lookup that somebody waits for."""
    TAIL = "tail"
    """A sample of a rollout group that is nearly whole."""
    ROLLOUT = "rollout"
    """Any other sample of a rollout group."""


@attrs.frozen
class Work:
    """One request as the queue of an endpoint sees it."""

    request_id: base.RequestId
    """Unique over all instances."""
    account: base.AccountId
    """Client account that is served and charged."""
    key_id: base.KeyId
    """Key the request came with; empty on routes open to all."""
    kind: WorkKind
    """Class of service."""
    cost_tokens: float
    """Estimated cost in tokens; at least 1."""
    deadline: float
    """Monotonic seconds after which it must not be dispatched."""
    prefix: str = ""
    """Digest of the prompt prefix; empty when unknown."""
    idempotent: bool = True
    """Whether running it twice does no harm."""
    weight: float = 1.0
    """Share of the account relative to other accounts; positive."""

    def with_kind(self, kind: WorkKind) -> "Work":
        """Returns the same work in another class of service."""
        return attrs.evolve(self, kind=kind)
