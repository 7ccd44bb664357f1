"""The transport between instances, as the daemon sees it."""

import asyncio
import random

import banyanbank_base as base
from twisted.internet import defer

from banyanbank_mesh import _connections
from banyanbank_mesh import _frames
from banyanbank_mesh import _handshake
from banyanbank_mesh import _inbound
from banyanbank_mesh import _link
from banyanbank_mesh import _outbound
from banyanbank_mesh import _stream
from banyanbank_mesh import _tls

MAX_AHEAD_US = 60_000_000
"""A remote hybrid time further ahead of the wall clock is not taken in."""

MAX_TICK = 1 << 32
"""A remote hybrid tick above it is not taken in."""


class ListenError(Exception):
    """The listening address could not be bound."""


class Mesh:
    """Messages, calls and streams between this instance and its peers.

    All methods are called on the running loop of the asyncio reactor; `start`
    first, from a call of `reactor.callLater`, since a coroutine that is started
    before the loop runs lands on no loop.

    Args:
        instance: Name of this instance.
        incarnation: Its life; must rise from one life to the next.
        host: IP number to listen at.
        port: TCP port to listen at; 0 lets the system choose.
        clock: Clock of deadlines and delays.
        recorder: Time line.
        tls: Mutual TLS; None for plain TCP.
        rng: Source of jitter.
        hybrid_clock: Stamps frames and takes in the stamps of peers, so that
            merged time lines follow causality; None for one of its own.
        source_host: IP number to connect to peers from, of the same version
            as theirs; None lets the system choose.
    """

    def __init__(
        self,
        instance: base.InstanceId,
        incarnation: base.Incarnation,
        host: str,
        port: int,
        *,
        clock: base.Clock,
        recorder: base.Recorder,
        tls: _tls.MeshTls | None = None,
        rng: random.Random | None = None,
        hybrid_clock: base.HybridClock | None = None,
        source_host: str | None = None,
    ) -> None:
        self._me = _handshake.Identity(instance, incarnation)
        self._host = host
        self._port = port
        self._clock = clock
        self._recorder = recorder
        self._hybrid_clock = hybrid_clock or base.HybridClock(clock)
        self._connections = _connections.Connections(
            self._me,
            clock,
            recorder,
            tls,
            rng or random.Random(f"{instance}/{incarnation}"),
            self,
            source_host,
        )
        self._outbound = _outbound.Outbound(
            incarnation, clock, self._hybrid_clock, self._submit
        )
        self._inbound = _inbound.Inbound(recorder, self._hybrid_clock)

    @property
    def instance(self) -> base.InstanceId:
        """Name of this instance."""
        return self._me.instance

    @property
    def port(self) -> int:
        """TCP port that the mesh listens at, once started."""
        return self._port

    @property
    def calls_under_way(self) -> int:
        """Calls and streams started here that are not over."""
        return len(self._outbound)

    @property
    def calls_running(self) -> int:
        """Calls and streams of peers that run here."""
        return len(self._inbound)

    def start(self) -> defer.Deferred[None]:
        """Starts listening.

        Fails with `ListenError` when the address cannot be bound.
        """
        return defer.Deferred.fromFuture(asyncio.ensure_future(self._start()))

    def stop(self) -> defer.Deferred[None]:
        """Fails what is under way and closes everything."""
        self._outbound.stop()
        self._inbound.stop()
        return defer.Deferred.fromFuture(
            asyncio.ensure_future(self._connections.stop())
        )

    def set_peer(self, peer: base.InstanceId, host: str, port: int) -> None:
        """Learns or changes the address of a peer.

        Args:
            peer: Name of the peer.
            host: IP number; names are never looked up.
            port: TCP port.

        Raises:
            ValueError: The host is no IP number or the port no port.
        """
        self._connections.set_peer(peer, host, port)

    def remove_peer(self, peer: base.InstanceId) -> None:
        """Forgets the address of a peer and closes its links."""
        self._connections.remove_peer(peer)

    def connected_peers(self) -> list[base.InstanceId]:
        """Returns the peers with an open connection."""
        return self._connections.connected_peers()

    def refuses_connections(self, peer: base.InstanceId) -> bool:
        """Whether the latest dial found no process at the peer's address.

        A process that is frozen, or that its network cuts off in silence,
        refuses nothing: dials of it time out or wait for its answer.
        """
        return self._connections.refuses_connections(peer)

    def send(self, peer: base.InstanceId, channel: str, data: bytes) -> None:
        """Sends a message that may get lost; never waits."""
        frame = _frames.Message(channel, data, self._hybrid_clock.tick())
        encoded = _frames.FRAME_CODEC.encode(frame)
        if len(encoded) > _frames.MAX_FRAME_BYTES:
            self._recorder.record(
                "mesh.message_dropped",
                detail=f"peer={peer} channel={channel} bytes={len(encoded)}",
            )
            return
        self._connections.submit(
            peer, _frames.Lane.MESSAGES, _link.Outgoing(encoded)
        )

    def call(
        self, peer: base.InstanceId, method: str, data: bytes, deadline: float
    ) -> defer.Deferred[_outbound.CallResult]:
        """Asks a peer for one answer.

        Args:
            peer: Whom to ask.
            method: Names the handler.
            data: The request.
            deadline: Monotonic seconds of the clock given at construction.

        Returns:
            Fires with the whole answer or a `CallError`; never fails otherwise.
            Cancelling it abandons the call.
        """
        return self._outbound.call(peer, method, data, deadline)

    def open_stream(
        self, peer: base.InstanceId, method: str, data: bytes, deadline: float
    ) -> _stream.Stream:
        """Asks a peer for an answer in chunks.

        Args:
            peer: Whom to ask.
            method: Names the handler.
            data: The request.
            deadline: Monotonic seconds by which the whole answer must be here.
        """
        return self._outbound.open_stream(peer, method, data, deadline)

    def on_message(
        self, channel: str, handler: _inbound.MessageHandler
    ) -> None:
        """Sets the handler of a channel."""
        self._inbound.on_message(channel, handler)

    def on_call(self, method: str, handler: _inbound.CallHandler) -> None:
        """Sets the handler of a method that gives one answer."""
        self._inbound.on_call(method, handler)

    def on_stream(self, method: str, handler: _inbound.StreamHandler) -> None:
        """Sets the handler of a method that answers in chunks."""
        self._inbound.on_stream(method, handler)

    # What connections tell their owner.

    def frame_received(self, link: _link.Link, frame: _frames.Frame) -> None:
        """Takes a frame of a peer."""
        match frame:
            case _frames.Message():
                self._observe(frame.time)
                self._inbound.message_received(link, frame)
            case _frames.Call():
                self._observe(frame.time)
                self._inbound.call_received(link, frame)
            case _frames.Open():
                self._observe(frame.time)
                self._inbound.open_received(link, frame)
            case _frames.Credit():
                self._inbound.credit_received(link, frame)
            case _frames.Cancel():
                self._inbound.cancel_received(link, frame)
            case _:
                self._take_answer(link, frame)

    def connected(self, link: _link.Link) -> None:
        """Hears that frames waiting for a dial were moved to a link."""
        if link.lane is _frames.Lane.CALLS:
            self._outbound.connected(link)

    def dial_failed(
        self, peer: base.InstanceId, lane: _frames.Lane, detail: str
    ) -> None:
        """Hears that frames waiting for a dial were dropped."""
        if lane is _frames.Lane.CALLS:
            self._outbound.dial_failed(peer, detail)

    def link_closed(self, link: _link.Link) -> None:
        """Hears that a link carries nothing more."""
        self._outbound.link_closed(link)
        self._inbound.link_closed(link)

    async def _start(self) -> None:
        try:
            self._port = await self._connections.listen(self._host, self._port)
        except OSError as exc:
            raise ListenError(
                f"Cannot listen at {self._host}:{self._port}: {exc}"
            ) from exc

    def _submit(
        self, peer: base.InstanceId, item: _link.Outgoing
    ) -> _connections.Submission:
        return self._connections.submit(peer, _frames.Lane.CALLS, item)

    def _observe(self, time: base.HybridTime) -> None:
        ahead = time.wall_us - int(self._clock.wall() * 1_000_000)
        if ahead <= MAX_AHEAD_US and 0 <= time.tick <= MAX_TICK:
            self._hybrid_clock.observe(time)

    def _take_answer(self, link: _link.Link, frame: _frames.Frame) -> None:
        if isinstance(frame, _frames.Answer):
            self._observe(frame.time)
        wrong = self._outbound.take(link, frame)
        if wrong:
            self._recorder.record(
                "mesh.frame_dropped", detail=f"peer={link.peer} why={wrong}"
            )
