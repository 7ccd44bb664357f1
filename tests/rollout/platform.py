"""A fake platform that rents out endpoints, with checks of the planner."""

import math
import random

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

from tests.rollout import cases

DOMAINS = tuple(base.FailureDomain(f"d{i}") for i in range(3))
TICK_S = 15.0
MAX_START_S = 90.0
RECLAIM_NOTICE_S = 40.0
TOKENS_PER_S = 1_000.0
MAX_CHANGES = 150


@attrs.define
class RentedEndpoint:
    """An ordered or running endpoint."""

    status: rollout.EndpointStatus
    ready_at: float


def offers(
    safe_price: float = 10.0, spot_price: float = 3.0, available: int = 50
) -> tuple[rollout.EndpointOffer, ...]:
    """Returns offers of both kinds in all failure domains."""
    return tuple(
        rollout.EndpointOffer(
            model=cases.MODEL,
            failure_domain=domain,
            reclaimable=reclaimable,
            price_per_hour=(spot_price if reclaimable else safe_price)
            + 0.1 * number,
            tokens_per_s=TOKENS_PER_S,
            available=available,
            reclaims_per_hour=0.2 * reclaimable,
        )
        for number, domain in enumerate(DOMAINS)
        for reclaimable in (False, True)
    )


class Platform:
    """Fake platform with a planner that orders and releases its endpoints."""

    def __init__(self, cfg: rollout.CapacityCfg, seed: int = 0) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.offers = offers()
        self.planner = rollout.CapacityPlanner(cfg)
        self.rented: dict[base.EndpointId, RentedEndpoint] = {}
        self.ordered = 0
        self.changed = 0
        self.cost = 0.0
        self.short_s = 0.0

    def tick(self, tokens: float, protected: float) -> None:
        """Advances the clock under a load and runs the planner once."""
        self.now += TICK_S
        self._advance(tokens)
        demand = rollout.Demand(cases.MODEL, tokens, protected)
        statuses = [rented.status for rented in self.rented.values()]
        plan = self.planner.plan(demand, self.offers, statuses, self.now)
        for change in plan.changes:
            self._apply_change(change)
        for need in plan.needs:
            for _ in range(need.missing):
                self._order(need)
        in_service = sum(
            rented.status.gone_at is None and not rented.status.draining
            for rented in self.rented.values()
        )
        assert in_service * TOKENS_PER_S >= tokens, (
            "planned capacity is below the demand"
        )

    def reclaim(self, domain: base.FailureDomain) -> None:
        """Gives a reclaim notice to all reclaimable endpoints of a domain."""
        for rented in self.rented.values():
            status = rented.status
            if status.reclaimable and status.failure_domain == domain:
                rented.status = attrs.evolve(
                    status, gone_at=self.now + RECLAIM_NOTICE_S
                )

    def ready(self, *, safe_only: bool = False) -> list[RentedEndpoint]:
        """Returns the endpoints that accept new work."""
        return [
            rented
            for rented in self.rented.values()
            if rented.ready_at <= self.now
            and not rented.status.draining
            and rented.status.gone_at is None
            and not (safe_only and rented.status.reclaimable)
        ]

    def _advance(self, tokens: float) -> None:
        for endpoint, rented in list(self.rented.items()):
            status = rented.status
            if status.gone_at is not None and status.gone_at <= self.now:
                del self.rented[endpoint]
                continue
            price = next(
                offer.price_per_hour
                for offer in self.offers
                if offer.failure_domain == status.failure_domain
                and offer.reclaimable == status.reclaimable
            )
            self.cost += price * TICK_S / 3600.0
            ready = rented.ready_at <= self.now
            running = 0 if status.draining else 1
            if status.draining and self.rng.random() < 0.7:
                running = status.running
            rented.status = attrs.evolve(
                status,
                start_deadline=None if ready else rented.ready_at + MAX_START_S,
                running=running if ready else 0,
            )
        if len(self.ready()) * TOKENS_PER_S < tokens:
            self.short_s += TICK_S

    def _order(self, need: rollout.EndpointNeed) -> None:
        self.ordered += 1
        endpoint = base.EndpointId(f"x{self.ordered}")
        ready_at = self.now + MAX_START_S * self.rng.uniform(0.5, 1.0)
        status = rollout.EndpointStatus(
            endpoint=endpoint,
            model=need.model,
            failure_domain=need.failure_domain,
            reclaimable=need.reclaimable,
            start_deadline=ready_at + MAX_START_S,
        )
        self.rented[endpoint] = RentedEndpoint(status, ready_at)

    def _apply_change(self, change: rollout.EndpointChange) -> None:
        self.changed += 1
        rented = self.rented[change.endpoint]
        match change:
            case rollout.DrainEndpoint():
                rented.status = attrs.evolve(rented.status, draining=True)
            case rollout.UndrainEndpoint():
                rented.status = attrs.evolve(rented.status, draining=False)
            case rollout.ReleaseEndpoint():
                assert rented.status.running == 0, (
                    "endpoint released with requests in flight"
                )
                assert rented.status.draining, (
                    "endpoint released without draining"
                )
                del self.rented[change.endpoint]


def walk(seed: int) -> None:
    """Runs the planner under varying load, reclaims and price changes.

    Raises:
        AssertionError: An invariant was violated.
    """
    rng = random.Random(seed)
    cfg = rollout.CapacityCfg(scale_down_after_s=300.0)
    platform = Platform(cfg, seed)
    last_reclaim_at = 0.0
    for number in range(400):
        base_load = 6_000.0 * (1.2 + math.sin(number / 60))
        tokens = base_load * rng.uniform(0.9, 1.1)
        if rng.random() < 0.01:
            platform.reclaim(rng.choice(DOMAINS))
            last_reclaim_at = platform.now
        if rng.random() < 0.01:
            platform.offers = offers(spot_price=rng.choice((2.0, 3.0, 12.0)))
        platform.tick(tokens, 0.3 * tokens)
        if platform.now - last_reclaim_at > 2 * MAX_START_S + RECLAIM_NOTICE_S:
            _check_invariants(platform, tokens)
    changes = platform.ordered + platform.changed
    assert changes < MAX_CHANGES, f"{changes} orders and changes in 100 min"


def _check_invariants(platform: Platform, tokens: float) -> None:
    ready = platform.ready()
    safe = platform.ready(safe_only=True)
    assert len(ready) * TOKENS_PER_S >= 0.9 * tokens, "too few ready endpoints"
    assert len(safe) * TOKENS_PER_S >= 0.9 * 0.3 * tokens, (
        "too few ready safe endpoints"
    )
    domains = {rented.status.failure_domain for rented in safe}
    assert domains == set(DOMAINS), "not every domain has a safe endpoint"
    for domain in DOMAINS:
        lost = sum(
            rented.status.reclaimable and rented.status.failure_domain == domain
            for rented in ready
        )
        assert lost <= 0.6 * len(ready) + 1, (
            f"{domain} has too many reclaimable endpoints"
        )
