"""Orders engines from the platform, on the leader only."""

import collections.abc
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
import banyanbank_web as web
from returns import result

from banyanbank_node import _action_guard
from banyanbank_node import _background
from banyanbank_node import _event_log
from banyanbank_node import _ledger_replica
from banyanbank_node import _ports

CHECK_INTERVAL_S = 0.5
"""Interval between checks of the number of engines."""

SETTLE_S = 4.0
"""Time that a new leader needs to know the engines that run.

More than three announcement intervals: an order that overlooks engines would
take them away.
"""

SILENT_ENGINE_TTL_S = 30.0
"""Time for which an engine that fell silent may still exist."""

CALL_TIMEOUT_S = 2.0
"""Timeout of one order to the platform."""

RETRY_DELAY_S = 2.0
"""Delay after an order without a clear answer; it may still be executed."""

UNAVAILABLE_STATUS = 409
MAX_ANSWER_BYTES = 64 * 1024


@attrs.frozen
class _SeenEngine:
    announcement: gateway.Announcement
    last_seen_at: float


class CapacityDuty:
    """Keeps enough engines for the arriving work.

    Implements `consensus.Duty`.

    Args:
        clock: Monotonic clock for deadlines.
        true_time: Estimated Unix time, as in the jobs' `accepted_at`.
        stored: Replicated ledger.
        directory: Endpoints that are considered alive.
        mean_run_s: Returns the average duration of an item's run.
        upstream: HTTP client.
        wire: Builds the orders.
        holder: Name of this instance, sent with orders.
        domain: Failure domain of this instance.
        events: Event log.
        guard: Decides whether orders may be sent.
        regions: Region of each failure domain that the settings name.
    """

    def __init__(
        self,
        clock: base.Clock,
        true_time: gateway.SyncedClock,
        stored: _ledger_replica.LedgerReplica,
        directory: gateway.Directory,
        mean_run_s: typing.Callable[[], float],
        upstream: web.Upstream,
        wire: _ports.WireProtocol,
        holder: str,
        domain: base.FailureDomain,
        events: _event_log.EventLog,
        guard: _action_guard.ActionGuard,
        regions: collections.abc.Mapping[base.FailureDomain, str],
    ) -> None:
        self._regions = regions
        self._domain = domain
        self._clock = clock
        self._true_time = true_time
        self._stored = stored
        self._directory = directory
        self._mean_run_s = mean_run_s
        self._upstream = upstream
        self._wire = wire
        self._holder = holder
        self._events = events
        self._guard = guard
        self._planners: dict[str, jobs.CapacityPlanner] = {}
        self._seen: dict[base.EndpointId, _SeenEngine] = {}
        self._next_check_at = 0.0
        self._settled_at: float | None = None
        self._order_task: typing.Any = None

    def tick(self) -> None:
        """Orders an engine if there are too few."""
        now = self._clock.now()
        if self._settled_at is None:
            self._settled_at = now + SETTLE_S
        if now < self._next_check_at or self._order_task is not None:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        self._update_seen(now)
        table = self._stored.table
        if table is None or now < self._settled_at:
            return
        if not self._guard.may_act():
            return
        for service in table.document.services.values():
            if self._check(service, now):
                return

    def stop(self) -> None:
        """Cancels the order in flight; the next leader decides anew."""
        if self._order_task is not None:
            self._order_task.cancel()
            self._order_task = None
        self._settled_at = None
        self._planners.clear()
        self._seen.clear()

    def _check(self, service: gateway.Service, now: float) -> bool:
        """Sends an order if one is due; returns whether it did."""
        shape, scaling = service.engine, service.scaling
        if shape is None or scaling is None:
            return False
        domains = self._count_engines(service.name)
        busy_slots = self._items_per_s(service.name) * self._mean_run_s()
        wanted = jobs.count_wanted_engines(busy_slots, shape.slots)
        planner = self._planners.setdefault(
            service.name, jobs.CapacityPlanner(service.name)
        )
        order = planner.plan(
            domains,
            wanted,
            jobs.CapacityBounds(scaling.min_endpoints, scaling.max_endpoints),
            now,
        )
        if order is None:
            return False
        ready = next(d.ready for d in domains if d.domain == order.domain)
        running = _background.run(
            self._send(planner, order, ready, wanted),
            "capacity order",
            self._events,
        )
        if not running.called:
            self._order_task = running
        return True

    def _items_per_s(self, service: str) -> float:
        """Returns the rate at which items for a service were submitted."""
        since = self._true_time.now() - jobs.DEMAND_WINDOW_S
        items = sum(
            len(state.job.items) * self._share_of(service, state.job)
            for state in self._stored.ledger.jobs.values()
            if state.job.accepted_at >= since
        )
        return items / jobs.DEMAND_WINDOW_S

    def _share_of(self, service: str, job: jobs.Job) -> float:
        """Returns the share of a job's items that its route gives a service."""
        table = self._stored.table
        if table is None:
            return 0.0
        route = table.find_rollout_route(job.host, job.route)
        if route is None:
            return 0.0
        weights = {target.service: target.weight for target in route.targets}
        return weights.get(service, 0.0) / sum(weights.values())

    def _update_seen(self, now: float) -> None:
        for announcement in self._directory.all():
            self._seen[announcement.endpoint] = _SeenEngine(announcement, now)
        for endpoint, seen in list(self._seen.items()):
            if (
                self._directory.has_ended(seen.announcement)
                or seen.last_seen_at + SILENT_ENGINE_TTL_S < now
            ):
                del self._seen[endpoint]

    def _count_engines(self, service: str) -> list[jobs.DomainEngines]:
        """Returns the engines of the domains that are not evacuated."""
        permits = self._stored.ledger.evacuations.permits
        # The own domain takes engines even when all are gone.
        present: dict[base.FailureDomain, int] = (
            {self._domain: 0} if permits(self._domain) else {}
        )
        ready: dict[base.FailureDomain, int] = {}
        for endpoint, seen in self._seen.items():
            domain = seen.announcement.domain
            if seen.announcement.service != service or not permits(domain):
                continue
            present[domain] = present.get(domain, 0) + 1
            current = self._directory.get(endpoint)
            if (
                current is not None
                and current.state is gateway.EndpointState.READY
            ):
                ready[domain] = ready.get(domain, 0) + 1
        if not present:
            present = dict.fromkeys(filter(permits, self._find_near()), 0)
        return [
            jobs.DomainEngines(domain, ready.get(domain, 0), count)
            for domain, count in sorted(present.items())
        ]

    def _find_near(self) -> list[base.FailureDomain]:
        """Returns the domains of this instance's region."""
        region = self._regions.get(self._domain)
        return [
            domain
            for domain, its_region in self._regions.items()
            if its_region == region
        ]

    async def _send(
        self,
        planner: jobs.CapacityPlanner,
        order: jobs.CapacityOrder,
        ready: int,
        wanted: int,
    ) -> None:
        try:
            await self._send_once(planner, order, ready, wanted)
        finally:
            self._order_task = None

    async def _send_once(
        self,
        planner: jobs.CapacityPlanner,
        order: jobs.CapacityOrder,
        ready: int,
        wanted: int,
    ) -> None:
        epoch = self._stored.node.epoch
        req = self._wire.build_capacity_request(
            order,
            _ports.Authority(self._holder, epoch),
            self._guard.make_permit(epoch),
            self._clock.now() + CALL_TIMEOUT_S,
        )
        if req is None:
            return
        status: int | None = None
        sent = await self._upstream.send(req)
        if isinstance(sent, result.Success):
            status = sent.unwrap().status
            await sent.unwrap().read_all(MAX_ANSWER_BYTES)
        now = self._clock.now()
        if status == 200:
            planner.record_accepted(order, ready, now)
        elif status == UNAVAILABLE_STATUS:
            planner.record_unavailable(order.domain, now)
        else:
            self._next_check_at = now + RETRY_DELAY_S
        self._events.write(
            "capacity.ordered",
            service=order.service,
            domain=order.domain,
            count=order.count,
            ready=ready,
            wanted=wanted,
            fence=epoch,
            status=status,
        )
