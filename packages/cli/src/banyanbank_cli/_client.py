"""HTTP client of the command line."""

import collections.abc
import json
import typing
import urllib.parse
import uuid

import attrs
import banyanbank_base as base
from returns import result
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import ssl
from twisted.internet import task
from twisted.python import failure
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb

from banyanbank_cli import _problems
from banyanbank_cli import _tls
from banyanbank_cli import _transport

ANSWER_LIMIT_S = 30.0
"""Time for one request and its whole answer, beside what the call asks for."""

MAX_ATTEMPTS = 5
"""Times that a request is sent before giving up."""

RETRY_DELAY_S = 0.5
"""Delay before a request is sent again."""

RETRIED_STATUS = 503
"""Answer after which the same request may be sent again."""


JUDGED_STATUSES = frozenset({400, 404, 409, 413, 422})
"""Refusals of the request itself: no attempt of it can have run."""


@attrs.frozen
class Call:
    """One request of the command line."""

    method: str
    """HTTP method."""
    path: str
    """Path with its query."""
    body: bytes = b""
    """Body."""
    headers: tuple[tuple[str, str], ...] = ()
    """Headers besides those of every request."""
    request_id: str = attrs.Factory(lambda: uuid.uuid4().hex)
    """Stays the same when the request is sent again."""
    wait_s: float = 0.0
    """Seconds that the server may take besides, as the call asks for."""


@attrs.frozen
class Reply:
    """A whole answer of success."""

    status: int
    """HTTP status, 200 to 299."""
    body: bytes
    """Body."""
    headers: http_headers.Headers
    """Headers."""

    def document(self) -> typing.Any:
        """Returns the body read as JSON; None when it is none."""
        try:
            return json.loads(self.body)
        except (ValueError, RecursionError):
            return None


CallResult = result.Result[Reply, _problems.Problem]
"""An answer of success, or why there is none."""


class Client:
    """Sends requests to one server and sends them again when that is safe.

    Args:
        reactor: Where connections are made.
        server: Base URL with an IP number.
        token: Bearer token; empty for none.
        authority: CA of the server's certificate; None for the system's.
    """

    def __init__(
        self,
        reactor: typing.Any,
        server: str,
        token: str,
        authority: ssl.Certificate | None = None,
    ) -> None:
        self._reactor = reactor
        self._server = server.rstrip("/")
        self._token = token
        self._agent = client.Agent.usingEndpointFactory(
            reactor, _transport.IpEndpoints(reactor, authority)
        )

    @property
    def server(self) -> str:
        """Base URL of the server."""
        return self._server

    def at(self, server: str) -> "Client":
        """Returns a client of another server with the same token."""
        other = Client(self._reactor, server, self._token)
        other._agent = self._agent
        return other

    async def send(self, call: Call) -> CallResult:
        """Sends a request until it is answered.

        A lost answer and a server without a leader are tried again under the
        same request id, by which the server knows a resend.
        """
        give_up_at = self._reactor.seconds() + 2 * _limit_s(call)
        sent = False
        problem = _problems.Problem("Nothing was sent.")
        for attempt in range(MAX_ATTEMPTS):
            if self._reactor.seconds() >= give_up_at:
                break
            if attempt:
                await task.deferLater(
                    self._reactor, RETRY_DELAY_S * attempt, _nothing
                )
            try:
                answer = await self._attempt(call)
            except _transport.LostAnswerError as exc:
                sent = True
                problem = self._unanswered(str(exc), sent)
                continue
            except _tls.HandshakeError as exc:
                problem = self._unanswered(str(exc), sent)
                break
            except (OSError, error.ConnectError, ValueError) as exc:
                problem = self._unanswered(str(exc), sent)
                continue
            if isinstance(answer, Reply):
                return result.Success(answer)
            problem = _after_earlier_attempts(answer, sent)
            if problem.status != RETRIED_STATUS:
                break
            sent = sent or problem.outcome != base.Outcome.NOT_RUN.value
        return result.Failure(problem)

    def _unanswered(self, why: str, sent: bool) -> _problems.Problem:
        outcome = base.Outcome.NOT_RUN
        if sent:
            outcome = base.Outcome.MAY_HAVE_RUN
        return _problems.Problem(
            f"No answer from {self._server}: {why}", outcome=outcome.value
        )

    async def _attempt(self, call: Call) -> Reply | _problems.Problem:
        headers = http_headers.Headers({"X-Request-Id": [call.request_id]})
        if self._token:
            headers.addRawHeader("Authorization", f"Bearer {self._token}")
        for name, value in call.headers:
            headers.addRawHeader(name, value)
        url = (self._server + call.path).encode("ascii")
        deadline = self._reactor.seconds() + _limit_s(call)
        requested = self._agent.request(
            call.method.encode(),
            url,
            headers,
            _transport.BytesProducer(call.body),
        )
        requested.addTimeout(_limit_s(call), self._reactor)
        try:
            response = await requested
            body = await self._read(response, deadline)
        except (
            client.ResponseFailed,
            defer.TimeoutError,
            error.ConnectionLost,
            error.ConnectionDone,
        ) as exc:
            why = _reason(exc)
            # A request that is ended by its time limit fails in either way.
            if self._reactor.seconds() >= deadline:
                why = (
                    f"no whole answer within {_limit_s(call):g} s. Ask another"
                    " instance, and look at this one's log."
                )
            raise _transport.LostAnswerError(why) from exc
        if 200 <= response.code < 300:
            return Reply(response.code, body, response.headers)
        return _problems.read_problem(response.code, body)

    def _read(
        self, response: iweb.IResponse, deadline: float
    ) -> defer.Deferred[bytes]:
        reader = _transport.BodyReader()
        response.deliverBody(reader)
        left_s = max(0.0, deadline - self._reactor.seconds())
        reader.body.addTimeout(left_s, self._reactor)
        return reader.body


def _after_earlier_attempts(
    problem: _problems.Problem, sent: bool
) -> _problems.Problem:
    # A refusal speaks of its own attempt; an earlier one may have run, unless
    # the server has judged the request itself, which it knows by its id.
    if not sent or problem.status in JUDGED_STATUSES:
        return problem
    return attrs.evolve(problem, outcome=base.Outcome.MAY_HAVE_RUN.value)


def _limit_s(call: Call) -> float:
    return ANSWER_LIMIT_S + call.wait_s


def _nothing() -> None:
    """Does nothing."""


def _reason(exc: BaseException) -> str:
    reasons = getattr(exc, "reasons", None)
    if reasons and isinstance(reasons[0], failure.Failure):
        return str(reasons[0].getErrorMessage())
    return str(exc) or type(exc).__name__


def quoted(text: str, safe: str = "") -> str:
    """Returns a text as part of a path.

    Args:
        text: Any text.
        safe: Characters that stay as they are.
    """
    return urllib.parse.quote(text, safe=safe)


def query(fields: collections.abc.Mapping[str, str]) -> str:
    """Returns the query of a path; empty fields are left out."""
    given = {name: value for name, value in fields.items() if value}
    return f"?{urllib.parse.urlencode(given)}" if given else ""
