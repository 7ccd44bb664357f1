"""TLS connections whose handshake has a time limit."""

import typing

import OpenSSL.SSL
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import ssl
from twisted.protocols import policies
from twisted.python import failure
import zope.interface

HANDSHAKE_LIMIT_S = 5.0
"""Time for one TLS handshake."""


class HandshakeError(Exception):
    """No TLS connection came about; nothing was sent."""


@zope.interface.implementer(interfaces.IStreamClientEndpoint)
class TlsEndpoint:
    """Connects with TLS; fires once the handshake is done.

    Args:
        reactor: Carries timers.
        host: IP number that the certificate must name.
        plain: Makes the TCP connection.
        authority: CA of the certificate; None for the system's.
    """

    def __init__(
        self,
        reactor: typing.Any,
        host: str,
        plain: interfaces.IStreamClientEndpoint,
        authority: ssl.Certificate | None,
    ) -> None:
        self._reactor = reactor
        options = ssl.optionsForClientTLS(host, trustRoot=authority)
        self._wrapped = endpoints.wrapClientTLS(options, plain)

    def connect(
        self,
        protocolFactory: interfaces.IProtocolFactory,  # noqa: N803
    ) -> defer.Deferred[interfaces.IProtocol]:
        """Connects; see `IStreamClientEndpoint`."""
        return defer.ensureDeferred(self._connect(protocolFactory))

    async def _connect(
        self, factory: interfaces.IProtocolFactory
    ) -> interfaces.IProtocol:
        watch = policies.WrappingFactory(factory)
        watch.protocol = _Handshake
        connected: typing.Any = self._wrapped.connect(watch)
        connection: _Handshake = await connected
        connection.done.addTimeout(HANDSHAKE_LIMIT_S, self._reactor)
        try:
            return await connection.done
        except defer.TimeoutError as exc:
            transport: typing.Any = connection
            transport.abortConnection()
            raise HandshakeError(
                f"no TLS handshake within {HANDSHAKE_LIMIT_S:g} s. If the"
                " port speaks plain HTTP, write http:// in place of https://."
            ) from exc


@zope.interface.implementer(interfaces.IHandshakeListener)
class _Handshake(policies.ProtocolWrapper):
    """Tells when the handshake is done, or why it is not."""

    def __init__(
        self,
        factory: "policies.WrappingFactory[_Handshake]",
        wrapped: protocol.Protocol,
    ) -> None:
        super().__init__(factory, wrapped)
        self.done: defer.Deferred[interfaces.IProtocol] = defer.Deferred()

    def handshakeCompleted(self) -> None:  # noqa: N802
        if not self.done.called:
            self.done.callback(self.wrappedProtocol)

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        if not self.done.called:
            self.done.errback(HandshakeError(_why(reason)))
        super().connectionLost(reason)


def _why(reason: failure.Failure) -> str:
    if not reason.check(OpenSSL.SSL.Error):
        return f"the TLS handshake was cut: {reason.getErrorMessage()}"
    return (
        f"the TLS handshake failed: {reason.getErrorMessage()}. Give the CA"
        " of the server's certificate with --authority-file; write http:// if"
        " the port speaks plain HTTP."
    )
