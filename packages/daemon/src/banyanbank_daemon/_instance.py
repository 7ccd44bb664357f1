"""One instance: its parts, put together, started and stopped."""

import typing

import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_control as control
import banyanbank_mesh as mesh
import banyanbank_web as web
from banyanbank_web import metrics
from loguru import logger
from twisted.internet import task

from banyanbank_daemon import _announcements
from banyanbank_daemon import _background
from banyanbank_daemon import _figures
from banyanbank_daemon import _health
from banyanbank_daemon import _leader
from banyanbank_daemon import _leases
from banyanbank_daemon import _listeners
from banyanbank_daemon import _meters
from banyanbank_daemon import _operators
from banyanbank_daemon import _parts
from banyanbank_daemon import _secrets
from banyanbank_daemon import _settings
from banyanbank_daemon import _status
from banyanbank_daemon import _sync
from banyanbank_daemon import _timeline_calls
from banyanbank_daemon import _voters
from banyanbank_daemon._parts import _control

DRAIN_METHOD = "instance.drain"
DRAIN_CALL_S = 5.0
DRAIN_POLL_S = 0.05
DRAIN_NOTICE_S = 1.0
HAND_OVER_S = 10.0
FINAL_FLUSH_S = 10.0
FIGURES_S = 1.0
"""Seconds that other instances have to tell their figures."""


class InstanceError(Exception):
    """An instance could not start."""


class Instance:
    """An entry, and a voter where it has a disk.

    Several instances can live on one loop: nothing is kept in modules.

    Args:
        settings: Checked settings.
        around: Clock, disk and so on.
        secrets: Credentials read from files.
    """

    def __init__(
        self,
        settings: _settings.Settings,
        around: _parts.Surroundings,
        secrets: _secrets.Secrets,
    ) -> None:
        self.settings = settings
        self.around = around
        self.is_draining = False
        self._has_stopped = False
        self.metrics = metrics.MetricsRegistry(around.clock)
        self.meters = _meters.Meters(self.metrics)
        self.identity = _parts.Identity(settings.instance_id, around.clock)
        self.mesh = mesh.Mesh(
            self.identity.name,
            self.identity.incarnation,
            settings.listen_host,
            settings.mesh_port,
            clock=around.clock,
            recorder=around.recorder,
            tls=around.mesh_tls,
            rng=around.rng,
            hybrid_clock=around.recorder.hybrid_clock,
            source_host=settings.mesh_source_host,
        )
        self.mesh.on_call(DRAIN_METHOD, self._serve_drain)
        self.control = _parts.build_control(
            settings, around, self.identity, self.mesh
        )
        self.dispatch = _parts.build_dispatch(
            around,
            self.identity,
            settings.failure_domain,
            self.mesh,
            self.control,
        )
        self.entry = _parts.build_entry(
            around, self.identity, self.mesh, self.control, self.dispatch
        )
        self.leader = _parts.build_leader(
            settings,
            around,
            self.identity,
            self.mesh,
            self.control,
            self.dispatch,
            self.entry,
        )
        self.sync = self._build_sync()
        self.limits = _leases.LeaseClient(
            around.reactor,
            around.clock,
            self.mesh,
            self.control.plane,
            self.control.entry,
            self.entry.limits,
            self.dispatch.queues.reports,
            self.dispatch.fleet.take_unserved,
            None if self.leader is None else self.leader.lease_server,
        )
        self.voters = _voters.VoterChanges(
            around.clock,
            self.mesh,
            self.control.plane,
            self.control.node,
        )
        self.timeline = _timeline_calls.TimelineCalls(
            self.mesh, around.recorder, around.reactor
        )
        self.own_figures = self._build_figures()
        self.figures = _figures.FigureCalls(self.mesh, self.own_figures)
        self.listeners = self._build_listeners(secrets)
        self._usage_loop = task.LoopingCall(self._flush_usage)
        self._usage_loop.clock = around.reactor

    def _build_figures(self) -> _figures.OwnFigures:
        leader = self.leader
        return _figures.OwnFigures(
            self.identity.name,
            self.entry.waits,
            self.dispatch.waits,
            None if leader is None else leader.endpoint_time,
            self.control.node,
            self.control.rollouts,
            lambda: () if leader is None else leader.weights.withheld,
        )

    def _build_sync(self) -> _sync.SyncClient:
        return _sync.SyncClient(
            self.around.reactor,
            self.around.clock,
            self.mesh,
            self.control.plane,
            self.control.entry,
            self,
            None if self.leader is None else self.leader.sync_server,
        )

    def _build_listeners(
        self, secrets: _secrets.Secrets
    ) -> _listeners.Listeners:
        around = self.around
        endpoints = _announcements.EndpointCalls(
            around.clock,
            secrets.announce_token,
            self.sync,
            self.dispatch.looks.pass_on,
        )
        operators = self._operator_routes(secrets.operator_token)
        health = _health.HealthCalls(
            around.clock,
            lambda: self.is_draining,
            lambda: self.control.entry.freshness.deadline,
        )
        callers = _listeners.caller_routes(
            health,
            self.entry.models,
            self.entry.trainers,
            endpoints,
            self.entry.services,
        )
        return _listeners.Listeners(
            self.settings,
            around.reactor,
            callers,
            operators,
            self.identity.new_request_id,
            around.caller_tls,
            self.meters.observe_request,
        )

    def _operator_routes(self, token: str) -> list[web.Route]:
        clock = self.around.clock
        authenticator = self.control.entry.authenticator
        desk = _operators.Desk(clock, token, self.control.plane)
        cluster = _operators.ClusterCalls(
            clock,
            desk,
            self.metrics,
            lambda: self.meters.observe_figures(self.own_figures.read()),
            self._status,
            self.timeline,
            self._peers,
            self._drain_instance,
            self.voters,
        )
        return [
            *cluster.routes(),
            *_operators.SheetCalls(desk, authenticator).routes(),
            *_operators.KeyCalls(desk, authenticator).routes(),
        ]

    def _peers(self) -> list[base.InstanceId]:
        return [member.instance for member in self.control.entry.members.all()]

    async def _status(
        self, peers: list[base.InstanceId]
    ) -> dict[str, typing.Any]:
        deadline = self.around.clock.now() + FIGURES_S
        gathered = await self.figures.gather(peers, deadline)
        return _status.status_document(self, gathered)

    async def start(self) -> None:
        """Listens, recovers the log and begins to poll.

        Raises:
            InstanceError: An address or the data folder cannot be used.
        """
        try:
            await self.mesh.start()
        except mesh.ListenError as exc:
            raise InstanceError(str(exc)) from exc
        self.control.entry.member = _control.member_of(
            self.settings, self.identity, self.mesh.port
        )
        for voter in self.settings.voters:
            if voter.instance != self.identity.name:
                self.mesh.set_peer(voter.instance, voter.host, voter.port)
        self._start_log()
        self.listeners.start()
        self.sync.start()
        self.limits.start()
        self._usage_loop.start(control.FLUSH_INTERVAL_S, now=False)
        self.around.recorder.record(
            "instance.started",
            detail=f"incarnation={self.identity.incarnation}",
        )

    def _start_log(self) -> None:
        if self.control.node is None or self.leader is None:
            return
        try:
            self.control.node.start()
        except consensus.StorageError as exc:
            raise InstanceError(f"The data folder: {exc}") from exc
        self.leader.loop.start()

    async def drain(self) -> None:
        """Takes no new work, finishes what runs, then stops."""
        if self.is_draining:
            return
        self.is_draining = True
        self.around.recorder.record("instance.draining")
        self.control.entry.mark_leaving()
        self.sync.poll_soon()
        # The balancer sees the failing readiness check and goes elsewhere; kept
        # connections end with an answer, so that none is busy at the close.
        self.listeners.begin_closing()
        await task.deferLater(self.around.reactor, DRAIN_NOTICE_S)
        await self.listeners.stop_listening()
        clock = self.around.clock
        deadline = clock.now() + self.settings.drain_limit_s
        while self._is_busy() and clock.now() < deadline:
            self.listeners.close_idle()
            await task.deferLater(self.around.reactor, DRAIN_POLL_S)
        await self._hand_over()
        await self.control.usage.close(clock.now() + FINAL_FLUSH_S)
        await self.stop()
        if self.around.on_drained is not None:
            self.around.on_drained()

    async def _hand_over(self) -> None:
        """Gives rollout attempts under way to whoever leads next."""
        node = self.control.node
        if self.leader is None or node is None or not node.lease_held():
            return
        clock = self.around.clock
        deadline = clock.now() + HAND_OVER_S
        handed = self.leader.driver.end()
        peers = [
            member.instance
            for member in self.control.entry.members.all()
            if member.roles and member.instance != self.identity.name
        ]
        await _leader.hand_over(self.mesh, peers, handed, deadline)
        while self.leader.driver.running and clock.now() < deadline:
            await task.deferLater(self.around.reactor, DRAIN_POLL_S)

    async def stop(self) -> None:
        """Stops at once; what runs is cut."""
        if self._has_stopped:
            return
        self._has_stopped = True
        self.sync.stop()
        self.limits.stop()
        if self._usage_loop.running:
            self._usage_loop.stop()
        await self.listeners.stop_listening()
        self.listeners.close_connections()
        if self.leader is not None and self.control.node is not None:
            self.leader.loop.stop()
            self.control.node.stop()
        await self.mesh.stop()
        await self.dispatch.upstream.close()

    def _is_busy(self) -> bool:
        return bool(
            self.listeners.exchanges
            or self.listeners.connections
            or self.mesh.calls_running
        )

    def keys_withdrawn(self, key_ids: frozenset[base.KeyId]) -> None:
        """Ends what runs and waits under withdrawn keys."""
        for key_id in key_ids:
            self.around.recorder.record("key.withdrawn", key=key_id)
            self.entry.active.withdraw_key(key_id)
            self.dispatch.queues.withdraw_key(key_id)

    def config_stale(self) -> None:
        """Ends keyed requests: their keys may have been withdrawn."""
        self.entry.active.end_keyed()

    def config_changed(self) -> None:
        """Takes in limits that have changed."""
        self.limits.accounts_changed()

    def endpoints_changed(self) -> None:
        """Acts on endpoints that came, left or will leave."""
        self.dispatch.follow_engines()
        self.meters.observe_queues(self.dispatch.queues.queues)

    def _flush_usage(self) -> None:
        _background.start(self.control.usage.flush(), "usage flush")

    async def _drain_instance(self, instance: base.InstanceId) -> bool:
        if instance == self.identity.name:
            self._drain_soon()
            return True
        deadline = self.around.clock.now() + DRAIN_CALL_S
        called = await self.mesh.call(instance, DRAIN_METHOD, b"", deadline)
        return called.value_or(None) is not None

    async def _serve_drain(self, sender: base.InstanceId, data: bytes) -> bytes:
        del data
        logger.info("{} asks this instance to drain", sender)
        self._drain_soon()
        return b"draining"

    def _drain_soon(self) -> None:
        def begin() -> None:
            _background.start(self.drain(), "drain")

        self.around.reactor.callLater(0, begin)
