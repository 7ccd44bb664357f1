"""Tests of answers that begin with no HTTP status line."""

import typing
import unittest

import banyanbank_base as base
import banyanbank_web as web
from returns import result
from twisted.internet import protocol

from tests import support

LIMIT_S = 30.0

HEAD = b"\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nOK"
"""What follows a status line in a whole answer."""

INVALID_LINES: tuple[bytes, ...] = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 000",
    b"HTTP/1.1 0 OK",
    b"HTTP/1.1 99 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 0200 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 1000000 OK",
    b"HTTP/1.1 -1 OK",
    b"HTTP/1.1 -200 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 2_0 OK",
    b"HTTP/1.1 2_00 OK",
    b"HTTP/1.1 200.0 OK",
    b"HTTP/1.1 0x200 OK",
    b"HTTP/1.1 20O OK",
    b"HTTP/1.1 \xd9\xa2\xd9\xa0\xd9\xa0 OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b"HTTP/1.1 200\tOK",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1 OK",
    b"HTTP/1.1 ",
    b"HTTP/1.1",
    b"HTTP/2 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/1.11 200 OK",
    b"HTTP/-1.1 200 OK",
    b"http/1.1 200 OK",
    b"ICY 200 OK",
    b" HTTP/1.1 200 OK",
    b"200 OK",
    b"200",
    b"",
    b"\x00\x00\x00",
    b"<html>",
    b"SSH-2.0-OpenSSH_9",
)
"""First lines that are no status line (RFC 9112, section 4)."""

VALID_LINES: tuple[tuple[bytes, int], ...] = (
    (b"HTTP/1.1 200 OK", 200),
    (b"HTTP/1.1 200 ", 200),
    (b"HTTP/1.1 200", 200),
    (b"HTTP/1.0 200 OK", 200),
    (b"HTTP/1.1 299 Not \xe9 Named", 299),
    (b"HTTP/1.1 404 Not Found", 404),
    (b"HTTP/1.1 599 Own", 599),
    (b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK", 200),
)


class _Server(protocol.Protocol):
    """Gives each request on a connection the next of its answers."""

    def __init__(self, answers: list[bytes]) -> None:
        self._answers = answers

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        del data
        self.transport.write(self._answers.pop(0))


async def _ask(
    answers: list[bytes], count: int, is_repeatable: bool = True
) -> list[result.Result[tuple[int, bytes], web.UpstreamError]]:
    """Returns what comes of some requests, one after the other."""
    from twisted.internet import reactor

    loop = typing.cast(typing.Any, reactor)
    factory = protocol.Factory()
    factory.buildProtocol = lambda addr: _Server(answers)  # type: ignore[method-assign,assignment,misc]
    port = loop.listenTCP(0, factory, interface="127.0.0.1")
    clock = base.SystemClock()
    upstream = web.Upstream(loop, clock)
    got: list[result.Result[tuple[int, bytes], web.UpstreamError]] = []
    try:
        for _ in range(count):
            sent = await upstream.send(
                web.UpstreamRequest(
                    "POST",
                    f"http://127.0.0.1:{port.getHost().port}/",
                    (),
                    b"body",
                    clock.now() + 5.0,
                    is_repeatable,
                )
            )
            if isinstance(sent, result.Failure):
                got.append(sent)
                continue
            resp = sent.unwrap()
            body = await resp.read_all(1024)
            got.append(body.map(lambda data, resp=resp: (resp.status, data)))
    finally:
        await port.stopListening()
        await upstream.close()
    return got


class StatusLineTest(unittest.TestCase):
    """What begins with no status line is no answer, whoever asked.

    Guards against an answer with status 000 that reached a client (MIXED).
    """

    def check_failure(
        self, got: result.Result[tuple[int, bytes], web.UpstreamError]
    ) -> None:
        self.assertIsInstance(got, result.Failure, got)
        self.assertIs(got.failure().outcome, base.Outcome.MAY_HAVE_RUN)
        self.assertFalse(got.failure().is_timeout)

    def test_invalid_lines(self) -> None:
        async def scenario() -> None:
            for line in INVALID_LINES:
                for is_repeatable in (True, False):
                    with self.subTest(line=line, is_repeatable=is_repeatable):
                        (got,) = await _ask([line + HEAD], 1, is_repeatable)
                        self.check_failure(got)

        support.run_async(scenario, LIMIT_S)

    def test_kept_connection(self) -> None:
        """Guards against a check of the first answer alone."""

        async def scenario() -> None:
            sound = b"HTTP/1.1 200 OK" + HEAD
            for line in INVALID_LINES[:3]:
                with self.subTest(line=line):
                    answers = [sound, line + HEAD, sound]
                    first, second, third = await _ask(answers, 3)
                    self.assertEqual(first, result.Success((200, b"OK")))
                    self.check_failure(second)
                    self.assertEqual(third, result.Success((200, b"OK")))

        support.run_async(scenario, LIMIT_S)

    def test_interim_answer(self) -> None:
        """Guards against an invalid line behind a valid interim answer."""

        async def scenario() -> None:
            interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
            for line in INVALID_LINES[:3]:
                with self.subTest(line=line):
                    (got,) = await _ask([interim + line + HEAD], 1)
                    self.check_failure(got)

        support.run_async(scenario, LIMIT_S)

    def test_valid_lines(self) -> None:
        async def scenario() -> None:
            for line, status in VALID_LINES:
                with self.subTest(line=line):
                    (got,) = await _ask([line + HEAD], 1)
                    self.assertEqual(got, result.Success((status, b"OK")))

        support.run_async(scenario, LIMIT_S)


if __name__ == "__main__":
    unittest.main()
