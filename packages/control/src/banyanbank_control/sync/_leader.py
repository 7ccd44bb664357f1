"""The leader's end of the sync exchange."""

import attrs
import banyanbank_base as base

from banyanbank_control import config
from banyanbank_control import outages
from banyanbank_control.sync import _changes
from banyanbank_control.sync import _endpoints
from banyanbank_control.sync import _members
from banyanbank_control.sync import _messages

_Log = _changes.ChangeLog[tuple[str, str]]
_MEMBER = "member"
_ENDPOINT = "endpoint"
_RESTRICTION = "restriction"
_NUMBERS_A_SECOND = 1_000_000


class LeaderSync:
    """Answers polls and keeps members and endpoints while in office.

    The caller asks it only while the lease is held, and with a state that has
    applied everything committed before: then each reply was true at a moment
    after its poll was sent. All of it is soft state: a new leader starts
    empty and has it again after one poll of each instance.

    Attributes:
        members: Instances that poll.
        endpoints: Endpoints heard of.

    Args:
        epoch: Control epoch of this office.
        now: Monotonic time at which it began, in seconds.
    """

    def __init__(self, epoch: int, now: float) -> None:
        self.members = _members.MemberTable()
        self.endpoints = _endpoints.EndpointTable()
        self.epoch = epoch
        self.since = now
        # A leader that lost its lease may regain it in the same epoch and
        # starts empty again: its numbers must be above all earlier ones.
        first = int(now * _NUMBERS_A_SECOND)
        self._log: _Log = _changes.ChangeLog(first, first)
        self._outages = outages.OutageState()
        self._draining: frozenset[base.EndpointId] = frozenset()

    def answer(
        self,
        req: _messages.SyncRequest,
        in_force: config.ConfigState,
        now: float,
    ) -> _messages.SyncReply:
        """Takes in a poll and returns its answer.

        Args:
            req: The poll.
            in_force: Configuration with everything committed so far.
            now: Monotonic time in seconds.
        """
        self._hear(req, now)
        reply = _messages.SyncReply(
            number=req.number,
            instance=req.member.instance,
            incarnation=req.member.incarnation,
            epoch=self.epoch,
            revision=in_force.revision,
            soft=_messages.SoftVersion(self.epoch, self._log.sequence),
        )
        reply = _with_config(reply, req, in_force)
        return self._with_soft(reply, req)

    def hear_endpoint(
        self, announcement: _messages.Announcement, now: float
    ) -> None:
        """Takes in an announcement that this instance heard itself."""
        if self.endpoints.hear(announcement, now):
            self._log.note((_ENDPOINT, announcement.endpoint))

    def note_outages(self, committed: outages.OutageState) -> None:
        """Takes in which models of engines are out of service.

        Args:
            committed: State with everything committed so far.
        """
        before, after = self._outages.engines, committed.engines
        self._outages = committed
        if before is after:
            return
        for endpoint in {*before, *after}:
            if before.get(endpoint) != after.get(endpoint):
                self._log.note((_RESTRICTION, endpoint))

    def note_draining(self, draining: frozenset[base.EndpointId]) -> None:
        """Takes in which endpoints get no new work before they are stopped."""
        for endpoint in self._draining ^ draining:
            self._log.note((_RESTRICTION, endpoint))
        self._draining = draining

    def tick(self, now: float) -> tuple[_members.Lost, ...]:
        """Drops what has gone silent.

        Returns:
            The instances that have.
        """
        for endpoint in self.endpoints.expire(now):
            self._log.note((_ENDPOINT, endpoint))
        lost = self.members.expire(now)
        for gone in lost:
            self._log.note((_MEMBER, gone.member.instance))
        live = len(self.members.all()) + len(self.endpoints.all())
        live += len(self._outages.engines) + len(self._draining)
        self._log.trim(live)
        return lost

    def _hear(self, req: _messages.SyncRequest, now: float) -> None:
        if self.members.hear(req.member, now):
            self._log.note((_MEMBER, req.member.instance))
        for heard in req.heard:
            announcement = heard.announcement
            if self.endpoints.hear(announcement, now, heard.age_s):
                self._log.note((_ENDPOINT, announcement.endpoint))

    def _restriction(self, endpoint: base.EndpointId) -> _messages.Restriction:
        return _messages.Restriction(
            endpoint,
            self._outages.models_out(endpoint),
            endpoint in self._draining,
        )

    def _with_soft(
        self, reply: _messages.SyncReply, req: _messages.SyncRequest
    ) -> _messages.SyncReply:
        changed = None
        if req.soft.epoch == self.epoch:
            changed = self._log.since(req.soft.sequence)
        if changed is None:
            return attrs.evolve(
                reply,
                soft_whole=True,
                members=self.members.all(),
                endpoints=self.endpoints.all(),
                restrictions=tuple(
                    self._restriction(endpoint)
                    for endpoint in {*self._outages.engines, *self._draining}
                ),
            )
        keys = list(changed)
        members = {
            base.InstanceId(key): self.members.get(base.InstanceId(key))
            for kind, key in keys
            if kind == _MEMBER
        }
        endpoints = {
            base.EndpointId(key): self.endpoints.get(base.EndpointId(key))
            for kind, key in keys
            if kind == _ENDPOINT
        }
        restrictions = [
            self._restriction(base.EndpointId(key))
            for kind, key in keys
            if kind == _RESTRICTION
        ]
        return attrs.evolve(
            reply,
            restrictions=tuple(restrictions),
            members=tuple(m for m in members.values() if m),
            members_gone=tuple(key for key, m in members.items() if not m),
            endpoints=tuple(e for e in endpoints.values() if e),
            endpoints_gone=tuple(key for key, e in endpoints.items() if not e),
        )


def _with_config(
    reply: _messages.SyncReply,
    req: _messages.SyncRequest,
    in_force: config.ConfigState,
) -> _messages.SyncReply:
    deltas = in_force.changes_since(req.revision)
    if deltas is not None:
        return attrs.evolve(reply, deltas=deltas)
    whole = _messages.ConfigWhole(in_force.revision, in_force.declared())
    return attrs.evolve(reply, whole=whole)
