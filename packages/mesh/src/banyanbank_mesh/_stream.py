"""Reading side of a stream between instances."""

import collections
import collections.abc

import attrs
from returns import result
from twisted.internet import defer

from banyanbank_mesh import _errors
from banyanbank_mesh import _frames

STREAM_WINDOW_BYTES = 256 * 1024
"""Bytes of one stream that may wait at its reader."""

ReadResult = result.Result[bytes | None, _errors.CallError]
"""A chunk, None at the true end, or why the stream failed."""


@attrs.frozen
class StreamControls:
    """How a stream speaks to the other end."""

    grant: collections.abc.Callable[[int], None]
    """Sends credit for that many bytes."""
    cancel: collections.abc.Callable[[], None]
    """Ends the exchange from this side."""


class Stream:
    """Answer that arrives in ordered chunks.

    Every read ends: with a chunk, with None after the last chunk once the end
    mark and its length were checked, or with a typed failure. A broken
    connection never looks like an end.

    Args:
        controls: How to speak to the other end.
    """

    def __init__(self, controls: StreamControls) -> None:
        self._controls = controls
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._received = 0
        self._ungranted = 0
        self._complete = False
        self._error: _errors.CallError | None = None
        self._reader: defer.Deferred[ReadResult] | None = None

    @property
    def buffered_bytes(self) -> int:
        """Bytes that have arrived and were not read."""
        return self._buffered

    @property
    def received_bytes(self) -> int:
        """Bytes that have arrived."""
        return self._received

    def read(self) -> defer.Deferred[ReadResult]:
        """Returns the next chunk, None at the end, or the failure.

        Only one read may be outstanding.
        """
        if self._reader is not None:
            raise RuntimeError("A stream takes one read at a time.")
        if self._chunks:
            return defer.succeed(result.Success(self._pop()))
        if self._error is not None:
            return defer.succeed(result.Failure(self._error))
        if self._complete:
            return defer.succeed(result.Success(None))
        self._reader = defer.Deferred(self._read_cancelled)
        return self._reader

    def cancel(self) -> None:
        """Ends the stream; the other end is told to stop."""
        if self._complete or self._error is not None:
            return
        self._controls.cancel()

    def chunk_received(self, frame: _frames.Chunk) -> str:
        """Takes a chunk; returns what is wrong with it, or nothing."""
        if frame.offset != self._received:
            return f"Chunk at {frame.offset}, expected {self._received}."
        if self._buffered + len(frame.data) > STREAM_WINDOW_BYTES:
            return "More bytes than were granted."
        self._received += len(frame.data)
        self._buffered += len(frame.data)
        self._chunks.append(frame.data)
        self._serve_reader()
        return ""

    def end_received(self, frame: _frames.End) -> str:
        """Takes the end mark; returns what is wrong with it, or nothing."""
        if frame.length != self._received:
            return f"End at {frame.length}, received {self._received}."
        self._complete = True
        self._serve_reader()
        return ""

    def fail(self, error: _errors.CallError) -> None:
        """Ends the stream with a failure, after the chunks that came."""
        if self._complete or self._error is not None:
            return
        self._error = error
        if error.kind is _errors.CallErrorKind.CANCELLED:
            self._chunks.clear()
            self._buffered = 0
        self._serve_reader()

    def _serve_reader(self) -> None:
        reader = self._reader
        if reader is None:
            return
        self._reader = None
        if self._chunks:
            reader.callback(result.Success(self._pop()))
        elif self._error is not None:
            reader.callback(result.Failure(self._error))
        elif self._complete:
            reader.callback(result.Success(None))
        else:
            self._reader = reader

    def _pop(self) -> bytes:
        data = self._chunks.popleft()
        self._buffered -= len(data)
        self._ungranted += len(data)
        if self._ungranted >= STREAM_WINDOW_BYTES // 2:
            self._controls.grant(self._ungranted)
            self._ungranted = 0
        return data

    def _read_cancelled(self, reader: defer.Deferred[ReadResult]) -> None:
        if self._reader is reader:
            self._reader = None
