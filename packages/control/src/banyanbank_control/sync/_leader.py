"""Leader side of the sync protocol."""

import attrs
import banyanbank_base as base

from banyanbank_control import config
from banyanbank_control import outages
from banyanbank_control.sync import _change_log
from banyanbank_control.sync import _endpoints
from banyanbank_control.sync import _members
from banyanbank_control.sync import _messages

_ChangeLog = _change_log.ChangeLog[tuple[str, str]]
_MEMBER = "member"
_ENDPOINT = "endpoint"
_RESTRICTION = "restriction"
_SEQUENCE_NUMBERS_PER_S = 1_000_000


class LeaderSync:
    """Answers polls and tracks members and endpoints during one leadership.

    The caller must hold the lease, and must have applied everything committed
    before: then each reply was true at a moment after its poll was sent.
    Members and endpoints are soft state: a new leader starts with none and has
    them again after one poll of each instance.

    Attributes:
        members: Instances that poll.
        endpoints: Announced endpoints.
        epoch: Control epoch of this leadership.
        started_at: Monotonic time at which it began, in seconds.

    Args:
        epoch: Control epoch of this leadership.
        now: Monotonic time at which it began, in seconds.
    """

    def __init__(self, epoch: int, now: float) -> None:
        self.members = _members.MemberTable()
        self.endpoints = _endpoints.EndpointTable()
        self.epoch = epoch
        self.started_at = now
        # A leader may lose its lease and regain it in the same epoch. It then
        # starts empty again, and its numbers must exceed all earlier ones.
        first_sequence = int(now * _SEQUENCE_NUMBERS_PER_S)
        self._changes: _ChangeLog = _change_log.ChangeLog(
            first_sequence, first_sequence
        )
        self._outages = outages.OutageState()
        self._draining: frozenset[base.EndpointId] = frozenset()

    def answer(
        self,
        req: _messages.SyncRequest,
        committed_config: config.ConfigState,
        now: float,
    ) -> _messages.SyncReply:
        """Processes a poll and returns the reply.

        Args:
            req: The poll.
            committed_config: Configuration with everything committed so far.
            now: Monotonic time in seconds.
        """
        self._record_poll(req, now)
        reply = _messages.SyncReply(
            number=req.number,
            instance=req.member.instance,
            incarnation=req.member.incarnation,
            epoch=self.epoch,
            revision=committed_config.revision,
            soft=_messages.SoftVersion(self.epoch, self._changes.sequence),
        )
        reply = _with_config(reply, req, committed_config)
        return self._with_soft_state(reply, req)

    def record_announcement(
        self, announcement: _messages.Announcement, now: float
    ) -> None:
        """Processes an announcement that this instance received itself."""
        if self.endpoints.merge_announcement(announcement, now):
            self._changes.record_change((_ENDPOINT, announcement.endpoint))

    def record_outages(self, committed: outages.OutageState) -> None:
        """Records which models of engines are out of service.

        Args:
            committed: Outages with everything committed so far.
        """
        before, after = self._outages.engines, committed.engines
        self._outages = committed
        if before is after:
            return
        for endpoint in {*before, *after}:
            if before.get(endpoint) != after.get(endpoint):
                self._changes.record_change((_RESTRICTION, endpoint))

    def record_draining(self, draining: frozenset[base.EndpointId]) -> None:
        """Records which endpoints get no new work before they are stopped."""
        for endpoint in self._draining ^ draining:
            self._changes.record_change((_RESTRICTION, endpoint))
        self._draining = draining

    def tick(self, now: float) -> tuple[_members.LostMember, ...]:
        """Evicts expired endpoints and members that have stopped polling.

        Returns:
            The members evicted.
        """
        for endpoint in self.endpoints.expire(now):
            self._changes.record_change((_ENDPOINT, endpoint))
        lost = self.members.expire(now)
        for gone in lost:
            self._changes.record_change((_MEMBER, gone.member.instance))
        live = len(self.members.all()) + len(self.endpoints.all())
        live += len(self._outages.engines) + len(self._draining)
        self._changes.trim(live)
        return lost

    def _record_poll(self, req: _messages.SyncRequest, now: float) -> None:
        if self.members.record_poll(req.member, now):
            self._changes.record_change((_MEMBER, req.member.instance))
        for heard in req.heard:
            announcement = heard.announcement
            if self.endpoints.merge_announcement(
                announcement, now, heard.age_s
            ):
                self._changes.record_change((_ENDPOINT, announcement.endpoint))

    def _build_restriction(
        self, endpoint: base.EndpointId
    ) -> _messages.Restriction:
        return _messages.Restriction(
            endpoint,
            self._outages.get_models_out_of_service(endpoint),
            endpoint in self._draining,
        )

    def _with_soft_state(
        self, reply: _messages.SyncReply, req: _messages.SyncRequest
    ) -> _messages.SyncReply:
        changed_keys = None
        if req.soft.epoch == self.epoch:
            changed_keys = self._changes.list_changed_since(req.soft.sequence)
        if changed_keys is None:
            return attrs.evolve(
                reply,
                soft_whole=True,
                members=self.members.all(),
                endpoints=self.endpoints.all(),
                restrictions=tuple(
                    self._build_restriction(endpoint)
                    for endpoint in {*self._outages.engines, *self._draining}
                ),
            )
        keys = list(changed_keys)
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
            self._build_restriction(base.EndpointId(key))
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
    committed_config: config.ConfigState,
) -> _messages.SyncReply:
    deltas = committed_config.changes_since(req.revision)
    if deltas is not None:
        return attrs.evolve(reply, deltas=deltas)
    whole = _messages.ConfigWhole(
        committed_config.revision, committed_config.declared()
    )
    return attrs.evolve(reply, whole=whole)
