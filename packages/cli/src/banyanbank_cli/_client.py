"""HTTP client of the command line."""

import collections.abc
import ipaddress
import json
import typing
import urllib.parse
import uuid

import attrs
import banyanbank_base as base
from returns import result
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import ssl
from twisted.internet import task
from twisted.python import failure
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
import zope.interface

CONNECT_LIMIT_S = 5.0
"""Time for one connection."""

ATTEMPT_LIMIT_S = 90.0
"""Time for one request and its whole answer."""

MAX_ATTEMPTS = 5
"""Times that a request is sent before giving up."""

RETRY_DELAY_S = 0.5
"""Delay before a request is sent again."""

MAX_ANSWER_BYTES = 256 * 1024 * 1024
"""Larger answers are refused."""

RETRIED_STATUS = 503
"""Answer after which the same request may be sent again."""


JUDGED_STATUSES = frozenset({400, 404, 409, 413, 422})
"""Refusals of the request itself: no attempt of it can have run."""


@attrs.frozen
class Problem:
    """Why a command did not succeed."""

    detail: str
    """What happened, for people."""
    status: int = 0
    """HTTP status; 0 when there was no answer."""
    outcome: str = ""
    """Execution outcome as the server or this client knows it."""
    errors: tuple[str, ...] = ()
    """Single faults, such as of a sheet, one a line."""

    def __str__(self) -> str:
        status = f" (HTTP {self.status})" if self.status else ""
        lines = [f"error{status}: {self.detail}", *self.errors]
        if self.outcome:
            lines.append(f"outcome: {self.outcome}")
        return "\n".join(lines)


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


CallResult = result.Result[Reply, Problem]
"""An answer of success, or why there is none."""


class _LostAnswerError(Exception):
    """The request may have arrived, but no whole answer came."""


@zope.interface.implementer(iweb.IAgentEndpointFactory)
class _IpEndpoints:
    """Connects to IP numbers only, so that no name is looked up."""

    def __init__(
        self, reactor: typing.Any, authority: ssl.Certificate | None
    ) -> None:
        self._reactor = reactor
        self._authority = authority

    def endpointForURI(  # noqa: N802
        self, uri: client.URI
    ) -> interfaces.IStreamClientEndpoint:
        host = uri.host.decode("ascii")
        kind: type[
            endpoints.TCP4ClientEndpoint | endpoints.TCP6ClientEndpoint
        ] = endpoints.TCP4ClientEndpoint
        if ipaddress.ip_address(host).version == 6:
            kind = endpoints.TCP6ClientEndpoint
        plain = kind(self._reactor, host, uri.port, timeout=CONNECT_LIMIT_S)
        if uri.scheme != b"https":
            return plain
        options = ssl.optionsForClientTLS(host, trustRoot=self._authority)
        return endpoints.wrapClientTLS(options, plain)


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
            reactor, _IpEndpoints(reactor, authority)
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
        sent = False
        problem = Problem("Nothing was sent.")
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await task.deferLater(
                    self._reactor, RETRY_DELAY_S * attempt, _nothing
                )
            try:
                answer = await self._attempt(call)
            except _LostAnswerError as exc:
                sent = True
                problem = self._unanswered(str(exc), sent)
                continue
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

    def _unanswered(self, why: str, sent: bool) -> Problem:
        outcome = base.Outcome.NOT_RUN
        if sent:
            outcome = base.Outcome.MAY_HAVE_RUN
        return Problem(
            f"No answer from {self._server}: {why}", outcome=outcome.value
        )

    async def _attempt(self, call: Call) -> Reply | Problem:
        headers = http_headers.Headers({"X-Request-Id": [call.request_id]})
        if self._token:
            headers.addRawHeader("Authorization", f"Bearer {self._token}")
        for name, value in call.headers:
            headers.addRawHeader(name, value)
        url = (self._server + call.path).encode("ascii")
        requested = self._agent.request(
            call.method.encode(), url, headers, _BytesProducer(call.body)
        )
        requested.addTimeout(ATTEMPT_LIMIT_S, self._reactor)
        try:
            response = await requested
            body = await self._read(response)
        except (
            client.ResponseFailed,
            client.PartialDownloadError,
            defer.TimeoutError,
            error.ConnectionLost,
            error.ConnectionDone,
        ) as exc:
            raise _LostAnswerError(_reason(exc)) from exc
        if 200 <= response.code < 300:
            return Reply(response.code, body, response.headers)
        return _read_problem(response.code, body)

    def _read(self, response: iweb.IResponse) -> defer.Deferred[bytes]:
        length = response.length
        if isinstance(length, int) and length > MAX_ANSWER_BYTES:
            raise _LostAnswerError(f"The answer has {length} bytes.")
        reading = client.readBody(response)
        reading.addTimeout(ATTEMPT_LIMIT_S, self._reactor)
        return reading


@zope.interface.implementer(iweb.IBodyProducer)
class _BytesProducer:
    """Sends bytes as a body."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(  # noqa: N802
        self, consumer: interfaces.IConsumer
    ) -> defer.Deferred[None]:
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing: the body has been handed over."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing: the body has been handed over."""

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: the body has been handed over."""


def _after_earlier_attempts(problem: Problem, sent: bool) -> Problem:
    # A refusal speaks of its own attempt; an earlier one may have run, unless
    # the server has judged the request itself, which it knows by its id.
    if not sent or problem.status in JUDGED_STATUSES:
        return problem
    return attrs.evolve(problem, outcome=base.Outcome.MAY_HAVE_RUN.value)


def _nothing() -> None:
    """Does nothing."""


def _reason(exc: BaseException) -> str:
    reasons = getattr(exc, "reasons", None)
    if reasons and isinstance(reasons[0], failure.Failure):
        return str(reasons[0].getErrorMessage())
    return str(exc) or type(exc).__name__


def _read_problem(status: int, body: bytes) -> Problem:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        document = None
    if not isinstance(document, dict):
        text = body[:200].decode("utf-8", "replace").strip()
        return Problem(text or "The server gave no reason.", status=status)
    errors = document.get("errors")
    lines = errors if isinstance(errors, list) else []
    return Problem(
        detail=str(document.get("detail") or document.get("title") or ""),
        status=status,
        outcome=str(document.get("outcome") or ""),
        errors=tuple(_error_line(line) for line in lines),
    )


def _error_line(error_: typing.Any) -> str:
    if not isinstance(error_, collections.abc.Mapping):
        return str(error_)
    place = str(error_.get("file") or "sheet")
    if error_.get("row"):
        place += f", row {error_['row']}"
    if error_.get("column"):
        place += f", column {error_['column']}"
    words = (error_.get("message"), error_.get("mend"))
    return f"{place}: " + " ".join(str(word) for word in words if word)


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
