"""HTTP client connections: heads of answers that are valid and bounded."""

import re
import typing

from twisted.internet import defer
from twisted.python import failure
from twisted.web import client
from twisted.web import iweb

from banyanbank_mesh import _chunks

MAX_HEAD_BYTES = 64 * 1024
"""Largest head of an answer, interim answers before it included."""

FULL_READ_BYTES = 64 * 1024
"""Most bytes to take in at once."""

SHORT_READ_BYTES = 8 * 1024
"""Most bytes to take in at once of what is slow to parse, so that other
connections get their turn."""
CLOSE_LIMIT_S = 1.0
"""Seconds for what is still to be sent on a connection that is closed."""

_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: .*)?", re.DOTALL)
"""Status line of RFC 9112; servers may leave the reason and its space out. A
status is from 100 to 599 (RFC 9110, section 15)."""

_DECODERS = {b"chunked": _chunks.JoiningDecoder}


class HeadTooLongError(Exception):
    """A peer sent more than a head without ending it."""


class StatusLineError(Exception):
    """A peer sent something that begins with no HTTP status line."""


class UnansweredError(Exception):
    """A connection was lost before any byte of an answer."""


class StaleConnectionError(UnansweredError):
    """A kept connection was lost before any byte of an answer.

    The peer may have closed it while it was idle, so the loss says nothing
    about the peer's health.
    """


class _StatusLineCheck:
    """Checks the status line of each answer and interim answer.

    Twisted takes any integer for a status, as Python reads integers.

    Args:
        parse: Parses a status line.
    """

    def __init__(self, parse: typing.Callable[[bytes], None]) -> None:
        self._parse = parse

    def __call__(self, line: bytes) -> None:
        """Parses a status line.

        Raises:
            StatusLineError: It is none.
        """
        if not _STATUS_LINE.fullmatch(line):
            raise StatusLineError(f"No HTTP status line: {line[:60]!r}")
        self._parse(line)


class _BoundedHeadProtocol(client.HTTP11ClientProtocol):
    """Checks what comes before an answer's body; Twisted bounds only lines."""

    _head_bytes: int | None = None

    def request(self, request: typing.Any) -> "defer.Deferred[iweb.IResponse]":
        """Sends a request; its answer's head is counted from here."""
        self._head_bytes = 0
        self._read_at_most(SHORT_READ_BYTES)
        answer = super().request(request)
        if self._parser is not None:
            parser: typing.Any = self._parser
            parser._transferDecoders = _DECODERS
            parser.statusReceived = _StatusLineCheck(parser.statusReceived)
        return answer.addBoth(self._end_head)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes bytes in, unless a head has grown too long."""
        if self._head_bytes is not None:
            self._head_bytes += len(data)
        super().dataReceived(data)
        decoder = self._parser and self._parser.bodyDecoder
        if isinstance(decoder, _chunks.JoiningDecoder) and decoder.is_dense:
            self._read_at_most(SHORT_READ_BYTES)
        # A head that has ended meanwhile is not counted any more.
        if self._head_bytes is not None and self._head_bytes > MAX_HEAD_BYTES:
            self._head_bytes = None
            self._giveUp(
                failure.Failure(
                    HeadTooLongError(
                        f"No end of the head in {MAX_HEAD_BYTES} bytes."
                    )
                )
            )

    def close(self) -> None:
        """Closes the connection, whether or not the peer reads the request."""
        transport: typing.Any = self.transport
        transport.loseConnection()
        transport.reactor.callLater(CLOSE_LIMIT_S, transport.abortConnection)

    def _giveUp(self, reason: failure.Failure) -> None:  # noqa: N802
        self.close()
        super()._giveUp(reason)

    def _end_head(self, outcome: typing.Any) -> typing.Any:
        self._head_bytes = None
        self._read_at_most(FULL_READ_BYTES)
        return outcome

    def _read_at_most(self, byte_count: int) -> None:
        transport: typing.Any = self.transport
        transport.bufferSize = byte_count


class _TracedProtocol(_BoundedHeadProtocol):
    """Tells losses before any byte of an answer from others."""

    _request_count = 0

    def request(self, request: typing.Any) -> "defer.Deferred[iweb.IResponse]":
        """Sends a request; counts those on this connection."""
        self._request_count += 1
        return super().request(request)

    def _end_head(self, outcome: typing.Any) -> typing.Any:
        is_unanswered = self._head_bytes == 0
        outcome = super()._end_head(outcome)
        if not (isinstance(outcome, failure.Failure) and is_unanswered):
            return outcome
        error = (
            StaleConnectionError if self._request_count > 1 else UnansweredError
        )
        return failure.Failure(error(outcome.getErrorMessage()))


class _BoundedHeadFactory(client._HTTP11ClientFactory):
    _protocol = _BoundedHeadProtocol

    def buildProtocol(self, addr: object) -> _BoundedHeadProtocol:  # noqa: N802
        del addr
        return self._protocol(self._quiescentCallback)


class _TracedFactory(_BoundedHeadFactory):
    _protocol = _TracedProtocol


class BoundedHeadPool(client.HTTPConnectionPool):
    """Keeps connections whose answers have heads of a bounded length."""

    _factory = _BoundedHeadFactory

    def _removeConnection(  # noqa: N802
        self, key: typing.Any, connection: _BoundedHeadProtocol
    ) -> None:
        connection.close()
        super()._removeConnection(key, connection)


class TracedPool(BoundedHeadPool):
    """Tells losses of connections before any byte of an answer from others.

    Their requests fail with `UnansweredError` instead of Twisted's errors.
    """

    _factory = _TracedFactory

    def has_idle(self, host: str, port: int) -> bool:
        """Whether an idle connection to one address is kept."""
        return bool(self._connections.get((b"http", host.encode(), port)))

    def close_idle(self, host: str, port: int) -> None:
        """Closes the idle connections to one address."""
        for key, connections in self._connections.items():
            if key[1:] != (host.encode(), port):
                continue
            for connection in list(connections):
                self._timeouts[connection].cancel()
                self._removeConnection(key, connection)
