"""Tests of account limits over all instances, and of overload."""

import collections
import random
import typing

import banyanbank_base as base
import banyanbank_dispatch as dispatch

from tests.dispatch import _case

ACCOUNT = base.AccountId("a")
LIMIT = dispatch.AccountLimit(ACCOUNT, requests_per_s=80.0, concurrency=24)
INSTANCES = [base.InstanceId(f"i{number}") for number in range(8)]
RENEWAL_INTERVAL_S = 0.5
DURATION_S = 60


class Fleet:
    """Eight instances that renew their shares with one leader."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.allocator = dispatch.ShareAllocator(-10.0)
        self.limits = {i: dispatch.AdmissionLimits(0.0) for i in INSTANCES}
        for limits in self.limits.values():
            limits.set_limited_accounts([ACCOUNT])
        self.partitioned: set[base.InstanceId] = set()
        self.granted: dict[base.InstanceId, tuple[float, dispatch.Share]] = {}

    def renew_shares(self, instance_id: base.InstanceId, now: float) -> None:
        if instance_id in self.partitioned:
            return
        demands = self.limits[instance_id].demands(now)
        shares = self.allocator.lease(
            instance_id,
            len(INSTANCES),
            [LIMIT],
            demands,
            now,
            self.limits[instance_id].held(now),
        )
        self.limits[instance_id].apply_shares(shares, now)
        for share in shares:
            self.granted[instance_id] = (now + dispatch.SHARE_S, share)

    def valid_shares(self, now: float) -> list[dispatch.Share]:
        return [s for until, s in self.granted.values() if now < until]

    def offer(self, weights: list[float], rate: float) -> list[float]:
        """Offers Poisson arrivals and returns the admission times.

        Args:
            weights: Relative arrival rate at each instance.
            rate: Arrivals per second over all instances.
        """
        now, admitted, next_renewal = 0.0, [], 0.0
        while now < DURATION_S:
            now += self.rng.expovariate(rate)
            while next_renewal <= now:
                for instance_id in INSTANCES:
                    self.renew_shares(instance_id, next_renewal)
                next_renewal += RENEWAL_INTERVAL_S
            (instance_id,) = self.rng.choices(INSTANCES, weights)
            limits = self.limits[instance_id]
            if limits.admit(ACCOUNT, now) == _case.ACCEPTED:
                admitted.append(now)
                limits.release(ACCOUNT)
        return admitted


class LimitsTest(_case.DispatchCase):
    """The limit is never exceeded, and nearly reached under enough load."""

    def test_rate_over_all_instances(self) -> None:
        table: list[tuple[str, list[float], float, float, float]] = [
            # Name, weight of each instance, then requests per second: offered,
            # minimum and maximum admitted.
            ("even", [1.0] * 8, 240.0, 68.0, 80.0),
            ("uneven", [8.0, 4.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0], 240.0, 66, 80),
            ("one instance", [1.0] + [0.0] * 7, 240.0, 66.0, 80.0),
            ("below the limit", [1.0] * 8, 30.0, 27.0, 33.0),
        ]
        for name, weights, offered_rate, min_rate, max_rate in table:
            with self.subTest(name):
                admitted = Fleet().offer(weights, offered_rate)
                steady_state = [at for at in admitted if at > 5.0]
                rate = len(steady_state) / (DURATION_S - 5.0)
                self.assertGreater(rate, min_rate)
                self.assertLessEqual(rate, max_rate * 1.02)

    def test_shares_never_exceed_the_limit(self) -> None:
        fleet = Fleet()
        for step in range(3000):
            now = step * 0.1
            instance_id = fleet.rng.choice(INSTANCES)
            if fleet.rng.random() < 0.02:
                fleet.partitioned ^= {instance_id}
            for _ in range(fleet.rng.randrange(20)):
                fleet.limits[instance_id].admit(ACCOUNT, now)
            fleet.renew_shares(instance_id, now)
            valid = fleet.valid_shares(now)
            rate = sum(share.requests_per_s for share in valid)
            slots = sum(share.concurrency for share in valid)
            self.assertLessEqual(rate, LIMIT.requests_per_s + 1e-6)
            self.assertLessEqual(slots, LIMIT.concurrency)

    def test_concurrency_over_all_instances(self) -> None:
        fleet = Fleet()
        under_way: collections.Counter[str] = collections.Counter()
        peak = 0
        for step in range(2000):
            now = step * 0.05
            instance_id = fleet.rng.choice(INSTANCES[:3])
            limits = fleet.limits[instance_id]
            if limits.admit(ACCOUNT, now) == _case.ACCEPTED:
                under_way[instance_id] += 1
            elif under_way[instance_id] and fleet.rng.random() < 0.5:
                limits.release(ACCOUNT)
                under_way[instance_id] -= 1
            if step % 10 == 0:
                for other in INSTANCES:
                    fleet.renew_shares(other, now)
            peak = max(peak, under_way.total())
            self.assertLessEqual(under_way.total(), LIMIT.concurrency)
        self.assertGreaterEqual(peak, 0.8 * LIMIT.concurrency)

    def test_fails_closed_without_a_valid_share(self) -> None:
        limits = dispatch.AdmissionLimits(0.0)
        limits.set_limited_accounts([ACCOUNT])
        share = dispatch.Share(ACCOUNT, 100.0, 10)
        open_account = base.AccountId("open")
        table: list[tuple[float, base.AccountId, typing.Any]] = [
            (0.1, ACCOUNT, "refused"),
            (0.1, open_account, "admitted"),
            (1.0, ACCOUNT, "admitted"),
            (2.99, ACCOUNT, "admitted"),
            (3.0, ACCOUNT, "refused"),
        ]
        for now, account, expected in table:
            with self.subTest(now=now, account=account):
                answer = limits.admit(account, now)
                if expected == "admitted":
                    self.assertEqual(answer, _case.ACCEPTED)
                else:
                    self.assert_refused(answer, base.RefusalReason.RATE_LIMITED)
            limits.apply_shares([share], 0.0)

    def test_admits_after_retry_after(self) -> None:
        limits = dispatch.AdmissionLimits(0.0)
        limits.set_limited_accounts([ACCOUNT])
        limits.apply_shares([dispatch.Share(ACCOUNT, 2.0, 10)], 0.0)
        now = 0.0
        # A new account starts with a full bucket: 1 s of its rate, 2 requests.
        for _ in range(2):
            self.assertEqual(limits.admit(ACCOUNT, now), _case.ACCEPTED)
            limits.release(ACCOUNT)
        for _ in range(4):
            refusal = limits.admit(ACCOUNT, now).failure()
            assert refusal.retry_after is not None
            now += refusal.retry_after + 1e-9
            self.assertEqual(limits.admit(ACCOUNT, now), _case.ACCEPTED)
            limits.release(ACCOUNT)

    def test_new_leader_only_renews_old_shares(self) -> None:
        fleet = Fleet()
        for step in range(20):
            for instance_id in INSTANCES:
                fleet.limits[instance_id].admit(ACCOUNT, step * 0.1)
                fleet.renew_shares(instance_id, step * 0.1)
        fleet.allocator = dispatch.ShareAllocator(started_at=2.0)
        loaded = fleet.limits[INSTANCES[0]]
        before = loaded.held(2.0)
        for step in range(100):
            now = 2.0 + step * 0.1
            for _ in range(50):
                loaded.admit(ACCOUNT, now)
            for instance_id in INSTANCES:
                fleet.renew_shares(instance_id, now)
                valid = fleet.valid_shares(now)
                rate = sum(share.requests_per_s for share in valid)
                self.assertLessEqual(rate, LIMIT.requests_per_s + 1e-6)
            if now < 2.0 + 3.9:
                self.assertEqual(loaded.held(now), before)
        (after,) = loaded.held(12.0)
        self.assertGreater(after.requests_per_s, 60.0)
        self.assertEqual(loaded.held(20.0), ())


class OverloadTest(_case.DispatchCase):
    """Goodput stays high under loads far above the capacity."""

    def test_goodput(self) -> None:
        for load in (0.5, 1.5, 3.0, 10.0):
            with self.subTest(load=load):
                self.assertGreater(self._goodput(load), 0.9 * min(load, 1.0))

    def _goodput(self, load: float) -> float:
        """Returns the served tokens as a fraction of one slot's capacity."""
        rng = random.Random(1)
        queue = self.queue(slots=1, initial_tokens_per_s=100.0)
        now, free_at, served = 0.0, 0.0, 0.0
        running: dispatch.Work | None = None
        while now < 400.0:
            arrival = now + rng.expovariate(load)
            while running and free_at <= arrival:
                queue.finish(running.request_id, 100.0, free_at)
                running = queue.next(free_at)
                if running:
                    self.assertLess(free_at, running.deadline)
                    served += 100.0
                    free_at += 1.0
            now = arrival
            kind = dispatch.WorkKind.INTERACTIVE
            queue.offer(self.work(kind=kind, deadline=now + 8.0), now)
            if running is None:
                running = queue.next(now)
                free_at = now + 1.0
                served += 100.0 if running else 0.0
        return served / (400.0 * 100.0)
