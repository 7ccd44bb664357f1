"""What a caller may believe about a request that got no answer."""

import enum

import attrs


class Outcome(enum.Enum):
    """Execution outcome, as told in every refusal."""

    NOT_RUN = "not run"
    """No endpoint received any byte of the request."""
    MAY_HAVE_RUN = "may have run"
    """An endpoint may have received the request; its fate is unknown."""
    RAN = "ran"
    """An endpoint has answered the request."""


class RefusalReason(enum.Enum):
    """Why a request got no answer of an endpoint."""

    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not-found"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    CONFLICT = "conflict"
    RATE_LIMITED = "rate-limited"
    OVERLOADED = "overloaded"
    NO_ENDPOINT = "no-endpoint"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    CONFIGURATION_STALE = "configuration-stale"
    NO_LEADER = "no-leader"
    SHUTTING_DOWN = "shutting-down"
    ENDPOINT_FAILED = "endpoint-failed"
    KEY_WITHDRAWN = "key-withdrawn"
    ENDS_ENDPOINTS = "ends-endpoints"
    INTERNAL = "internal"


@attrs.frozen
class Refusal:
    """A typed refusal, shown to callers as `application/problem+json`."""

    reason: RefusalReason
    """Machine-readable cause."""
    outcome: Outcome
    """What may be believed about execution."""
    detail: str
    """One sentence for people: what happened and what to do."""
    retry_after: float | None = None
    """Seconds after which a retry may succeed; None when unknown."""
