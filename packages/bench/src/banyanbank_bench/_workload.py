"""Shapes of the load; every length is drawn from the seed."""

import math
import random

import attrs
import banyanbank_rollout as rollout

from banyanbank_bench import _engine


@attrs.frozen
class Session:
    """Steps that a trainer takes one after another."""

    trainer: int
    start_s: float
    steps: int


@attrs.frozen
class Workload:
    """Sizes, rates and faults of one run; times are in seconds."""

    name: str
    hop_s: float
    engine: _engine.EngineSpec = attrs.field(factory=_engine.EngineSpec)
    engine_domains: tuple[str, ...] = ("z1", "z1", "z2", "z2", "z3")
    reclaimed_domain: str = "z3"
    instances: int = 8
    trainers: int = 2
    groups: int = 32
    group_size: int = 8
    steps: int = 12
    train_s: float = 60.0
    publish_s: float = 150.0
    staleness_bound: int = 2
    lookups_per_s: float = 4.0
    lookup_phases: tuple[tuple[float, float], ...] = ()
    """Until when lookups come at which factor of their rate."""
    sessions: tuple[Session, ...] = ()
    """When trainers work; empty: all from the start, `steps` each."""
    day_s: float = 0.0
    """Least length of a run."""
    reclaims_per_hour: float = 0.0
    """Of each domain; 0: one reclaim of one domain."""
    account_shares: tuple[float, ...] = (8, 6, 4, 1, 1, 1, 1, 1)
    reclaim_at: float = 300.0
    kill_at: float = 500.0

    def lookup_factor(self, now: float) -> float:
        """Returns the part of the rate at which lookups come."""
        return next(
            (factor for until, factor in self.lookup_phases if now < until),
            1.0,
        )

    def sessions_of(self, trainer: int) -> list[Session]:
        """Returns the sessions of one trainer."""
        if not self.sessions:
            return [Session(trainer, 0.0, self.steps)]
        return [s for s in self.sessions if s.trainer == trainer]


@attrs.frozen
class Policy:
    """What is compared; the defaults are the naive ones."""

    routing: str = "router"
    """`round_robin`, `least_reported` or `router`."""
    owned: bool = False
    """Whether one instance holds each engine's queue."""
    scheduled: int = 0
    """Attempts started ahead of free slots; 0 starts all at once."""
    choices: int = 2
    """Candidates that the router compares."""
    steps_ahead: int = 3
    """Steps that a trainer asks for ahead of the one it trains on."""
    bulk_slots: int = 48
    """Rollout streams on a normal engine."""
    fast_slots: int = 0
    """Rollout streams on one engine that stays quick for lookups; 0: none."""
    scaling: str = "fixed"
    """`fixed`, `threshold` or `planner`."""
    capacity: rollout.CapacityCfg = attrs.field(factory=rollout.CapacityCfg)
    """Limits of `threshold` and `planner`."""
    announced: float = 0.0
    """Sessions' need, of one step in the time of training, that operators
    tell the planner before each; 0: they tell nothing."""


QUICK = Policy(owned=True, scheduled=4, choices=99, fast_slots=24)
CAPACITY = rollout.CapacityCfg(
    safe_per_domain=0, safe_floor=2, scale_down_after_s=300.0
)
PLANNER = attrs.evolve(QUICK, scaling="planner", capacity=CAPACITY)
POLICIES = {
    "rr_1_ahead": Policy("round_robin", steps_ahead=1),
    "round_robin": Policy("round_robin"),
    "least_reported": Policy("least_reported"),
    "independent": Policy(),
    "owned": Policy(owned=True),
    "scheduled": Policy(owned=True, scheduled=4, choices=99),
    "quick_24": QUICK,
    "threshold": attrs.evolve(QUICK, scaling="threshold", capacity=CAPACITY),
    "planner": PLANNER,
    "announced": attrs.evolve(PLANNER, announced=1.0),
    "surge_2": attrs.evolve(PLANNER, announced=2.0),
    "surge_3": attrs.evolve(PLANNER, announced=3.0),
}


WORKLOADS = {
    workload.name: workload
    for workload in (
        Workload("tesfaye", hop_s=0.001),
        Workload(
            "kuvertwerk",
            hop_s=0.0005,
            trainers=3,
            groups=24,
            lookup_phases=((600.0, 1.0), (900.0, 0.05)),
        ),
        Workload("saturated", hop_s=0.001, groups=48, train_s=40.0),
        Workload(
            "tesfaye_day",
            hop_s=0.001,
            lookup_phases=((1200.0, 0.05), (6300.0, 1.0), (7200.0, 0.05)),
            sessions=(
                Session(0, 2400.0, 12),
                Session(0, 4200.0, 28),
                Session(1, 4200.0, 28),
            ),
            day_s=7200.0,
            reclaims_per_hour=1.0,
            kill_at=2700.0,
        ),
        Workload(
            "kuvertwerk_day",
            hop_s=0.0005,
            trainers=3,
            groups=24,
            lookup_phases=((900.0, 0.05), (5700.0, 1.0), (7200.0, 0.05)),
            sessions=(
                Session(0, 900.0, 28),
                Session(0, 3300.0, 28),
                Session(1, 900.0, 28),
                Session(1, 3300.0, 28),
                Session(2, 900.0, 28),
                Session(2, 5700.0, 14),
            ),
            day_s=7200.0,
            reclaims_per_hour=1.0,
            kill_at=2700.0,
        ),
    )
}


def step_lengths(rng: random.Random, workload: Workload) -> list[list[int]]:
    """Draws the tokens of each sample of a step, by group."""
    return [
        _group_lengths(rng.lognormvariate(0.0, 0.5), rng, workload.group_size)
        for _ in range(workload.groups)
    ]


def lookup_tokens(rng: random.Random) -> int:
    """Draws the length of an interactive answer."""
    return int(min(max(rng.lognormvariate(math.log(60.0), 0.5), 8.0), 400.0))


def _group_lengths(factor: float, rng: random.Random, size: int) -> list[int]:
    """Samples of a group resemble each other; one in 33 is a straggler."""
    lengths = []
    for _ in range(size):
        length = 350.0 * factor * rng.lognormvariate(0.0, 0.6)
        length *= 3.0 if rng.random() < 0.03 else 1.0
        lengths.append(int(min(max(length, 16.0), 3000.0)))
    return lengths
