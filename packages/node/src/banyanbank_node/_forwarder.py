"""Sends a request to endpoints of a service until one answers it."""

import collections.abc
import random

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_web as web
from returns import result

from banyanbank_node import _event_log
from banyanbank_node import _meters
from banyanbank_node import _ports

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest answer that is gathered before it is passed on."""

FIRST_SHARE = 0.5
"""Share of the time left that an endpoint has while others may be tried."""

LEAST_ATTEMPT_S = 0.25
"""Seconds that an endpoint has at least, if the request has them."""

RETRY_AFTER_S = 0.25
"""Seconds after which a client may try again when endpoints are full."""

NO_ENDPOINT_RETRY_S = 0.5
"""Seconds after which a client may try again when no endpoint is known."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection only."""

FIRST_ERROR_STATUS = 400
FIRST_FAILURE_STATUS = 500
FAILED_STATUS = 500

Candidates = collections.abc.Callable[
    [str], collections.abc.Iterable[gateway.Announcement]
]
"""Returns the endpoints of a service."""


@attrs.frozen
class Answer:
    """Whole answer of an endpoint."""

    status: int
    """HTTP status."""
    headers: tuple[tuple[str, str], ...]
    """Headers, without those of the connection."""
    body: bytes
    """Body."""
    signature: str
    """Signature of the answer; empty without one."""


@attrs.define
class Forwarding:
    """One request on its way; what it cost and whether it may have run."""

    req: _ports.CallerRequest
    """The request."""
    route: gateway.Route
    """Its route."""
    account: base.AccountId | None
    """Client account; None on a route open to all."""
    deadline: float
    """When to give up, on the process's steady clock."""
    tried: set[base.EndpointId] = attrs.Factory(set)
    """Endpoints that it was sent to."""
    began_at: float | None = None
    """When an endpoint that may have run it got it."""
    last_answer: Answer | None = None
    """Failure that an endpoint answered with."""
    failures: int = 0
    """Endpoints that ran it and failed."""
    is_abandoned: bool = False
    """Whether the caller is gone."""


class Forwarder:
    """Sends requests to endpoints.

    Args:
        clock: Clock of deadlines.
        upstream: HTTP client.
        wire: Names of headers.
        picker: Chooses endpoints.
        candidates: Endpoints of a service.
        rng: Draws the service of a split route.
        events: Log of decisions.
        meters: Metrics of the process.
    """

    def __init__(
        self,
        clock: base.Clock,
        upstream: web.Upstream,
        wire: _ports.Wire,
        picker: gateway.EndpointPicker,
        candidates: Candidates,
        rng: random.Random,
        events: _event_log.EventLog,
        meters: _meters.Meters,
    ) -> None:
        self._clock = clock
        self._upstream = upstream
        self._wire = wire
        self._picker = picker
        self._meters = meters
        self._candidates = candidates
        self._rng = rng
        self._events = events

    async def send(self, sending: Forwarding) -> Answer | base.Refusal:
        """Returns the answer of an endpoint, or why there is none.

        A request is repeated only if it may run twice or if an endpoint said
        that it has not run.
        """
        service = gateway.draw_service(sending.route, self._rng)
        for attempt in range(sending.route.max_attempts):
            now = self._clock.now()
            to = self._picker.pick(
                self._candidates(service), sending.tried, now
            )
            if to is None or now >= sending.deadline:
                break
            is_last = attempt + 1 == sending.route.max_attempts
            answer = await self._try(sending, to, is_last)
            if answer is not None:
                return answer
            if sending.is_abandoned or not self._may_repeat(sending):
                break
        return sending.last_answer or self._refusal(sending)

    def _may_repeat(self, sending: Forwarding) -> bool:
        return sending.began_at is None or sending.route.kind.is_repeatable

    async def _try(
        self, sending: Forwarding, to: gateway.Announcement, is_last: bool
    ) -> Answer | None:
        now = self._clock.now()
        deadline = sending.deadline
        if not is_last and sending.route.kind.is_repeatable:
            share_s = FIRST_SHARE * (deadline - now)
            deadline = min(deadline, now + max(share_s, LEAST_ATTEMPT_S))
        req = self._wire.forward(
            sending.req,
            sending.account,
            to,
            deadline,
            now,
            sending.route.kind.is_repeatable,
        )
        sending.tried.add(to.endpoint)
        self._picker.started(to.endpoint)
        try:
            got = await self._exchange(sending, req)
        finally:
            self._picker.ended(to.endpoint)
            self._meters.requests.record(self._clock.now() - now, "attempt")
        return self._judge(sending, to, got, now)

    async def _exchange(
        self, sending: Forwarding, req: web.UpstreamRequest
    ) -> result.Result[tuple[_ports.AnswerMarks, Answer], web.UpstreamError]:
        sent = await self._upstream.send(req)
        if isinstance(sent, result.Failure):
            return sent
        resp = sent.unwrap()
        marks = self._wire.marks(resp)
        if not _answers(sending.req, resp.status, marks):
            # A second answer to an earlier request on this connection.
            resp.cancel()
            return result.Failure(
                web.UpstreamError(
                    base.Outcome.MAY_HAVE_RUN,
                    f"the answer is for request {marks.request_id!r}",
                )
            )
        try:
            body = await resp.read_all(MAX_ANSWER_BYTES)
        except BaseException:
            resp.cancel()
            raise
        if isinstance(body, result.Failure):
            return body
        headers = tuple(
            (name, value)
            for name, value in resp.headers
            if name not in HOP_BY_HOP and name != "content-length"
        )
        answer = Answer(resp.status, headers, body.unwrap(), marks.signature)
        return result.Success((marks, answer))

    def _judge(
        self,
        sending: Forwarding,
        to: gateway.Announcement,
        got: result.Result[
            tuple[_ports.AnswerMarks, Answer], web.UpstreamError
        ],
        began_at: float,
    ) -> Answer | None:
        now = self._clock.now()
        if isinstance(got, result.Failure):
            error = got.failure()
            if error.outcome is not base.Outcome.NOT_RUN:
                sending.began_at = sending.began_at or began_at
            if not sending.is_abandoned:
                self._picker.failed(to.endpoint, now)
                self._note(sending, to, "lost", error.detail)
            return None
        marks, answer = got.unwrap()
        if marks.has_not_run:
            self._note(sending, to, "not-run", f"status {answer.status}")
            return None
        sending.began_at = sending.began_at or began_at
        self._picker.succeeded(to.endpoint)
        if answer.status < FIRST_FAILURE_STATUS:
            return answer
        self._note(sending, to, "failed", f"status {answer.status}")
        sending.last_answer = answer
        sending.failures += answer.status == FAILED_STATUS
        return None

    def _note(
        self,
        sending: Forwarding,
        to: gateway.Announcement,
        outcome: str,
        detail: str,
    ) -> None:
        self._events.write(
            "request.attempt",
            request=sending.req.request_id,
            endpoint=to.endpoint,
            address=to.address,
            outcome=outcome,
            detail=detail,
            tried=len(sending.tried),
            left_ms=round(1000 * (sending.deadline - self._clock.now())),
        )

    def _refusal(self, sending: Forwarding) -> base.Refusal:
        if sending.began_at is not None:
            return base.Refusal(
                base.RefusalReason.ENDPOINT_FAILED,
                base.Outcome.MAY_HAVE_RUN,
                "The endpoint gave no whole answer; the request may have run.",
            )
        if sending.tried:
            return base.Refusal(
                base.RefusalReason.OVERLOADED,
                base.Outcome.NOT_RUN,
                "Every endpoint that was asked is full; try again.",
                retry_after=RETRY_AFTER_S,
            )
        return base.Refusal(
            base.RefusalReason.NO_ENDPOINT,
            base.Outcome.NOT_RUN,
            "No endpoint of the service is known; try again.",
            retry_after=NO_ENDPOINT_RETRY_S,
        )


def _answers(
    req: _ports.CallerRequest, status: int, marks: _ports.AnswerMarks
) -> bool:
    """Whether an answer belongs to a request.

    A failure may come without an id; a success that names no request may be
    anybody's.
    """
    if not marks.request_id and status >= FIRST_ERROR_STATUS:
        return True
    return marks.request_id == req.request_id
