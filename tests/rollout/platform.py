"""A fake platform that sells endpoints, with checks of the planner."""

import math
import random

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

from tests.rollout import cases

DOMAINS = tuple(base.FailureDomain(f"d{i}") for i in range(3))
TICK_S = 15.0
START_S = 90.0
NOTICE_S = 40.0
SPEED = 1_000.0
MAX_CHANGES = 150


@attrs.define
class Rented:
    """One endpoint at the platform."""

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
            tokens_per_s=SPEED,
            available=available,
            reclaims_per_hour=0.2 * reclaimable,
        )
        for number, domain in enumerate(DOMAINS)
        for reclaimable in (False, True)
    )


class Platform:
    """Endpoints that a planner orders and gives back."""

    def __init__(self, cfg: rollout.CapacityCfg, seed: int = 0) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.offers = offers()
        self.planner = rollout.CapacityPlanner(cfg)
        self.rented: dict[base.EndpointId, Rented] = {}
        self.ordered = 0
        self.changed = 0
        self.cost = 0.0
        self.short_s = 0.0

    def tick(self, tokens: float, protected: float) -> None:
        """Lets time pass under a load and runs the planner once."""
        self.now += TICK_S
        self._pass_time(tokens)
        demand = rollout.Demand(cases.MODEL, tokens, protected)
        statuses = [rented.status for rented in self.rented.values()]
        plan = self.planner.plan(demand, self.offers, statuses, self.now)
        for change in plan.changes:
            self._change(change)
        for need in plan.needs:
            for _ in range(need.missing):
                self._order(need)
        staying = sum(
            rented.status.gone_at is None and not rented.status.draining
            for rented in self.rented.values()
        )
        assert staying * SPEED >= tokens, "less planned than needed"

    def reclaim(self, domain: base.FailureDomain) -> None:
        """Gives notice for all reclaimable endpoints of a domain."""
        for rented in self.rented.values():
            status = rented.status
            if status.reclaimable and status.failure_domain == domain:
                rented.status = attrs.evolve(
                    status, gone_at=self.now + NOTICE_S
                )

    def ready(self, *, safe_only: bool = False) -> list[Rented]:
        """Returns the endpoints that take new work."""
        return [
            rented
            for rented in self.rented.values()
            if rented.ready_at <= self.now
            and not rented.status.draining
            and rented.status.gone_at is None
            and not (safe_only and rented.status.reclaimable)
        ]

    def _pass_time(self, tokens: float) -> None:
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
                ready_by=None if ready else rented.ready_at + START_S,
                running=running if ready else 0,
            )
        if len(self.ready()) * SPEED < tokens:
            self.short_s += TICK_S

    def _order(self, need: rollout.EndpointNeed) -> None:
        self.ordered += 1
        endpoint = base.EndpointId(f"x{self.ordered}")
        ready_at = self.now + START_S * self.rng.uniform(0.5, 1.0)
        status = rollout.EndpointStatus(
            endpoint=endpoint,
            model=need.model,
            failure_domain=need.failure_domain,
            reclaimable=need.reclaimable,
            ready_by=ready_at + START_S,
        )
        self.rented[endpoint] = Rented(status, ready_at)

    def _change(self, change: rollout.EndpointChange) -> None:
        self.changed += 1
        rented = self.rented[change.endpoint]
        match change:
            case rollout.DrainEndpoint():
                rented.status = attrs.evolve(rented.status, draining=True)
            case rollout.KeepEndpoint():
                rented.status = attrs.evolve(rented.status, draining=False)
            case rollout.ReleaseEndpoint():
                assert rented.status.running == 0, "running work stranded"
                assert rented.status.draining, "released while in service"
                del self.rented[change.endpoint]


def walk(seed: int) -> None:
    """Follows a day of uneven load with reclaims and price changes.

    Raises:
        AssertionError: A promise was broken.
    """
    rng = random.Random(seed)
    cfg = rollout.CapacityCfg(scale_down_after_s=300.0)
    platform = Platform(cfg, seed)
    quiet_since = 0.0
    for number in range(400):
        wave = 6_000.0 * (1.2 + math.sin(number / 60))
        tokens = wave * rng.uniform(0.9, 1.1)
        if rng.random() < 0.01:
            platform.reclaim(rng.choice(DOMAINS))
            quiet_since = platform.now
        if rng.random() < 0.01:
            platform.offers = offers(spot_price=rng.choice((2.0, 3.0, 12.0)))
        platform.tick(tokens, 0.3 * tokens)
        if platform.now - quiet_since > 2 * START_S + NOTICE_S:
            _check(platform, tokens)
    changes = platform.ordered + platform.changed
    assert changes < MAX_CHANGES, f"{changes} orders and changes in 100 min"


def _check(platform: Platform, tokens: float) -> None:
    ready = platform.ready()
    safe = platform.ready(safe_only=True)
    assert len(ready) * SPEED >= 0.9 * tokens, "too few endpoints"
    assert len(safe) * SPEED >= 0.9 * 0.3 * tokens, "too few safe ones"
    domains = {rented.status.failure_domain for rented in safe}
    assert domains == set(DOMAINS), "a domain without a safe endpoint"
    for domain in DOMAINS:
        lost = sum(
            rented.status.reclaimable and rented.status.failure_domain == domain
            for rented in ready
        )
        assert lost <= 0.6 * len(ready) + 1, f"{domain} holds too many"
