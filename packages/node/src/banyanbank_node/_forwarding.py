"""Requests while they are forwarded, and the answers of endpoints."""

import collections.abc
import functools
import math

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway

from banyanbank_node import _answer_check
from banyanbank_node import _ports
from banyanbank_node import _send_gate


@attrs.frozen
class Answer:
    """Complete answer of an endpoint."""

    status: int
    """HTTP status."""
    headers: tuple[tuple[str, str], ...]
    """Headers, without hop-by-hop headers and Content-Length."""
    body: bytes
    """Complete body."""
    signature: str
    """Signature of the answer; empty if it has none."""


@attrs.define
class Forwarding:
    """State of a request while it is forwarded."""

    req: _ports.CallerRequest
    """Request of the caller."""
    route: gateway.Route
    """Route that the request matched."""
    account: base.AccountId | None
    """Client account to count usage for; None on a public route."""
    deadline: float
    """Deadline of all attempts, on the monotonic clock."""
    tried: set[base.EndpointId] = attrs.Factory(set)
    """Endpoints that the request was sent to, and may still run at, or that it
    was withheld from."""
    rejected_by: set[base.EndpointId] = attrs.Factory(set)
    """Those of them that have rejected it for lack of room."""
    retryable: set[base.EndpointId] = attrs.Factory(set)
    """Those of them that may be asked again, after a wait."""
    withheld: set[base.EndpointId] = attrs.Factory(set)
    """Those of them that this process itself did not send it to."""
    has_expired_permit: bool = False
    """Whether it was withheld because its permit had become too old."""
    attempts_used: int = 0
    """Attempts that count against the route's maximum, running ones included;
    those that this process withheld do not count, nor, at shared services,
    others that certainly did not run."""
    backoff: gateway.Backoff | None = None
    """Waits after all endpoints have rejected it; None before the first."""
    may_have_run_since: float | None = None
    """Start of the first attempt that may have run the request, or None."""
    last_error_answer: Answer | None = None
    """Latest answer after which another endpoint may be tried; the request may
    have run there."""
    running_attempts: int = 0
    """Number of attempts that are under way."""
    internal_error_count: int = 0
    """Number of answers with status 500."""
    permit_expected_at: float | None = None
    """When to return, on the monotonic clock, if the rate limits of endpoints
    leave no room for the request; else None."""
    has_only_evacuated: bool = False
    """Whether all endpoints that the latest attempt could choose from are in
    evacuated failure domains."""
    permit_expires_at: float = math.inf
    """When the permit for the next attempt is too old to be used, on the
    monotonic clock."""
    is_abandoned: bool = False
    """Whether the caller has disconnected."""
    follows_crashes: bool = False
    """Whether the request may be sent again after its endpoint crashed, and is
    not sent any more once it is taken to be the cause."""
    find_route: collections.abc.Callable[[], gateway.Route | None] | None = None
    """Returns the route of the next attempt, or None if there must be none;
    without it, the route that the request matched holds for all attempts."""
    is_wanted: collections.abc.Callable[[], bool] | None = None
    """Whether this process still needs the answer to a request of its own; None
    if it is the request of a caller."""
    gate: _send_gate.SendGate | None = None
    """Admission control of its attempts; None if they are sent at once."""

    @property
    def is_cancelled(self) -> bool:
        """Whether nobody needs an answer, so that attempts are cancelled."""
        return self.is_abandoned or (
            self.is_wanted is not None and not self.is_wanted()
        )

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run it, or may be running it."""
        return self.running_attempts > 0 or self.may_have_run_since is not None

    @property
    def relayed_error_answer(self) -> Answer | None:
        """Latest answer with an error status, if its caller may get it.

        A caller may take some statuses for the promise that the request has not
        run, and send it again. Without that promise of the endpoint itself,
        they are relayed only where another run does no harm.
        """
        answer = self.last_error_answer
        if (
            answer is not None
            and answer.status in _answer_check.NOT_RUN_STATUSES
            and not self.route.kind.is_repeatable
        ):
            return None
        return answer

    @property
    def has_attempt_left(self) -> bool:
        """Whether it may be sent to a further endpoint."""
        return self.attempts_used < self.route.max_attempts

    def note_may_have_run(self, sent_at: float) -> None:
        """Records that an attempt sent at this time may have run it."""
        known = self.may_have_run_since
        self.may_have_run_since = (
            sent_at if known is None else min(known, sent_at)
        )

    def note_withheld(
        self, endpoint: base.EndpointId, is_evacuated: bool
    ) -> None:
        """Records that this process did not send an attempt that had begun.

        Args:
            endpoint: Endpoint of the attempt.
            is_evacuated: Whether its domain is evacuated; if not, the permit of
                the attempt has expired.
        """
        self.attempts_used -= 1
        self.withheld.add(endpoint)
        self.has_expired_permit |= not is_evacuated

    @functools.cached_property
    def digest(self) -> bytes:
        """Identifies the request whoever repeats it."""
        req = self.req
        headers = [
            (name, value)
            for name, value in req.headers
            if name not in req.attempt_headers
        ]
        return gateway.digest_request(
            req.method, req.host, req.uri, headers, req.body
        )
