"""Ways to choose how many endpoints run; each returns a capacity plan."""

import collections
import collections.abc
import math
import typing

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

MODEL = base.ModelName("shared")
Kind = tuple[base.FailureDomain, bool]
HIGH_LOAD = 0.8
LOW_LOAD = 0.5
LOW_FOR_S = 300.0
UP_EVERY_S = 30.0


@attrs.frozen
class Load:
    """What a way of scaling may look at."""

    rollout_tokens_per_s: float
    """Forecast need of the trainers' open steps."""
    lookup_tokens_per_s: float
    """Forecast need of lookups."""
    busy_share: float
    """Busy streams of all that may run."""


class Scaler(typing.Protocol):
    """A way to choose how many endpoints run."""

    def plan(
        self,
        load: Load,
        offers: collections.abc.Sequence[rollout.EndpointOffer],
        endpoints: collections.abc.Sequence[rollout.EndpointStatus],
        now: float,
    ) -> rollout.CapacityPlan:
        """Returns what to order, drain and give back."""
        ...


@attrs.frozen
class Fixed:
    """Always the same endpoints; what is reclaimed is ordered again."""

    kinds: collections.Counter[Kind]

    def plan(
        self,
        load: Load,
        offers: collections.abc.Sequence[rollout.EndpointOffer],
        endpoints: collections.abc.Sequence[rollout.EndpointStatus],
        now: float,
    ) -> rollout.CapacityPlan:
        """Returns what lacks."""
        present = collections.Counter(map(_kind, _staying(endpoints)))
        return rollout.CapacityPlan(_needs(self.kinds - present), (), 0.0)


class Threshold:
    """One endpoint more when busy, one less after a while of little load.

    Args:
        floor: Safe endpoints that always run.
    """

    def __init__(self, floor: int) -> None:
        self._floor = floor
        self._low_since = math.inf
        self._raised_at = -math.inf

    def plan(
        self,
        load: Load,
        offers: collections.abc.Sequence[rollout.EndpointOffer],
        endpoints: collections.abc.Sequence[rollout.EndpointStatus],
        now: float,
    ) -> rollout.CapacityPlan:
        """Returns one step up or down."""
        staying = _staying(endpoints)
        safe = sum(not e.reclaimable for e in staying)
        wanted: collections.Counter[Kind] = collections.Counter()
        releases = [
            rollout.ReleaseEndpoint(e.endpoint)
            for e in endpoints
            if e.draining and not e.running
        ]
        if load.busy_share >= LOW_LOAD:
            self._low_since = math.inf
        self._low_since = min(self._low_since, now)
        is_raised = now < self._raised_at + UP_EVERY_S
        if safe < self._floor:
            wanted[_cheapest(offers, staying, safe=True)] += 1
        elif load.busy_share > HIGH_LOAD and not is_raised:
            self._raised_at = now
            wanted[_cheapest(offers, staying, safe=False)] += 1
        elif load.busy_share < LOW_LOAD and now > self._low_since + LOW_FOR_S:
            self._low_since = now
            spare = [e for e in staying if e.reclaimable or safe > self._floor]
            spare.sort(key=lambda e: (e.reclaimable, e.running))
            drains = [rollout.DrainEndpoint(e.endpoint, "") for e in spare[:1]]
            return rollout.CapacityPlan((), (*drains, *releases), 0.0)
        return rollout.CapacityPlan(_needs(wanted), tuple(releases), 0.0)


class Planned:
    """The real planner.

    Args:
        cfg: Limits and margins.
    """

    def __init__(self, cfg: rollout.CapacityCfg) -> None:
        self._planner = rollout.CapacityPlanner(cfg)

    def plan(
        self,
        load: Load,
        offers: collections.abc.Sequence[rollout.EndpointOffer],
        endpoints: collections.abc.Sequence[rollout.EndpointStatus],
        now: float,
    ) -> rollout.CapacityPlan:
        """Asks the planner; lookups are what must keep off reclaimables."""
        tokens = load.rollout_tokens_per_s + load.lookup_tokens_per_s
        demand = rollout.Demand(MODEL, tokens, load.lookup_tokens_per_s)
        return self._planner.plan(demand, offers, endpoints, now)


def _kind(endpoint: rollout.EndpointStatus) -> Kind:
    return endpoint.failure_domain, endpoint.reclaimable


def _staying(
    endpoints: collections.abc.Iterable[rollout.EndpointStatus],
) -> list[rollout.EndpointStatus]:
    return [e for e in endpoints if e.gone_at is None and not e.draining]


def _cheapest(
    offers: collections.abc.Iterable[rollout.EndpointOffer],
    staying: collections.abc.Iterable[rollout.EndpointStatus],
    *,
    safe: bool,
) -> Kind:
    """Returns the cheapest kind on offer, in the emptiest domain."""
    present = collections.Counter(map(_kind, staying))
    open_offers = [
        offer
        for offer in offers
        if offer.available and not (safe and offer.reclaimable)
    ]
    kinds = {
        (offer.failure_domain, offer.reclaimable): offer.price_per_hour
        for offer in open_offers
    }
    return min(kinds, key=lambda kind: (kinds[kind], present[kind], kind))


def _needs(
    missing: collections.Counter[Kind],
) -> tuple[rollout.EndpointNeed, ...]:
    return tuple(
        rollout.EndpointNeed(MODEL, domain, reclaimable, count, count)
        for (domain, reclaimable), count in sorted(missing.items())
    )
