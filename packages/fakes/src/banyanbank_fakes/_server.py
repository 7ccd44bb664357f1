"""HTTP server shared by the stand-ins."""

import json
import typing

import attrs
from twisted.internet import defer
from twisted.internet import task
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from banyanbank_fakes import _faults

JsonObject = dict[str, typing.Any]
Handler = typing.Callable[
    [server.Request, bytes], typing.Coroutine[typing.Any, typing.Any, None]
]


@attrs.define
class FakeServer:
    """A loopback HTTP server with a table of handlers by method and path.

    A path that ends in `*` takes every path with that beginning.
    """

    reactor: typing.Any
    """Reactor that carries timers and sockets."""
    host: str = "127.0.0.1"
    """Loopback address to listen on."""
    faults: _faults.Faults = attrs.field(factory=_faults.Faults)
    """What to do wrong."""
    port: int = 0
    """Port listened on; 0 before `start`."""
    _handlers: dict[tuple[str, str], Handler] = attrs.field(factory=dict)
    _listener: typing.Any = None

    @property
    def url(self) -> str:
        """Base URL once started."""
        return f"http://{self.host}:{self.port}"

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Adds a handler; method `*` takes every method."""
        self._handlers[method, path] = handler

    def start(self) -> None:
        """Starts to listen on a free port, or again on the port had before."""
        site = server.Site(_TableResource(self))
        self._listener = self.reactor.listenTCP(
            self.port, site, interface=self.host
        )
        self.port = self._listener.getHost().port

    async def stop(self) -> None:
        """Stops to listen; connections that are open go on."""
        if self._listener is not None:
            listener, self._listener = self._listener, None
            await defer.maybeDeferred(listener.stopListening)

    async def pause(self, seconds: float) -> None:
        """Waits on the reactor's clock."""
        if seconds > 0:
            await task.deferLater(self.reactor, seconds)

    def find(self, method: str, path: str) -> Handler | None:
        """Returns the handler of a request, or None."""
        for (known, pattern), handler in self._handlers.items():
            if known not in ("*", method):
                continue
            if pattern == path:
                return handler
            if pattern.endswith("*") and path.startswith(pattern[:-1]):
                return handler
        return None


class _TableResource(resource.Resource):
    isLeaf = True  # noqa: N815  (twisted's name)

    def __init__(self, fake: FakeServer) -> None:
        super().__init__()
        self._fake = fake

    def render(self, request: server.Request) -> int:
        defer.ensureDeferred(self._serve(request)).addErrback(
            lambda failure: abort(request)
        )
        return server.NOT_DONE_YET

    async def _serve(self, request: server.Request) -> None:
        # A lost connection is seen at the next write; nobody waits for it.
        request.notifyFinish().addErrback(lambda _failure: None)
        method = request.method.decode()
        path = request.path.decode()
        handler = self._fake.find(method, path)
        if handler is None:
            send_json(request, http.NOT_FOUND, {"error": "no such path"})
            return
        if self._fake.faults.refuse:
            send_json(request, http.SERVICE_UNAVAILABLE, {"error": "refused"})
            return
        await self._fake.pause(self._fake.faults.lag_s)
        body = request.content.read() if request.content else b""
        await handler(request, body)


def is_open(request: server.Request) -> bool:
    """Tells whether an answer can still be written."""
    return not request.finished and not request._disconnected


def abort(request: server.Request) -> None:
    """Closes a connection without a whole answer."""
    transport: typing.Any = request.transport
    if is_open(request) and transport is not None:
        transport.abortConnection()


def send_json(request: server.Request, status: int, body: JsonObject) -> None:
    """Answers with a JSON object, unless the caller has gone."""
    if not is_open(request):
        return
    data = json.dumps(body).encode()
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(data)).encode())
    request.write(data)
    request.finish()
