"""Joins the streams of several engines into one for the caller."""

import typing

from banyanbank_daemon._jobs import _messages
from banyanbank_daemon._jobs import _partial


class JoiningSink:
    """Joins the streams of all engines that work on one request.

    Args:
        sink: Receives the joined stream.
        partial: Rewrites events and tracks what was delivered.
    """

    def __init__(
        self, sink: _messages.JobSink, partial: _partial.PartialAnswer
    ) -> None:
        self._sink = sink
        self._partial = partial
        self.is_closed = False
        sink.on_closed(self._mark_closed)

    async def emit(self, chunk: _messages.JobChunk) -> None:
        """Emits an event after rewriting it for the joined stream."""
        try:
            await self._sink.emit(self._partial.take(chunk))
        except _messages.SinkClosed:
            self.is_closed = True
            raise

    def on_closed(self, callback: typing.Callable[[], None]) -> None:
        """Registers a callback that is called once when the sink closes."""
        self._sink.on_closed(callback)

    def _mark_closed(self) -> None:
        self.is_closed = True
