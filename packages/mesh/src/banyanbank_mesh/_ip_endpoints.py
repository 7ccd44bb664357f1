"""Connects HTTP agents to IP numbers without a name look-up.

Twisted's own agent looks every host up in a thread, an IP number too; a
process of ours has one thread and meets its peers by number.
"""

import ipaddress
import socket
import typing

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import iweb
import zope.interface

from banyanbank_mesh import _bounded_heads

CONNECT_TIMEOUT_S = 2
"""Seconds after which a connection that is not made counts as refused."""

PROBE_IDLE_S = 2
"""Seconds without data after which the peer's machine is probed."""

PROBE_EVERY_S = 1
PROBES = 4
"""Unanswered probes after which a connection counts as lost."""


class NotAnAddressError(ValueError):
    """A URL names its host otherwise than by IP number."""


@zope.interface.implementer(interfaces.IStreamClientEndpoint)
class _ProbedEndpoint:
    """Has its connections probed, as a lost machine closes none of them."""

    def __init__(self, endpoint: interfaces.IStreamClientEndpoint) -> None:
        self._endpoint = endpoint

    def connect(
        self, factory: interfaces.IProtocolFactory
    ) -> defer.Deferred[interfaces.IProtocol]:
        return self._endpoint.connect(factory).addCallback(_probe)


def _probe(connected: typing.Any) -> typing.Any:
    handle = connected.transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.TCP_KEEPINTVL, PROBE_EVERY_S),
        (socket.TCP_KEEPCNT, PROBES),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
    return connected


@zope.interface.implementer(iweb.IAgentEndpointFactory)
class IpEndpointFactory:
    """Makes the client endpoints of an agent.

    Args:
        reactor: Carries the sockets.
    """

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor

    def endpointForURI(  # noqa: N802
        self, uri: client.URI
    ) -> interfaces.IStreamClientEndpoint:
        """Returns the endpoint of a URI.

        Raises:
            NotAnAddressError: The host is no IP number.
        """
        host = uri.host.decode("ascii", "replace")
        try:
            address = ipaddress.ip_address(host)
        except ValueError as exc:
            raise NotAnAddressError(
                f"{host!r} is no IP number; names are not looked up."
            ) from exc
        made: type = endpoints.TCP4ClientEndpoint
        if address.version != 4:
            made = endpoints.TCP6ClientEndpoint
        return _ProbedEndpoint(
            made(self._reactor, host, uri.port, timeout=CONNECT_TIMEOUT_S)
        )


def ip_agent(
    reactor: typing.Any, pool: _bounded_heads.BoundedHeadPool | None = None
) -> client.Agent:
    """Returns an HTTP agent that connects to IP numbers only.

    Args:
        reactor: Carries the sockets.
        pool: Keeps connections; None makes one for each request.
    """
    return client.Agent.usingEndpointFactory(
        reactor,
        IpEndpointFactory(reactor),
        pool=pool or _bounded_heads.BoundedHeadPool(reactor, persistent=False),
    )


class _WholeBody(protocol.Protocol):
    """Gathers a body; a cut one is a failure."""

    def __init__(self) -> None:
        self.done: defer.Deferred[bytes] = defer.Deferred()
        self._chunks: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._chunks.append(data)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        if reason.check(client.ResponseDone):
            self.done.callback(b"".join(self._chunks))
        else:
            self.done.errback(reason)


def read_body(response: iweb.IResponse) -> defer.Deferred[bytes]:
    """Returns the whole body of an agent's answer.

    Fails when the connection is lost before the body's length or end mark.
    """
    body = _WholeBody()
    response.deliverBody(body)
    return body.done
