"""Tests of kept connections that end before an answer."""

import functools
import typing
import unittest

import banyanbank_base as base
import banyanbank_web as web
from returns import result
from twisted.internet import protocol

from tests import support

LIMIT_S = 20.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class _Server(protocol.Protocol):
    """Answers a number of requests on each connection, then ends it."""

    def __init__(self, answers: int, ending: bytes) -> None:
        self._answers = answers
        self._ending = ending

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        del data
        if self._answers:
            self._answers -= 1
            self.transport.write(ANSWER)
        elif self._ending:
            self.transport.write(self._ending)
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()


async def _send_twice(answers: int, ending: bytes) -> tuple[bool, int]:
    """Returns whether the last loss was a stale one, and the connections."""
    from twisted.internet import reactor

    loop = typing.cast(typing.Any, reactor)
    built: list[_Server] = []

    def build(addr: object) -> _Server:
        del addr
        built.append(_Server(answers, ending))
        return built[-1]

    factory = protocol.Factory()
    factory.buildProtocol = build
    port = loop.listenTCP(0, factory, interface="127.0.0.1")
    upstream = web.Upstream(loop, base.SystemClock())
    is_stale = False
    try:
        for _ in range(2):
            sent = await upstream.send(
                web.UpstreamRequest(
                    "POST",
                    f"http://127.0.0.1:{port.getHost().port}/",
                    (),
                    b"body",
                    base.SystemClock().now() + 5.0,
                )
            )
            if isinstance(sent, result.Failure):
                is_stale = sent.failure().is_stale_connection
            else:
                await sent.unwrap().read_all(1024)
        return is_stale, len(built)
    finally:
        await port.stopListening()
        await upstream.close()


class StaleConnectionTest(unittest.TestCase):
    """Tells stale connections from endpoints that fail.

    Guards against backoffs of sound endpoints that close idle connections.
    """

    def test_losses(self) -> None:
        for name, answers, ending, want in (
            ("kept connection, no answer", 1, b"", (True, 1)),
            ("kept connection, cut head", 1, b"HTTP/1.1 20", (False, 1)),
            ("new connection, no answer", 0, b"", (False, 2)),
            ("both are answered", 2, b"", (False, 1)),
        ):
            with self.subTest(name):
                found = support.run_async(
                    functools.partial(_send_twice, answers, ending), LIMIT_S
                )
                self.assertEqual(found, want)


if __name__ == "__main__":
    unittest.main()
