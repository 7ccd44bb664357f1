"""Store process: replicates the log and runs leader duties when elected."""

import typing

import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
from returns import result
from twisted.internet import task

from banyanbank_node import _action_guard
from banyanbank_node import _background
from banyanbank_node import _capacity_duty
from banyanbank_node import _cold_endpoints
from banyanbank_node import _endpoint_expiry
from banyanbank_node import _endpoint_limits
from banyanbank_node import _endpoint_requests
from banyanbank_node import _endpoint_sender
from banyanbank_node import _evacuation_orders
from banyanbank_node import _event_log
from banyanbank_node import _figure_source
from banyanbank_node import _item_runs
from banyanbank_node import _leader_duties
from banyanbank_node import _ledger_replica
from banyanbank_node import _messages
from banyanbank_node import _node
from banyanbank_node import _operator_changes
from banyanbank_node import _ports
from banyanbank_node import _scorer_admission
from banyanbank_node import _settings
from banyanbank_node import _shared_endpoints
from banyanbank_node import _store_calls
from banyanbank_node import _store_client
from banyanbank_node import _usage_duty
from banyanbank_node import _vote_handover

HEARTBEAT_INTERVAL_S = 0.7
"""Interval between heartbeats to the leader."""

CALL_TIMEOUT_S = 0.9
"""Timeout within which an operator or endpoint must get an answer."""


class Store:
    """Replicates documents, weight versions and batch jobs between stores.

    Args:
        settings: Validated settings.
        reactor: Provides sockets and timers.
        wire: Builds and parses messages of endpoints and the platform.
        log_fd: File descriptor of the event log.
        on_failed: Called when the log has failed permanently.
    """

    def __init__(
        self,
        settings: _settings.StoreSettings,
        reactor: typing.Any,
        wire: _ports.WireProtocol,
        log_fd: int,
        on_failed: typing.Callable[[], None],
    ) -> None:
        self.settings = settings
        self.wire = wire
        self.node = _node.Node(settings.node, reactor, log_fd)
        self.directory = gateway.Directory()
        ledger = jobs.Ledger()
        ledger.on_committed = self._handle_committed
        self._log = _ledger_replica.build_log(settings, self.node, ledger)
        self.stored = _ledger_replica.LedgerReplica(
            self._log, ledger, wire, self.events
        )
        usage = gateway.UsageTotals()
        self._limits = _endpoint_limits.EndpointLimits(
            self.node.clock, self.node.true_time, self.events
        )
        self._cold = _cold_endpoints.ColdEndpoints(
            self.node.clock,
            self.node.true_time,
            self.stored,
            self.directory,
            self.events,
            self.node.meters,
        )
        self._suspects = gateway.CrashSuspects()
        self._shared = _shared_endpoints.SharedEndpoints(
            self.node.clock,
            lambda: self.stored.table,
            self.node.upstream.has_idle,
            self.node.sleep,
            self.node.rng,
        )
        self._figures = _figure_source.FigureSource(
            self.node.clock,
            self.stored,
            self._shared,
            self.events,
            sends_latencies=settings.node.second_attempts.share > 0,
        )
        self.calls = _store_calls.StoreCalls(
            reactor,
            self.node.clock,
            self.node.mesh,
            self.node.client,
            self.stored,
            self.directory,
            usage,
            self.node.true_time,
            self.events,
            settings.node.domain,
            self._limits,
            self._suspects,
            self._cold,
            self._figures,
        )
        self._changes = _operator_changes.OperatorChanges(
            self.node.clock, self.node.client, self.events
        )
        self._evacuations = _evacuation_orders.EvacuationOrders(
            self.node.clock,
            self.node.true_time,
            self.node.client,
            self.calls,
            self.stored,
            self.directory,
            self.events,
            settings.regions,
        )
        self._runs = self._build_duties(usage)
        self._leader_loop = consensus.LeaderLoop(
            reactor,
            self._log,
            self.node.recorder,
            self._duties,
            on_failed,
            lapse_tolerant_duties=(self._runs,),
        )
        self._heartbeat_loop = task.LoopingCall(self._send_heartbeat)
        self._heartbeat_loop.clock = reactor
        self._expiry = _endpoint_expiry.EndpointExpiry(
            reactor,
            self.node.clock,
            self.directory,
            self._limits,
            self.calls.changes,
            self.events,
        )

    def _build_duties(self, usage: gateway.UsageTotals) -> _item_runs.ItemRuns:
        node = self.node
        endpoints = _endpoint_sender.EndpointSender(
            node.upstream,
            lambda: self.stored.ledger.evacuations,
            _endpoint_requests.RequestComposer(
                self.wire, lambda: self.stored.table, self.events
            ),
        )
        picker = gateway.EndpointPicker(node.settings.domain, node.rng)
        self._admission = _scorer_admission.ScorerAdmission(
            node.clock,
            self.stored,
            lambda service: filter(
                endpoints.may_send, self.directory.of_service(service)
            ),
            picker,
            self._shared,
            self.events,
            node.meters,
        )
        self.calls.changes.subscribe(self._admission.dispatch)
        guard = _action_guard.ActionGuard(
            node.clock, self._log, self.settings.handover_rules
        )
        duties = _leader_duties.DutyBuilder(
            settings=self.settings,
            node=node,
            wire=self.wire,
            stored=self.stored,
            directory=self.directory,
            calls=self.calls,
            endpoints=endpoints,
            picker=picker,
            admission=self._admission,
            limits=self._limits,
            cold=self._cold,
            suspects=self._suspects,
            shared=self._shared,
        ).build(guard)
        reports = _usage_duty.UsageDuty(
            node.clock,
            node.true_time,
            self.stored,
            usage,
            node.upstream,
            self.wire,
            node.settings.name,
            node.settings.window_s,
            self.events,
            guard,
        )
        capacity = _capacity_duty.CapacityDuty(
            node.clock,
            node.true_time,
            self.stored,
            self.directory,
            lambda: duties.runs.mean_run_s,
            node.upstream,
            self.wire,
            node.settings.name,
            node.settings.domain,
            self.events,
            guard,
            self.settings.regions,
        )
        self._duties: tuple[consensus.Duty, ...] = (
            duties.members,
            duties.loads,
            capacity,
            reports,
            duties.retention,
            duties.permits,
            self._admission,
            self._figures,
        )
        return duties.runs

    def metrics(self) -> str:
        """Renders the metrics of the process as text."""
        for stage, count in self._runs.counts().items():
            self.node.meters.open_items.set(count, stage.value)
        self.node.meters.evacuated_domains.set(
            len(self.stored.ledger.evacuations.domains)
        )
        self.node.meters.waiting_scorer_calls.set(len(self._admission))
        return self.node.meters.registry.render()

    @property
    def events(self) -> _event_log.EventLog:
        """Event log."""
        return self.node.events

    async def start(self) -> None:
        """Recovers the log and joins the other stores.

        Raises:
            StorageError: The data directory cannot be used.
        """
        await self.node.mesh.start()
        self._log.start()
        self._leader_loop.start()
        self._heartbeat_loop.start(HEARTBEAT_INTERVAL_S)
        self._expiry.start()
        self.events.write("process.started", role="store")

    async def hand_over_vote(self, deadline: float) -> None:
        """Lets another store vote instead of this one, which goes on as before.

        Args:
            deadline: When to give up, on the monotonic clock.
        """
        if self._heartbeat_loop.running:
            self._heartbeat_loop.stop()
        handover = _vote_handover.VoteHandover(self.node, self.stored)
        await handover.run(deadline)

    async def stop(self) -> None:
        """Stops the duties, the log and the mesh."""
        if self._heartbeat_loop.running:
            self._heartbeat_loop.stop()
        self._expiry.stop()
        self._leader_loop.stop()
        self._log.stop()
        await self.node.mesh.stop()
        self.events.write("process.stopped", role="store")
        self.events.flush()

    async def commit_document(
        self, number: int, content: bytes
    ) -> base.Outcome:
        """Commits a validated document and waits until entries act on it.

        Returns:
            `RAN` if it is confirmed that the document is committed and that
            every entry in contact with the leader acts on it or a later one.
        """
        deadline = self.node.clock.now() + CALL_TIMEOUT_S
        if self.stored.ledger.document_number < number:
            command = jobs.DeclareDocument(number, content)
            outcome = await self._changes.commit(command, deadline)
            if outcome is not base.Outcome.RAN:
                return outcome
        if await self._changes.await_entries(number, deadline):
            return base.Outcome.RAN
        return base.Outcome.MAY_HAVE_RUN

    async def order_evacuation(
        self, domain: base.FailureDomain, is_evacuated: bool
    ) -> base.Outcome | _messages.NotThere:
        """Commits an operator's order and waits until entries act on it.

        Args:
            domain: Failure domain to evacuate or to readmit.
            is_evacuated: Whether to evacuate it; false to readmit it.

        Returns:
            `RAN` if it is confirmed that the order is committed and that every
            entry in contact with the leader acts on it; `NotThere` if no such
            domain is known.
        """
        deadline = self.node.clock.now() + CALL_TIMEOUT_S
        committed = await self._evacuations.commit(
            domain, is_evacuated, deadline
        )
        if not isinstance(committed, int):
            return committed
        if await self._changes.await_entries(0, deadline, committed):
            return base.Outcome.RAN
        return base.Outcome.MAY_HAVE_RUN

    async def publish_version(self, model: str, version: int) -> base.Outcome:
        """Commits a published version; returns whether this is confirmed."""
        return await self._changes.commit(
            jobs.NameVersion(model, version),
            self.node.clock.now() + CALL_TIMEOUT_S,
        )

    async def announce(self, announcement: gateway.Announcement) -> bool:
        """Sends an announcement to the leader; False if none accepted it."""
        return await self._send_to_leader(
            _messages.ANNOUNCE, self._cold.drop_unused(announcement)
        )

    async def withdraw(self, withdrawal: _messages.Withdrawal) -> bool:
        """Withdraws an endpoint; returns False if no leader accepted it."""
        return await self._send_to_leader(_messages.WITHDRAW, withdrawal)

    async def read_document(self) -> _messages.DocumentAnswer | None:
        """Returns the document in force, or None if no leader confirms it."""
        return await self._call_leader(
            _messages.READ_DOCUMENT, _messages.Accepted()
        )

    async def retire(
        self, node: str
    ) -> (
        _messages.Accepted
        | _messages.NotThere
        | _messages.TooFew
        | base.Outcome
    ):
        """Begins to remove a store.

        Returns:
            The leader's answer, or whether the call may have taken effect if
            no leader answered.
        """
        answered = await self.node.client.call(
            _messages.RETIRE,
            _messages.Retire(node),
            self.node.clock.now() + CALL_TIMEOUT_S,
        )
        if isinstance(answered, result.Failure):
            return _store_client.find_outcome(answered.failure())
        return answered.unwrap()

    async def retired(
        self, node: str
    ) -> _messages.Retiring | _messages.NotThere | None:
        """Returns the progress of a removal; None if no leader answers."""
        return await self._call_leader(
            _messages.RETIRED, _messages.Retire(node)
        )

    async def _send_to_leader(self, method: str, message: typing.Any) -> bool:
        # All stores apply it, so the next leader also knows the endpoint.
        self.calls.apply_endpoint_message(message)
        self.calls.broadcast_to_stores(message)
        return await self._call_leader(method, message) is not None

    async def _call_leader(
        self, method: str, message: typing.Any
    ) -> typing.Any:
        deadline = self.node.clock.now() + CALL_TIMEOUT_S
        answered = await self.node.client.call(method, message, deadline)
        return answered.value_or(None)

    def _handle_committed(self, command: jobs.Command) -> None:
        if isinstance(command, jobs.ListResult):
            self.calls.results.wake()
        elif isinstance(command, jobs.DeclareDocument):
            self.events.write(
                "config.committed",
                number=command.number,
                leads=self._log.is_leader,
            )
            self.calls.note_document(command.number)
        elif isinstance(command, jobs.EvacuateDomain | jobs.ReadmitDomain):
            self._evacuations.log_committed(command)
            self.calls.note_evacuations()
        if self._cold.apply_readmissions():
            self.calls.changes.wake()
        self._runs.handle_committed(command)

    def _send_heartbeat(self) -> None:
        members = tuple(m.instance for m in self._log.status().voters)
        if members:
            self.node.client.set_stores(members)
        _background.run(
            self._call_leader(
                _messages.JOIN, _messages.Join(self.settings.node.name)
            ),
            "join",
            self.events,
        )
