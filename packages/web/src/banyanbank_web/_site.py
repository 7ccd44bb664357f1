"""HTTP server with limits and a table of routes."""

import re
import typing

import attrs
import banyanbank_base as base
import loguru
from twisted.internet import defer
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from banyanbank_web import _exchange

Handler = typing.Callable[
    [_exchange.Exchange], typing.Coroutine[typing.Any, typing.Any, None]
]

Observer = typing.Callable[[str, int, float], None]

CLOSE_IDLE_S = 1.0
"""Seconds without a request after which a closing site ends a connection."""
ABORT_IDLE_S = 2.0
"""Seconds without a request after which it no longer waits for the peer."""


@attrs.frozen
class HttpLimits:
    """Bounds on what one connection may ask for."""

    max_body_bytes: int = 4 * 1024 * 1024
    """Largest request body."""
    max_headers: int = 100
    """Most header lines of one request."""
    idle_timeout_s: float = 60.0
    """Seconds a connection may take over sending one request."""
    max_exchanges: int = 2_000
    """Most requests in progress at once."""


@attrs.frozen
class Route:
    """One line of the route table."""

    method: str
    """HTTP method, or `*` for every one."""
    path: str
    """Path with `{name}` for a part and `{name...}` for all that follows."""
    handler: Handler
    """Serves the request."""


class RouteTable:
    """Finds the handler of a request.

    Args:
        routes: In the order in which they are tried.
    """

    def __init__(self, routes: typing.Iterable[Route]) -> None:
        self.routes = tuple(routes)
        self._compiled = [
            (route, _compile_path(route.path)) for route in self.routes
        ]

    def find(
        self, method: str, path: str
    ) -> tuple[Route, dict[str, str]] | None:
        """Returns a route with the path's named parts, or None."""
        for route, pattern in self._compiled:
            if route.method not in ("*", method):
                continue
            match = pattern.fullmatch(path)
            if match is not None:
                return route, match.groupdict()
        return None


def _compile_path(path: str) -> re.Pattern[str]:
    parts = []
    for part in re.split(r"(\{[a-z_]+(?:\.\.\.)?\})", path):
        if part.endswith("...}"):
            parts.append(f"(?P<{part[1:-4]}>.*)")
        elif part.startswith("{"):
            parts.append(f"(?P<{part[1:-1]}>[^/]+)")
        else:
            parts.append(re.escape(part))
    return re.compile("".join(parts))


class LimitedRequest(server.Request):
    """Request whose body may not grow beyond the site's limit."""

    is_too_large = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Takes in the announced length of the body."""
        limits = self._limits()
        if length is not None and length > limits.max_body_bytes:
            self.is_too_large = True
            length = None
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Takes in a piece of the body."""
        if self.is_too_large:
            return
        if self.content is not None:
            size = self.content.tell() + len(data)
            if size > self._limits().max_body_bytes:
                self.is_too_large = True
                return
        super().handleContentChunk(data)

    def _limits(self) -> HttpLimits:
        channel: typing.Any = self.channel
        return typing.cast(HttpLimits, channel.site.limits)


class LimitedSite(server.Site):
    """Serves a route table within limits.

    Args:
        table: Routes.
        limits: Bounds on requests.
        reactor: Reactor that carries sockets and timers.
        new_request_id: Draws the id of each request.
        observe: Told of each request's route, status and seconds.
    """

    def __init__(
        self,
        table: RouteTable,
        limits: HttpLimits,
        reactor: typing.Any,
        new_request_id: typing.Callable[[], base.RequestId],
        observe: Observer,
    ) -> None:
        root = _RootResource(self)
        super().__init__(
            root,
            requestFactory=LimitedRequest,
            timeout=limits.idle_timeout_s,
            reactor=reactor,
        )
        self.table = table
        self.limits = limits
        self.new_request_id = new_request_id
        self.observe = observe
        self.exchanges = 0
        self.is_closing = False
        self.displayTracebacks = False
        self._used_at: dict[typing.Any, float] = {}

    def buildProtocol(self, addr: typing.Any) -> typing.Any:  # noqa: N802
        """Builds the protocol of one connection."""
        protocol: typing.Any = super().buildProtocol(addr)
        channel = getattr(protocol, "_channel", protocol)
        channel.maxHeaders = self.limits.max_headers
        self._used_at[channel] = self.reactor.seconds()
        lose = protocol.connectionLost

        def connection_lost(reason: typing.Any) -> None:
            # Closing a TLS connection that is gone already would raise.
            self._used_at.pop(channel, None)
            lose(reason)

        protocol.connectionLost = connection_lost
        return protocol

    def begin_closing(self) -> None:
        """Closes each connection after its next answer, and says so."""
        self.is_closing = True

    @property
    def connections(self) -> int:
        """Connections that are open."""
        return len(self._used_at)

    def note_used(self, channel: typing.Any) -> None:
        """Notes that a connection carries or has just carried a request."""
        if channel in self._used_at:
            self._used_at[channel] = self.reactor.seconds()

    def change_limits(self, limits: HttpLimits) -> None:
        """Holds requests to other limits.

        An open connection keeps the idle time that it began with.

        Args:
            limits: Bounds on requests.
        """
        self.limits = limits
        self.timeOut = limits.idle_timeout_s

    def close_idle(self) -> None:
        """Closes connections that have long been idle.

        A connection just made or used may have a request on its way.
        """
        now = self.reactor.seconds()
        for channel, used_at in list(self._used_at.items()):
            idle_s = now - used_at
            if channel.requests or channel.transport is None:
                continue
            if idle_s >= ABORT_IDLE_S:
                channel.transport.abortConnection()
            elif idle_s >= CLOSE_IDLE_S:
                channel.transport.loseConnection()

    def abort_all(self) -> None:
        """Cuts every connection."""
        for channel in list(self._used_at):
            if channel.transport is not None:
                channel.transport.abortConnection()

    def log(self, request: http.Request) -> None:
        """Writes no access log; the time line has the events."""


class _RootResource(resource.Resource):
    isLeaf = True  # noqa: N815  (twisted's name)

    def __init__(self, site: LimitedSite) -> None:
        super().__init__()
        self._site = site

    def render(self, request: server.Request) -> int:
        path = request.path.decode("ascii", "replace")
        method = request.method.decode("ascii", "replace")
        found = self._site.table.find(method, path)
        exchange = _exchange.Exchange(
            request,
            self._site.new_request_id(),
            found[1] if found else {},
            self._site.reactor,
        )
        if self._site.is_closing:
            exchange.close_after()
        refusal = self._refusal(request, path, found is not None)
        if refusal is not None:
            exchange.refuse(refusal)
        elif found is not None:
            self._serve(found[0], exchange)
        return server.NOT_DONE_YET

    def _refusal(
        self, request: server.Request, path: str, is_known: bool
    ) -> base.Refusal | None:
        limits = self._site.limits
        if getattr(request, "is_too_large", False):
            return base.Refusal(
                base.RefusalReason.TOO_LARGE,
                base.Outcome.NOT_RUN,
                f"The body is over {limits.max_body_bytes} bytes; send less.",
            )
        if not is_known:
            return base.Refusal(
                base.RefusalReason.NOT_FOUND,
                base.Outcome.NOT_RUN,
                f"No route {path[:200]!r}; docs/API.md lists the routes.",
            )
        if self._site.exchanges >= limits.max_exchanges:
            return base.Refusal(
                base.RefusalReason.OVERLOADED,
                base.Outcome.NOT_RUN,
                "This instance has too many requests in progress; try again.",
                retry_after=1.0,
            )
        return None

    def _serve(self, route: Route, exchange: _exchange.Exchange) -> None:
        self._site.exchanges += 1
        channel = exchange.channel
        self._site.note_used(channel)
        begun_at = self._site.reactor.seconds()
        deferred = defer.ensureDeferred(route.handler(exchange))
        deferred.addErrback(self._on_error, exchange)
        deferred.addBoth(self._on_done, route, exchange, begun_at, channel)

    def _on_error(
        self, failure: typing.Any, exchange: _exchange.Exchange
    ) -> None:
        if failure.check(_exchange.ExchangeClosed, defer.CancelledError):
            exchange.abort()
            return
        loguru.logger.error(
            "request {} failed: {}",
            exchange.request_id,
            failure.getTraceback(),
        )
        exchange.refuse(
            base.Refusal(
                base.RefusalReason.INTERNAL,
                base.Outcome.MAY_HAVE_RUN,
                "The instance failed on this request; its log says why.",
            )
        )

    def _on_done(
        self,
        _result: object,
        route: Route,
        exchange: _exchange.Exchange,
        begun_at: float,
        channel: typing.Any,
    ) -> None:
        self._site.exchanges -= 1
        self._site.note_used(channel)
        seconds = self._site.reactor.seconds() - begun_at
        self._site.observe(route.path, exchange.status, seconds)
