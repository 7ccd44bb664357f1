"""Orders engines to load published weights, on the leader only."""

import typing

import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
import banyanbank_web as web
from returns import result
from twisted.internet import task

from banyanbank_node import _action_guard
from banyanbank_node import _background
from banyanbank_node import _departures
from banyanbank_node import _endpoint_limits
from banyanbank_node import _endpoint_sender
from banyanbank_node import _engine_table
from banyanbank_node import _event_log
from banyanbank_node import _leader_permits
from banyanbank_node import _ledger_replica
from banyanbank_node import _ports

CALL_TIMEOUT_S = 1.0
"""Timeout of one report request or load order."""

EXPECTED_LOAD_S = 0.92
"""Duration of a load while the weight store is not congested."""

REPORT_LAG_S = 0.3
"""Maximum age of the state that an engine reports."""

POLL_INTERVAL_S = 0.2
"""Interval between report requests until a load is confirmed."""

LOAD_TIMEOUT_S = 6.0
"""Time after which an unconfirmed load is ordered again."""

RETRY_DELAY_S = 0.5
"""Delay before the next order to an engine whose load failed."""

PRIORITY_WEIGHT_FACTOR = 1.25
"""Weight of demand relative to that of the next less urgent priority."""

FENCED_OUT_STATUS = 412
ACCEPTED_STATUSES = (200, 202)
MAX_REPORT_BYTES = 256 * 1024


class _WithheldError(Exception):
    """This process itself withheld a report request or an order."""


class LoadDuty:
    """Plans and orders weight loads; implements `consensus.Duty`.

    Args:
        reactor: Schedules polls of engines.
        clock: Monotonic clock for deadlines.
        stored: Replicated ledger.
        endpoints: Sends requests to engines.
        wire: Builds requests and reads reports.
        engines: Engines that are considered alive.
        holder: Name of this instance, sent with orders.
        events: Event log.
        guard: Decides whether orders may be sent.
        on_weights_changed: Called when a load ends, or is expected to be
            complete.
        limits: Rate limits of the endpoints.
        departures: Records which endpoints state that they leave.
        permits: Counts what is sent to cold engines.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        stored: _ledger_replica.LedgerReplica,
        endpoints: _endpoint_sender.EndpointSender,
        wire: _ports.WireProtocol,
        engines: _engine_table.EngineTable,
        holder: str,
        events: _event_log.EventLog,
        guard: _action_guard.ActionGuard,
        on_weights_changed: typing.Callable[[], None],
        limits: _endpoint_limits.EndpointLimits,
        departures: _departures.Departures,
        permits: _leader_permits.LeaderPermits,
    ) -> None:
        self._permits = permits
        self._guard = guard
        self._departures = departures
        self._limits = limits
        self._planned_epoch = 0
        self._reactor = reactor
        self._clock = clock
        self._stored = stored
        self._endpoints = endpoints
        self._wire = wire
        self._engines = engines
        self._holder = holder
        self._events = events
        self._on_weights_changed = on_weights_changed
        self._planner = jobs.WeightPlanner()
        self._loads_in_flight: dict[base.EndpointId, typing.Any] = {}
        self._fenced_out_epoch = 0
        self._retry_not_before: dict[base.EndpointId, float] = {}

    def tick(self) -> None:
        """Starts the loads that are due."""
        ledger = self._stored.ledger
        if not ledger.versions or self._fenced_out_epoch == self._epoch:
            return
        if not self._guard.may_act():
            return
        if self._planned_epoch != self._epoch:
            # Another leader may have changed the weights of engines.
            self._planned_epoch = self._epoch
            self._engines.clear()
            self._planner = jobs.WeightPlanner()
        now = self._clock.now()
        for order in self._planner.plan(
            self._engines.views(),
            ledger.versions,
            self._required_versions(),
            self._token_demand(),
        ):
            if order.endpoint in self._loads_in_flight:
                continue
            if self._retry_not_before.get(order.endpoint, 0.0) > now:
                continue
            announcement = self._engines.get(order.endpoint)
            if announcement is not None:
                self._start_load(order, announcement)

    def stop(self) -> None:
        """Cancels loads in flight; no order is sent or retried afterwards."""
        for running in list(self._loads_in_flight.values()):
            running.cancel()
        self._loads_in_flight.clear()

    @property
    def _epoch(self) -> int:
        return self._stored.node.epoch

    def _required_versions(self) -> dict[str, int]:
        required: dict[str, int] = {}
        for state in self._stored.ledger.jobs.values():
            job = state.job
            if state.is_open and job.model:
                required[job.model] = max(
                    required.get(job.model, 0), job.least_version
                )
        return required

    def _token_demand(self) -> dict[str, float]:
        """Returns the weighted output tokens of each model's newest job.

        Urgent work has more weight, which favors one engine too many for it
        over one too few.
        """
        newest: dict[str, jobs.Job] = {}
        for state in self._stored.ledger.jobs.values():
            job = state.job
            current = newest.get(job.model)
            if job.model and (
                current is None or current.accepted_at < job.accepted_at
            ):
                newest[job.model] = job
        return {
            model: jobs.expected_tokens(job)
            * PRIORITY_WEIGHT_FACTOR**-job.priority
            for model, job in newest.items()
        }

    def _start_load(
        self, order: jobs.LoadOrder, announcement: gateway.Announcement
    ) -> None:
        self._engines.begin_load(announcement, order.model)
        running = _background.run(
            self._load(order, announcement), "weight load", self._events
        )
        if not running.called:
            self._loads_in_flight[order.endpoint] = running

    async def _load(
        self, order: jobs.LoadOrder, announcement: gateway.Announcement
    ) -> None:
        try:
            outcome = await self._load_once(order, announcement)
        except _WithheldError:
            outcome = "withheld"
        finally:
            self._loads_in_flight.pop(order.endpoint, None)
            self._engines.end_load(announcement, order.model)
        self._events.write(
            "weights.load",
            endpoint=order.endpoint,
            model=order.model,
            version=order.version,
            fence=self._epoch,
            outcome=outcome,
        )
        # An engine that was sent nothing has not failed.
        if outcome not in ("loaded", "withheld"):
            self._retry_not_before[order.endpoint] = (
                self._clock.now() + RETRY_DELAY_S
            )
        self._on_weights_changed()

    async def _load_once(
        self, order: jobs.LoadOrder, announcement: gateway.Announcement
    ) -> str:
        report = await self._request_report(announcement)
        if report is None:
            return "no report"
        if self._apply_report(announcement, report, order):
            return "loaded"
        obstacle = self._find_obstacle(report, announcement)
        if obstacle is not None:
            return obstacle
        status = await self._send_order(
            order, announcement, report.orders_accepted
        )
        if status == FENCED_OUT_STATUS:
            self._fenced_out_epoch = self._epoch
            return "fenced out"
        if status not in ACCEPTED_STATUSES:
            return f"refused with {status}"
        load_deadline = self._clock.now() + LOAD_TIMEOUT_S
        await task.deferLater(self._reactor, EXPECTED_LOAD_S)
        # Assumes that the load is complete: an engine that is still loading
        # answers that it did not run the item.
        self._engines.observe_version(announcement, order.model, order.version)
        self._engines.end_load(announcement, order.model)
        self._on_weights_changed()
        await task.deferLater(self._reactor, REPORT_LAG_S)
        return await self._await_loaded(order, announcement, load_deadline)

    async def _await_loaded(
        self,
        order: jobs.LoadOrder,
        announcement: gateway.Announcement,
        load_deadline: float,
    ) -> str:
        while self._clock.now() < load_deadline:
            if not self._endpoints.may_send(announcement):
                return "evacuated"
            if await self._is_loaded(order, announcement):
                return "loaded"
            await task.deferLater(self._reactor, POLL_INTERVAL_S)
        return "not loaded in time"

    def _find_obstacle(
        self, report: _ports.EngineReport, announcement: gateway.Announcement
    ) -> str | None:
        """Returns why an engine must not be sent an order now, or None."""
        if report.is_busy:
            return "busy"
        if not self._takes_orders(announcement):
            return "leaving"
        if not self._endpoints.may_send(announcement):
            return "evacuated"
        return None

    def _takes_orders(self, announcement: gateway.Announcement) -> bool:
        newest = self._engines.get(announcement.endpoint)
        return (
            newest is not None and newest.state is gateway.EndpointState.READY
        )

    async def _is_loaded(
        self, order: jobs.LoadOrder, announcement: gateway.Announcement
    ) -> bool:
        """Whether an engine has the ordered weights.

        An engine that limits its requests is not asked; it announces them.
        """
        if self._limits.is_limited(announcement):
            newest = self._engines.get(announcement.endpoint)
            return newest is not None and any(
                model.name == order.model and model.version >= order.version
                for model in newest.models
            )
        report = await self._request_report(announcement)
        return report is not None and self._apply_report(
            announcement, report, order
        )

    def _apply_report(
        self,
        announcement: gateway.Announcement,
        report: _ports.EngineReport,
        order: jobs.LoadOrder,
    ) -> bool:
        """Records a report; returns whether it shows the ordered weights."""
        for model in report.models:
            self._engines.record_reported_version(
                announcement, model.name, model.version
            )
        return any(
            model.name == order.model and model.version >= order.version
            for model in report.models
        )

    async def _request_report(
        self, announcement: gateway.Announcement
    ) -> _ports.EngineReport | None:
        req = self._wire.build_report_request(
            announcement, self._clock.now() + CALL_TIMEOUT_S
        )
        sent = await self._send(announcement, req)
        if isinstance(sent, result.Failure):
            return None
        resp = sent.unwrap()
        body = await resp.read_all(MAX_REPORT_BYTES)
        if isinstance(body, result.Failure) or resp.status != 200:
            return None
        try:
            return self._wire.read_report(body.unwrap())
        except ValueError as exc:
            self._events.write(
                "engine.bad_report",
                endpoint=announcement.endpoint,
                why=str(exc),
            )
            return None

    async def _send(
        self,
        announcement: gateway.Announcement,
        req: _ports.EndpointRequest,
    ) -> result.Result[web.UpstreamResponse, web.UpstreamError]:
        sent_at = self._clock.now()
        self._limits.note_sent(announcement, _endpoint_limits.Purpose.ORDER)
        self._permits.charge_order(announcement)
        sent = await self._endpoints.send(announcement, req)
        if isinstance(sent, result.Failure) and sent.failure().is_withheld:
            raise _WithheldError(sent.failure().detail)
        if isinstance(sent, result.Success):
            resp = sent.unwrap()
            headers = self._wire.read_response_headers(resp)
            self._departures.observe(announcement, resp.status, headers)
            self._limits.observe(announcement, resp.status, headers, sent_at)
        return sent

    async def _send_order(
        self,
        order: jobs.LoadOrder,
        announcement: gateway.Announcement,
        orders_accepted: int,
    ) -> int | None:
        epoch = self._epoch
        req = self._wire.build_load_request(
            order,
            announcement,
            _ports.Authority(self._holder, epoch),
            orders_accepted,
            self._guard.make_permit(epoch),
            self._clock.now() + CALL_TIMEOUT_S,
        )
        sent = await self._send(announcement, req)
        if isinstance(sent, result.Failure):
            self._events.write(
                "weights.order_lost",
                endpoint=announcement.endpoint,
                model=order.model,
                version=order.version,
                why=sent.failure().detail,
            )
            return None
        resp = sent.unwrap()
        await resp.read_all(MAX_REPORT_BYTES)
        return resp.status
