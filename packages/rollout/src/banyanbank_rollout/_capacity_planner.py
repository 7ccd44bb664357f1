"""Plans the number of endpoints of each kind for each model."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import math

import attrs
import banyanbank_base as base

from banyanbank_rollout import _capacity
from banyanbank_rollout import _demand

Kind = tuple[base.FailureDomain, bool]
"""Failure domain, and whether the endpoints are reclaimable."""


@attrs.frozen
class _Peaks:
    """Peaks of the total and the protected demand for one model."""

    total: _demand.SlidingMaximum
    protected: _demand.SlidingMaximum


@attrs.define
class _Fill:
    """Greedy allocation of endpoints in progress."""

    offers: dict[Kind, _capacity.EndpointOffer]
    """Offer of each kind."""
    present: collections.Counter[Kind]
    """Endpoints that are in service or starting."""
    draining: collections.Counter[Kind]
    """Draining endpoints that can return to service."""
    wanted: collections.Counter[Kind] = attrs.field(factory=collections.Counter)
    """Endpoints allocated so far."""

    def room(self, kind: Kind) -> int:
        """Returns how many more endpoints of a kind can be allocated."""
        owned = self.present[kind] + self.draining[kind]
        limit = owned + max(0, self.offers[kind].available)
        return limit - self.wanted[kind]

    def capacity(self, kinds: Iterable[Kind]) -> float:
        """Returns the allocated tokens per second of the given kinds."""
        return sum(
            self.wanted[kind] * self.offers[kind].tokens_per_s for kind in kinds
        )


class CapacityPlanner:
    """Plans endpoints by demand and price; keeps its state in memory only.

    The leader runs it. Targets rise immediately, and fall only after demand
    has been lower for `scale_down_after_s`. An endpoint is drained only if
    the remaining ready endpoints cover the demand, and released only without
    requests in flight.

    Args:
        cfg: Limits and margins.
    """

    def __init__(self, cfg: _capacity.CapacityCfg) -> None:
        self._cfg = cfg
        self._peaks: dict[base.ModelName, _Peaks] = {}
        self._offers: dict[
            base.ModelName, dict[Kind, _capacity.EndpointOffer]
        ] = {}
        self._avoided_until: dict[base.FailureDomain, float] = {}

    def plan(
        self,
        demand: _capacity.Demand,
        offers: Sequence[_capacity.EndpointOffer],
        endpoints: Sequence[_capacity.EndpointStatus],
        now: float,
    ) -> _capacity.CapacityPlan:
        """Returns the capacity plan for one model.

        Args:
            demand: Demand forecast for the time when new endpoints are ready.
            offers: Current offers of the platform, for all models.
            endpoints: All running and ordered endpoints.
            now: Clock seconds.
        """
        model = demand.model
        total, protected = self._observe_peaks(demand, now)
        model_endpoints = [e for e in endpoints if e.model == model]
        self._record_reclaims(endpoints, now)
        usable = [e for e in model_endpoints if _is_usable(e, now)]
        fill = _Fill(
            offers=self._offers_by_kind(model, offers, now),
            present=collections.Counter(_kind(e) for e in usable),
            draining=collections.Counter(
                _kind(e)
                for e in model_endpoints
                if e.draining and _is_alive(e, now)
            ),
        )
        self._fill_safe(fill, protected)
        self._fill_total(fill, total)
        unmet = max(0.0, total - fill.capacity(fill.wanted))
        kept = list(self._select_kept(fill, model_endpoints, now))
        kept_ids = {keep.endpoint for keep in kept}
        drains = self._select_drains(fill, usable, total, protected)
        releases = [
            _capacity.ReleaseEndpoint(e.endpoint)
            for e in model_endpoints
            if e.draining and e.running == 0 and e.endpoint not in kept_ids
        ]
        return _capacity.CapacityPlan(
            needs=self._build_needs(model, fill, model_endpoints, kept_ids),
            changes=(*kept, *drains, *releases),
            unmet_tokens_per_s=unmet,
        )

    def _observe_peaks(
        self, demand: _capacity.Demand, now: float
    ) -> tuple[float, float]:
        window_s = self._cfg.scale_down_after_s
        peaks = self._peaks.setdefault(
            demand.model,
            _Peaks(
                _demand.SlidingMaximum(window_s),
                _demand.SlidingMaximum(window_s),
            ),
        )
        margin = 1 + self._cfg.headroom
        return (
            peaks.total.observe(demand.tokens_per_s * margin, now),
            peaks.protected.observe(
                demand.protected_tokens_per_s * margin, now
            ),
        )

    def _record_reclaims(
        self, endpoints: Sequence[_capacity.EndpointStatus], now: float
    ) -> None:
        for endpoint in endpoints:
            if endpoint.gone_at is not None:
                self._avoided_until[endpoint.failure_domain] = (
                    now + self._cfg.reclaim_cooldown_s
                )

    def _offers_by_kind(
        self,
        model: base.ModelName,
        offers: Sequence[_capacity.EndpointOffer],
        now: float,
    ) -> dict[Kind, _capacity.EndpointOffer]:
        # A kind without a current offer can't be ordered. The last known offer
        # stays, to price its endpoints and count their throughput.
        known = self._offers.setdefault(model, {})
        for kind, offer in known.items():
            known[kind] = attrs.evolve(offer, available=0)
        for offer in offers:
            if offer.model == model:
                known[offer.failure_domain, offer.reclaimable] = offer
        by_kind = {}
        for offer in known.values():
            domain = offer.failure_domain
            avoided = self._avoided_until.get(domain, -math.inf) > now
            if offer.reclaimable and avoided:
                by_kind[domain, True] = attrs.evolve(offer, available=0)
            else:
                by_kind[domain, offer.reclaimable] = offer
        return by_kind

    def _fill_safe(self, fill: _Fill, protected: float) -> None:
        safe = [kind for kind in fill.offers if not kind[1]]
        for kind in safe:
            floor = min(self._cfg.safe_per_domain, fill.room(kind))
            fill.wanted[kind] = max(0, floor)
        while (
            fill.capacity(safe) < protected
            or sum(fill.wanted[kind] for kind in safe) < self._cfg.safe_floor
        ):
            open_kinds = [kind for kind in safe if fill.room(kind) > 0]
            if not open_kinds:
                return
            fill.wanted[
                min(
                    open_kinds,
                    key=lambda k: (
                        fill.wanted[k],
                        self._token_cost(fill, k),
                        k,
                    ),
                )
            ] += 1

    def _fill_total(self, fill: _Fill, total: float) -> None:
        cap = self._cfg.max_domain_share * total
        while fill.capacity(fill.wanted) < total:
            open_kinds = [
                kind
                for kind, offer in fill.offers.items()
                if fill.room(kind) > 0
                and (
                    not offer.reclaimable
                    or fill.capacity((kind,)) + offer.tokens_per_s <= cap
                    or fill.wanted[kind] == 0
                )
            ]
            if not open_kinds:
                return
            best = min(
                open_kinds,
                key=lambda k: (self._token_cost(fill, k), fill.wanted[k], k),
            )
            fill.wanted[best] += 1

    def _token_cost(self, fill: _Fill, kind: Kind) -> float:
        """Returns the price per token of one more endpoint of a kind.

        Includes the expected loss by reclaims and the discount for running
        endpoints.
        """
        offer = fill.offers[kind]
        loss = offer.reclaims_per_hour * self._cfg.reclaim_loss_h
        cost = offer.price_per_hour * (1 + loss) / offer.tokens_per_s
        if fill.wanted[kind] < fill.present[kind]:
            cost *= 1 - self._cfg.running_discount
        return cost

    def _select_kept(
        self,
        fill: _Fill,
        model_endpoints: Sequence[_capacity.EndpointStatus],
        now: float,
    ) -> Iterator[_capacity.UndrainEndpoint]:
        shortfall = fill.wanted - fill.present
        for endpoint in model_endpoints:
            kind = _kind(endpoint)
            can_keep = endpoint.draining and _is_alive(endpoint, now)
            if can_keep and shortfall[kind] > 0:
                shortfall[kind] -= 1
                yield _capacity.UndrainEndpoint(endpoint.endpoint)

    def _select_drains(
        self,
        fill: _Fill,
        usable: Sequence[_capacity.EndpointStatus],
        total: float,
        protected: float,
    ) -> list[_capacity.DrainEndpoint]:
        surplus = fill.present - fill.wanted
        ready = [e for e in usable if e.start_deadline is None]
        capacity = sum(self._throughput(fill, e) for e in ready)
        safe = sum(
            self._throughput(fill, e) for e in ready if not e.reclaimable
        )
        drains = []
        # Prefers the highest price, then the fewest requests in flight.
        candidates = sorted(
            ready,
            key=lambda e: (
                -self._token_price(fill, e),
                e.running,
                e.endpoint,
            ),
        )
        for endpoint in candidates:
            kind = _kind(endpoint)
            speed = self._throughput(fill, endpoint)
            safe_speed = 0.0 if endpoint.reclaimable else speed
            if surplus[kind] <= 0 or capacity - speed < total:
                continue
            if safe_speed and safe - safe_speed < protected:
                continue
            surplus[kind] -= 1
            capacity -= speed
            safe -= safe_speed
            drains.append(
                _capacity.DrainEndpoint(endpoint.endpoint, "not needed")
            )
        return drains

    def _throughput(
        self, fill: _Fill, endpoint: _capacity.EndpointStatus
    ) -> float:
        offer = fill.offers.get(_kind(endpoint))
        return 0.0 if offer is None else offer.tokens_per_s

    def _token_price(
        self, fill: _Fill, endpoint: _capacity.EndpointStatus
    ) -> float:
        offer = fill.offers.get(_kind(endpoint))
        if offer is None:
            return math.inf
        return offer.price_per_hour / offer.tokens_per_s

    def _build_needs(
        self,
        model: base.ModelName,
        fill: _Fill,
        model_endpoints: Sequence[_capacity.EndpointStatus],
        kept_ids: set[base.EndpointId],
    ) -> tuple[_capacity.EndpointNeed, ...]:
        present = fill.present + collections.Counter(
            _kind(e) for e in model_endpoints if e.endpoint in kept_ids
        )
        return tuple(
            _capacity.EndpointNeed(
                model=model,
                failure_domain=kind[0],
                reclaimable=kind[1],
                count=fill.wanted[kind],
                missing=max(0, fill.wanted[kind] - present[kind]),
            )
            for kind in sorted(fill.offers)
        )


def _kind(endpoint: _capacity.EndpointStatus) -> Kind:
    return endpoint.failure_domain, endpoint.reclaimable


def _is_alive(endpoint: _capacity.EndpointStatus, now: float) -> bool:
    """Returns whether an endpoint is up, or starting within its deadline."""
    if endpoint.gone_at is not None:
        return False
    return endpoint.start_deadline is None or endpoint.start_deadline > now


def _is_usable(endpoint: _capacity.EndpointStatus, now: float) -> bool:
    return _is_alive(endpoint, now) and not endpoint.draining
