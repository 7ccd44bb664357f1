"""Tests of the client towards endpoints and the platform."""

import asyncio
import json
import socket
import typing
import unittest

import banyanbank_base as base
import banyanbank_fakes as fakes
import banyanbank_web as web
from returns import result
from twisted.internet import defer

from tests import support

LIMIT_S = 5.0


class GuardTest(unittest.TestCase):
    """A message whose guard is closed when its body is due never arrives."""

    def send(self, is_open: bool) -> tuple[int, base.Outcome | None]:
        from twisted.internet import reactor

        async def play() -> tuple[int, base.Outcome | None]:
            platform = fakes.FakePlatform(reactor)
            platform.start()
            clock = base.SystemClock()
            upstream = web.Upstream(reactor, clock)
            sent = await upstream.send(
                web.UpstreamRequest(
                    method="POST",
                    url=f"{platform.url}/platform/orders",
                    headers=(("content-type", "application/json"),),
                    body=json.dumps({"number": 1}).encode(),
                    deadline=clock.now() + LIMIT_S,
                    is_repeatable=False,
                    guard=lambda: is_open,
                )
            )
            # A later exchange shows that the earlier one is over.
            again = await upstream.send(
                web.UpstreamRequest(
                    method="GET",
                    url=f"{platform.url}/none",
                    headers=(),
                    body=b"",
                    deadline=clock.now() + LIMIT_S,
                )
            )
            again.unwrap().cancel()
            outcome = None
            if isinstance(sent, result.Success):
                sent.unwrap().cancel()
            else:
                outcome = sent.failure().outcome
            await platform.stop()
            return len(platform.orders), outcome

        return support.run_async(play)

    def test_body_leaves_at_once(self) -> None:
        """No callback of the loop runs between the guard and the socket.

        A process that is stopped after it asked must find nothing left to
        send when it goes on.
        """

        async def play() -> bytes:
            from twisted.internet import reactor

            loop: typing.Any = reactor
            peer = socket.create_server(("127.0.0.1", 0))
            clock = base.SystemClock()
            received: defer.Deferred[bytes] = defer.Deferred()

            def look() -> None:
                conn, _ = peer.accept()
                conn.setblocking(False)
                try:
                    data = conn.recv(64 * 1024)
                except BlockingIOError:
                    data = b""
                conn.close()
                received.callback(data)

            def guard() -> bool:
                # Runs before the loop looks at its sockets again.
                asyncio.get_running_loop().call_soon(look)
                return True

            sent = defer.ensureDeferred(
                web.Upstream(loop, clock).send(
                    web.UpstreamRequest(
                        method="POST",
                        url=f"http://127.0.0.1:{peer.getsockname()[1]}/order",
                        headers=(),
                        body=b"an order",
                        deadline=clock.now() + LIMIT_S,
                        guard=guard,
                    )
                )
            )
            data = await received
            await sent
            peer.close()
            return data

        data = support.run_async(play)
        self.assertTrue(data.startswith(b"POST /order"), data)
        self.assertTrue(data.endswith(b"\r\n\r\nan order"), data)

    def test_guard(self) -> None:
        for is_open, failed_as in ((True, None), (False, base.Outcome.NOT_RUN)):
            with self.subTest(is_open=is_open):
                orders, outcome = self.send(is_open)
                self.assertEqual(orders, int(is_open))
                self.assertEqual(outcome, failed_as)
