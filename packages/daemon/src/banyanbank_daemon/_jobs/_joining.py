"""One stream for the reader out of those of several engines."""

import typing

from banyanbank_daemon._jobs import _messages
from banyanbank_daemon._jobs import _partial


class JoiningSink:
    """Makes one stream of those of all engines that work on a request.

    Args:
        sink: Takes the joined stream.
        partial: Holds what was delivered.
    """

    def __init__(
        self, sink: _messages.JobSink, partial: _partial.PartialAnswer
    ) -> None:
        self._sink = sink
        self._partial = partial
        self.is_closed = False
        sink.on_closed(self._mark_closed)

    async def emit(self, chunk: _messages.JobChunk) -> None:
        """Passes an event on as one of the joined stream."""
        try:
            await self._sink.emit(self._partial.take(chunk))
        except _messages.SinkClosed:
            self.is_closed = True
            raise

    def on_closed(self, callback: typing.Callable[[], None]) -> None:
        """Calls back once when nobody reads any more."""
        self._sink.on_closed(callback)

    def _mark_closed(self) -> None:
        self.is_closed = True
