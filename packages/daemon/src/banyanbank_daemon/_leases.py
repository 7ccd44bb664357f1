"""Reports loads to the leader and leases shares of limits from it."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_control as control
import banyanbank_dispatch as dispatch
import banyanbank_mesh as mesh
from returns import result
from twisted.internet import task

from banyanbank_daemon import _background
from banyanbank_daemon import _control_plane
from banyanbank_daemon import _leader_call

METHOD = "leases.renew"
LEASE_S = 1.0
CALL_S = 1.0

Loads = typing.Callable[[], tuple[control.EngineReport, ...]]
Unserved = typing.Callable[[], tuple[control.UnservedModel, ...]]


@attrs.frozen
class LeaseRequest:
    """What an instance saw of its callers and of its engines."""

    demands: tuple[dispatch.Demand, ...]
    """By client account; accounts without requests are left out."""
    held: tuple[dispatch.Share, ...] = ()
    """Leased shares that have not expired; a new leader counts them."""
    engines: tuple[control.EngineReport, ...] = ()
    """Loads of the engines owned here that have had requests."""
    unserved: tuple[control.UnservedModel, ...] = ()
    """Requests that found no endpoint of their model since the last call."""


@attrs.frozen
class LeaseReply:
    """What an instance may admit."""

    shares: tuple[dispatch.Share, ...]
    """By client account; empty while the leader has yet to open."""


REQUEST_CODEC: base.Codec[LeaseRequest] = base.Codec(LeaseRequest)
REPLY_CODEC: base.Codec[LeaseReply] = base.Codec(LeaseReply)


class LeaseServer:
    """Leases shares and collects loads while this instance leads.

    Args:
        clock: Clock of deadlines.
        node: The log here.
        machine: State machine here.
        members: Instances that poll.
    """

    def __init__(
        self,
        clock: base.Clock,
        node: consensus.LogNode,
        machine: control.ControlMachine,
        members: typing.Callable[[], typing.Sized],
    ) -> None:
        self._clock = clock
        self._node = node
        self._machine = machine
        self._members = members
        self._allocator: dispatch.ShareAllocator | None = None
        self._reports: control.EngineReports | None = None
        self._epoch = 0

    async def serve(self, sender: base.InstanceId, data: bytes) -> bytes:
        """Handles one call of `METHOD`."""
        req = REQUEST_CODEC.decode(data)
        return REPLY_CODEC.encode(self.lease(sender, req))

    def lease(self, instance: base.InstanceId, req: LeaseRequest) -> LeaseReply:
        """Returns an instance's shares; none while this one does not lead."""
        if not self._node.lease_held():
            return LeaseReply(())
        now = self._clock.now()
        allocator, reports = self._office(now)
        reports.record(instance, req.engines, now, req.unserved)
        limits = [
            dispatch.AccountLimit(
                item.name, item.requests_per_s, item.concurrency
            )
            for item in self._machine.state.config.accounts()
        ]
        shares = allocator.lease(
            instance,
            max(1, len(self._members())),
            limits,
            req.demands,
            now,
            req.held,
        )
        return LeaseReply(shares)

    def reports(self) -> control.EngineReports:
        """Returns the loads of the engines; asked while leading."""
        return self._office(self._clock.now())[1]

    def _office(
        self, now: float
    ) -> tuple[dispatch.ShareAllocator, control.EngineReports]:
        """Returns the soft state of this epoch."""
        is_new = self._epoch != self._node.epoch
        if self._allocator is None or self._reports is None or is_new:
            self._epoch = self._node.epoch
            self._allocator = dispatch.ShareAllocator(now)
            self._reports = control.EngineReports(now)
        return self._allocator, self._reports


class LeaseClient:
    """Keeps an entry's shares current and the leader's view of its engines.

    While no leader leases, each instance takes an equal part of each limit: a
    change of leader then refuses nobody who stays within an even share.

    Args:
        reactor: Carries timers.
        clock: Clock of deadlines.
        transport: Mesh of this instance.
        plane: Knows the leader.
        entry: Holds accounts and members.
        limits: Admits within the shares.
        loads: Gives the loads of the engines owned here.
        unserved: Gives the requests that found no endpoint, once.
        server: Leases here; None on an instance that is no voter.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        transport: mesh.Mesh,
        plane: _control_plane.ControlPlane,
        entry: control.EntrySync,
        limits: dispatch.AdmissionLimits,
        loads: Loads,
        unserved: Unserved,
        server: LeaseServer | None,
    ) -> None:
        self._clock = clock
        self._entry = entry
        self._limits = limits
        self._loads = loads
        self._unserved = unserved
        self._leader = _leader_call.LeaderCall(
            clock,
            transport,
            plane,
            METHOD,
            REQUEST_CODEC,
            REPLY_CODEC,
            CALL_S,
            None if server is None else self._lease_here(server),
        )
        self._leased_until = 0.0
        self._loop = task.LoopingCall(self._renew)
        self._loop.clock = reactor

    def start(self) -> None:
        """Begins to renew."""
        self._loop.start(LEASE_S)

    def stop(self) -> None:
        """Stops renewing."""
        if self._loop.running:
            self._loop.stop()

    def accounts_changed(self) -> None:
        """Takes in new limits at once, before the next renewal."""
        accounts = self._accounts()
        self._limits.set_limited_accounts(account.name for account in accounts)
        if self._clock.now() >= self._leased_until:
            self._share_evenly(accounts)

    def _renew(self) -> None:
        _background.start(self._exchange(), "leases")

    async def _exchange(self) -> None:
        requested_at = self._clock.now()
        # Even shares were not leased, so no leader has to count them.
        is_leased = requested_at < self._leased_until
        req = LeaseRequest(
            self._limits.demands(requested_at),
            self._limits.held(requested_at) if is_leased else (),
            self._loads(),
            self._unserved(),
        )
        reply = await self._ask(req)
        if reply is not None and reply.shares:
            self._leased_until = requested_at + dispatch.SHARE_S
            self._limits.apply_shares(reply.shares, requested_at)
        elif self._clock.now() >= self._leased_until:
            self._share_evenly(self._accounts())

    async def _ask(self, req: LeaseRequest) -> LeaseReply | None:
        asked = await self._leader.ask(req)
        if isinstance(asked, result.Failure):
            return None
        return asked.unwrap().reply

    def _lease_here(
        self, server: LeaseServer
    ) -> _leader_call.Here[LeaseRequest, LeaseReply]:
        async def lease(req: LeaseRequest) -> LeaseReply:
            return server.lease(self._entry.member.instance, req)

        return lease

    def _accounts(self) -> list[control.Account]:
        return [
            item
            for item in self._entry.view.items.values()
            if isinstance(item, control.Account)
        ]

    def _share_evenly(self, accounts: list[control.Account]) -> None:
        instances = max(1, len(self._entry.members.all()))
        shares = [
            dispatch.Share(
                account.name,
                account.requests_per_s / instances,
                max(1, account.concurrency // instances),
            )
            for account in accounts
        ]
        self._limits.apply_shares(shares, self._clock.now())
