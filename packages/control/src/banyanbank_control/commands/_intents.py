"""Commands and replies about non-idempotent requests."""

import attrs
import banyanbank_base as base


@attrs.frozen
class BeginIntent:
    """Claims the right to run one non-idempotent request.

    It is committed before the first byte is sent to an endpoint.
    """

    account: base.AccountId
    """Client account of the caller."""
    idempotency_key: str
    """The caller's `Idempotency-Key`."""
    request_digest: bytes
    """Digest of method, path and body; detects a reused key."""
    request_id: base.RequestId
    """Id of this attempt; a duplicate of the command is granted again."""
    instance: base.InstanceId
    """Entry instance that runs the request."""
    incarnation: base.Incarnation
    """Incarnation of that entry instance."""
    endpoint: base.EndpointId
    """Chosen endpoint; empty if not yet known."""
    begun_at: float
    """Wall time at the entry instance, in seconds."""
    retain_until: float
    """Wall time until which the outcome is retained, in seconds."""


@attrs.frozen
class CompleteIntent:
    """Stores the response of a request that ran."""

    account: base.AccountId
    """Client account of the caller."""
    idempotency_key: str
    """The caller's `Idempotency-Key`."""
    request_id: base.RequestId
    """Attempt that ran."""
    answer: bytes | None
    """Encoded response; None if it is too large to store."""


@attrs.frozen
class AbandonIntent:
    """Releases the claim of a request that provably did not run."""

    account: base.AccountId
    """Client account of the caller."""
    idempotency_key: str
    """The caller's `Idempotency-Key`."""
    request_id: base.RequestId
    """Attempt that did not run."""


@attrs.frozen
class ExpireIntents:
    """Removes intents whose retention has ended."""

    now: float
    """Wall time at the leader, in seconds."""


@attrs.frozen
class NoteInstanceLost:
    """Records that an incarnation of an instance has ended."""

    instance: base.InstanceId
    """Instance that is lost."""
    incarnation: base.Incarnation
    """Newest known incarnation; it and all earlier ones have ended."""


@attrs.frozen
class IntentBegun:
    """The claim is granted: the entry instance runs the request once."""


@attrs.frozen
class IntentReplay:
    """The request ran before; the stored response is replayed."""

    answer: bytes | None
    """Encoded response; None if the response was not stored."""


@attrs.frozen
class IntentOpen:
    """Another attempt holds the claim; the request must not run again."""

    instance: base.InstanceId
    """Entry instance of that attempt."""
    incarnation: base.Incarnation
    """Incarnation of that entry instance."""
    may_have_run: bool
    """Whether that incarnation has ended, so that no response will follow."""


@attrs.frozen
class IntentMismatch:
    """The idempotency key belongs to another request."""


@attrs.frozen
class IntentClosed:
    """The completion or abandonment is recorded, now or earlier."""


@attrs.frozen
class IntentsExpired:
    """Expired intents were removed."""

    count: int
    """Number of removed intents."""
    more: bool
    """Whether further expired intents remain for another command."""


@attrs.frozen
class LossNoted:
    """The end of an incarnation is recorded, now or earlier."""

    incarnation: base.Incarnation
    """Newest incarnation of the instance that has ended."""
