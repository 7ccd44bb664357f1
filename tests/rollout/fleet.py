"""Fake engines that load weights, with checks of the rollout limits."""

import collections
import math
import random

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

from tests.rollout import cases

ADAPTER = base.ModelName("folds-adapter")
TICK_S = 0.25


@attrs.define
class LoadingEngine:
    """Fake engine whose loads take time and can fail.

    A failed load can leave mixed weights, reported as version None.
    """

    endpoint: base.EndpointId
    domain: base.FailureDomain
    versions: dict[base.ModelName, int | None]
    failures: int = 0
    leaves_mix: bool = False
    order: rollout.SwapOrder | None = None
    done_at: float = math.inf
    failed_order_id: str = ""
    taken_out: dict[base.ModelName, int] = attrs.field(factory=dict)


class Fleet:
    """Fake engines under a `WeightRollout`; checks the limits at each tick."""

    def __init__(
        self,
        engines: int,
        domains: int,
        cfg: rollout.WeightCfg,
        seed: int = 0,
        adapters: bool = False,
        load_s: tuple[float, float] = (1.0, 2.0),
    ) -> None:
        self.cfg = cfg
        self.now = 0.0
        self.rng = random.Random(seed)
        self.load_s = load_s
        models = [cases.MODEL] + [ADAPTER] * adapters
        self.loaders = {
            base.EndpointId(f"e{i}"): LoadingEngine(
                base.EndpointId(f"e{i}"),
                base.FailureDomain(f"d{i % domains}"),
                dict.fromkeys(models, 1),
            )
            for i in range(engines)
        }
        self.publications = [cases.publish(1)]
        if adapters:
            self.publish_adapter(1)
        self.weight_rollout = rollout.WeightRollout(cfg)
        self.downloads: list[tuple[float, int]] = []
        self.orders: list[rollout.SwapOrder] = []

    def publish(self, version: int, size_bytes: int) -> None:
        """Publishes full weights of the base model."""
        self.publications[0] = cases.publish(version, size_bytes=size_bytes)

    def publish_adapter(self, version: int) -> None:
        """Publishes an adapter of the base model."""
        self.publications[1:] = [
            cases.publish(version, model=ADAPTER, base_model=cases.MODEL)
        ]

    def change_leader(self) -> None:
        """Replaces the `WeightRollout` by a new one without state."""
        self.weight_rollout = rollout.WeightRollout(self.cfg)

    def tick(self) -> None:
        """Advances the clock, completes due loads and runs one decision."""
        self.now += TICK_S
        for loader in self.loaders.values():
            if loader.done_at <= self.now:
                self._finish_load(loader)
        reports = [
            rollout.EngineWeightReport(
                endpoint=loader.endpoint,
                failure_domain=loader.domain,
                model=model,
                version=version,
                loading=loader.order is not None,
                failed_order=loader.failed_order_id,
                required_version=loader.taken_out.get(model),
            )
            for loader in self.loaders.values()
            for model, version in loader.versions.items()
        ]
        for effect in self.weight_rollout.decide(
            self.publications, reports, self.now
        ):
            self._execute(effect)
        self._check_invariants()

    def _execute(self, effect: rollout.WeightEffect) -> None:
        loader = self.loaders[effect.endpoint]
        match effect:
            case rollout.SwapOrder():
                assert loader.order is None, (
                    "engine got a second order during a load"
                )
                self.orders.append(effect)
                loader.order = effect
                loader.done_at = self.now + self.rng.uniform(*self.load_s)
                size = next(
                    pub.size_bytes
                    for pub in self.publications
                    if pub.model == effect.model
                )
                self.downloads.append((self.now, size))
            case rollout.TakeOutOfService():
                loader.taken_out[effect.model] = effect.required_version
            case rollout.ReturnToService():
                required = loader.taken_out.pop(effect.model)
                loaded = loader.versions[effect.model]
                assert loaded is not None, (
                    "engine with mixed weights returned to service"
                )
                assert loaded >= required, (
                    "engine returned to service before its repair"
                )

    def _finish_load(self, loader: LoadingEngine) -> None:
        order = loader.order
        loader.order, loader.done_at = None, math.inf
        if loader.failures:
            loader.failures -= 1
            loader.failed_order_id = order.order_id
            if loader.leaves_mix:
                loader.versions[order.model] = None
            return
        loader.versions[order.model] = int(order.version)

    def _check_invariants(self) -> None:
        paused: collections.Counter[str] = collections.Counter()
        serving: collections.Counter[str] = collections.Counter()
        for loader in self.loaders.values():
            if cases.MODEL in loader.taken_out:
                continue
            order = loader.order
            is_down = order is not None and order.base_model is None
            for scope in ("all", loader.domain):
                serving[scope] += 1
                paused[scope] += is_down
        for scope, count in paused.items():
            limit = self.cfg.max_unavailable(serving[scope])
            assert count <= limit, (
                f"{count} of {serving[scope]} engines are down"
            )
        for loader in self.loaders.values():
            for model, version in loader.versions.items():
                mixed = version is None and loader.order is None
                assert not mixed or model in loader.taken_out, (
                    "engine with mixed weights is in service"
                )
        budget = self.cfg.store_burst_s * self.cfg.store_bytes_per_s
        largest = max((size for _, size in self.downloads), default=0)
        for start, _ in self.downloads[-200::20]:
            ordered_bytes = sum(s for at, s in self.downloads if at >= start)
            allowed = (self.now - start) * self.cfg.store_bytes_per_s
            assert ordered_bytes <= allowed + budget + largest, (
                "downloads exceed the store rate"
            )

    def lag(self) -> int:
        """Returns the number of outstanding loads."""
        newest = {pub.model: pub.version for pub in self.publications}
        return sum(
            version != newest[model]
            for loader in self.loaders.values()
            for model, version in loader.versions.items()
        )

    def run_until_current(self, limit_s: float) -> float:
        """Ticks until all engines are current; returns the elapsed seconds."""
        start = self.now
        while self.lag():
            self.tick()
            assert self.now - start < limit_s, f"{self.lag()} loads outstanding"
        return self.now - start


def walk(seed: int) -> None:
    """Publishes to a small fleet under random load failures.

    Raises:
        AssertionError: An invariant was violated.
    """
    rng = random.Random(seed)
    cfg = rollout.WeightCfg(
        store_bytes_per_s=2e9, load_timeout_s=10.0, repair_delay_s=20.0
    )
    fleet = Fleet(5, 3, cfg, seed, adapters=True)
    for version in range(2, 5):
        fleet.publish(version, 1 << 30)
        if rng.random() < 0.5:
            fleet.publish_adapter(version)
        for loader in rng.sample(list(fleet.loaders.values()), 2):
            loader.failures = rng.randrange(5)
            loader.leaves_mix = rng.random() < 0.5
        for _ in range(rng.randrange(40)):
            fleet.tick()
        if rng.random() < 0.3:
            fleet.change_leader()
    fleet.run_until_current(1_000.0)
    fleet.tick()
    out_of_service = [e for e in fleet.loaders.values() if e.taken_out]
    assert not out_of_service, (
        f"{out_of_service} are current but out of service"
    )


def broken_walk(seed: int) -> None:
    """Changes the leader while a broken engine is out of service.

    Raises:
        AssertionError: An invariant was violated.
    """
    cfg = rollout.WeightCfg(store_bytes_per_s=2e9, load_timeout_s=10.0)
    fleet = Fleet(5, 3, cfg, seed)
    broken = fleet.loaders[base.EndpointId("e0")]
    broken.failures = 8
    fleet.publish(2, 1 << 30)
    while not broken.taken_out:
        fleet.tick()
    fleet.change_leader()
    fleet.tick()
    assert broken.taken_out == {cases.MODEL: 2}, (
        "engine returned to service before its repair"
    )
    fleet.run_until_current(600.0)
    fleet.tick()
    assert not broken.taken_out, "engine is current but out of service"


def wide_walk(seed: int) -> None:
    """Publishes to many engines in four failure domains over a slow store.

    Raises:
        AssertionError: An invariant was violated.
    """
    cfg = rollout.WeightCfg(store_bytes_per_s=4e9)
    fleet = Fleet(40, 4, cfg, seed, adapters=True)
    fleet.publish(2, 1 << 30)
    fleet.publish_adapter(2)
    fleet.run_until_current(1_000.0)
