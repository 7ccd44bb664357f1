"""Decodes chunked bodies at a cost that does not grow with their chunks."""

import re
import typing

from twisted.web import http

MANY_CHUNKS = 512
"""Chunks in one read that cost more than the copying of its bytes."""

_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,4})\r\n")
"""Size of a short chunk, without extension."""


class JoiningDecoder(http._ChunkedTransferDecoder):
    """Hands on the data of all chunks of a read at once.

    Args:
        deliver: Takes the data of one read.
        finish: Takes the bytes after the body.

    Attributes:
        is_dense: Whether a read had so many chunks that decoding a full one
            holds up others.
    """

    def __init__(
        self,
        deliver: typing.Callable[[bytes], None],
        finish: typing.Callable[[bytes], None],
    ) -> None:
        self._pieces: list[bytes | bytearray] = []
        self._deliver = deliver
        self._finish = finish
        self.is_dense = False
        super().__init__(self._pieces.append, self._end)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes bytes in and hands on their data."""
        try:
            super().dataReceived(data)
        finally:
            self._flush()

    def _dataReceived_CHUNK_LENGTH(self) -> bool:  # noqa: N802
        """Takes the whole chunks at the beginning of the buffer at once.

        Leaves all else to Twisted's decoder.
        """
        buffer = self._buffer
        begin = 0
        while (line := _SIZE_LINE.match(buffer, begin)) is not None:
            size = int(line[1], 16)
            end = line.end() + size
            if size == 0 or not buffer.startswith(b"\r\n", end):
                break
            self._pieces.append(buffer[line.end() : end])
            begin = end + 2
        if not begin:
            return super()._dataReceived_CHUNK_LENGTH()
        # A match keeps the buffer from being resized.
        line = None
        del buffer[:begin]
        self._start = 0
        return True

    def _end(self, rest: bytes) -> None:
        self._flush()
        self._finish(rest)

    def _flush(self) -> None:
        if self._pieces:
            self.is_dense |= len(self._pieces) > MANY_CHUNKS
            data = b"".join(self._pieces)
            self._pieces.clear()
            self._deliver(data)
