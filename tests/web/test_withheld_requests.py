"""Tests of requests that the process itself does not send."""

import functools
import socket
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
    """Answers a request, or ends its connection."""

    def __init__(self, answers: bool) -> None:
        self._answers = answers

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        del data
        if self._answers:
            self.transport.write(ANSWER)
        else:
            self.transport.abortConnection()


async def _send(
    is_open: bool, listens: bool, answers: bool
) -> tuple[base.Outcome, bool] | None:
    """Returns the outcome, and whether it was withheld; None if answered."""
    from twisted.internet import reactor

    loop = typing.cast(typing.Any, reactor)
    factory = protocol.Factory()
    factory.buildProtocol = lambda addr: _Server(answers)
    port = loop.listenTCP(0, factory, interface="127.0.0.1")
    with socket.create_server(("127.0.0.1", 0)) as unused:
        closed_port = unused.getsockname()[1]
    number = port.getHost().port if listens else closed_port
    upstream = web.Upstream(loop, base.SystemClock())
    try:
        sent = await upstream.send(
            web.UpstreamRequest(
                "POST",
                f"http://127.0.0.1:{number}/",
                (),
                b"body",
                base.SystemClock().now() + 5.0,
                guard=lambda: is_open,
            )
        )
        if isinstance(sent, result.Failure):
            return sent.failure().outcome, sent.failure().is_withheld
        await sent.unwrap().read_all(1024)
        return None
    finally:
        await port.stopListening()
        await upstream.close()


class WithheldRequestTest(unittest.TestCase):
    """Tells requests that were withheld from endpoints that fail.

    Guards against backoffs of endpoints that were sent nothing.
    """

    def test_failures(self) -> None:
        not_run, may_have_run = base.Outcome.NOT_RUN, base.Outcome.MAY_HAVE_RUN
        for name, is_open, listens, answers, want in (
            ("the guard is open", True, True, True, None),
            ("the guard is closed", False, True, True, (not_run, True)),
            ("refused connection", True, False, True, (not_run, False)),
            ("refused, guard closed", False, False, True, (not_run, False)),
            ("lost answer", True, True, False, (may_have_run, False)),
        ):
            with self.subTest(name):
                found = support.run_async(
                    functools.partial(_send, is_open, listens, answers),
                    LIMIT_S,
                )
                self.assertEqual(found, want)


if __name__ == "__main__":
    unittest.main()
