"""Tests of endpoints that send bytes without end."""

import typing
import unittest

import banyanbank_base as base
import banyanbank_web as web
from returns import result

from tests import support
from tests.platform import floods

LIMIT_S = 20.0
MAX_BODY = 64 * 1024
MOST_SENT = 8 * 1024 * 1024
"""Bytes that buffers of both sides may take, beyond what the client reads."""


class EndlessTest(unittest.TestCase):
    """The exchange ends after a bounded number of bytes, not of seconds."""

    def test_endless(self) -> None:
        for name, flood in (floods.HEAD_PLACES | floods.BODY_PLACES).items():
            with self.subTest(name):
                exchange, sent, took_s = support.run_async(
                    lambda flood=flood: _play(flood)
                )
                self.assertIsInstance(exchange, result.Failure)
                error = exchange.failure()
                self.assertNotEqual(error.outcome, base.Outcome.NOT_RUN)
                self.assertFalse(error.is_timeout, error.detail)
                self.assertLess(sent, MOST_SENT)
                self.assertLess(took_s, LIMIT_S)


async def _play(
    flood: floods.Flood,
) -> tuple[result.Result[bytes, web.UpstreamError], int, float]:
    from twisted.internet import reactor

    server = floods.FloodServer(reactor, "127.0.0.1")
    server.flood = flood
    clock = base.SystemClock()
    began_at = clock.now()
    upstream = web.Upstream(reactor, clock)
    req = web.UpstreamRequest(
        method="GET",
        url=f"http://{server.address}/",
        headers=(),
        body=b"",
        deadline=began_at + LIMIT_S,
    )
    exchange: result.Result[typing.Any, web.UpstreamError]
    exchange = await upstream.send(req)
    if isinstance(exchange, result.Success):
        exchange = await exchange.unwrap().read_all(MAX_BODY)
    took_s = clock.now() - began_at
    await support.until(lambda: server.closed == server.opened > 0)
    await server.stop()
    return exchange, server.sent, took_s


if __name__ == "__main__":
    unittest.main()
