"""Assigns models to engines and plans loads of weights.

Each engine serves two models if there are several. While it replaces the
weights of one model, its slots run items of the other; and the burst of items
at the start of a step can use twice the slots. Further models per engine would
add loads that no step needs. Only a few engines load weights at a time, so that
the others keep serving.
"""

import collections
import collections.abc
import math

import attrs
import banyanbank_base as base

from banyanbank_jobs import _engines

MAX_LOADING_SHARE = 0.4
"""Maximum share of the engines that may load weights concurrently.

Weight stores of existing sites sustain loads of 2 of 5, 8 of 19 and 9 of 22
engines.
"""

MODELS_PER_ENGINE = 2
"""Number of models that an engine serves.

An engine loads every second version of each of its two models, so it loads as
often as an engine that serves one model and loads every version.
"""

MAX_REASSIGN_DEMAND_RATIO = 0.8
"""Maximum ratio of the peak demand per engine after and before a reassignment.

The peak is taken over the two affected models. An engine is reassigned only if
the ratio stays within this limit.
"""


@attrs.frozen
class LoadOrder:
    """Instruction to an engine to load weights."""

    endpoint: base.EndpointId
    """Name of the engine."""
    model: str
    """Name of the model."""
    version: int
    """Weight version to load."""


class WeightPlanner:
    """Assigns models to engines and plans their loads.

    Args:
        models_per_engine: Number of models that an engine serves.
    """

    def __init__(self, models_per_engine: int = MODELS_PER_ENGINE) -> None:
        self._models_per_engine = models_per_engine
        self._models_of: dict[base.EndpointId, frozenset[str]] = {}

    def plan(
        self,
        engines: collections.abc.Sequence[_engines.EngineView],
        newest: collections.abc.Mapping[str, int],
        needed: collections.abc.Mapping[str, int],
        demand: collections.abc.Mapping[str, float],
    ) -> list[LoadOrder]:
        """Returns the loads to start now, at most one for each engine.

        Args:
            engines: Engines that are considered alive.
            newest: Newest published version of each model.
            needed: Minimum version that the open jobs of a model accept.
            demand: Outstanding work of each model, in any common unit.
        """
        ready = [view for view in engines if view.is_ready]
        pools = _group_by_models(ready, newest)
        self._assign_models(pools, newest, demand)
        # Too few engines to spread the models over them.
        all_models = {
            view.endpoint
            for models, pool in pools.items()
            for view in pool
            if len(pool) < len(models)
        }
        urgent: list[LoadOrder] = []
        optional: list[LoadOrder] = []
        for model in sorted(newest):
            assigned_engines = [
                view
                for view in ready
                if model in self._models_of.get(view.endpoint, ())
                or (view.endpoint in all_models and model in view.versions)
            ]
            loads = _plan_model_loads(
                model, newest[model], needed.get(model, 0), assigned_engines
            )
            urgent.extend(loads.urgent)
            optional.extend(loads.optional)
        under_way = sum(bool(view.loading) for view in engines)
        available_loads = max(0, max_concurrent_loads(len(engines)) - under_way)
        orders: dict[base.EndpointId, LoadOrder] = {}
        for order in (*urgent, *optional):
            orders.setdefault(order.endpoint, order)
        return list(orders.values())[:available_loads]

    def assigned(self) -> dict[base.EndpointId, frozenset[str]]:
        """Returns the models assigned to each engine."""
        return dict(self._models_of)

    def _assign_models(
        self,
        pools: collections.abc.Mapping[
            frozenset[str], collections.abc.Sequence[_engines.EngineView]
        ],
        newest: collections.abc.Mapping[str, int],
        demand: collections.abc.Mapping[str, float],
    ) -> None:
        """Assigns each engine some of the models that it has."""
        self._models_of = {
            view.endpoint: models & self._models_of[view.endpoint]
            for models, pool in pools.items()
            for view in pool
            if view.endpoint in self._models_of
        }
        for models, pool in pools.items():
            self._assign_pool(pool, {m: newest[m] for m in models}, demand)

    def _assign_pool(
        self,
        ready: collections.abc.Sequence[_engines.EngineView],
        newest: collections.abc.Mapping[str, int],
        demand: collections.abc.Mapping[str, float],
    ) -> None:
        """Assigns models to engines in proportion to their demand."""
        views = {view.endpoint: view for view in ready}
        per_engine = min(self._models_per_engine, len(newest))
        wanted = share_engines(
            per_engine * len(ready),
            {m: demand.get(m, 0) for m in newest},
            max_per_model=len(ready),
        )
        counts = self._count_engines(views)
        for view in ready:
            models = self._models_of.get(view.endpoint, frozenset())
            while len(models) < per_engine:
                others = [m for m in wanted if m not in models]
                under_assigned = [
                    m for m in others if counts[m] < wanted[m]
                ] or others
                model = min(
                    under_assigned,
                    key=lambda m: (_versions_behind(view, m, newest), m),
                )
                models |= {model}
                counts[model] += 1
            self._models_of[view.endpoint] = models
        self._reassign_one_engine(views, newest, demand, wanted)

    def _reassign_one_engine(
        self,
        views: collections.abc.Mapping[base.EndpointId, _engines.EngineView],
        newest: collections.abc.Mapping[str, int],
        demand: collections.abc.Mapping[str, float],
        wanted: collections.abc.Mapping[str, int],
    ) -> None:
        """Reassigns one engine if the lower peak demand justifies the load."""
        counts = self._count_engines(views)
        under_assigned = [
            model for model in wanted if counts[model] < wanted[model]
        ]
        over_assigned = [
            model for model in wanted if counts[model] > wanted[model]
        ]
        if not under_assigned or not over_assigned:
            return
        target = max(
            under_assigned,
            key=lambda m: (_demand_per_engine(demand, counts, m), m),
        )
        source = min(
            over_assigned,
            key=lambda m: (_demand_per_engine(demand, counts, m), m),
        )
        after = counts.copy()
        after[source] -= 1
        after[target] += 1
        demand_before = max(
            _demand_per_engine(demand, counts, m) for m in (target, source)
        )
        if max(
            _demand_per_engine(demand, after, m) for m in (target, source)
        ) > (MAX_REASSIGN_DEMAND_RATIO * demand_before):
            return
        movable = [
            name
            for name, models in self._models_of.items()
            if name in views and source in models and target not in models
        ]
        if not movable:
            return
        moved = min(
            movable,
            key=lambda name: (
                _versions_behind(views[name], target, newest),
                name,
            ),
        )
        self._models_of[moved] = self._models_of[moved] - {source} | {target}

    def _count_engines(
        self, engines: collections.abc.Iterable[base.EndpointId]
    ) -> collections.Counter[str]:
        """Returns how many of some engines are assigned to each model."""
        return collections.Counter(
            model
            for endpoint in engines
            for model in self._models_of.get(endpoint, ())
        )


def _group_by_models(
    engines: collections.abc.Iterable[_engines.EngineView],
    newest: collections.abc.Mapping[str, int],
) -> dict[frozenset[str], list[_engines.EngineView]]:
    """Groups engines by which of the published models they have."""
    pools: dict[frozenset[str], list[_engines.EngineView]] = {}
    for view in engines:
        models = frozenset(newest).intersection(view.versions)
        if models:
            pools.setdefault(models, []).append(view)
    return pools


def max_concurrent_loads(engines: int) -> int:
    """Returns how many of the engines may load weights concurrently."""
    return max(1, int(MAX_LOADING_SHARE * engines))


def share_engines(
    engines: int,
    demand: collections.abc.Mapping[str, float],
    max_per_model: int | None = None,
) -> dict[str, int]:
    """Divides engines among models in proportion to their demand.

    Each model gets one engine if there are enough. Each further engine goes to
    the model with the highest demand per engine.

    Args:
        engines: Number of engines.
        demand: Outstanding work of each model.
        max_per_model: Maximum number of engines of one model; None for no
            limit.

    Returns:
        Number of engines of each model.
    """
    shares = collections.Counter(dict.fromkeys(demand, 0))
    for _ in range(engines):
        candidates = [
            m
            for m in demand
            if max_per_model is None or shares[m] < max_per_model
        ]
        model = max(
            candidates, key=lambda m: (_demand_per_engine(demand, shares, m), m)
        )
        shares[model] += 1
    return dict(shares)


def _demand_per_engine(
    demand: collections.abc.Mapping[str, float],
    counts: collections.abc.Mapping[str, int],
    model: str,
) -> float:
    """Returns the demand per engine; infinite for a model without engines."""
    if not counts[model]:
        return math.inf
    return demand.get(model, 0) / counts[model]


def _versions_behind(
    view: _engines.EngineView,
    model: str,
    newest: collections.abc.Mapping[str, int],
) -> int:
    """Returns how many versions an engine is behind the newest one."""
    return newest[model] - view.versions.get(model, 0)


@attrs.frozen
class _LoadOrders:
    urgent: list[LoadOrder]
    optional: list[LoadOrder]


def _plan_model_loads(
    model: str,
    newest: int,
    needed: int,
    assigned_engines: collections.abc.Sequence[_engines.EngineView],
) -> _LoadOrders:
    """Returns the loads for the engines of one model.

    Loads of engines whose version no open job accepts are urgent. Of the other
    engines, enough load for half of all to reach the newest version; the rest
    keep serving an older one and skip a load.
    """
    outdated = [
        view
        for view in assigned_engines
        if view.versions.get(model, newest) < newest and not view.loading
    ]
    outdated.sort(key=lambda view: (view.versions[model], view.endpoint))
    below_needed = [view for view in outdated if view.versions[model] < needed]
    usable = [view for view in outdated if view.versions[model] >= needed]
    half = len(assigned_engines) // 2
    loading = sum(model in view.loading for view in assigned_engines)
    up_to_date_count = sum(
        view.versions.get(model) == newest for view in assigned_engines
    )
    more = max(0, half - up_to_date_count - loading - len(below_needed))
    return _LoadOrders(
        [LoadOrder(view.endpoint, model, newest) for view in below_needed],
        [LoadOrder(view.endpoint, model, newest) for view in usable[:more]],
    )
