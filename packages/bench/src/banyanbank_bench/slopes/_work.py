"""Costs of dispatch and rollout decisions."""

from collections.abc import Iterator
import functools
import itertools
import random

import banyanbank_base as base
import banyanbank_dispatch as dispatch
import banyanbank_rollout as rollout

from banyanbank_bench.slopes import _meter
from banyanbank_bench.slopes import _target

NOW = 1.0
GROUP = 8
BODY_BYTES = 30_000
MODEL = base.ModelName("coach")
ENGINES = [base.EndpointId(f"e{n}") for n in range(_target.SERVERS)]


def _domain(number: int) -> base.FailureDomain:
    return base.FailureDomain(f"zone-{number % _target.DOMAINS}")


def measure_dispatch() -> Iterator[_meter.Figure]:
    """Yields the costs of one request and of shares of limits."""
    router = dispatch.Router(_domain(0), random.Random(1))
    candidates = [
        dispatch.Candidate(endpoint, _domain(number), 64)
        for number, endpoint in enumerate(ENGINES)
    ]
    query = dispatch.RouteQuery(500.0)
    us = _meter.process_us(lambda: router.choose(query, candidates, NOW))
    yield _meter.Figure("choice among 600", us, "us")
    us = _meter.process_us(lambda: router.choose(query, candidates[:10], NOW))
    yield _meter.Figure("choice among 10", us, "us")
    members = [base.InstanceId(f"i{n}") for n in range(_target.DAEMONS)]
    owner = dispatch.rendezvous_owner
    us = _meter.process_us(lambda: owner(ENGINES[0], members))
    yield _meter.Figure("owner among 360", us, "us")
    yield _meter.Figure("queue operations of a request", _queue_us(), "us")
    yield _meter.Figure("shares of 40 accounts", _shares_us(members), "us")


def _queue_us() -> float:
    queue = dispatch.EngineQueue(ENGINES[0], dispatch.QueueSettings(64))
    numbers = itertools.count()

    def run() -> None:
        name = base.RequestId(str(next(numbers)))
        kind = dispatch.WorkKind.INTERACTIVE
        account, key = base.AccountId("a"), base.KeyId("k")
        queue.offer(dispatch.Work(name, account, key, kind, 1.0, 99.0), NOW)
        queue.next(NOW)
        queue.finish(name, 1.0, NOW)

    return _meter.process_us(run, 1_000)


def _shares_us(members: list[base.InstanceId]) -> float:
    allocator = dispatch.ShareAllocator(-100.0)
    accounts = [base.AccountId(f"a{n}") for n in range(_target.ACCOUNTS)]
    limits = [dispatch.AccountLimit(name, 500.0, 500) for name in accounts]
    demands = [dispatch.Demand(name, 1.0, 1) for name in accounts]

    def lease(member: base.InstanceId) -> None:
        allocator.lease(member, len(members), limits, demands, NOW)

    for member in members:
        lease(member)
    return _meter.process_us(lambda: lease(members[0]), 3)


def _groups(trainer: base.TrainerId) -> list[rollout.SubmitGroup]:
    count = _target.SAMPLES // GROUP
    return [
        rollout.SubmitGroup(
            trainer=trainer,
            step=0,
            group=number,
            request_id=base.RequestId(f"r{number}"),
            model=MODEL,
            prompt=b"p" * 2_000,
            samples=GROUP,
            groups_in_step=count,
            staleness_bound=1,
        )
        for number in range(count)
    ]


def _submitted() -> rollout.Ledger:
    ledger = rollout.Ledger()
    for name in range(_target.TRAINERS):
        for group in _groups(base.TrainerId(f"t{name}")):
            ledger, _ = ledger.apply(group)
    return ledger


def _recorded(stored: bool) -> rollout.Ledger:
    rng = random.Random(1)
    make = rollout.SampleBody.stored if stored else rollout.SampleBody.inline
    ledger = rollout.Ledger()
    trainer = base.TrainerId("t0")
    for group in _groups(trainer):
        ledger, _ = ledger.apply(group)
    for number in range(_target.SAMPLES):
        place = divmod(number, GROUP)
        stretch = rollout.VersionStretch(base.WeightVersion(1), 500)
        ledger, reply = ledger.apply(
            rollout.RecordSample(
                slot=rollout.SampleSlot(trainer, 0, *place),
                attempt_id=f"a{number}",
                model=MODEL,
                body=make(rng.randbytes(BODY_BYTES)),
                token_count=500,
                stretches=(stretch,),
                grade=0.5,
                engine=ENGINES[0],
            )
        )
        assert not isinstance(reply, rollout.LedgerRefused), reply
    return ledger


def measure_rollout() -> Iterator[_meter.Figure]:
    """Yields the costs of the ledger, the scheduler and new weights."""
    for stored in (False, True):
        size = _meter.held_bytes(functools.partial(_recorded, stored))
        name = "stored apart" if stored else "in the log"
        per_sample = size / _target.SAMPLES
        yield _meter.Figure(f"ledger, sample of 30 kB {name}", per_sample, "B")
    ledger = _submitted()
    slots = 2 * _target.TRAINERS * _target.SAMPLES // _target.SERVERS
    version = base.WeightVersion(1)
    views = [
        rollout.EngineView(endpoint, (MODEL,), (version,), slots)
        for endpoint in ENGINES
    ]
    scheduler = rollout.SampleScheduler(random.Random(1))
    starts = scheduler.decide(ledger, (), views, 0.0)
    attempts = [
        rollout.AttemptView(
            slot=start.slot,
            attempt_id=start.attempt_id,
            started_at=0.0,
            engine=ENGINES[number % len(ENGINES)],
            progress=rollout.ResumePoint(
                (rollout.VersionStretch(version, number + 1),)
            ),
        )
        for number, start in enumerate(starts)
        if isinstance(start, rollout.StartAttempt)
    ]
    later = itertools.count(1)
    us = _meter.process_us(
        lambda: scheduler.decide(ledger, attempts, views, float(next(later))),
        3,
    )
    name = f"scheduler, {len(attempts)} samples on 600"
    yield _meter.Figure(name, us, "us")
    yield from _measure_weights()


def _measure_weights() -> Iterator[_meter.Figure]:
    cfg = rollout.WeightCfg(store_bytes_per_s=20e9)
    weights = rollout.WeightRollout(cfg)
    publication = rollout.PublishVersion(
        MODEL, base.WeightVersion(2), base.TrainerId("t0"), "w/2", 200_000_000
    )
    reports = [
        rollout.EngineWeightReport(
            endpoint, _domain(number), MODEL, base.WeightVersion(2)
        )
        for number, endpoint in enumerate(ENGINES)
    ]
    us = _meter.process_us(
        lambda: weights.decide((publication,), reports, NOW), 5
    )
    yield _meter.Figure("weights decision, 600 engines", us, "us")
    per_domain = {_domain(n): 100 for n in range(_target.DOMAINS)}
    for load_s in (2.0, 3.0, 4.0):
        seconds = rollout.estimate_rollout_s(
            cfg, per_domain, 200_000_000, load_s
        )
        name = f"weights on 600, 0.2 GB at 20 GB/s, load {load_s:.0f} s"
        yield _meter.Figure(name, seconds, "s")
