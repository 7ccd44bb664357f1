"""Decides which engine loads which weights, and when.

Each engine serves two trainers' models where there are so many: while the
weights of one are changed, its slots run items of the other, and the burst with
which a step begins meets twice the slots. Each model more would cost loads that
no step needs. Engines of a model are changed a few at a time, so that the
others go on serving.
"""

import collections
import collections.abc
import math

import attrs
import banyanbank_base as base

from banyanbank_jobs import _engines

LOADING_SHARE = 0.4
"""Share of the engines that may load at once; the users' sheets name 2 of 5, 8
of 19 and 9 of 22 as what their weight stores bear."""


MODELS_EACH = 2
"""Models that an engine serves. With every second version loaded, an engine
loads as often as if it served one model and loaded every version."""

MOVE_GAIN = 0.8
"""An engine changes its model if the larger work falls below this share."""


@attrs.frozen
class LoadOrder:
    """An engine that is to load weights."""

    endpoint: base.EndpointId
    """The engine."""
    model: str
    """Model."""
    version: int
    """Version to load."""


class WeightPlanner:
    """Keeps which engine serves which models, and plans loads.

    Args:
        models_each: Models that an engine serves.
    """

    def __init__(self, models_each: int = MODELS_EACH) -> None:
        self._models_each = models_each
        self._models_of: dict[base.EndpointId, frozenset[str]] = {}

    def plan(
        self,
        engines: collections.abc.Sequence[_engines.EngineView],
        newest: collections.abc.Mapping[str, int],
        needed: collections.abc.Mapping[str, int],
        demand: collections.abc.Mapping[str, float],
    ) -> list[LoadOrder]:
        """Returns the loads to order now, at most one for each engine.

        Args:
            engines: Engines that are believed to run.
            newest: Newest published version of each model.
            needed: Oldest version that open jobs of a model allow.
            demand: Work of each model, in any one unit.
        """
        ready = [view for view in engines if view.is_ready]
        self._assign(ready, newest, demand)
        urgent: list[LoadOrder] = []
        useful: list[LoadOrder] = []
        for model in sorted(newest):
            own = [
                view
                for view in ready
                if model in self._models_of.get(view.endpoint, ())
                or len(ready) < len(newest)
            ]
            loads = _loads_of(model, newest[model], needed.get(model, 0), own)
            urgent.extend(loads.urgent)
            useful.extend(loads.useful)
        under_way = sum(bool(view.loading) for view in engines)
        room = max(0, loads_at_once(len(engines)) - under_way)
        orders: dict[base.EndpointId, LoadOrder] = {}
        for order in (*urgent, *useful):
            orders.setdefault(order.endpoint, order)
        return list(orders.values())[:room]

    def assigned(self) -> dict[base.EndpointId, frozenset[str]]:
        """Returns the models of each engine."""
        return dict(self._models_of)

    def _assign(
        self,
        ready: collections.abc.Sequence[_engines.EngineView],
        newest: collections.abc.Mapping[str, int],
        demand: collections.abc.Mapping[str, float],
    ) -> None:
        """Gives each engine its models, in proportion to the models' work."""
        views = {view.endpoint: view for view in ready}
        self._models_of = {
            endpoint: models.intersection(newest)
            for endpoint, models in self._models_of.items()
            if endpoint in views
        }
        if not newest or not ready:
            return
        each = min(self._models_each, len(newest))
        wanted = share_engines(
            each * len(ready),
            {m: demand.get(m, 0) for m in newest},
            most=len(ready),
        )
        counts = self._counts()
        for view in ready:
            models = self._models_of.get(view.endpoint, frozenset())
            while len(models) < each:
                others = [m for m in wanted if m not in models]
                short = [m for m in others if counts[m] < wanted[m]] or others
                model = min(short, key=lambda m: (_behind(view, m, newest), m))
                models |= {model}
                counts[model] += 1
            self._models_of[view.endpoint] = models
        self._move_one(views, newest, demand, wanted)

    def _move_one(
        self,
        views: collections.abc.Mapping[base.EndpointId, _engines.EngineView],
        newest: collections.abc.Mapping[str, int],
        demand: collections.abc.Mapping[str, float],
        wanted: collections.abc.Mapping[str, int],
    ) -> None:
        """Moves an engine to another model where that pays for the load."""
        counts = self._counts()
        short = [model for model in wanted if counts[model] < wanted[model]]
        ample = [model for model in wanted if counts[model] > wanted[model]]
        if not short or not ample:
            return
        to = max(short, key=lambda m: (_pressure(demand, counts, m), m))
        source = min(ample, key=lambda m: (_pressure(demand, counts, m), m))
        after = counts.copy()
        after[source] -= 1
        after[to] += 1
        worst = max(_pressure(demand, counts, m) for m in (to, source))
        if max(_pressure(demand, after, m) for m in (to, source)) > (
            MOVE_GAIN * worst
        ):
            return
        movable = [
            name
            for name, models in self._models_of.items()
            if source in models and to not in models
        ]
        if not movable:
            return
        moved = min(
            movable, key=lambda name: (_behind(views[name], to, newest), name)
        )
        self._models_of[moved] = self._models_of[moved] - {source} | {to}

    def _counts(self) -> collections.Counter[str]:
        """Returns the number of engines of each model."""
        return collections.Counter(
            model for models in self._models_of.values() for model in models
        )


def loads_at_once(engines: int) -> int:
    """Returns how many of a number of engines may load at once."""
    return max(1, int(LOADING_SHARE * engines))


def share_engines(
    engines: int,
    demand: collections.abc.Mapping[str, float],
    most: int | None = None,
) -> dict[str, int]:
    """Shares engines out to models in proportion to their work.

    Each model gets one while there are enough; each further engine goes where
    the work for each engine is largest.

    Args:
        engines: Number of engines.
        demand: Work of each model.
        most: Most engines of one model; None for no bound.
    """
    shares = collections.Counter(dict.fromkeys(demand, 0))
    for _ in range(engines):
        open_ = [m for m in demand if most is None or shares[m] < most]
        model = max(open_, key=lambda m: (_pressure(demand, shares, m), m))
        shares[model] += 1
    return dict(shares)


def _pressure(
    demand: collections.abc.Mapping[str, float],
    counts: collections.abc.Mapping[str, int],
    model: str,
) -> float:
    """Returns the work for each engine; endless for a model without one."""
    if not counts[model]:
        return math.inf
    return demand.get(model, 0) / counts[model]


def _behind(
    view: _engines.EngineView,
    model: str,
    newest: collections.abc.Mapping[str, int],
) -> int:
    """Returns how many versions an engine is behind."""
    return newest[model] - view.versions.get(model, 0)


@attrs.frozen
class _Loads:
    urgent: list[LoadOrder]
    useful: list[LoadOrder]


def _loads_of(
    model: str,
    newest: int,
    needed: int,
    own: collections.abc.Sequence[_engines.EngineView],
) -> _Loads:
    """Returns the loads of one model's engines.

    Engines that no open job can use load together, as a matter of urgency. Of
    the rest, half are brought to the newest version; the other half goes on
    with the one before it and skips a load.
    """
    behind = [
        view
        for view in own
        if view.versions.get(model, newest) < newest and not view.loading
    ]
    behind.sort(key=lambda view: (view.versions[model], view.endpoint))
    useless = [view for view in behind if view.versions[model] < needed]
    useful = [view for view in behind if view.versions[model] >= needed]
    half = len(own) // 2
    loading = sum(model in view.loading for view in own)
    newest_already = sum(view.versions.get(model) == newest for view in own)
    more = max(0, half - newest_already - loading - len(useless))
    return _Loads(
        [LoadOrder(view.endpoint, model, newest) for view in useless],
        [LoadOrder(view.endpoint, model, newest) for view in useful[:more]],
    )
