"""One websocket between two instances, with its bounded outgoing queue."""

import asyncio
import collections
import collections.abc
import typing

import attrs
import banyanbank_base as base
import websockets.exceptions

from banyanbank_mesh import _counting
from banyanbank_mesh import _frames

MAX_QUEUED_BYTES = 8 * 1024 * 1024
"""Bytes that may wait for one connection, or one larger frame."""

MAX_QUEUED_FRAMES = 4096
"""Frames that may wait for one connection."""

SILENCE_S = 0.8
"""Seconds without an answer after which a peer is asked for a sign of life."""

PROBE_S = 0.7
"""Seconds that the peer has to give it."""

LATE_S = 0.1
"""Seconds by which a late probe shows that this process stood still itself."""

CODE_PROTOCOL = 4000
"""Close code: the peer sent something that is no frame."""

CODE_REPLACED = 4001
"""Close code: a later life of the instance has connected, or it moved."""

CODE_REFUSED = 4002
"""Close code: the handshake was refused."""

CODE_GOING = 1001
"""Close code: this instance stops."""


@attrs.define(eq=False)
class Outgoing:
    """An encoded frame on its way out."""

    data: bytes
    """The encoded frame."""
    left: bool = False
    """Whether it was handed to the socket, so that the peer may get it."""
    withdrawn: bool = False
    """Whether it must not be sent any more."""


class OutgoingQueue:
    """Frames that wait for a connection, bounded in number and bytes."""

    def __init__(self) -> None:
        self._items: collections.deque[Outgoing] = collections.deque()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: Outgoing) -> bool:
        """Appends a frame; returns False when there is no room."""
        if not self._has_room(len(item.data)):
            return False
        self.push_always(item)
        return True

    def push_always(self, item: Outgoing) -> None:
        """Appends a frame whatever the room."""
        self._items.append(item)
        self._bytes += len(item.data)

    def push_dropping_oldest(self, item: Outgoing) -> int:
        """Appends a frame and returns how many older ones were dropped."""
        dropped = 0
        while self._items and not self._has_room(len(item.data)):
            self.pop()
            dropped += 1
        self.push_always(item)
        return dropped

    def pop(self) -> Outgoing:
        """Removes and returns the oldest frame."""
        item = self._items.popleft()
        self._bytes -= len(item.data)
        return item

    def _has_room(self, size: int) -> bool:
        if not self._items:
            return True
        if len(self._items) >= MAX_QUEUED_FRAMES:
            return False
        return self._bytes + size <= MAX_QUEUED_BYTES


class LinkOwner(typing.Protocol):
    """What a link tells its mesh."""

    def frame_received(self, link: "Link", frame: _frames.Frame) -> None:
        """Takes a decoded frame."""
        ...

    def frame_refused(self, link: "Link", detail: str) -> None:
        """Hears that the peer sent something that is no frame."""
        ...

    def link_silent(self, link: "Link") -> None:
        """Hears that a peer gave no sign of life, so that the link ends."""
        ...

    def link_closed(self, link: "Link") -> None:
        """Hears, once, that the link carries nothing more."""
        ...


class Link:
    """One websocket to one life of a peer, after the handshake.

    A link over which something was sent, and nothing was heard since, is probed
    and then given up: after a cut, TCP sends again only after pauses that have
    doubled all the while, and some links stay silent for good.

    Args:
        conn: The open websocket.
        peer: Instance at the other end.
        incarnation: Its life.
        lane: What the link carries.
        dialled: Whether this side connected.
        owner: Hears of frames and of the end.
    """

    def __init__(
        self,
        conn: _counting.CountingConnection,
        peer: base.InstanceId,
        incarnation: base.Incarnation,
        lane: _frames.Lane,
        dialled: bool,
        owner: LinkOwner,
    ) -> None:
        self.peer = peer
        self.incarnation = incarnation
        self.lane = lane
        self.dialled = dialled
        self._conn = conn
        self._owner = owner
        self._queue = OutgoingQueue()
        self._wakeup = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._room_waiters: list[collections.abc.Callable[[], None]] = []
        self._closing = False
        # Bytes heard before the oldest frame that nothing has followed yet.
        self._heard_at_send = -1
        self._awaiting_since = 0.0
        self._watch: asyncio.TimerHandle | None = None
        self._is_probing = False

    @property
    def usable(self) -> bool:
        """Whether frames may still be queued."""
        return not self._closing

    def send(self, item: Outgoing) -> bool:
        """Queues a frame; returns False when there is no room."""
        if self._closing or not self._queue.push(item):
            return False
        self._wakeup.set()
        return True

    def send_control(self, item: Outgoing) -> None:
        """Queues a small frame that flow control itself depends on."""
        self._queue.push_always(item)
        self._wakeup.set()

    def send_lossy(self, item: Outgoing) -> int:
        """Queues a frame, dropping older ones; returns how many."""
        dropped = self._queue.push_dropping_oldest(item)
        self._wakeup.set()
        return dropped

    def when_room(self, callback: collections.abc.Callable[[], None]) -> None:
        """Calls back, once, when the queue has been written out."""
        self._room_waiters.append(callback)

    def close(self, code: int, detail: str) -> None:
        """Starts closing; queued frames are not sent any more."""
        if self._closing:
            return
        self._closing = True
        task = asyncio.ensure_future(self._conn.close(code, detail[:100]))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self) -> None:
        """Carries frames both ways until the connection is gone."""
        writer = asyncio.ensure_future(self._write())
        try:
            await self._read()
        finally:
            self._closing = True
            writer.cancel()
            if self._watch is not None:
                self._watch.cancel()
            self._tell_room()
            self._owner.link_closed(self)

    async def _read(self) -> None:
        try:
            async for data in self._conn:
                self._take(data)
        except websockets.exceptions.ConnectionClosed:
            return

    def _take(self, data: str | bytes) -> None:
        if self._closing:
            return
        try:
            frame = _frames.decode(data)
        except base.CodecError as exc:
            self._owner.frame_refused(self, str(exc)[:200])
            self.close(CODE_PROTOCOL, "Undecodable frame.")
            return
        self._owner.frame_received(self, frame)

    async def _write(self) -> None:
        try:
            while True:
                await self._write_queued()
                self._wakeup.clear()
                self._tell_room()
                await self._wakeup.wait()
        except websockets.exceptions.ConnectionClosed:
            self._closing = True

    async def _write_queued(self) -> None:
        while len(self._queue):
            item = self._queue.pop()
            if item.withdrawn:
                continue
            item.left = True
            self._expect_answer()
            await self._conn.send(item.data)

    def _expect_answer(self) -> None:
        loop = asyncio.get_running_loop()
        if self._conn.bytes_heard != self._heard_at_send:
            self._heard_at_send = self._conn.bytes_heard
            self._awaiting_since = loop.time()
        if self._watch is None and not self._is_probing:
            self._watch_from(loop)

    def _watch_from(self, loop: asyncio.AbstractEventLoop) -> None:
        silent_at = self._awaiting_since + SILENCE_S
        self._watch = loop.call_at(silent_at, self._check_silence)

    def _check_silence(self) -> None:
        self._watch = None
        if self._conn.bytes_heard != self._heard_at_send or self._closing:
            return
        loop = asyncio.get_running_loop()
        if loop.time() < self._awaiting_since + SILENCE_S:
            self._watch_from(loop)
            return
        self._is_probing = True
        task = asyncio.ensure_future(self._probe())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self) -> None:
        try:
            while not await self._answers_ping():
                pass
        except TimeoutError:
            self._closing = True
            self._owner.link_silent(self)
            self._conn.transport.abort()
        except websockets.exceptions.ConnectionClosed:
            return
        finally:
            self._is_probing = False

    async def _answers_ping(self) -> bool:
        """Pings once; False when this process itself was late.

        Raises:
            TimeoutError: The peer gave no sign of life.
        """
        transport = self._conn.transport
        unsent = transport.get_write_buffer_size()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + PROBE_S
        try:
            async with asyncio.timeout_at(deadline):
                await (await self._conn.ping())
        except TimeoutError:
            if self._conn.bytes_heard != self._heard_at_send:
                return True
            # A large frame on a narrow path keeps a ping waiting.
            if transport.get_write_buffer_size() < unsent:
                return True
            if loop.time() > deadline + LATE_S:
                return False
            raise
        return True

    def _tell_room(self) -> None:
        waiters = self._room_waiters
        self._room_waiters = []
        for callback in waiters:
            callback()
