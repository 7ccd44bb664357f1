"""The endpoints that every model should have, and the way there."""

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
from banyanbank_control.duties import _need
from banyanbank_control.duties import _supply

LOWER_S = 600.0
"""Time that a lower need has to last before it counts, in seconds."""

DRAIN_S = 4.0
"""Time after which no entry sends new work to a draining endpoint, seconds.

An entry that no poll reaches drops what the leader told after 3.5 s.
"""

IDLE_S = 6.0
"""Time for which a draining endpoint is idle before it is stopped, seconds.

Longer than a report counts, so that each owner has told of it anew.
"""


@attrs.frozen
class EndpointPlan:
    """What to order, and which endpoints get no new work."""

    requests: tuple[commands.OrderRequest, ...]
    """Endpoints to start and to stop, one each."""
    draining: frozenset[base.EndpointId]
    """Endpoints that are to be stopped, or are being stopped."""


@attrs.frozen
class _Model:
    """One model while its plan is made."""

    capacity: declarations.Capacity
    statuses: tuple[rollout.EndpointStatus, ...]
    owned: collections.Counter[_supply.Kind]
    offers: tuple[rollout.EndpointOffer, ...]


class EndpointPlanner:
    """Keeps the planner of each model; one serves one office of a leader.

    A surplus endpoint drains first: entries send it nothing new. It is
    stopped once nothing runs on it; need that returns puts it back. A new
    office does not know the need before it and drains none for a while.

    Args:
        began: Monotonic time at which the office began, in seconds.
        lower_after_s: Seconds that a lower need has to last.
    """

    def __init__(self, began: float, lower_after_s: float = LOWER_S) -> None:
        self._drains_from = began + lower_after_s
        # Peaks are kept here, so that changed bounds hold at once.
        self._cfg = rollout.CapacityCfg(
            safe_per_domain=0, headroom=0.0, scale_down_after_s=0.0
        )
        self._planners: dict[base.ModelName, rollout.CapacityPlanner] = {}
        self._forecasts: dict[base.ModelName, rollout.DemandForecast] = {}
        self._draining: dict[base.EndpointId, float] = {}
        self._peaks: dict[base.ModelName, rollout.PeakWindow] = {}
        self._lower_after_s = lower_after_s

    def plan(self, around: _inputs.PlanInputs, now: float) -> EndpointPlan:
        """Returns what to order and what to drain.

        Args:
            around: What is there and what is wanted.
            now: Monotonic time in seconds.
        """
        announced = {one.endpoint for one in around.announced}
        stopping = _need.stopping(around.live)
        self._draining = {
            endpoint: since
            for endpoint, since in self._draining.items()
            if endpoint in announced
        }
        requests: list[commands.OrderRequest] = []
        for capacity in around.capacities:
            requests.extend(self._plan_model(capacity, around, now))
        return EndpointPlan(
            tuple(requests), frozenset(self._draining) | stopping
        )

    def _plan_model(
        self,
        capacity: declarations.Capacity,
        around: _inputs.PlanInputs,
        now: float,
    ) -> collections.abc.Iterator[commands.OrderRequest]:
        model = self._model(capacity, around, now)
        demand = self._demand(model, around, now)
        planner = self._planners.setdefault(
            capacity.model, rollout.CapacityPlanner(self._cfg)
        )
        plan = planner.plan(demand, model.offers, model.statuses, now)
        starts = _need.starts(capacity, plan.needs, around.live)
        lacking = list(self._without_kept(model, starts, plan.changes))
        room = capacity.max_endpoints - sum(
            status.gone_at is None for status in model.statuses
        )
        yield from lacking[: max(0, room)]
        for change in plan.changes:
            yield from self._change(change, capacity, around, now)

    def _without_kept(
        self,
        model: _Model,
        starts: collections.abc.Iterable[commands.OrderRequest],
        changes: collections.abc.Iterable[rollout.EndpointChange],
    ) -> collections.abc.Iterator[commands.OrderRequest]:
        """Puts draining endpoints back in place of new ones like them."""
        kept = {
            change.endpoint
            for change in changes
            if isinstance(change, rollout.KeepEndpoint)
        }
        spare = [
            status
            for status in model.statuses
            if status.draining and status.endpoint not in kept
        ]
        for request in starts:
            reclaimable = request.supply is declarations.Supply.RECLAIMABLE
            alike = [one for one in spare if one.reclaimable is reclaimable]
            if not alike:
                yield request
                continue
            spare.remove(alike[0])
            del self._draining[alike[0].endpoint]

    def _change(
        self,
        change: rollout.EndpointChange,
        capacity: declarations.Capacity,
        around: _inputs.PlanInputs,
        now: float,
    ) -> collections.abc.Iterator[commands.OrderRequest]:
        (item,) = (
            one for one in around.announced if one.endpoint == change.endpoint
        )
        match change:
            case rollout.DrainEndpoint():
                # Another model on it may need it.
                if now >= self._drains_from and len(item.models) == 1:
                    self._draining[item.endpoint] = now
            case rollout.KeepEndpoint():
                self._draining.pop(item.endpoint, None)
            case rollout.ReleaseEndpoint():
                if item.endpoint in self._draining:
                    yield _need.stop(capacity, item)

    def _model(
        self,
        capacity: declarations.Capacity,
        around: _inputs.PlanInputs,
        now: float,
    ) -> _Model:
        statuses = (
            *self._announced(capacity.model, around, now),
            *_inputs.ordered(capacity.model, around, now),
        )
        owned = collections.Counter(
            (status.failure_domain, status.reclaimable)
            for status in statuses
            if status.gone_at is None
        )
        offers = _supply.offers_of(
            capacity, around.offers, owned, around.avoided
        )
        return _Model(capacity, statuses, owned, offers)

    def _announced(
        self,
        model: base.ModelName,
        around: _inputs.PlanInputs,
        now: float,
    ) -> collections.abc.Iterator[rollout.EndpointStatus]:
        stopping = _need.stopping(around.live)
        for one in around.announced:
            is_going = one.endpoint in stopping
            if is_going or not _demand.serves(one, model):
                continue
            if one.phase is sync.Phase.LEAVING:
                continue
            is_reclaimed = one.phase is sync.Phase.RECLAIMED
            yield rollout.EndpointStatus(
                endpoint=one.endpoint,
                model=model,
                failure_domain=one.failure_domain,
                reclaimable=one.supply is declarations.Supply.RECLAIMABLE,
                running=self._running(one.endpoint, around.reports, now),
                gone_at=now if is_reclaimed else None,
                draining=one.endpoint in self._draining,
            )

    def _running(
        self,
        endpoint: base.EndpointId,
        reports: _demand.EngineReports,
        now: float,
    ) -> int:
        """Returns what runs on an endpoint; at least 1 while in doubt."""
        requests = reports.requests(endpoint, now)
        since = self._draining.get(endpoint)
        if requests or since is None:
            return requests
        is_known = now >= since + DRAIN_S
        is_idle = reports.idle_s(endpoint, now) >= IDLE_S
        return 0 if is_known and is_idle else 1

    def _demand(
        self, model: _Model, around: _inputs.PlanInputs, now: float
    ) -> rollout.Demand:
        capacity = model.capacity
        speeds = [
            offer.tokens_per_s
            for offer in model.offers
            if offer.available
            or model.owned[offer.failure_domain, offer.reclaimable]
        ] or [offer.tokens_per_s for offer in model.offers]
        need = _inputs.endpoints_needed(capacity.model, around, now)
        need *= statistics.fmean(speeds)
        forecast = self._forecasts.setdefault(
            capacity.model, rollout.DemandForecast()
        )
        forecast.observe(need, now)
        start_s = _supply.start_s(capacity, around.offers)
        peak = self._peaks.setdefault(
            capacity.model, rollout.PeakWindow(self._lower_after_s)
        )
        need = peak.observe(max(need, forecast.at(now + start_s)), now)
        least, most = min(speeds), max(speeds)
        need = max(need, capacity.min_endpoints * most)
        safe = sum(
            not status.reclaimable and not status.draining
            for status in model.statuses
        )
        # The last safe endpoint stays, whatever the floor.
        floor = max(capacity.safe_floor, min(1, safe)) * most
        limit = capacity.max_endpoints * least
        return rollout.Demand(
            model=capacity.model,
            tokens_per_s=min(max(need, floor), limit),
            protected_tokens_per_s=min(floor, limit),
        )
