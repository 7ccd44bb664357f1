"""Servers that send bytes without end."""

import re
import typing

from twisted.internet import interfaces
from twisted.internet import protocol
import zope.interface

PIECE_BYTES = 64 * 1024

_REQUEST_ID = re.compile(rb"(?i)x-banyanbank-request-id: *([^\r\n]*)")


class Flood(typing.NamedTuple):
    """What a server sends in answer to a request."""

    beginning: bytes
    """Sent once; `%ID` is replaced by the id of the request."""
    piece: bytes
    """Sent again and again; `%N` is replaced by a number that grows."""


@zope.interface.implementer(interfaces.IPushProducer)
class _Flooding(protocol.Protocol):
    """Sends its flood until the peer closes."""

    def __init__(self, server: "FloodServer") -> None:
        self._server = server
        self._flood: Flood | None = None
        self._is_paused = False
        self._is_closed = False
        self._number = 1
        self._head = b""

    def connectionMade(self) -> None:  # noqa: N802
        self._server.opened += 1

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._flood is not None:
            return
        self._head += data
        if b"\r\n\r\n" not in self._head:
            return
        is_report = self._server.reports and self._head.startswith(
            b"GET /-/report "
        )
        self._flood = REPORT if is_report else self._server.flood
        found = _REQUEST_ID.search(self._head)
        name = found.group(1) if found else b""
        if not self._server.reads_requests:
            self.transport.pauseProducing()
        self._write(self._flood.beginning.replace(b"%ID", name))
        if self._flood.piece:
            self.transport.registerProducer(self, True)
            self._go_on()

    def resumeProducing(self) -> None:  # noqa: N802
        self._is_paused = False
        self._go_on()

    def pauseProducing(self) -> None:  # noqa: N802
        self._is_paused = True

    def stopProducing(self) -> None:  # noqa: N802
        self._is_closed = True

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = protocol.connectionDone
    ) -> None:
        del reason
        self._is_closed = True
        self._server.closed += 1

    def _go_on(self) -> None:
        if self._is_paused or self._is_closed or self._flood is None:
            return
        self._write(self._next_data(self._flood.piece))
        self._server.reactor.callLater(0, self._go_on)

    def _write(self, data: bytes) -> None:
        self._server.sent += len(data)
        self.transport.write(data)

    def _next_data(self, piece: bytes) -> bytes:
        count = PIECE_BYTES // len(piece) or 1
        if b"%N" not in piece:
            return piece * count
        first = self._number
        self._number += count
        return b"".join(
            piece.replace(b"%N", b"%d" % (first + number))
            for number in range(count)
        )


class FloodServer:
    """Answers each request with its flood.

    Args:
        reactor: Provides sockets and timers.
        host: IP number to listen at.
        port: Port to listen at; 0 for any.

    Attributes:
        address: Where it listens.
        flood: What it sends.
        reads_requests: Whether it reads more than the head of a request.
        reports: Whether it answers the request for an engine's report.
        opened: Connections accepted so far.
        closed: Those that have ended.
        sent: Bytes of all floods so far, those in buffers included.
    """

    def __init__(self, reactor: typing.Any, host: str, port: int = 0) -> None:
        self.reactor = reactor
        self.flood = Flood(b"", b"x")
        self.reads_requests = True
        self.reports = True
        self.opened = 0
        self.closed = 0
        self.sent = 0
        factory = protocol.Factory()
        factory.buildProtocol = self._build  # type: ignore[method-assign,assignment]
        self._port = reactor.listenTCP(port, factory, interface=host)
        self.address = f"{host}:{self._port.getHost().port}"

    async def stop(self) -> None:
        """Closes the listener."""
        await self._port.stopListening()

    def _build(self, addr: object) -> _Flooding:
        del addr
        return _Flooding(self)


HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Banyanbank-Request-Id: %ID\r\n"
    b"X-Banyanbank-Response-Signature: signed.%ID\r\n"
    b"X-Banyanbank-Weight-Versions: 1\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

REPORT = Flood(
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
    b'{"models": [{"name": "model", "version": 1, "adapters": []}],'
    b' "busy": false, "sequence": 0}',
    b"",
)
HEAD_PLACES = {
    "status line": Flood(b"HTTP/1.1 200 ", b"fine"),
    "no answer": Flood(b"", b"\x00\x01\x02\x03"),
    "headers": Flood(HEAD, b"X-More: and more\r\n"),
    "one header": Flood(HEAD + b"X-More: ", b"more"),
    "folded header": Flood(HEAD + b"X-More: a\r\n", b" more\r\n"),
    "interim answers": Flood(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
}
BODY_PLACES = {
    "body without a length": Flood(HEAD + b"\r\n", b"more"),
    "body of a false length": Flood(
        HEAD + b"Content-Length: 999999999999999\r\n\r\n", b"more"
    ),
    "chunked body": Flood(CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "small chunks": Flood(CHUNKED, b"2\r\nxy\r\n"),
    "chunk size": Flood(CHUNKED, b"0"),
    "chunk extension": Flood(CHUNKED + b"4;", b"more"),
    "trailers": Flood(CHUNKED + b"0\r\n", b"X-More: and more\r\n"),
}
BEYOND_PLACES = {
    "after a length": Flood(HEAD + b"Content-Length: 4\r\n\r\ndone", b"more"),
    "after the last chunk": Flood(CHUNKED + b"4\r\ndone\r\n0\r\n\r\n", b"more"),
    "after an empty answer": Flood(
        HEAD.replace(b"200 OK", b"204 No") + b"\r\n", b"more"
    ),
}
EVENT_PLACES = {
    "event without end": Flood(CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "events": Flood(HEAD + b"\r\n", b"id: %N\ndata: some text\n\n"),
    "small events": Flood(HEAD + b"\r\n", b"id: %N\ndata:xy\n\n"),
    "versions": Flood(
        HEAD + b"\r\n",
        b"x-banyanbank-weight-versions: 1%N\nid: %N\ndata:xy\n\n",
    ),
    "comments": Flood(HEAD + b"\r\n", b": ping\n\n"),
}
