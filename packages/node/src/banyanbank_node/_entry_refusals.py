"""Refusals of an entry that sends nothing to an endpoint."""

import banyanbank_base as base

NO_LEADER_RETRY_AFTER_S = 0.5
"""Retry-After of a refusal because no leader answered."""


def make_no_leader_refusal(detail: str) -> base.Refusal:
    """Returns the refusal of a call that no leader answered."""
    return base.Refusal(
        base.RefusalReason.NO_LEADER,
        base.Outcome.NOT_RUN,
        f"No leader answered: {detail}",
        retry_after=NO_LEADER_RETRY_AFTER_S,
    )


def make_unauthenticated_refusal() -> base.Refusal:
    """Returns the refusal of a request without a valid key."""
    return base.Refusal(
        base.RefusalReason.UNAUTHENTICATED,
        base.Outcome.NOT_RUN,
        "The request has no valid key; send the key of a client account.",
    )


def make_not_found_refusal() -> base.Refusal:
    """Returns the refusal of a call for a job or item that is not known."""
    return base.Refusal(
        base.RefusalReason.NOT_FOUND,
        base.Outcome.NOT_RUN,
        "This client account has no such job or item.",
    )
