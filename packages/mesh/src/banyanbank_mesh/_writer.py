"""Writing side of a stream between instances, and waiting for room."""

import collections.abc

from twisted.internet import defer

from banyanbank_mesh import _errors
from banyanbank_mesh import _frames
from banyanbank_mesh import _link

CHUNK_BYTES = 64 * 1024
"""Largest piece of a stream in one frame."""


class StreamWriter:
    """Writing side of a stream.

    Args:
        link: Where the chunks go.
        frame: The request of the reader.
    """

    def __init__(self, link: _link.Link, frame: _frames.Open) -> None:
        self._link = link
        self._id = frame.id
        self._incarnation = frame.incarnation
        self._credit = frame.credit
        self._closed = False
        self._waiter: defer.Deferred[None] | None = None
        self._callbacks: list[collections.abc.Callable[[], None]] = []
        self.written = 0
        """Bytes written so far."""

    @property
    def closed(self) -> bool:
        """Whether the reader is gone."""
        return self._closed

    def on_closed(self, callback: collections.abc.Callable[[], None]) -> None:
        """Calls back once the reader is gone, at once if it is already."""
        if self._closed:
            callback()
        else:
            self._callbacks.append(callback)

    async def write(self, data: bytes) -> None:
        """Writes bytes; waits while the reader has no room.

        Raises:
            StreamClosedError: The reader cancelled or its connection broke.
        """
        view = memoryview(data)
        while view:
            await self._wait_for_credit()
            size = min(len(view), self._credit, CHUNK_BYTES)
            chunk = _frames.Chunk(
                self._id, self._incarnation, self.written, bytes(view[:size])
            )
            await send_when_room(self._link, chunk)
            self._credit -= size
            self.written += size
            view = view[size:]

    def credit_received(self, size: int) -> None:
        """Takes credit of the reader."""
        self._credit += max(0, size)
        self._wake()

    def close(self) -> None:
        """Notes that the reader is gone."""
        self._closed = True
        self._wake()
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()

    def _wake(self) -> None:
        waiter = self._waiter
        self._waiter = None
        if waiter is not None:
            waiter.callback(None)

    async def _wait_for_credit(self) -> None:
        while self._credit <= 0 and not self._closed:
            if self._waiter is not None:
                raise RuntimeError("A stream takes one write at a time.")
            self._waiter = defer.Deferred(self._forget)
            await self._waiter
        if self._closed:
            raise _errors.StreamClosedError("The reader is gone.")

    def _forget(self, waiter: defer.Deferred[None]) -> None:
        if self._waiter is waiter:
            self._waiter = None


def send_control(link: _link.Link, frame: _frames.Frame) -> None:
    """Queues a small frame whatever the room."""
    if link.usable:
        link.send_control(_link.Outgoing(_frames.FRAME_CODEC.encode(frame)))


async def send_when_room(link: _link.Link, frame: _frames.Frame) -> None:
    """Queues a frame as soon as the link has room.

    Raises:
        StreamClosedError: The link has closed.
    """
    await send_encoded_when_room(link, _frames.FRAME_CODEC.encode(frame))


async def send_encoded_when_room(link: _link.Link, data: bytes) -> None:
    """Queues an encoded frame as soon as the link has room.

    Raises:
        StreamClosedError: The link has closed.
    """
    item = _link.Outgoing(data)
    while not link.send(item):
        if not link.usable:
            raise _errors.StreamClosedError("The connection broke.")
        room: defer.Deferred[None] = defer.Deferred()
        link.when_room(lambda room=room: _fire(room))  # type: ignore[misc]
        await room


def _fire(waiter: defer.Deferred[None]) -> None:
    if not waiter.called:
        waiter.callback(None)
