"""Parts of the HTTP client: connections by IP number, bodies with bounds."""

import ipaddress
import typing

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import ssl
from twisted.python import failure
from twisted.web import client
from twisted.web import iweb
import zope.interface

from banyanbank_cli import _tls

CONNECT_LIMIT_S = 5.0
"""Time for one connection."""

MAX_ANSWER_BYTES = 256 * 1024 * 1024
"""Larger answers are refused."""


class LostAnswerError(Exception):
    """The request may have arrived, but no whole answer came."""


@zope.interface.implementer(iweb.IAgentEndpointFactory)
class IpEndpoints:
    """Connects to IP numbers only, so that no name is looked up."""

    def __init__(
        self, reactor: typing.Any, authority: ssl.Certificate | None
    ) -> None:
        self._reactor = reactor
        self._authority = authority

    def endpointForURI(  # noqa: N802
        self, uri: client.URI
    ) -> interfaces.IStreamClientEndpoint:
        host = uri.host.decode("ascii")
        kind: type[
            endpoints.TCP4ClientEndpoint | endpoints.TCP6ClientEndpoint
        ] = endpoints.TCP4ClientEndpoint
        if ipaddress.ip_address(host).version == 6:
            kind = endpoints.TCP6ClientEndpoint
        plain = kind(self._reactor, host, uri.port, timeout=CONNECT_LIMIT_S)
        if uri.scheme != b"https":
            return plain
        return _tls.TlsEndpoint(self._reactor, host, plain, self._authority)


@zope.interface.implementer(iweb.IBodyProducer)
class BytesProducer:
    """Sends bytes as a body."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(  # noqa: N802
        self, consumer: interfaces.IConsumer
    ) -> defer.Deferred[None]:
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Does nothing: the body has been handed over."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Does nothing: the body has been handed over."""

    def stopProducing(self) -> None:  # noqa: N802
        """Does nothing: the body has been handed over."""


class BodyReader(protocol.Protocol):
    """Collects a body of bounded length up to its length or end mark."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0
        self.body: defer.Deferred[bytes] = defer.Deferred(self._cancelled)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._size += len(data)
        if self._size <= MAX_ANSWER_BYTES:
            self._parts.append(data)
            return
        self._close()
        self._fail(f"The answer has more than {MAX_ANSWER_BYTES} bytes.")

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        if self.body.called:
            return
        if reason.check(client.ResponseDone):
            self.body.callback(b"".join(self._parts))
        else:
            self._fail(f"The answer was cut: {reason.getErrorMessage()}")

    def _cancelled(self, _: defer.Deferred[bytes]) -> None:
        self._close()

    def _fail(self, why: str) -> None:
        if not self.body.called:
            self.body.errback(LostAnswerError(why))

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()
