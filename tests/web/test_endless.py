"""Tests of endpoints that send bytes without end."""

import typing
import unittest

import banyanbank_base as base
import banyanbank_web as web
from returns import result
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
import zope.interface

from tests import support

LIMIT_S = 20.0
MAX_BODY = 64 * 1024
MOST_SENT = 8 * 1024 * 1024
"""Bytes that buffers of both sides may take, beyond what the client reads."""

HEAD = b"HTTP/1.1 200 OK\r\n"


@zope.interface.implementer(interfaces.IPushProducer)
class _Endless(protocol.Protocol):
    """Sends a beginning, then the same piece until its peer closes."""

    def __init__(self, beginning: bytes, piece: bytes) -> None:
        self._beginning = beginning
        self._piece = piece * (16 * 1024 // len(piece) or 1)
        self._is_paused = True
        self.sent = 0
        self.closed: defer.Deferred[None] = defer.Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        del data
        if self.sent:
            return
        self._write(self._beginning)
        self.transport.registerProducer(self, True)
        self.resumeProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        self._is_paused = False
        self._go_on()

    def pauseProducing(self) -> None:  # noqa: N802
        self._is_paused = True

    def stopProducing(self) -> None:  # noqa: N802
        self._is_paused = True

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = protocol.connectionDone
    ) -> None:
        del reason
        self._is_paused = True
        if not self.closed.called:
            self.closed.callback(None)

    def _go_on(self) -> None:
        from twisted.internet import reactor

        if not self._is_paused and not self.closed.called:
            self._write(self._piece)
            typing.cast(typing.Any, reactor).callLater(0, self._go_on)

    def _write(self, data: bytes) -> None:
        self.sent += len(data)
        self.transport.write(data)


class EndlessTest(unittest.TestCase):
    """The exchange ends after a bounded number of bytes, not of seconds."""

    def test_endless(self) -> None:
        chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        for name, beginning, piece in (
            ("headers", HEAD, b"X-More: and more\r\n"),
            ("one header", HEAD + b"X-More: ", b"more"),
            ("a folded header", HEAD + b"X-More: a\r\n", b" more\r\n"),
            ("a status line", b"HTTP/1.1 200 ", b"fine"),
            ("interim answers", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            ("bytes that are no answer", b"", b"\x00\x01\x02\x03"),
            ("a body without a length", HEAD + b"\r\n", b"more"),
            ("a chunked body", chunked, b"4\r\nmore\r\n"),
            ("a chunk's size", chunked, b"0"),
            ("a chunk's extension", chunked + b"4;", b"more"),
            ("trailers", chunked + b"0\r\n", b"X-More: and more\r\n"),
        ):
            with self.subTest(name):
                exchange, sent, took_s = support.run_async(
                    lambda beginning=beginning, piece=piece: _play(
                        beginning, piece
                    )
                )
                self.assertIsInstance(exchange, result.Failure)
                error = exchange.failure()
                self.assertNotEqual(error.outcome, base.Outcome.NOT_RUN)
                self.assertFalse(error.is_timeout, error.detail)
                self.assertLess(sent, MOST_SENT)
                self.assertLess(took_s, LIMIT_S)


async def _play(
    beginning: bytes, piece: bytes
) -> tuple[result.Result[bytes, web.UpstreamError], int, float]:
    from twisted.internet import reactor

    loop: typing.Any = reactor
    factory = protocol.Factory()
    served: list[_Endless] = []

    def build(addr: object) -> _Endless:
        del addr
        served.append(_Endless(beginning, piece))
        return served[-1]

    factory.buildProtocol = build  # type: ignore[method-assign,assignment]
    port = loop.listenTCP(0, factory, interface="127.0.0.1")
    clock = base.SystemClock()
    began_at = clock.now()
    upstream = web.Upstream(loop, clock)
    req = web.UpstreamRequest(
        method="GET",
        url=f"http://127.0.0.1:{port.getHost().port}/",
        headers=(),
        body=b"",
        deadline=began_at + LIMIT_S,
    )
    exchange: result.Result[typing.Any, web.UpstreamError]
    exchange = await upstream.send(req)
    if isinstance(exchange, result.Success):
        exchange = await exchange.unwrap().read_all(MAX_BODY)
    took_s = clock.now() - began_at
    await served[0].closed
    await port.stopListening()
    return exchange, served[0].sent, took_s


if __name__ == "__main__":
    unittest.main()
