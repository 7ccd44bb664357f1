"""Refusals of requests that no endpoint answered."""

import banyanbank_base as base

from banyanbank_node import _forwarding

OVERLOADED_RETRY_AFTER_S = 0.25
"""Retry-After of a refusal because endpoints are at capacity."""

MIN_RETRY_AFTER_S = 0.05
"""Minimum Retry-After of a refusal because of a rate limit."""

NO_ENDPOINT_RETRY_AFTER_S = 0.5
"""Retry-After of a refusal because no endpoint is available."""

EVACUATED_RETRY_AFTER_S = 1.0
"""Retry-After of a refusal because all endpoints are in evacuated domains;
an operator readmits them."""


def make_refusal(
    forwarding: _forwarding.Forwarding, now: float, spread_s: float | None
) -> base.Refusal:
    """Returns why a request that got no answer is refused.

    Args:
        forwarding: The request.
        now: Current time.
        spread_s: Retry-After at a shared service; None at others.
    """
    if forwarding.may_have_run_since is not None:
        answer = forwarding.last_error_answer
        return base.Refusal(
            base.RefusalReason.ENDPOINT_FAILED,
            base.Outcome.MAY_HAVE_RUN,
            "No endpoint answered completely; the request may have run."
            if answer is None
            else f"The endpoint answered with status {answer.status}, but did"
            " not state that it has not run the request.",
        )
    if forwarding.permit_expected_at is not None:
        wait_s = forwarding.permit_expected_at - now
        return base.Refusal(
            base.RefusalReason.OVERLOADED,
            base.Outcome.NOT_RUN,
            "The endpoints limit the requests they take; try again.",
            retry_after=round(max(wait_s, MIN_RETRY_AFTER_S), 3),
        )
    if forwarding.tried - forwarding.withheld:
        return base.Refusal(
            base.RefusalReason.OVERLOADED,
            base.Outcome.NOT_RUN,
            "All endpoints that were tried are at capacity; try again.",
            retry_after=_find_overload_wait(spread_s),
        )
    if forwarding.has_only_evacuated:
        return base.Refusal(
            base.RefusalReason.NO_ENDPOINT,
            base.Outcome.NOT_RUN,
            "All endpoints of the service are in evacuated failure domains.",
            retry_after=EVACUATED_RETRY_AFTER_S,
        )
    if forwarding.has_expired_permit:
        return base.Refusal(
            base.RefusalReason.OVERLOADED,
            base.Outcome.NOT_RUN,
            "The permits for endpoints that limit the requests they take had"
            " expired before the request was sent; try again.",
            retry_after=_find_overload_wait(spread_s),
        )
    return base.Refusal(
        base.RefusalReason.NO_ENDPOINT,
        base.Outcome.NOT_RUN,
        "No endpoint of the service is available; try again.",
        retry_after=NO_ENDPOINT_RETRY_AFTER_S,
    )


def _find_overload_wait(spread_s: float | None) -> float:
    return OVERLOADED_RETRY_AFTER_S if spread_s is None else round(spread_s, 3)


def make_condemned_refusal(outcome: base.Outcome) -> base.Refusal:
    """Returns the refusal of a request that is taken to end its endpoints."""
    return base.Refusal(
        base.RefusalReason.ENDS_ENDPOINTS,
        outcome,
        "The connections to endpoints ended without an answer to this request,"
        " each time; it is not sent again. Do not repeat it.",
    )
