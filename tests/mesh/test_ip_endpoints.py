"""Tests of the connections that HTTP agents make."""

import socket
import typing
import unittest

from banyanbank_mesh import _ip_endpoints
from twisted.internet import protocol
from twisted.web import client

from tests import support

OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _ip_endpoints.PROBE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _ip_endpoints.PROBE_EVERY_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _ip_endpoints.PROBES),
)


class ProbeTest(unittest.TestCase):
    """The machine at the other end is probed while nothing comes."""

    def test_options(self) -> None:
        async def play() -> list[int]:
            from twisted.internet import reactor

            carrier: typing.Any = reactor
            listener = carrier.listenTCP(
                0,
                protocol.Factory.forProtocol(protocol.Protocol),
                1,
                "127.0.0.1",
            )
            uri = client.URI.fromBytes(
                f"http://127.0.0.1:{listener.getHost().port}/".encode()
            )
            factory = _ip_endpoints.IpEndpointFactory(reactor)
            connected: typing.Any = await factory.endpointForURI(uri).connect(
                protocol.Factory.forProtocol(protocol.Protocol)
            )
            handle = connected.transport.getHandle()
            found = [handle.getsockopt(level, o) for level, o, _ in OPTIONS]
            connected.transport.abortConnection()
            await listener.stopListening()
            return found

        found = support.run_async(play)
        self.assertEqual(found, [value for _, _, value in OPTIONS])
