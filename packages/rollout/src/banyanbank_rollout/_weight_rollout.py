"""Brings published weights to all engines while service goes on."""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

import attrs
import banyanbank_base as base

from banyanbank_rollout import _commands
from banyanbank_rollout import _weight_swap
from banyanbank_rollout import _weights

SwapKey = tuple[base.EndpointId, base.ModelName]
Scope = tuple[base.ModelName, base.FailureDomain | None]
LOAD_SMOOTHING = 0.2


@attrs.define
class _Availability:
    """Counts engines in service and those that swap, by scope."""

    serving: collections.Counter[Scope] = attrs.field(
        factory=collections.Counter
    )
    down: collections.Counter[Scope] = attrs.field(factory=collections.Counter)


class WeightRollout:
    """Orders swaps in waves; volatile, run by the leader.

    A new leader's object starts empty: it learns from the reports which
    engines lag and repeats their orders under the same order ids.

    Args:
        cfg: Limits.
    """

    def __init__(self, cfg: _weights.WeightCfg) -> None:
        self._cfg = cfg
        self._chart = base.load_chart("banyanbank_rollout", "weight_swap")
        self._swaps: dict[SwapKey, _weight_swap.WeightSwap] = {}
        self._pacer = _weights.StorePacer(
            cfg.store_bytes_per_s, cfg.store_burst_s
        )
        self._load_s: float | None = None

    @property
    def load_s(self) -> float | None:
        """Moving average from order to report, None before the first."""
        return self._load_s

    def limit_store(self, bytes_per_s: float) -> None:
        """Takes in the weight store's rate limit."""
        self._pacer.limit(bytes_per_s)

    def decide(
        self,
        publications: Sequence[_commands.PublishVersion],
        reports: Sequence[_weights.EngineWeights],
        now: float,
    ) -> tuple[_weights.WeightEffect, ...]:
        """Returns the orders to send and the service changes to make.

        Args:
            publications: Newest publication of each model.
            reports: Newest report of each engine and model.
            now: Clock seconds.
        """
        newest = {pub.model: pub for pub in publications}
        known = {
            (report.endpoint, report.model): report
            for report in reports
            if report.model in newest
        }
        for gone in self._swaps.keys() - known.keys():
            del self._swaps[gone]
        effects: list[_weights.WeightEffect] = []
        for key, report in known.items():
            version = newest[report.model].version
            swap = self._swaps.get(key)
            if swap is not None and swap.is_settled(report, version):
                continue
            self._follow(key, report, version, now)
            effects += self._service_changes(key, report, version)
        effects += self._orders(newest, known, now)
        return tuple(effects)

    def _follow(
        self,
        key: SwapKey,
        report: _weights.EngineWeights,
        newest: base.WeightVersion,
        now: float,
    ) -> None:
        swap = self._swaps.get(key)
        if swap is None:
            swap = _weight_swap.WeightSwap(
                base.ChartRunner(self._chart), required=report.required_version
            )
            self._swaps[key] = swap
        was_loading = swap.is_loading
        swap.follow(self._cfg, report, newest, now)
        if was_loading and swap.failures == 0 and not swap.is_loading:
            taken = now - swap.ordered_at
            before = taken if self._load_s is None else self._load_s
            self._load_s = before + LOAD_SMOOTHING * (taken - before)

    def _service_changes(
        self,
        key: SwapKey,
        report: _weights.EngineWeights,
        newest: base.WeightVersion,
    ) -> Iterator[_weights.WeightEffect]:
        swap = self._swaps[key]
        state = swap.state
        mixed = report.version is None and not swap.is_loading
        broken = state in ("out_of_service", "repairing")
        if swap.in_service and (broken or (mixed and not report.loading)):
            swap.required = newest
            reason = "swaps failed" if broken else "no whole version loaded"
            yield _weights.TakeOutOfService(*key, newest, reason)
        elif not broken and swap.has_required(report):
            swap.required = None
            yield _weights.ReturnToService(*key)

    def _orders(
        self,
        newest: Mapping[base.ModelName, _commands.PublishVersion],
        known: Mapping[SwapKey, _weights.EngineWeights],
        now: float,
    ) -> Iterator[_weights.SwapOrder]:
        waiting = [k for k in known if self._swaps[k].may_order(now)]
        if not waiting:
            return
        models_of = collections.defaultdict(list)
        for endpoint, model in known:
            models_of[endpoint].append(model)
        busy = {
            endpoint
            for (endpoint, model), report in known.items()
            if report.loading or self._swaps[endpoint, model].is_loading
        }
        counts = self._count(known, busy)
        waiting.sort(
            key=lambda k: (self._swaps[k].failures, known[k].streams, k)
        )
        for key in waiting:
            endpoint, model = key
            publication = newest[model]
            if endpoint in busy or not _has_base(known, endpoint, publication):
                continue
            paused = self._paused(publication, endpoint, models_of[endpoint])
            scopes = [
                scope for m in paused for scope in _scopes(known[endpoint, m])
            ]
            if not self._is_spared(counts, scopes):
                continue
            if not self._pacer.take(publication.size_bytes, now):
                return
            busy.add(endpoint)
            counts.down.update(scopes)
            yield self._swaps[key].order(self._cfg, endpoint, publication, now)

    def _paused(
        self,
        publication: _commands.PublishVersion,
        endpoint: base.EndpointId,
        models: Sequence[base.ModelName],
    ) -> list[base.ModelName]:
        """Returns the models that the engine serves and that would pause."""
        if publication.base_model is not None:
            models = (publication.model,)
        return [m for m in models if self._swaps[endpoint, m].in_service]

    def _count(
        self,
        known: Mapping[SwapKey, _weights.EngineWeights],
        busy: set[base.EndpointId],
    ) -> _Availability:
        counts = _Availability()
        for key, report in known.items():
            if not self._swaps[key].in_service:
                continue
            counts.serving.update(_scopes(report))
            if report.endpoint in busy:
                counts.down.update(_scopes(report))
        return counts

    def _is_spared(
        self, counts: _Availability, scopes: Sequence[Scope]
    ) -> bool:
        return all(
            counts.down[scope] < self._cfg.max_down(counts.serving[scope])
            for scope in scopes
        )


def _scopes(report: _weights.EngineWeights) -> tuple[Scope, Scope]:
    return (report.model, None), (report.model, report.failure_domain)


def _has_base(
    known: Mapping[SwapKey, _weights.EngineWeights],
    endpoint: base.EndpointId,
    publication: _commands.PublishVersion,
) -> bool:
    """Tells whether an adapter finds the model that it extends loaded."""
    if publication.base_model is None:
        return True
    base_report = known.get((endpoint, publication.base_model))
    return base_report is None or base_report.version is not None
