"""Endpoints of a run: ordered, paid, reclaimed and given back."""

import collections
import functools
import math
import random
import typing

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

from banyanbank_bench import _rollouts
from banyanbank_bench import _scaling

if typing.TYPE_CHECKING:
    from banyanbank_bench import _cluster

PRICE = {False: 1.0, True: 0.35}
"""Price an hour by whether it is reclaimable."""
HEALTHY_SHARE = 0.85
"""Part of an engine's peak rate that offers promise."""
PLAN_S = 5.0
START_S = 60.0
LEAD_S = START_S + 3 * PLAN_S
"""How long before a session its endpoints are asked for."""
NOTICE_HEARD_S = 1.0
NOTICE_S = 5.0
CLOSED_S = 60.0
AVAILABLE = 4


@attrs.define(eq=False)
class Rented:
    """One endpoint at the platform; times are in seconds."""

    endpoint_id: base.EndpointId
    domain: base.FailureDomain
    reclaimable: bool
    ordered_at: float
    start_deadline: float | None = None
    gone_at: float | None = None
    draining: bool = False
    ended_at: float = math.inf

    def cost(self, until: float) -> float:
        """Returns what it costs, in hours of a safe one."""
        seconds = min(self.ended_at, until) - self.ordered_at
        return PRICE[self.reclaimable] * max(0.0, seconds) / 3600


class Fleet:
    """The platform and what is rented from it.

    Args:
        cluster: Where the engines run.
        seed: Of the reclaims.
    """

    def __init__(self, cluster: "_cluster.Cluster", seed: int) -> None:
        self.reclaimed = 0
        self.stranded = 0
        self.rented: list[Rented] = []
        self.lookup_tokens = 0.0
        self._cluster = cluster
        self._shape = cluster.workload
        kinds = [
            (base.FailureDomain(domain), domain == self._shape.reclaimed_domain)
            for domain in self._shape.engine_domains
        ]
        self._domains = sorted({domain for domain, _ in kinds})
        self._closed_until: dict[base.FailureDomain, float] = {}
        policy = cluster.policy
        self._lookups = rollout.DemandForecast()
        self._step_need = rollout.StepDemandForecast()
        self._rng = random.Random(f"{seed} reclaims")
        self._scaler: _scaling.Scaler
        self._scaler = _scaling.Fixed(collections.Counter(kinds))
        if policy.scaling == "threshold":
            self._scaler = _scaling.Threshold(policy.capacity.safe_floor)
        elif policy.scaling == "planner":
            self._scaler = _scaling.Planned(policy.capacity)
        for kind in kinds:
            self._start(self._rent(kind))

    def run(self) -> None:
        """Begins to plan and to reclaim."""
        sim, shape = self._cluster.sim, self._shape
        self._plan()
        if not shape.reclaims_per_hour:
            domain = base.FailureDomain(shape.reclaimed_domain)
            sim.after(shape.reclaim_at, lambda: self._notice(domain))
            return
        for domain in self._domains:
            self._next_notice(domain)

    def cost(self, until: float) -> float:
        """Returns what all endpoints cost, in hours of a safe one."""
        return sum(rented.cost(until) for rented in self.rented)

    def _rent(self, kind: _scaling.Kind) -> Rented:
        name = base.EndpointId(f"e{len(self.rented)}")
        self.rented.append(Rented(name, *kind, self._cluster.sim.now))
        return self.rented[-1]

    def _start(self, rented: Rented) -> None:
        if rented.ended_at < math.inf:
            return
        rented.start_deadline = None
        self._cluster.add_engine(rented)

    def _live(self) -> list[Rented]:
        return [r for r in self.rented if r.ended_at == math.inf]

    def _plan(self) -> None:
        cluster, now = self._cluster, self._cluster.sim.now
        plan = self._scaler.plan(
            self._load(), self._offers(now), self._statuses(), now
        )
        by_id = {rented.endpoint_id: rented for rented in self._live()}
        for change in plan.changes:
            self._change(change, by_id[change.endpoint])
        for need in plan.needs:
            kind = (need.failure_domain, need.reclaimable)
            if need.reclaimable and self._is_closed(kind[0], now):
                continue
            for _ in range(need.missing):
                rented = self._rent(kind)
                rented.start_deadline = now + START_S
                start = functools.partial(self._start, rented)
                cluster.sim.after(START_S, start)
        cluster.sim.after(PLAN_S, self._plan)

    def _change(self, change: rollout.EndpointChange, rented: Rented) -> None:
        match change:
            case rollout.ReleaseEndpoint():
                self.stranded += self._cluster.queues.running(
                    rented.endpoint_id
                )
                self._end(rented)
                return
            case rollout.DrainEndpoint():
                rented.draining = True
                self._cluster.hand_back(rented.endpoint_id)
            case rollout.UndrainEndpoint():
                rented.draining = False
        self._cluster.fleet_changed()

    def _end(self, rented: Rented) -> None:
        rented.ended_at = self._cluster.sim.now
        self._cluster.end_engine(rented.endpoint_id)

    def _load(self) -> _scaling.Load:
        now, ledger = self._cluster.sim.now, self._cluster.rollouts.ledger
        self._lookups.observe(self.lookup_tokens / PLAN_S, now)
        self.lookup_tokens = 0.0
        self._step_need.observe(ledger, now)
        needs = self._step_need.tokens_per_s(ledger, now)
        return _scaling.Load(
            max(sum(needs.values()), self._announced(now)),
            self._lookups.predict(now + START_S),
            self._cluster.queues.busy_share(),
        )

    def _announced(self, now: float) -> float:
        """Returns the need of sessions that operators told of beforehand."""
        shape, factor = self._shape, self._cluster.policy.announced
        begins = [session.start_s for session in shape.sessions]
        opening = [at for at in begins if at - LEAD_S <= now < at + START_S]
        samples = len(opening) * shape.groups * shape.group_size
        return factor * samples * _rollouts.ESTIMATE_TOKENS / shape.train_s

    def _is_closed(self, domain: base.FailureDomain, now: float) -> bool:
        return now < self._closed_until.get(domain, 0.0)

    def _offers(self, now: float) -> list[rollout.EndpointOffer]:
        rate = HEALTHY_SHARE * self._shape.engine.peak_tokens_per_s()
        live = collections.Counter(
            (r.domain, r.reclaimable) for r in self._live()
        )
        return [
            rollout.EndpointOffer(
                _scaling.MODEL,
                domain,
                reclaimable,
                PRICE[reclaimable],
                rate,
                0
                if reclaimable and self._is_closed(domain, now)
                else max(0, AVAILABLE - live[domain, reclaimable]),
                self._shape.reclaims_per_hour * reclaimable,
            )
            for domain in self._domains
            for reclaimable in (False, True)
        ]

    def _statuses(self) -> list[rollout.EndpointStatus]:
        return [
            rollout.EndpointStatus(
                rented.endpoint_id,
                _scaling.MODEL,
                rented.domain,
                rented.reclaimable,
                self._cluster.queues.running(rented.endpoint_id),
                rented.start_deadline,
                rented.gone_at,
                rented.draining,
            )
            for rented in self._live()
        ]

    def _next_notice(self, domain: base.FailureDomain) -> None:
        rate = self._shape.reclaims_per_hour / 3600
        self._cluster.sim.after(
            self._rng.expovariate(rate), lambda: self._notice(domain)
        )

    def _notice(self, domain: base.FailureDomain) -> None:
        """All reclaimable endpoints of a domain are to be taken back."""
        sim = self._cluster.sim
        leaving = [r for r in self._live() if r.domain == domain]
        leaving = [r for r in leaving if r.reclaimable]
        self._closed_until[domain] = sim.now + NOTICE_S + CLOSED_S
        sim.after(NOTICE_HEARD_S, lambda: self._hear_notice(leaving))
        sim.after(NOTICE_S, lambda: self._reclaim(leaving))
        if self._shape.reclaims_per_hour:
            self._next_notice(domain)

    def _hear_notice(self, leaving: list[Rented]) -> None:
        for rented in leaving:
            rented.gone_at = self._cluster.sim.now + NOTICE_S - NOTICE_HEARD_S
            self._cluster.stop_new_work(rented.endpoint_id)
        self._cluster.fleet_changed()
        self._cluster.rollouts.decide()

    def _reclaim(self, leaving: list[Rented]) -> None:
        for rented in leaving:
            if rented.ended_at == math.inf:
                self.reclaimed += 1
                self._end(rented)
