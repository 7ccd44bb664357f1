"""HTTP client towards endpoints and the platform.

Every answer is read to its length or end mark; a cut answer is an error, never
a short answer. A cancelled or unread exchange kills its connection, so that a
late answer cannot reach the next request.
"""

import collections
import typing
import urllib.parse

import attrs
import banyanbank_base as base
import banyanbank_mesh as mesh
from returns import result
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure as twisted_failure
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
import zope.interface

from banyanbank_web import _buffer_budget

HIGH_WATER_BYTES = 256 * 1024
LOW_WATER_BYTES = 64 * 1024
IDLE_CONNECTION_S = 20
CONNECTIONS_PER_ENDPOINT = 64

_NEVER_CONNECTED = (
    error.ConnectError,
    error.ConnectingCancelledError,
    error.NoRouteError,
)


class GuardClosedError(Exception):
    """The guard of a request forbade its sending."""


@attrs.frozen
class UpstreamError:
    """An endpoint gave no whole answer."""

    outcome: base.Outcome
    """NOT_RUN only when no byte can have reached the endpoint. Of a withheld
    request, the head may have, which cannot run without the body."""
    detail: str
    """What happened, for the log and the caller."""
    is_timeout: bool = False
    """Whether the deadline passed."""
    is_unanswered: bool = False
    """Whether the connection was lost before any byte of the answer."""
    is_stale_connection: bool = False
    """Whether a kept connection was lost before any byte of the answer, which
    says nothing about the endpoint's health."""
    is_withheld: bool = False
    """Whether this process itself decided not to send the request, which says
    nothing about the endpoint's health either."""


@attrs.frozen
class UpstreamRequest:
    """A request to an endpoint."""

    method: str
    """HTTP method."""
    url: str
    """Whole URL; its host is an IP number."""
    headers: tuple[tuple[str, str], ...]
    """Headers to send; no caller's key may stand among them."""
    body: bytes
    """Body to send."""
    deadline: float
    """When to give up, on the process's monotonic clock."""
    is_repeatable: bool = True
    """False makes it use a connection of its own, never an idle one."""
    guard: typing.Callable[[], bool] | None = None
    """Asked immediately before the body is handed to the socket; False
    withholds it, and a request without its whole body is not acted on. Needs a
    body."""


class _BodyReader(protocol.Protocol):
    """Buffers a body within bounds and hands it out in pieces."""

    def __init__(self) -> None:
        self._chunks: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._is_paused = False
        self._end: result.Result[None, UpstreamError] | None = None
        self._waiting: defer.Deferred[None] | None = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._chunks.append(data)
        self._size += len(data)
        if self._size > HIGH_WATER_BYTES and not self._is_paused:
            self._is_paused = True
            self._producer().pauseProducing()
        self._wake()

    def connectionLost(  # noqa: N802
        self, reason: twisted_failure.Failure = protocol.connectionDone
    ) -> None:
        if self._end is None:
            if reason.check(client.ResponseDone):
                self._end = result.Success(None)
            else:
                detail = f"The answer was cut: {reason.getErrorMessage()}"
                self._end = result.Failure(
                    UpstreamError(base.Outcome.MAY_HAVE_RUN, detail)
                )
        self._wake()

    async def next_chunk(self) -> result.Result[bytes, UpstreamError]:
        while not self._chunks and self._end is None:
            self._waiting = defer.Deferred()
            await self._waiting
        if self._chunks:
            return result.Success(self._take())
        assert self._end is not None
        return self._end.map(lambda _none: b"")

    def fail(self, problem: UpstreamError) -> None:
        if self._end is None or self._chunks:
            self._end = result.Failure(problem)
        self._chunks.clear()
        if self.transport is not None:
            self.transport.loseConnection()
            abort = getattr(self._producer(), "abortConnection", None)
            if abort is not None:
                abort()
        self._wake()

    def _take(self) -> bytes:
        chunk = self._chunks.popleft()
        self._size -= len(chunk)
        if self._is_paused and self._size < LOW_WATER_BYTES:
            self._is_paused = False
            self._producer().resumeProducing()
        return chunk

    def _producer(self) -> typing.Any:
        # The proxy that twisted hands over forwards the flow control only.
        return getattr(self.transport, "_producer", None) or self.transport

    def _wake(self) -> None:
        if self._waiting is not None:
            waiting, self._waiting = self._waiting, None
            waiting.callback(None)


class UpstreamResponse:
    """An answer whose body is read in pieces.

    Args:
        status: HTTP status.
        headers: Every header, names in lower case.
        reader: Holds the body.
        timer: Delayed call that ends the exchange at its deadline.
        budget: Bounds what all answers hold.
    """

    def __init__(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        reader: _BodyReader,
        timer: typing.Any,
        budget: _buffer_budget.BufferBudget,
    ) -> None:
        self._budget = budget
        self.status = status
        self.headers = headers
        self._reader = reader
        self._timer = timer

    def header(self, name: str) -> str:
        """Returns a header's value, or an empty string."""
        return dict(self.headers).get(name, "")

    async def next_chunk(self) -> result.Result[bytes, UpstreamError]:
        """Returns the next piece; empty bytes mark the whole answer's end."""
        chunk = await self._reader.next_chunk()
        if chunk.value_or(b"") == b"":
            self._stop_timer()
        return chunk

    async def read_all(
        self, max_bytes: int
    ) -> result.Result[bytes, UpstreamError]:
        """Returns the whole body; more than `max_bytes` is an error.

        So is a body that is the largest while all answers together exceed the
        budget of the process.
        """
        share = self._budget.open(self._cut)
        try:
            return await self._gather(max_bytes, share)
        finally:
            self._budget.close(share)

    async def _gather(
        self, max_bytes: int, share: _buffer_budget.Share
    ) -> result.Result[bytes, UpstreamError]:
        pieces: list[bytes] = []
        while True:
            chunk = await self.next_chunk()
            if not _is_success(chunk):
                return chunk
            piece = chunk.unwrap()
            if not piece:
                return result.Success(b"".join(pieces))
            pieces.append(piece)
            self._budget.add(share, len(piece))
            if share.is_cut:
                return result.Failure(_over_budget(self._budget))
            if share.size > max_bytes:
                detail = f"The answer is over {max_bytes} bytes."
                problem = UpstreamError(base.Outcome.RAN, detail)
                self.cancel(problem)
                return result.Failure(problem)

    def _cut(self) -> None:
        self.cancel(_over_budget(self._budget))

    def cancel(
        self,
        problem: UpstreamError = UpstreamError(
            base.Outcome.MAY_HAVE_RUN, "The exchange was cancelled."
        ),
    ) -> None:
        """Ends the exchange and kills its connection."""
        self._stop_timer()
        self._reader.fail(problem)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None


def _over_budget(budget: _buffer_budget.BufferBudget) -> UpstreamError:
    return UpstreamError(
        base.Outcome.MAY_HAVE_RUN,
        f"The answers of all requests are over {budget.max_bytes} bytes, and"
        " this one was the largest.",
    )


def _is_success(value: result.Result[typing.Any, typing.Any]) -> bool:
    return isinstance(value, result.Success)


class Upstream:
    """Sends requests to endpoints.

    Args:
        reactor: Reactor that carries sockets and timers.
        clock: Clock that deadlines are told on.
        budget: Bounds what all answers hold; None for the default.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        budget: _buffer_budget.BufferBudget | None = None,
    ) -> None:
        self._budget = budget or _buffer_budget.BufferBudget()
        self._reactor = reactor
        self._clock = clock
        self._pool = mesh.TracedPool(reactor, persistent=True)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = CONNECTIONS_PER_ENDPOINT
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        self._pooled = mesh.ip_agent(reactor, self._pool)
        self._fresh = mesh.ip_agent(
            reactor, mesh.TracedPool(reactor, persistent=False)
        )

    async def send(
        self, req: UpstreamRequest
    ) -> result.Result[UpstreamResponse, UpstreamError]:
        """Sends a request and returns its answer once the headers are there.

        Failures tell in `outcome` whether the endpoint may have run it.
        """
        seconds = req.deadline - self._clock.now()
        if seconds <= 0:
            return result.Failure(
                UpstreamError(
                    base.Outcome.NOT_RUN,
                    "The deadline passed before the request was sent.",
                    is_timeout=True,
                )
            )
        agent = self._pooled if req.is_repeatable else self._fresh
        producer = None
        if req.body or req.method not in ("GET", "HEAD"):
            producer = _BytesProducer(req.body, req.guard)
        try:
            pending = agent.request(
                req.method.encode(),
                req.url.encode(),
                _headers_of(req),
                producer,
            )
        except ValueError as exc:
            return result.Failure(
                UpstreamError(
                    base.Outcome.NOT_RUN, f"The request is malformed: {exc}"
                )
            )
        timer = self._reactor.callLater(seconds, pending.cancel)
        try:
            response = await pending
        except Exception as exc:
            is_timeout = not timer.active()
            if not is_timeout:
                timer.cancel()
            if producer is not None and producer.is_withheld:
                return result.Failure(
                    UpstreamError(
                        base.Outcome.NOT_RUN,
                        "The request was withheld by its guard.",
                        is_withheld=True,
                    )
                )
            problem = _error_of(exc, is_timeout)
            if problem.is_stale_connection:
                self.close_idle(req.url)
            return result.Failure(problem)
        timer.cancel()
        return result.Success(self._open(response, req))

    def _open(
        self, response: iweb.IResponse, req: UpstreamRequest
    ) -> UpstreamResponse:
        reader = _BodyReader()
        remaining_s = max(0.0, req.deadline - self._clock.now())
        late = UpstreamError(
            base.Outcome.MAY_HAVE_RUN,
            "The deadline passed while the answer was read.",
            is_timeout=True,
        )
        timer = self._reactor.callLater(remaining_s, reader.fail, late)
        response.deliverBody(reader)
        headers = tuple(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, values in response.headers.getAllRawHeaders()
            for value in values
        )
        return UpstreamResponse(
            response.code, headers, reader, timer, self._budget
        )

    def has_idle(self, address: str) -> bool:
        """Whether an idle connection to an IP number and port is kept."""
        host, _, port = address.rpartition(":")
        return self._pool.has_idle(host, int(port))

    def close_idle(self, url: str) -> None:
        """Closes the idle connections to the address of a URL.

        Whatever ended or silenced one connection may have done so to others.
        """
        address = urllib.parse.urlsplit(url)
        if address.hostname and address.port:
            self._pool.close_idle(address.hostname, address.port)

    def close(self) -> defer.Deferred[None]:
        """Closes idle connections."""
        return self._pool.closeCachedConnections()


@zope.interface.implementer(iweb.IBodyProducer)
class _BytesProducer:
    """Writes a body at once; it is in memory and bounded already."""

    def __init__(
        self, body: bytes, guard: typing.Callable[[], bool] | None
    ) -> None:
        self.length = len(body)
        self._body = body
        self._guard = guard
        self.is_withheld = False

    def startProducing(  # noqa: N802
        self, consumer: interfaces.IConsumer
    ) -> defer.Deferred[None]:
        if self._guard is not None and not self._guard():
            self.is_withheld = True
            return defer.fail(
                GuardClosedError("The request was withheld by its guard.")
            )
        consumer.write(self._body)
        if self._guard is not None:
            _flush(consumer)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing; the body has been handed over."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing; the body has been handed over."""

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing; the body has been handed over."""


def _flush(consumer: typing.Any) -> None:
    """Hands what was written to the socket before the loop goes on.

    The loop would write it in a later turn, and a process that is stopped in
    between would send under a permission that has run out meanwhile. What the
    socket does not take now stays with the loop, which sees errors, too.
    """
    transport = getattr(consumer, "_consumer", consumer)
    write = getattr(transport, "doWrite", None)
    if write is not None:
        write()


def _headers_of(req: UpstreamRequest) -> http_headers.Headers:
    headers = http_headers.Headers()
    for name, value in req.headers:
        headers.addRawHeader(name.encode("latin-1"), value.encode("latin-1"))
    return headers


def _error_of(exc: Exception, is_timeout: bool) -> UpstreamError:
    if isinstance(exc, _NEVER_CONNECTED):
        return UpstreamError(
            base.Outcome.NOT_RUN,
            f"The endpoint refused the connection: {exc}",
            is_timeout,
        )
    return UpstreamError(
        base.Outcome.MAY_HAVE_RUN,
        f"The endpoint gave no answer: {type(exc).__name__}: {exc}",
        is_timeout,
        is_unanswered=not is_timeout and isinstance(exc, mesh.UnansweredError),
        is_stale_connection=not is_timeout
        and isinstance(exc, mesh.StaleConnectionError),
    )
