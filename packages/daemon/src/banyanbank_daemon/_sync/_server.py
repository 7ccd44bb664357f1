"""Answers entries' polls at the leader."""

import typing

import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_control as control

METHOD = "control.sync"
MEMBER_TTL_S = 2.0


class _KnownMember(typing.NamedTuple):
    member: control.Member
    expires_at: float


class SyncServer:
    """Answers polls while this instance holds the lease.

    Args:
        clock: Clock of deadlines.
        node: The log here.
        machine: State machine here.
    """

    def __init__(
        self,
        clock: base.Clock,
        node: consensus.LogNode,
        machine: control.ControlMachine,
    ) -> None:
        self._clock = clock
        self._node = node
        self._machine = machine
        self._members: dict[base.InstanceId, _KnownMember] = {}
        self._endpoints = control.EndpointTable()
        self._epoch = 0

    async def serve(self, sender: base.InstanceId, data: bytes) -> bytes:
        """Handles one call of `METHOD`."""
        del sender
        req = control.SYNC_CODEC.decode(data)
        assert isinstance(req, control.SyncRequest)
        return control.SYNC_CODEC.encode(self.answer(req))

    def answer(
        self, req: control.SyncRequest
    ) -> control.SyncReply | control.SyncRefused:
        """Answers one poll."""
        if not self._node.lease_held():
            return control.SyncRefused(req.number, self._node.leader)
        now = self._clock.now()
        self._start_epoch()
        self._note_member(req.member, now)
        for heard in req.heard:
            self._endpoints.hear(heard.announcement, now, heard.age_s)
        self._endpoints.expire(now)
        config = self._machine.state.config
        deltas = config.changes_since(req.revision)
        whole = None
        if deltas is None:
            whole = control.ConfigWhole(config.revision, config.declared())
        return control.SyncReply(
            number=req.number,
            epoch=self._node.epoch,
            revision=config.revision,
            soft=control.SoftVersion(self._node.epoch, 0),
            whole=whole,
            deltas=deltas or (),
            soft_whole=True,
            members=tuple(known.member for known in self._members.values()),
            endpoints=self._endpoints.all(),
        )

    def _start_epoch(self) -> None:
        if self._epoch != self._node.epoch:
            self._epoch = self._node.epoch
            self._members.clear()
            self._endpoints = control.EndpointTable()

    def _note_member(self, member: control.Member, now: float) -> None:
        known = self._members.get(member.instance)
        if known and known.member.incarnation > member.incarnation:
            return
        expires_at = now + MEMBER_TTL_S
        self._members[member.instance] = _KnownMember(member, expires_at)
        gone = [
            name
            for name, other in self._members.items()
            if other.expires_at <= now
        ]
        for name in gone:
            del self._members[name]
