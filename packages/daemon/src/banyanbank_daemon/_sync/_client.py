"""Polls the leader and takes in what it answers."""

import typing

import banyanbank_base as base
import banyanbank_control as control
import banyanbank_mesh as mesh
from loguru import logger
from returns import result
from twisted.internet import defer
from twisted.internet import task

from banyanbank_daemon import _control_plane
from banyanbank_daemon import _fleet
from banyanbank_daemon._sync import _server

CALL_S = 1.0


class SyncListener(typing.Protocol):
    """Acts on what a poll has changed."""

    def keys_withdrawn(self, key_ids: frozenset[base.KeyId]) -> None:
        """Ends what runs and waits under withdrawn keys."""
        ...

    def endpoints_changed(self) -> None:
        """Acts on endpoints that came, left or will leave."""
        ...


class SyncClient:
    """Keeps an entry's configuration, members and endpoints current.

    Args:
        reactor: Reactor that carries timers.
        clock: Clock of deadlines.
        transport: Mesh of this instance.
        plane: Knows the leader.
        authenticator: Holds the configuration.
        gate: Counts its freshness.
        fleet: Holds members and endpoints.
        member: Describes this instance.
        listener: Acts on changes.
        server: Answers polls here; None on an instance that is no voter.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        transport: mesh.Mesh,
        plane: _control_plane.ControlPlane,
        authenticator: control.Authenticator,
        gate: control.FreshnessGate,
        fleet: _fleet.Fleet,
        member: typing.Callable[[], control.Member],
        listener: SyncListener,
        server: _server.SyncServer | None,
    ) -> None:
        self._clock = clock
        self._mesh = transport
        self._plane = plane
        self._authenticator = authenticator
        self._gate = gate
        self._fleet = fleet
        self._member = member
        self._listener = listener
        self._server = server
        self._number = 0
        self._soft = control.SoftVersion()
        self._heard: dict[base.EndpointId, control.Heard] = {}
        self._loop = task.LoopingCall(self._poll)
        self._loop.clock = reactor

    def start(self) -> None:
        """Begins to poll."""
        self._loop.start(control.POLL_S)

    def stop(self) -> None:
        """Stops polling."""
        if self._loop.running:
            self._loop.stop()

    def poll_soon(self) -> None:
        """Polls at once, after something was heard that others should know."""
        if self._loop.running:
            self._loop.reset()
            self._poll()

    def hear(self, announcement: control.Announcement) -> None:
        """Takes in an endpoint's announcement that came to this instance."""
        now = self._clock.now()
        has_changed = self._fleet.endpoints.hear(announcement, now)
        self._heard[announcement.endpoint] = control.Heard(announcement, 0.0)
        if has_changed:
            self._listener.endpoints_changed()
            self.poll_soon()

    def _poll(self) -> None:
        polling = defer.ensureDeferred(self._exchange())
        polling.addErrback(
            lambda failure: logger.error("poll: {}", failure.getTraceback())
        )

    async def _exchange(self) -> None:
        now = self._clock.now()
        if self._fleet.endpoints.expire(now):
            self._listener.endpoints_changed()
        self._number += 1
        heard, self._heard = self._heard, {}
        req = control.SyncRequest(
            number=self._number,
            member=self._member(),
            revision=self._authenticator.view.revision,
            soft=self._soft,
            heard=tuple(heard.values()),
        )
        self._gate.note_sent(req.number, now)
        reply = await self._ask(req)
        if isinstance(reply, control.SyncReply):
            self._take(reply)
        else:
            # What was heard goes into the next poll, unless newer came.
            self._heard = {**heard, **self._heard}

    async def _ask(
        self, req: control.SyncRequest
    ) -> control.SyncReply | control.SyncRefused | None:
        target = self._plane.next_target()
        if target == self._member().instance:
            return self._server.answer(req) if self._server else None
        called = await self._mesh.call(
            target,
            _server.METHOD,
            control.SYNC_CODEC.encode(req),
            self._clock.now() + CALL_S,
        )
        if isinstance(called, result.Failure):
            self._plane.note_unreachable(target)
            return None
        reply = control.SYNC_CODEC.decode(called.unwrap())
        if isinstance(reply, control.SyncRefused):
            hint = "" if reply.leader == target else reply.leader or ""
            self._plane.note_leader(hint)
            return reply
        if isinstance(reply, control.SyncReply):
            self._plane.note_leader(target)
            return reply
        return None

    def _take(self, reply: control.SyncReply) -> None:
        update = self._authenticator.view.updated(reply)
        self._authenticator.view = update.view
        if update.taken:
            self._gate.note_answered(reply.number)
        if update.withdrawn:
            self._listener.keys_withdrawn(update.withdrawn)
        self._take_soft(reply)

    def _take_soft(self, reply: control.SyncReply) -> None:
        now = self._clock.now()
        if reply.soft < self._soft:
            return
        self._soft = reply.soft
        if reply.soft_whole:
            self._fleet.members.clear()
        for member in reply.members:
            self._fleet.members[member.instance] = member
        for instance in reply.members_gone:
            self._fleet.members.pop(instance, None)
        has_changed = False
        for announcement in reply.endpoints:
            if self._fleet.endpoints.hear(announcement, now):
                has_changed = True
        self._note_peers()
        if has_changed:
            self._listener.endpoints_changed()

    def _note_peers(self) -> None:
        for member in self._fleet.members.values():
            if member.instance == self._member().instance:
                continue
            host, _, port = member.address.rpartition(":")
            self._mesh.set_peer(member.instance, host, int(port))
