"""Entry process: accepts callers' requests and batch jobs."""

from __future__ import annotations

import typing

import banyanbank_base as base
import banyanbank_gateway as gateway

from banyanbank_node import _background
from banyanbank_node import _departures
from banyanbank_node import _endpoint_limits
from banyanbank_node import _endpoint_requests
from banyanbank_node import _endpoint_sender
from banyanbank_node import _entry_refusals
from banyanbank_node import _entry_sync
from banyanbank_node import _event_log
from banyanbank_node import _forwarder
from banyanbank_node import _forwarding
from banyanbank_node import _job_calls
from banyanbank_node import _messages
from banyanbank_node import _near_stores
from banyanbank_node import _node
from banyanbank_node import _permits
from banyanbank_node import _poll_paths
from banyanbank_node import _ports
from banyanbank_node import _second_attempts
from banyanbank_node import _settings
from banyanbank_node import _shared_endpoints
from banyanbank_node import _shutdown
from banyanbank_node import _startup_wait

REPORT_TIMEOUT_S = 1.0
"""Time limit for telling the leader of a request that ends its endpoints."""

SHUTDOWN_RETRY_AFTER_S = 0.05
"""Retry-After of a refusal during a shutdown; other instances serve."""


class Entry:
    """Serves callers with the configuration and directory of the leader.

    Args:
        settings: Validated settings.
        reactor: Twisted reactor for sockets and timers.
        wire: Adapter for header names and body formats.
        log_fd: File descriptor of the event log.

    Attributes:
        jobs: Calls to the stores for batch jobs.
    """

    def __init__(
        self,
        settings: _settings.EntrySettings,
        reactor: typing.Any,
        wire: _ports.WireProtocol,
        log_fd: int,
    ) -> None:
        self.settings = settings
        self.node = _node.Node(settings.node, reactor, log_fd)
        self.usage = gateway.UsageMeter(settings.node.window_s)
        limits = _endpoint_limits.EndpointLimits(
            self.node.clock, self.node.true_time, self.node.events
        )
        suspects = gateway.CrashSuspects()
        shared = _shared_endpoints.SharedEndpoints(
            self.node.clock,
            lambda: self.sync.table,
            self.node.upstream.has_idle,
            self.node.sleep,
            self.node.rng,
        )
        near_stores = _near_stores.NearStores(
            self.node.clock,
            self.node.client,
            settings.node.domain,
            self.node.rng,
        )
        self.jobs = _job_calls.JobCalls(
            self.node.clock,
            self.node.client,
            near_stores,
            self.node.events,
        )
        self.sync = _entry_sync.EntrySync(
            reactor,
            self.node.clock,
            self.node.client,
            wire,
            f"{self.node.instance}/{self.node.incarnation}",
            self.node.true_time,
            self.usage,
            self.node.events,
            near_stores,
            limits,
            suspects,
            _poll_paths.PollPaths(self.node.rng),
            shared,
        )
        suspects.on_condemned = self._report_condemned
        self._permits = _permits.RemotePermits(
            self.node.clock, self.node.client, limits
        )
        limits.on_observed = self._report_limit
        picker = gateway.EndpointPicker(settings.node.domain, self.node.rng)
        self.forwarder = _forwarder.Forwarder(
            self.node.clock,
            _endpoint_sender.EndpointSender(
                self.node.upstream,
                lambda: self.sync.evacuations,
                _endpoint_requests.RequestComposer(
                    wire, lambda: self.sync.table, self.node.events
                ),
            ),
            wire,
            picker,
            self.sync.directory.of_service,
            self.node.rng,
            self.node.events,
            self.node.meters,
            limits,
            self._permits,
            _departures.Departures(
                self.node.clock, self.sync.directory, self.node.events
            ),
            suspects,
            self.node.true_time,
            shared,
            _second_attempts.SecondAttempts(
                settings.node.second_attempts,
                self.node.clock,
                shared,
                self.node.rng,
                self.node.events,
                self.node.meters,
            ),
        )
        self._shutdown: _shutdown.Shutdown | None = None
        self._startup_wait = _startup_wait.start_wait(self.node.clock.now())

    async def start(self) -> None:
        """Joins the mesh and starts to poll the leader."""
        self._startup_wait = _startup_wait.start_wait(self.node.clock.now())
        await self.node.mesh.start()
        self.sync.start()
        self.node.events.write("process.started", role="entry")

    async def stop(self) -> None:
        """Stops polling, leaves the mesh and flushes the event log."""
        self.sync.stop()
        await self.node.mesh.stop()
        self.node.events.write("process.stopped", role="entry")
        self.node.events.flush()

    @property
    def is_ready(self) -> bool:
        """Whether new requests can be served."""
        return self.sync.table is not None and self._shutdown is None

    def begin_shutdown(self, refuse_from: float, ends_at: float) -> None:
        """Fails readiness checks, and later refuses what could be cut off.

        Args:
            refuse_from: When the load balancer no longer sends connections.
            ends_at: When open connections are closed.
        """
        self._shutdown = _shutdown.Shutdown(
            refuse_from, ends_at - _shutdown.ANSWER_MARGIN_S
        )

    def metrics(self) -> str:
        """Returns the metrics of the process in the text exposition format."""
        last_contact_at = self.sync.last_contact_at
        if last_contact_at is not None:
            age_s = self.node.clock.now() - last_contact_at
            self.node.meters.leader_contact_age.set(age_s)
        self.node.meters.evacuated_domains.set(
            len(self.sync.evacuations.domains)
        )
        return self.node.meters.registry.render()

    @property
    def events(self) -> _event_log.EventLog:
        """Event log of the process."""
        return self.node.events

    async def wait_for_configuration(self, req_deadline: float) -> None:
        """Waits for the first configuration while it is expected shortly.

        Args:
            req_deadline: Deadline of the request that waits.
        """
        while self.sync.table is None:
            wait_until = self._startup_wait.get_wait_deadline(
                self.node.clock.now(), req_deadline, len(self.sync.answers)
            )
            if wait_until is None:
                return
            if not await self.sync.answers.wait(wait_until):
                return

    def match_route(
        self, host: str, path: str, key: str | None
    ) -> tuple[gateway.Route, base.AccountId | None] | base.Refusal:
        """Returns the route and client account of a request, or a refusal."""
        table = self.sync.table
        if table is None:
            return _entry_refusals.make_no_leader_refusal(
                "this entry has no configuration yet; try again"
            )
        route = table.find(host, path)
        if route is None:
            return self._deny(
                base.Refusal(
                    base.RefusalReason.NOT_FOUND,
                    base.Outcome.NOT_RUN,
                    "No route matches this host and path.",
                )
            )
        account = table.account_of(key)
        if account is None and table.needs_key(route):
            return self._deny(_entry_refusals.make_unauthenticated_refusal())
        return route, account

    def find_priority(
        self, route: gateway.Route, account: base.AccountId | None
    ) -> int:
        """Returns the priority of a batch job that is submitted now."""
        table = self.sync.table
        if table is None:
            return route.priority
        return table.find_priority(route, account)

    def authenticate_for_jobs(
        self, key: str | None
    ) -> base.AccountId | base.Refusal:
        """Returns the client account of a key; empty if keys are not used."""
        table = self.sync.table
        if table is None:
            return _entry_refusals.make_no_leader_refusal(
                "this entry has no configuration yet; try again"
            )
        if table.document.accounts is None:
            return base.AccountId("")
        account = table.account_of(key)
        if account is None:
            return self._deny(_entry_refusals.make_unauthenticated_refusal())
        return account

    def _deny(self, refusal: base.Refusal) -> base.Refusal:
        """Returns the refusal of a request that the configuration forbids.

        A later configuration may allow it, so an entry that may have missed one
        refuses in a way that lets the caller try another entry.
        """
        if self.sync.is_current:
            return refusal
        return _entry_refusals.make_no_leader_refusal(
            "the configuration of this entry may be outdated; try again"
        )

    def prepare_forwarding(
        self,
        req: _ports.CallerRequest,
        route: gateway.Route,
        account: base.AccountId | None,
    ) -> _forwarding.Forwarding | base.Refusal:
        """Returns the initial forwarding state of a request, or a refusal.

        The deadline is the earlier of the caller's and the route's. A process
        that shuts down refuses what could last beyond its end.
        """
        is_counted = account is not None and not route.is_public
        now = self.node.clock.now()
        deadline = req.find_deadline(route.timeout_s, now)
        if self._shutdown is not None and not self._shutdown.may_accept(
            now, deadline
        ):
            refusal = base.Refusal(
                base.RefusalReason.SHUTTING_DOWN,
                base.Outcome.NOT_RUN,
                "This instance shuts down; send the request to another one.",
                retry_after=SHUTDOWN_RETRY_AFTER_S,
            )
            self.log_refusal(req, refusal, [])
            return refusal
        return _forwarding.Forwarding(
            req,
            route,
            account if is_counted else None,
            deadline,
            follows_crashes=route.kind.is_repeatable,
        )

    async def forward(
        self, forwarding: _forwarding.Forwarding
    ) -> _forwarding.Answer | base.Refusal:
        """Sends a request and returns the answer of an endpoint or a refusal.

        Logs the outcome and records usage and latency.
        """
        started_at = self.node.clock.now()
        try:
            answer = await self.forwarder.send(forwarding)
        finally:
            self._count_usage(forwarding)
        duration_s = self.node.clock.now() - started_at
        self.node.meters.requests.record(duration_s, "whole")
        if isinstance(answer, base.Refusal):
            self.log_refusal(forwarding.req, answer, sorted(forwarding.tried))
        else:
            self.events.write(
                "request.answered",
                request=forwarding.req.request_id,
                route=forwarding.route.name,
                status=answer.status,
                tried=sorted(forwarding.tried),
                took_ms=round(1000 * duration_s),
                table=self._document_number,
                table_age_ms=self.sync.contact_age_ms,
            )
        return answer

    def log_refusal(
        self,
        req: _ports.CallerRequest,
        refusal: base.Refusal,
        tried: list[base.EndpointId],
    ) -> None:
        """Logs why a request was refused."""
        self.events.write(
            "request.refused",
            request=req.request_id,
            host=req.host,
            path=req.path,
            reason=refusal.reason.value,
            ran=refusal.outcome.value,
            detail=refusal.detail,
            retry_after_s=refusal.retry_after,
            tried=tried,
            table=self._document_number,
            table_age_ms=self.sync.contact_age_ms,
        )

    def _report_limit(self, observation: gateway.LimitObservation) -> None:
        _background.run(
            self._permits.report(observation), "limit report", self.events
        )

    def _report_condemned(self, request: gateway.CondemnedRequest) -> None:
        """Tells the leader, best effort; this instance remembers it anyway."""
        leader = self.node.client.leader
        if leader is None:
            return
        _background.run(
            self.node.client.call_store(
                leader,
                _messages.REPORT_CONDEMNED,
                _messages.CondemnedPart((request,)),
                self.node.clock.now() + REPORT_TIMEOUT_S,
            ),
            "condemned request report",
            self.events,
        )

    def _count_usage(self, forwarding: _forwarding.Forwarding) -> None:
        if forwarding.account is None or forwarding.may_have_run_since is None:
            return
        age_s = self.node.clock.now() - forwarding.may_have_run_since
        self.usage.count(forwarding.account, self.node.true_time.now() - age_s)

    @property
    def _document_number(self) -> int:
        table = self.sync.table
        return 0 if table is None else table.document.number
