"""Listening, dialling and the links to all peers."""

import asyncio
import random
import typing

import attrs
import banyanbank_base as base
import websockets.asyncio.server
import websockets.exceptions

from banyanbank_mesh import _counting
from banyanbank_mesh import _errors
from banyanbank_mesh import _frames
from banyanbank_mesh import _handshake
from banyanbank_mesh import _link
from banyanbank_mesh import _peer
from banyanbank_mesh import _sockets
from banyanbank_mesh import _tls

MAX_ACCEPTED_LINKS = 2048
"""Connections that other instances may hold open to this one."""


class ConnectionsOwner(typing.Protocol):
    """What connections tell their mesh."""

    def frame_received(self, link: _link.Link, frame: _frames.Frame) -> None:
        """Takes a frame of a peer."""
        ...

    def connected(self, link: _link.Link) -> None:
        """Hears that frames waiting for a dial were moved to a link."""
        ...

    def dial_failed(
        self, peer: base.InstanceId, lane: _frames.Lane, detail: str
    ) -> None:
        """Hears that frames waiting for a dial were dropped."""
        ...

    def link_closed(self, link: _link.Link) -> None:
        """Hears, once, that a link carries nothing more."""
        ...


@attrs.frozen
class Submission:
    """What became of a frame given to `Connections.submit`."""

    accepted: bool
    """Whether it is queued."""
    link: _link.Link | None = None
    """The link it is queued at; None while a dial is under way."""
    overloaded: bool = False
    """Whether it was not accepted because a queue is full."""


class Connections:
    """All links of one instance.

    Args:
        me: Who this instance is.
        clock: Time for delays between dials.
        recorder: Time line.
        tls: Mutual TLS; None for plain TCP.
        rng: Source of jitter.
        owner: Hears of frames and connections.
        source_host: IP number to connect from; None lets the system choose.
    """

    def __init__(
        self,
        me: _handshake.Identity,
        clock: base.Clock,
        recorder: base.Recorder,
        tls: _tls.MeshTls | None,
        rng: random.Random,
        owner: ConnectionsOwner,
        source_host: str | None = None,
    ) -> None:
        self._me = me
        self._clock = clock
        self._recorder = recorder
        self._tls = tls
        self._rng = rng
        self._owner = owner
        self._source_host = source_host
        self._peers: dict[base.InstanceId, _peer.Peer] = {}
        self._lives = _peer.LifeMemory(clock)
        self._server: websockets.asyncio.server.Server | None = None
        self._accepted = 0
        self._stopped = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, port: int) -> int:
        """Starts listening and returns the TCP port.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server = await _sockets.listen(self._serve, host, port, self._tls)
        sockets = list(self._server.sockets)
        return int(sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Closes the listener and all links."""
        self._stopped = True
        for peer in self._peers.values():
            peer.close(_link.CODE_GOING, "The instance stops.")
        tasks = list(self._tasks)
        if tasks:
            await asyncio.wait(tasks, timeout=2 * _sockets.CLOSE_LIMIT_S)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def set_peer(self, instance: base.InstanceId, host: str, port: int) -> None:
        """Learns or changes the address of a peer."""
        self._peer_of(instance).move(_peer.Address(host, port))

    def remove_peer(self, instance: base.InstanceId) -> None:
        """Forgets the address of a peer and closes its links."""
        peer = self._peers.get(instance)
        if peer is None:
            return
        peer.move(None)
        peer.close(_link.CODE_REPLACED, "The peer was removed.")

    def connected_peers(self) -> list[base.InstanceId]:
        """Returns the peers with an open link."""
        return [
            peer.instance
            for peer in self._peers.values()
            if any(link.usable for link in peer.all_links())
        ]

    def refuses_connections(self, instance: base.InstanceId) -> bool:
        """Whether nothing listened at a peer's address at the latest dial."""
        peer = self._peers.get(instance)
        return peer is not None and peer.refuses_connections

    def submit(
        self,
        instance: base.InstanceId,
        lane: _frames.Lane,
        item: _link.Outgoing,
    ) -> Submission:
        """Queues a frame, dialling first when there is no link.

        On the lane of messages a full queue drops its oldest frames.
        """
        peer = self._peers.get(instance)
        if peer is None or self._stopped:
            return Submission(accepted=False)
        state = peer.lanes[lane]
        link = state.link()
        if link is not None:
            return _submit_to(link, item)
        if not self._dial_possible(peer, state):
            return Submission(accepted=False)
        if lane is _frames.Lane.MESSAGES:
            state.waiting.push_dropping_oldest(item)
        elif not state.waiting.push(item):
            return Submission(accepted=False, overloaded=True)
        if state.dial is None:
            state.dial = self._spawn(self._dial(peer, lane))
        return Submission(accepted=True)

    # What links tell their owner.

    def frame_received(self, link: _link.Link, frame: _frames.Frame) -> None:
        """Takes a frame of a link."""
        self._owner.frame_received(link, frame)

    def frame_refused(self, link: _link.Link, detail: str) -> None:
        """Hears that a peer sent something that is no frame."""
        self._recorder.record(
            "mesh.frame_refused", detail=f"peer={link.peer} why={detail}"
        )

    def link_silent(self, link: _link.Link) -> None:
        """Hears that a link is given up because its peer is silent."""
        self._recorder.record(
            "mesh.silent", detail=f"peer={link.peer} lane={link.lane.value}"
        )

    def link_closed(self, link: _link.Link) -> None:
        """Forgets a link."""
        peer = self._peers[link.peer]
        peer.lanes[link.lane].links.remove(link)
        self._lives.note(link.peer, link.incarnation)
        self._recorder.record(
            "mesh.disconnected",
            detail=f"peer={link.peer} lane={link.lane.value}",
        )
        self._owner.link_closed(link)
        if peer.address is None and not peer.all_links():
            del self._peers[link.peer]

    def _peer_of(self, instance: base.InstanceId) -> _peer.Peer:
        peer = self._peers.get(instance)
        if peer is None:
            peer = _peer.Peer(instance, self._rng)
            self._peers[instance] = peer
        return peer

    def _dial_possible(self, peer: _peer.Peer, state: _peer.LaneState) -> bool:
        if peer.address is None:
            return False
        if state.dial is not None:
            return True
        return self._clock.now() >= state.backoff.not_before

    def _spawn(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _dial(self, peer: _peer.Peer, lane: _frames.Lane) -> None:
        state = peer.lanes[lane]
        try:
            async with asyncio.timeout(_sockets.CONNECT_LIMIT_S):
                conn, identity = await self._connect(peer, lane)
        except (
            OSError,
            TimeoutError,
            websockets.exceptions.WebSocketException,
            _errors.HandshakeError,
        ) as exc:
            state.backoff.failed(self._clock.now())
            peer.refuses_connections = isinstance(exc, ConnectionRefusedError)
            self._dial_ended(peer, lane, repr(exc)[:200])
            return
        except asyncio.CancelledError:
            self._dial_cancelled(peer, lane)
            return
        link = self._add_link(conn, identity, lane, dialled=True)
        state.backoff.succeeded()
        state.dial = None
        while len(state.waiting):
            link.send(state.waiting.pop())
        self._owner.connected(link)
        await link.run()

    def _dial_cancelled(self, peer: _peer.Peer, lane: _frames.Lane) -> None:
        if peer.address is None or self._stopped:
            self._dial_ended(peer, lane, "The peer was removed.")
            return
        # The peer has moved: what waits goes to its new address.
        peer.lanes[lane].dial = self._spawn(self._dial(peer, lane))

    def _dial_ended(
        self, peer: _peer.Peer, lane: _frames.Lane, detail: str
    ) -> None:
        state = peer.lanes[lane]
        state.dial = None
        state.waiting = _link.OutgoingQueue()
        self._recorder.record(
            "mesh.unreachable",
            detail=f"peer={peer.instance} lane={lane.value} why={detail}",
        )
        self._owner.dial_failed(peer.instance, lane, detail)

    async def _connect(
        self, peer: _peer.Peer, lane: _frames.Lane
    ) -> tuple[_counting.CountingClient, _handshake.Identity]:
        address = peer.address
        if address is None:
            raise OSError(f"The address of {peer.instance!r} is not known.")
        conn = await _sockets.connect(address, self._tls, self._source_host)
        try:
            identity = await _handshake.greet(
                conn, self._me, peer.instance, lane, self._tls
            )
            self._check_life(identity)
        except BaseException:
            conn.transport.abort()
            raise
        return conn, identity

    async def _serve(self, conn: _counting.CountingServer) -> None:
        if self._accepted >= MAX_ACCEPTED_LINKS or self._stopped:
            await conn.close(_link.CODE_REFUSED, "Too many connections.")
            return
        self._accepted += 1
        try:
            await self._serve_accepted(conn)
        finally:
            self._accepted -= 1

    async def _serve_accepted(self, conn: _counting.CountingServer) -> None:
        try:
            identity, lane = await _handshake.accept(
                conn, self._me, self._check_life, self._tls
            )
        except _errors.HandshakeError as exc:
            self._recorder.record(
                "mesh.peer_refused", detail=f"why={str(exc)[:200]}"
            )
            await conn.close(exc.code, str(exc)[:100])
            return
        link = self._add_link(conn, identity, lane, dialled=False)
        await link.run()

    def _check_life(self, identity: _handshake.Identity) -> None:
        newest = self._lives.newest(identity.instance)
        peer = self._peers.get(identity.instance)
        if peer is not None:
            newest = max(newest, peer.connected_life())
        if identity.incarnation >= newest:
            return
        raise _errors.HandshakeError(
            _link.CODE_REFUSED,
            f"Incarnation {identity.incarnation} of {identity.instance!r} is "
            f"older than {newest}.",
        )

    def _add_link(
        self,
        conn: _counting.CountingConnection,
        identity: _handshake.Identity,
        lane: _frames.Lane,
        *,
        dialled: bool,
    ) -> _link.Link:
        peer = self._peer_of(identity.instance)
        link = _link.Link(
            conn, peer.instance, identity.incarnation, lane, dialled, self
        )
        self._lives.note(identity.instance, identity.incarnation)
        peer.close_older(identity.incarnation)
        peer.refuses_connections = False
        peer.lanes[lane].links.append(link)
        self._recorder.record(
            "mesh.connected",
            detail=f"peer={peer.instance} lane={lane.value} "
            f"incarnation={identity.incarnation}",
        )
        return link


def _submit_to(link: _link.Link, item: _link.Outgoing) -> Submission:
    if link.lane is _frames.Lane.MESSAGES:
        link.send_lossy(item)
        return Submission(accepted=True, link=link)
    if link.send(item):
        return Submission(accepted=True, link=link)
    return Submission(accepted=False, overloaded=True)
