"""Tests of which addresses have an idle kept connection."""

import typing
import unittest

import banyanbank_base as base
import banyanbank_web as web
from twisted.internet import protocol

from tests import support
from tests.web import test_stale_connections

LIMIT_S = 20.0


async def _watch() -> list[bool]:
    """Returns whether a connection is idle before, during and after use."""
    from twisted.internet import reactor

    loop = typing.cast(typing.Any, reactor)
    upstream = web.Upstream(loop, base.SystemClock())
    seen: list[bool] = []
    address = ""

    class Server(protocol.Protocol):
        def dataReceived(self, data: bytes) -> None:  # noqa: N802
            del data
            seen.append(upstream.has_idle(address))
            self.transport.write(test_stale_connections.ANSWER)

    port = loop.listenTCP(
        0, protocol.Factory.forProtocol(Server), interface="127.0.0.1"
    )
    address = f"127.0.0.1:{port.getHost().port}"
    seen.append(upstream.has_idle(address))
    try:
        sent = await upstream.send(
            web.UpstreamRequest(
                "POST",
                f"http://{address}/",
                (),
                b"body",
                base.SystemClock().now() + 5.0,
            )
        )
        await sent.unwrap().read_all(1024)
        seen.append(upstream.has_idle(address))
        upstream.close_idle(f"http://{address}/")
        seen.append(upstream.has_idle(address))
        return seen
    finally:
        await port.stopListening()
        await upstream.close()


class IdleConnectionTest(unittest.TestCase):
    """Guards against a preference for endpoints without a connection."""

    def test_states(self) -> None:
        self.assertEqual(
            support.run_async(_watch, LIMIT_S), [False, False, True, False]
        )


if __name__ == "__main__":
    unittest.main()
