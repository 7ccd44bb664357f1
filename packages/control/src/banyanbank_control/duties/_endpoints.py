"""Plans which endpoints to start, drain and stop for each model."""

import collections
import collections.abc
import statistics

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

from banyanbank_control import commands
from banyanbank_control import declarations
from banyanbank_control import sync
from banyanbank_control.duties import _demand
from banyanbank_control.duties import _inputs
from banyanbank_control.duties import _order_requests
from banyanbank_control.duties import _supply

SCALE_DOWN_DELAY_S = 600.0
"""Time for which demand must stay lower before a scale-down, in seconds."""

DRAIN_PROPAGATION_S = 4.0
"""Time after which no entry sends new work to a draining endpoint, in seconds.

An entry whose polls fail discards the data from the leader after 3.5 s.
"""

IDLE_BEFORE_STOP_S = 6.0
"""Time for which a draining endpoint must be idle before a stop, in seconds.

Exceeds `REPORT_TTL_S`, so every owner has sent a newer report in between.
"""


@attrs.frozen
class EndpointPlan:
    """Orders to place, and the endpoints that take no new work."""

    requests: tuple[commands.OrderRequest, ...]
    """Start and stop requests, one per endpoint."""
    draining: frozenset[base.EndpointId]
    """Endpoints that drain or have a live stop order."""


@attrs.frozen
class _ModelState:
    """Capacity bounds, endpoints and offers of one model during planning."""

    capacity: declarations.Capacity
    statuses: tuple[rollout.EndpointStatus, ...]
    owned: collections.Counter[_supply.OfferKind]
    offers: tuple[rollout.EndpointOffer, ...]


class EndpointPlanner:
    """Plans endpoints with one capacity planner per model.

    One instance serves one leadership term. A surplus endpoint drains first,
    during which entries send it no new requests, and stops once it is idle;
    it returns to service if demand rises before that. A new leader does not
    know the demand of earlier terms, so it drains no endpoint for the first
    `scale_down_delay_s` seconds.

    Args:
        term_began_at: Monotonic time at which the term began, in seconds.
        scale_down_delay_s: Time for which demand must stay lower, in seconds.
    """

    def __init__(
        self,
        term_began_at: float,
        scale_down_delay_s: float = SCALE_DOWN_DELAY_S,
    ) -> None:
        self._drain_allowed_at = term_began_at + scale_down_delay_s
        # This class applies the scale-down delay itself, to the demand peaks
        # alone, so changed capacity bounds take effect at once.
        self._cfg = rollout.CapacityCfg(
            safe_per_domain=0, headroom=0.0, scale_down_after_s=0.0
        )
        self._planners: dict[base.ModelName, rollout.CapacityPlanner] = {}
        self._forecasts: dict[base.ModelName, rollout.DemandForecast] = {}
        self._draining: dict[base.EndpointId, float] = {}
        self._peaks: dict[base.ModelName, rollout.SlidingMaximum] = {}
        self._scale_down_delay_s = scale_down_delay_s

    def plan(self, inputs: _inputs.PlanInputs, now: float) -> EndpointPlan:
        """Returns the orders to place and the endpoints to drain.

        Args:
            inputs: Endpoints, orders, loads and capacity bounds.
            now: Monotonic time in seconds.
        """
        announced = {announcement.endpoint for announcement in inputs.announced}
        stopping = _order_requests.find_stopping_endpoints(inputs.live)
        self._draining = {
            endpoint: since
            for endpoint, since in self._draining.items()
            if endpoint in announced
        }
        requests: list[commands.OrderRequest] = []
        for capacity in inputs.capacities:
            requests.extend(self._plan_model(capacity, inputs, now))
        return EndpointPlan(
            tuple(requests), frozenset(self._draining) | stopping
        )

    def _plan_model(
        self,
        capacity: declarations.Capacity,
        inputs: _inputs.PlanInputs,
        now: float,
    ) -> collections.abc.Iterator[commands.OrderRequest]:
        model = self._build_model_state(capacity, inputs, now)
        demand = self._estimate_demand(model, inputs, now)
        planner = self._planners.setdefault(
            capacity.model, rollout.CapacityPlanner(self._cfg)
        )
        plan = planner.plan(demand, model.offers, model.statuses, now)
        start_requests = _order_requests.build_start_requests(
            capacity, plan.needs, inputs.live
        )
        to_start = list(
            self._reuse_draining(model, start_requests, plan.changes)
        )
        remaining = capacity.max_endpoints - sum(
            status.gone_at is None for status in model.statuses
        )
        yield from to_start[: max(0, remaining)]
        for change in plan.changes:
            yield from self._apply_change(change, capacity, inputs, now)

    def _reuse_draining(
        self,
        model: _ModelState,
        start_requests: collections.abc.Iterable[commands.OrderRequest],
        changes: collections.abc.Iterable[rollout.EndpointChange],
    ) -> collections.abc.Iterator[commands.OrderRequest]:
        """Returns draining endpoints to service instead of starting new ones.

        Yields the requests for which no equivalent draining endpoint is left.
        """
        kept = {
            change.endpoint
            for change in changes
            if isinstance(change, rollout.UndrainEndpoint)
        }
        reusable = [
            status
            for status in model.statuses
            if status.draining and status.endpoint not in kept
        ]
        for request in start_requests:
            reclaimable = request.supply is declarations.Supply.RECLAIMABLE
            matching = [
                status
                for status in reusable
                if status.reclaimable is reclaimable
            ]
            if not matching:
                yield request
                continue
            reusable.remove(matching[0])
            del self._draining[matching[0].endpoint]

    def _apply_change(
        self,
        change: rollout.EndpointChange,
        capacity: declarations.Capacity,
        inputs: _inputs.PlanInputs,
        now: float,
    ) -> collections.abc.Iterator[commands.OrderRequest]:
        (item,) = (
            announcement
            for announcement in inputs.announced
            if announcement.endpoint == change.endpoint
        )
        match change:
            case rollout.DrainEndpoint():
                # Another model on the same endpoint may still need it.
                if now >= self._drain_allowed_at and len(item.models) == 1:
                    self._draining[item.endpoint] = now
            case rollout.UndrainEndpoint():
                self._draining.pop(item.endpoint, None)
            case rollout.ReleaseEndpoint():
                if item.endpoint in self._draining:
                    yield _order_requests.build_stop_request(capacity, item)

    def _build_model_state(
        self,
        capacity: declarations.Capacity,
        inputs: _inputs.PlanInputs,
        now: float,
    ) -> _ModelState:
        statuses = (
            *self._iter_announced_statuses(capacity.model, inputs, now),
            *_inputs.iter_ordered_statuses(capacity.model, inputs, now),
        )
        owned = collections.Counter(
            (status.failure_domain, status.reclaimable)
            for status in statuses
            if status.gone_at is None
        )
        offers = _supply.build_offers(
            capacity, inputs.offers, owned, inputs.avoided
        )
        return _ModelState(capacity, statuses, owned, offers)

    def _iter_announced_statuses(
        self,
        model: base.ModelName,
        inputs: _inputs.PlanInputs,
        now: float,
    ) -> collections.abc.Iterator[rollout.EndpointStatus]:
        stopping = _order_requests.find_stopping_endpoints(inputs.live)
        for announcement in inputs.announced:
            is_stopping = announcement.endpoint in stopping
            if is_stopping or not _demand.serves(announcement, model):
                continue
            if announcement.phase is sync.Phase.LEAVING:
                continue
            is_reclaimed = announcement.phase is sync.Phase.RECLAIMED
            yield rollout.EndpointStatus(
                endpoint=announcement.endpoint,
                model=model,
                failure_domain=announcement.failure_domain,
                reclaimable=announcement.supply
                is declarations.Supply.RECLAIMABLE,
                running=self._count_running(
                    announcement.endpoint, inputs.reports, now
                ),
                gone_at=now if is_reclaimed else None,
                draining=announcement.endpoint in self._draining,
            )

    def _count_running(
        self,
        endpoint: base.EndpointId,
        reports: _demand.EngineReports,
        now: float,
    ) -> int:
        """Returns the number of requests on an endpoint.

        Returns at least 1 while a draining endpoint may have unreported ones.
        """
        requests = reports.requests(endpoint, now)
        since = self._draining.get(endpoint)
        if requests or since is None:
            return requests
        is_propagated = now >= since + DRAIN_PROPAGATION_S
        is_idle = reports.idle_s(endpoint, now) >= IDLE_BEFORE_STOP_S
        return 0 if is_propagated and is_idle else 1

    def _estimate_demand(
        self, model: _ModelState, inputs: _inputs.PlanInputs, now: float
    ) -> rollout.Demand:
        capacity = model.capacity
        speeds = [
            offer.tokens_per_s
            for offer in model.offers
            if offer.available
            or model.owned[offer.failure_domain, offer.reclaimable]
        ] or [offer.tokens_per_s for offer in model.offers]
        need = _inputs.estimate_endpoints_needed(capacity.model, inputs, now)
        need *= statistics.fmean(speeds)
        forecast = self._forecasts.setdefault(
            capacity.model, rollout.DemandForecast()
        )
        forecast.observe(need, now)
        start_s = _supply.start_s(capacity, inputs.offers)
        peak = self._peaks.setdefault(
            capacity.model, rollout.SlidingMaximum(self._scale_down_delay_s)
        )
        need = peak.observe(max(need, forecast.predict(now + start_s)), now)
        min_speed, max_speed = min(speeds), max(speeds)
        need = max(need, capacity.min_endpoints * max_speed)
        safe_count = sum(
            not status.reclaimable and not status.draining
            for status in model.statuses
        )
        # The last safe endpoint is kept even if the floor is 0.
        floor = max(capacity.safe_floor, min(1, safe_count)) * max_speed
        limit = capacity.max_endpoints * min_speed
        return rollout.Demand(
            model=capacity.model,
            tokens_per_s=min(max(need, floor), limit),
            protected_tokens_per_s=min(floor, limit),
        )
