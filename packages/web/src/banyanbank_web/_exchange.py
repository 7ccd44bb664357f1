"""One request and its answer, as handlers see them."""

import json
import typing
import urllib.parse

import banyanbank_base as base
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import server
import zope.interface

from banyanbank_web import _problem

SLOW_READER_S = 30.0
JSON_TYPE = b"application/json"
PROBLEM_TYPE = b"application/problem+json"


class ExchangeClosed(Exception):  # noqa: N818
    """The caller's connection is gone, or the answer was ended early."""


@zope.interface.implementer(interfaces.IPushProducer)
class _WriteGate:
    """Holds the writer back while the caller reads slowly."""

    def __init__(self, request: server.Request, reactor: typing.Any) -> None:
        self._request = request
        self._reactor = reactor
        self._waiting: list[defer.Deferred[None]] = []
        self._paused = False
        self._timer: typing.Any = None

    def pauseProducing(self) -> None:  # noqa: N802
        self._paused = True
        if self._timer is None:
            self._timer = self._reactor.callLater(SLOW_READER_S, self._give_up)

    def resumeProducing(self) -> None:  # noqa: N802
        self._paused = False
        self._release()

    def stopProducing(self) -> None:  # noqa: N802
        self._paused = False
        self._release()

    def _give_up(self) -> None:
        self._timer = None
        transport: typing.Any = self._request.transport
        if transport is not None:
            transport.abortConnection()

    def _release(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            deferred.callback(None)

    async def ready(self) -> None:
        while self._paused:
            deferred: defer.Deferred[None] = defer.Deferred()
            self._waiting.append(deferred)
            await deferred


class Exchange:
    """One request and its answer.

    Args:
        request: The twisted request; its body has been read.
        request_id: Id of this request, told to the caller and the endpoint.
        parameters: Named parts of the path.
        reactor: Carries the timer for slow readers.
    """

    def __init__(
        self,
        request: server.Request,
        request_id: base.RequestId,
        parameters: dict[str, str],
        reactor: typing.Any,
    ) -> None:
        self._request = request
        self._reactor = reactor
        self._gate: _WriteGate | None = None
        self._body: bytes | None = None
        self._closed: list[typing.Callable[[], None]] = []
        self.request_id = request_id
        self.parameters = {
            name: urllib.parse.unquote(value)
            for name, value in parameters.items()
        }
        self.is_closed = False
        self.has_started = False
        self.status = 0
        request.notifyFinish().addBoth(self._on_finish)

    @property
    def channel(self) -> typing.Any:
        """The connection that carries the request; None once it is lost."""
        return self._request.channel

    @property
    def method(self) -> str:
        """HTTP method."""
        return self._request.method.decode("ascii", "replace")

    @property
    def path(self) -> str:
        """Path without its query."""
        return self._request.path.decode("ascii", "replace")

    @property
    def uri(self) -> str:
        """Path with its query."""
        return self._request.uri.decode("ascii", "replace")

    @property
    def body(self) -> bytes:
        """Whole body; read once, since a long one lies in a file."""
        if self._body is None:
            content = self._request.content
            if content is None:
                return b""
            content.seek(0)
            self._body = content.read()
        return self._body

    def header(self, name: str) -> str:
        """Returns a header's last value, or an empty string."""
        value = self._request.getHeader(name)
        return value if isinstance(value, str) else ""

    def header_items(self) -> list[tuple[str, str]]:
        """Returns every header with names in lower case."""
        return [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, values in self._request.requestHeaders.getAllRawHeaders()
            for value in values
        ]

    def query(self, name: str) -> str:
        """Returns a query parameter's last value, or an empty string."""
        values = (self._request.args or {}).get(name.encode(), [])
        return values[-1].decode("utf-8", "replace") if values else ""

    def json(self) -> typing.Any:
        """Returns the body read as JSON.

        Raises:
            ValueError: The body is not JSON.
        """
        return json.loads(self.body)

    def on_closed(self, callback: typing.Callable[[], None]) -> None:
        """Calls back once when nobody waits for the answer any more."""
        if self.is_closed:
            callback()
            return
        self._closed.append(callback)

    def close_after(self) -> None:
        """Closes the connection after this answer, and says so."""
        channel: typing.Any = self._request.channel
        channel.persistent = False
        self._request.setHeader(b"connection", b"close")

    def start(
        self, status: int, headers: typing.Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Sends status and headers of a streamed answer.

        Raises:
            ExchangeClosed: The caller is gone.
        """
        if self.is_closed:
            raise ExchangeClosed
        self.has_started = True
        self.status = status
        self._request.setResponseCode(status)
        for name, value in headers:
            self._request.responseHeaders.addRawHeader(name, value)
        self._request.setHeader(b"x-request-id", self.request_id.encode())
        self._gate = _WriteGate(self._request, self._reactor)
        self._request.registerProducer(self._gate, True)

    async def write(self, data: bytes) -> None:
        """Writes a piece of the body; waits while the caller reads slowly.

        Raises:
            ExchangeClosed: The caller is gone.
        """
        if self.is_closed:
            raise ExchangeClosed
        self._request.write(data)
        if self._gate is not None:
            await self._gate.ready()
        if self.is_closed:
            raise ExchangeClosed

    def finish(self) -> None:
        """Ends a streamed answer."""
        if self.is_closed:
            return
        if self._gate is not None:
            self._request.unregisterProducer()
        self._request.finish()

    def abort(self) -> None:
        """Closes the connection so that the answer cannot look whole."""
        transport: typing.Any = self._request.transport
        if not self.is_closed and transport is not None:
            transport.abortConnection()

    def respond(
        self,
        status: int,
        body: bytes,
        content_type: bytes = JSON_TYPE,
        headers: typing.Iterable[tuple[bytes, bytes]] = (),
    ) -> None:
        """Sends a whole answer, unless the caller is gone."""
        if self.is_closed or self.has_started:
            return
        self.has_started = True
        self.status = status
        self._request.setResponseCode(status)
        for name, value in headers:
            self._request.responseHeaders.addRawHeader(name, value)
        self._request.setHeader(b"content-type", content_type)
        self._request.setHeader(b"content-length", str(len(body)).encode())
        self._request.setHeader(b"x-request-id", self.request_id.encode())
        if self.method != "HEAD":
            self._request.write(body)
        self._request.finish()

    def relay(
        self,
        status: int,
        headers: typing.Iterable[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Sends a whole answer whose headers are given, none added.

        Does nothing when the caller is gone.
        """
        if self.is_closed or self.has_started:
            return
        self.has_started = True
        self.status = status
        self._request.setResponseCode(status)
        for name, value in headers:
            self._request.responseHeaders.addRawHeader(name, value)
        self._request.setHeader(b"content-length", str(len(body)).encode())
        if self.method != "HEAD":
            self._request.write(body)
        self._request.finish()

    def respond_json(self, status: int, document: typing.Any) -> None:
        """Sends a JSON answer."""
        self.respond(status, json.dumps(document).encode())

    def refuse(self, refusal: base.Refusal) -> None:
        """Sends a refusal, or cuts an answer that has begun."""
        if self.has_started:
            self.abort()
            return
        headers = [(b"x-execution-outcome", refusal.outcome.value.encode())]
        retry_after = _problem.retry_after_header(refusal)
        if retry_after is not None:
            headers.append((b"retry-after", retry_after))
        status = _problem.status_of(refusal)
        if status == 401:
            headers.append((b"www-authenticate", b"Bearer"))
        body = _problem.problem_body(refusal, self.request_id)
        self.respond(status, body, PROBLEM_TYPE, headers)

    def end_early(self, refusal: base.Refusal) -> None:
        """Refuses a request in progress and ends what runs for it."""
        self.refuse(refusal)
        self._fire_closed()

    def _fire_closed(self) -> None:
        callbacks, self._closed = self._closed, []
        for callback in callbacks:
            callback()

    def _on_finish(self, result: typing.Any) -> None:
        was_lost = result is not None
        self.is_closed = True
        if self._gate is not None:
            self._gate.stopProducing()
        if was_lost:
            self._fire_closed()
        self._closed.clear()
