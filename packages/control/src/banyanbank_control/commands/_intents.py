"""Commands and replies about requests that may run at most once."""

import attrs
import banyanbank_base as base


@attrs.frozen
class BeginIntent:
    """Claims the right to run one non-idempotent request.

    Committed before the first byte goes out to an endpoint.
    """

    account: base.AccountId
    """Client account of the caller."""
    idempotency_key: str
    """The caller's `Idempotency-Key`."""
    request_digest: bytes
    """Digest of method, path and body: tells another request apart."""
    request_id: base.RequestId
    """This attempt at an entry; its own resend is granted again."""
    instance: base.InstanceId
    """Entry that will run it."""
    incarnation: base.Incarnation
    """Life of that entry."""
    endpoint: base.EndpointId
    """Endpoint chosen; empty when not yet known."""
    begun_at: float
    """Wall time at the entry, in seconds."""
    retain_until: float
    """Wall time up to which the outcome must be remembered, in seconds."""


@attrs.frozen
class CompleteIntent:
    """Stores the answer of a request that ran."""

    account: base.AccountId
    """Client account of the caller."""
    idempotency_key: str
    """The caller's `Idempotency-Key`."""
    request_id: base.RequestId
    """Attempt that ran."""
    answer: bytes | None
    """Encoded answer; None when it is too large to keep."""


@attrs.frozen
class AbandonIntent:
    """Gives the claim back: the request provably did not run."""

    account: base.AccountId
    """Client account of the caller."""
    idempotency_key: str
    """The caller's `Idempotency-Key`."""
    request_id: base.RequestId
    """Attempt that did not run."""


@attrs.frozen
class ExpireIntents:
    """Forgets intents whose retention is over."""

    now: float
    """Wall time at the leader, in seconds."""


@attrs.frozen
class NoteInstanceLost:
    """Records that one life of an instance is over."""

    instance: base.InstanceId
    """The instance."""
    incarnation: base.Incarnation
    """Its last life known; this and all before it are over."""


@attrs.frozen
class IntentBegun:
    """The claim stands: run the request now, once."""


@attrs.frozen
class IntentReplay:
    """The request ran before; give its answer again."""

    answer: bytes | None
    """Encoded answer; None when it ran but its answer was not kept."""


@attrs.frozen
class IntentOpen:
    """Another attempt holds the claim; never run it again."""

    instance: base.InstanceId
    """Entry of that attempt."""
    incarnation: base.Incarnation
    """Life of that entry."""
    may_have_run: bool
    """Whether that life is over: then no answer will come."""


@attrs.frozen
class IntentMismatch:
    """The idempotency key belongs to another request."""


@attrs.frozen
class IntentClosed:
    """The completion or abandonment is recorded (or was before)."""


@attrs.frozen
class IntentsExpired:
    """Intents were forgotten."""

    count: int
    """How many."""
    more: bool
    """Whether further ones wait for another command."""


@attrs.frozen
class LossNoted:
    """The end of a life is recorded (or was before)."""

    incarnation: base.Incarnation
    """Newest life of the instance that is over."""
