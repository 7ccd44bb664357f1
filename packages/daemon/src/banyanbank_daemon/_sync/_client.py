"""Polls the leader and acts on what it answers."""

import typing

import banyanbank_base as base
import banyanbank_control as control
import banyanbank_mesh as mesh
from returns import result
from twisted.internet import task

from banyanbank_daemon import _background
from banyanbank_daemon import _control_plane
from banyanbank_daemon import _leader_call
from banyanbank_daemon._sync import _server

CALL_S = 1.0
STALE_GRACE_S = 0.5
"""Time past freshness at which keyed requests in progress end."""
STALE_SEEN_S = 0.3
"""Time for which the configuration has been seen to be stale before they end.

An instance that was held up reads meanwhile what has arrived: answers to its
polls, and answers to be delivered.
"""

Reply = control.SyncReply | control.SyncRefused | None


class SyncListener(typing.Protocol):
    """Acts on what a poll has changed."""

    def keys_withdrawn(self, key_ids: frozenset[base.KeyId]) -> None:
        """Ends what runs and waits under withdrawn keys."""
        ...

    def config_stale(self) -> None:
        """Ends what needs a configuration that is surely in force."""
        ...

    def config_changed(self) -> None:
        """Takes in a new revision of the configuration."""
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
        entry: Holds what was learned.
        listener: Acts on changes.
        server: Answers polls here; None on an instance that is no voter.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        transport: mesh.Mesh,
        plane: _control_plane.ControlPlane,
        entry: control.EntrySync,
        listener: SyncListener,
        server: _server.SyncServer | None,
    ) -> None:
        self._clock = clock
        self._mesh = transport
        self._leader = _leader_call.LeaderCall(
            clock,
            transport,
            plane,
            _server.METHOD,
            control.SYNC_CODEC,
            control.SYNC_CODEC,
            CALL_S,
            None if server is None else server.answer_here,
        )
        self._plane = plane
        self._entry = entry
        self._listener = listener
        self._stale_since: float | None = None
        self._loop = task.LoopingCall(self._poll)
        self._loop.clock = reactor

    def start(self) -> None:
        """Begins to poll."""
        self._loop.start(control.POLL_INTERVAL_S)

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
        heard = self._entry.endpoints.heard
        if heard.merge_announcement(announcement, self._clock.now()):
            self._listener.endpoints_changed()
            self.poll_soon()

    def _poll(self) -> None:
        _background.start(self._exchange(), "poll")

    async def _exchange(self) -> None:
        now = self._clock.now()
        if self._is_surely_stale(now):
            self._listener.config_stale()
        req = self._entry.request(now)
        reply = await self._ask(req)
        if not isinstance(reply, control.SyncReply):
            return
        update = self._entry.apply_reply(reply, self._clock.now())
        if update.config_changed:
            self._listener.config_changed()
        if update.withdrawn:
            self._listener.keys_withdrawn(update.withdrawn)
        self._note_peers()
        self._listener.endpoints_changed()

    def _is_surely_stale(self, now: float) -> bool:
        deadline = self._entry.freshness.deadline
        if now <= deadline:
            self._stale_since = None
            return False
        if self._stale_since is None:
            self._stale_since = now
        has_been_seen = now >= self._stale_since + STALE_SEEN_S
        return has_been_seen and now > deadline + STALE_GRACE_S

    async def _ask(self, req: control.SyncRequest) -> Reply:
        asked = await self._leader.ask(req)
        if isinstance(asked, result.Failure):
            error = asked.failure()
            if not error.is_here:
                self._plane.note_unreachable(error.target)
            return None
        answer = asked.unwrap()
        reply = answer.reply
        if not answer.is_here:
            self._note_leader(answer.target, reply)
        return None if isinstance(reply, control.SyncRequest) else reply

    def _note_leader(
        self, target: base.InstanceId, reply: control.SyncMessage
    ) -> None:
        if isinstance(reply, control.SyncRefused):
            hint = "" if reply.leader == target else reply.leader or ""
            self._plane.note_leader(hint)
        elif isinstance(reply, control.SyncReply):
            self._plane.note_leader(target)

    def _note_peers(self) -> None:
        for member in self._entry.members.all():
            if member.instance == self._entry.member.instance:
                continue
            host, _, port = member.address.rpartition(":")
            self._mesh.set_peer(member.instance, host, int(port))
