"""Connects HTTP agents to IP numbers without a name look-up.

Twisted's own agent looks every host up in a thread, an IP number too; a
process of ours has one thread and meets its peers by number.
"""

import ipaddress
import typing

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import iweb
import zope.interface

CONNECT_TIMEOUT_S = 2
"""Seconds after which a connection that is not made counts as refused."""


class NotAnAddressError(ValueError):
    """A URL names its host otherwise than by IP number."""


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
        return made(self._reactor, host, uri.port, timeout=CONNECT_TIMEOUT_S)


def ip_agent(
    reactor: typing.Any, pool: client.HTTPConnectionPool | None = None
) -> client.Agent:
    """Returns an HTTP agent that connects to IP numbers only.

    Args:
        reactor: Carries the sockets.
        pool: Keeps connections; None makes one for each request.
    """
    return client.Agent.usingEndpointFactory(
        reactor, IpEndpointFactory(reactor), pool=pool
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
