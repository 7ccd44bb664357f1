"""Rolls published weights out to all engines without interrupting service."""

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
LOAD_SMOOTHING_FACTOR = 0.2
"""Weight of the newest load time in its exponential moving average."""


@attrs.define
class _AvailabilityCounts:
    """Engines in service and those of them that are swapping, by scope.

    A scope is a model on all engines or within one failure domain.
    """

    serving: collections.Counter[Scope] = attrs.field(
        factory=collections.Counter
    )
    unavailable: collections.Counter[Scope] = attrs.field(
        factory=collections.Counter
    )


class WeightRollout:
    """Orders swaps in waves; runs on the leader, with no persistent state.

    A new leader starts with an empty object. It derives from the reports which
    engines lag and repeats their orders under the same order IDs.

    Args:
        cfg: Limits of the rollout.
    """

    def __init__(self, cfg: _weights.WeightCfg) -> None:
        self._cfg = cfg
        self._chart = base.load_chart("banyanbank_rollout", "weight_swap")
        self._swaps: dict[SwapKey, _weight_swap.WeightSwap] = {}
        self._store_limiter = _weights.StoreRateLimiter(
            cfg.store_bytes_per_s, cfg.store_burst_s
        )
        self._average_load_s: float | None = None

    @property
    def average_load_s(self) -> float | None:
        """Average seconds from order to report; None before the first load."""
        return self._average_load_s

    def set_store_rate(self, bytes_per_s: float) -> None:
        """Sets the rate limit of the weight store, in bytes per second."""
        self._store_limiter.set_rate(bytes_per_s)

    def decide(
        self,
        publications: Sequence[_commands.PublishVersion],
        reports: Sequence[_weights.EngineWeightReport],
        now: float,
    ) -> tuple[_weights.WeightEffect, ...]:
        """Returns the orders to send and the service changes to make.

        Args:
            publications: Newest publication of each model.
            reports: Newest report of each engine and model.
            now: Current time, in clock seconds.
        """
        newest = {pub.model: pub for pub in publications}
        reports_by_key = {
            (report.endpoint, report.model): report
            for report in reports
            if report.model in newest
        }
        for absent in self._swaps.keys() - reports_by_key.keys():
            del self._swaps[absent]
        effects: list[_weights.WeightEffect] = []
        for key, report in reports_by_key.items():
            version = newest[report.model].version
            swap = self._swaps.get(key)
            if swap is not None and swap.is_settled(report, version):
                continue
            self._update_swap(key, report, version, now)
            effects += self._decide_service_changes(key, report, version)
        effects += self._issue_orders(newest, reports_by_key, now)
        return tuple(effects)

    def _update_swap(
        self,
        key: SwapKey,
        report: _weights.EngineWeightReport,
        newest: base.WeightVersion,
        now: float,
    ) -> None:
        swap = self._swaps.get(key)
        if swap is None:
            swap = _weight_swap.WeightSwap(
                base.ChartRunner(self._chart),
                required_version=report.required_version,
            )
            self._swaps[key] = swap
        was_loading = swap.is_loading
        swap.observe_report(self._cfg, report, newest, now)
        if (
            was_loading
            and swap.consecutive_failures == 0
            and not swap.is_loading
        ):
            elapsed_s = now - swap.ordered_at
            average_s = (
                elapsed_s
                if self._average_load_s is None
                else self._average_load_s
            )
            self._average_load_s = average_s + LOAD_SMOOTHING_FACTOR * (
                elapsed_s - average_s
            )

    def _decide_service_changes(
        self,
        key: SwapKey,
        report: _weights.EngineWeightReport,
        newest: base.WeightVersion,
    ) -> Iterator[_weights.WeightEffect]:
        swap = self._swaps[key]
        state = swap.state
        is_mixed = report.version is None and not swap.is_loading
        has_failed = state in ("out_of_service", "repairing")
        if swap.is_in_service and (
            has_failed or (is_mixed and not report.loading)
        ):
            swap.required_version = newest
            reason = "swaps failed" if has_failed else "no whole version loaded"
            yield _weights.TakeOutOfService(*key, newest, reason)
        elif not has_failed and swap.has_required_version(report):
            swap.required_version = None
            yield _weights.ReturnToService(*key)

    def _issue_orders(
        self,
        newest: Mapping[base.ModelName, _commands.PublishVersion],
        reports_by_key: Mapping[SwapKey, _weights.EngineWeightReport],
        now: float,
    ) -> Iterator[_weights.SwapOrder]:
        waiting = [k for k in reports_by_key if self._swaps[k].may_order(now)]
        if not waiting:
            return
        models_by_endpoint = collections.defaultdict(list)
        for endpoint, model in reports_by_key:
            models_by_endpoint[endpoint].append(model)
        busy_endpoints = {
            endpoint
            for (endpoint, model), report in reports_by_key.items()
            if report.loading or self._swaps[endpoint, model].is_loading
        }
        counts = self._count_engines(reports_by_key, busy_endpoints)
        waiting.sort(
            key=lambda k: (
                self._swaps[k].consecutive_failures,
                reports_by_key[k].streams,
                k,
            )
        )
        for key in waiting:
            endpoint, model = key
            publication = newest[model]
            if endpoint in busy_endpoints or not _has_base_loaded(
                reports_by_key, endpoint, publication
            ):
                continue
            paused = self._find_paused_models(
                publication, endpoint, models_by_endpoint[endpoint]
            )
            scopes = [
                scope
                for m in paused
                for scope in _make_scopes(reports_by_key[endpoint, m])
            ]
            if not self._may_pause(counts, scopes):
                continue
            if not self._store_limiter.try_reserve(publication.size_bytes, now):
                return
            busy_endpoints.add(endpoint)
            counts.unavailable.update(scopes)
            yield self._swaps[key].issue_order(
                self._cfg, endpoint, publication, now
            )

    def _find_paused_models(
        self,
        publication: _commands.PublishVersion,
        endpoint: base.EndpointId,
        models: Sequence[base.ModelName],
    ) -> list[base.ModelName]:
        """Returns the models in service that the load pauses on the engine.

        An adapter pauses only itself; full weights pause all models.
        """
        if publication.base_model is not None:
            models = (publication.model,)
        return [m for m in models if self._swaps[endpoint, m].is_in_service]

    def _count_engines(
        self,
        reports_by_key: Mapping[SwapKey, _weights.EngineWeightReport],
        busy_endpoints: set[base.EndpointId],
    ) -> _AvailabilityCounts:
        counts = _AvailabilityCounts()
        for key, report in reports_by_key.items():
            if not self._swaps[key].is_in_service:
                continue
            counts.serving.update(_make_scopes(report))
            if report.endpoint in busy_endpoints:
                counts.unavailable.update(_make_scopes(report))
        return counts

    def _may_pause(
        self, counts: _AvailabilityCounts, scopes: Sequence[Scope]
    ) -> bool:
        return all(
            counts.unavailable[scope]
            < self._cfg.max_unavailable(counts.serving[scope])
            for scope in scopes
        )


def _make_scopes(report: _weights.EngineWeightReport) -> tuple[Scope, Scope]:
    return (report.model, None), (report.model, report.failure_domain)


def _has_base_loaded(
    reports_by_key: Mapping[SwapKey, _weights.EngineWeightReport],
    endpoint: base.EndpointId,
    publication: _commands.PublishVersion,
) -> bool:
    """Returns whether the base model of an adapter is loaded.

    A base model without a report, such as one never published, is assumed to
    be loaded.
    """
    if publication.base_model is None:
        return True
    base_report = reports_by_key.get((endpoint, publication.base_model))
    return base_report is None or base_report.version is not None
