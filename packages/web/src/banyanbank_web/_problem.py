"""Refusals as `application/problem+json` (RFC 9457)."""

import json
import math

import banyanbank_base as base

_STATUS = {
    base.RefusalReason.UNAUTHENTICATED: 401,
    base.RefusalReason.KEY_WITHDRAWN: 401,
    base.RefusalReason.FORBIDDEN: 403,
    base.RefusalReason.NOT_FOUND: 404,
    base.RefusalReason.BAD_REQUEST: 400,
    base.RefusalReason.TOO_LARGE: 413,
    base.RefusalReason.CONFLICT: 409,
    base.RefusalReason.RATE_LIMITED: 429,
    base.RefusalReason.OVERLOADED: 503,
    base.RefusalReason.NO_ENDPOINT: 503,
    base.RefusalReason.DEADLINE_EXCEEDED: 504,
    base.RefusalReason.CONFIGURATION_STALE: 503,
    base.RefusalReason.NO_LEADER: 503,
    base.RefusalReason.SHUTTING_DOWN: 503,
    base.RefusalReason.ENDPOINT_FAILED: 502,
    base.RefusalReason.INTERNAL: 500,
}


def status_of(refusal: base.Refusal) -> int:
    """Returns the HTTP status of a refusal."""
    return _STATUS[refusal.reason]


def problem_body(refusal: base.Refusal, request_id: str) -> bytes:
    """Returns the problem document of a refusal.

    Args:
        refusal: What is refused and why.
        request_id: The request's id, so that the time line can be searched.
    """
    reason = refusal.reason.value
    document = {
        "type": f"urn:banyanbank:problem:{reason}",
        "title": reason.replace("-", " "),
        "status": status_of(refusal),
        "detail": refusal.detail,
        "outcome": refusal.outcome.value,
        "request_id": request_id,
    }
    if refusal.retry_after is not None:
        document["retry_after"] = refusal.retry_after
    return json.dumps(document).encode()


def retry_after_header(refusal: base.Refusal) -> bytes | None:
    """Returns whole seconds for `Retry-After`, or None when unknown."""
    if refusal.retry_after is None:
        return None
    return str(max(1, math.ceil(refusal.retry_after))).encode()
