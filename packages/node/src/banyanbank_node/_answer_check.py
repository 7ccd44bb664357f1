"""Checks that the answer of an endpoint belongs to a request."""

from banyanbank_node import _ports

MIN_SUCCESS_STATUS = 200
MIN_REDIRECT_STATUS = 300
MIN_ERROR_STATUS = 400

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which callers are told that a request has not run and will not.

An endpoint's own answer means this only if it states so besides.
"""


def find_mismatch(
    req: _ports.CallerRequest,
    status: int,
    response_headers: _ports.ResponseHeaders,
) -> str | None:
    """Returns why an answer is not a request's own, or None if it is.

    An error status is accepted without a request id or signature. A success
    without them is rejected: it may be a late answer to an earlier request on
    the connection, or not the endpoint's own.
    """
    is_error = status >= MIN_ERROR_STATUS
    named = response_headers.request_id
    if named != req.request_id and (named or not is_error):
        return f"the answer names request {named!r}"
    is_success = MIN_SUCCESS_STATUS <= status < MIN_REDIRECT_STATUS
    if is_success and not response_headers.signature:
        return "the answer is a success without a signature"
    return None
