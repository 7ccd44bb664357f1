"""Answers entries' polls at the leader."""

import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_control as control

METHOD = "control.sync"


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
        self._office: control.LeaderSync | None = None
        self._draining: frozenset[base.EndpointId] = frozenset()

    async def serve(self, sender: base.InstanceId, data: bytes) -> bytes:
        """Handles one call of `METHOD`."""
        del sender
        req = control.SYNC_CODEC.decode(data)
        return control.SYNC_CODEC.encode(await self.answer_here(req))

    async def answer_here(
        self, req: control.SyncMessage
    ) -> control.SyncMessage:
        """Answers a poll of this instance's own entry, or one just read."""
        assert isinstance(req, control.SyncRequest)
        return self.answer(req)

    def answer(
        self, req: control.SyncRequest
    ) -> control.SyncReply | control.SyncRefused:
        """Answers one poll."""
        if not self._node.lease_held():
            return control.SyncRefused(req.number, self._node.leader)
        config = self._machine.state.config
        office = self.office()
        office.record_outages(self._machine.state.outages)
        # Orders to stop are committed: a new leader knows them at once.
        live = self._machine.state.orders.live.values()
        office.record_draining(
            self._draining | control.find_stopping_endpoints(live)
        )
        return office.answer(req, config, self._clock.now())

    def office(self) -> control.LeaderSync:
        """Returns the soft state of this epoch; asked while leading."""
        if self._office is None or self._office.epoch != self._node.epoch:
            now = self._clock.now()
            self._office = control.LeaderSync(self._node.epoch, now)
        return self._office

    def members(self) -> tuple[control.Member, ...]:
        """Returns the instances that poll; asked while leading."""
        return self.office().members.all()

    def announced(self) -> tuple[control.Announcement, ...]:
        """Returns the endpoints that are heard; asked while leading."""
        return self.office().endpoints.all()

    def drain(self, endpoints: frozenset[base.EndpointId]) -> None:
        """Takes the endpoints that get no new work in this epoch."""
        self._draining = endpoints

    def running(self) -> tuple[control.Announcement, ...]:
        """Returns the endpoints that run; asked while leading.

        One that has left may be remembered for a minute; it counts no more.
        """
        return tuple(
            announcement
            for announcement in self.office().endpoints.all()
            if announcement.phase is not control.Phase.LEAVING
        )

    def tick(self) -> None:
        """Drops what has gone silent; called while the lease is held."""
        self.office().tick(self._clock.now())

    def stop(self) -> None:
        """Drops the soft state; the next epoch starts its own."""
        self._office = None
        self._draining = frozenset()
