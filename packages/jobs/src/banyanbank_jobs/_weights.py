"""Decides which engine loads which weights, and when.

Each engine serves one trainer's model where there are enough of them: loads
cost time, and a model's cached prompts are lost with them. Engines of a model
are changed a few at a time, so that the others go on serving.
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
    """Keeps which engine serves which model, and plans loads."""

    def __init__(self) -> None:
        self._model_of: dict[base.EndpointId, str] = {}

    def plan(
        self,
        engines: collections.abc.Sequence[_engines.EngineView],
        newest: collections.abc.Mapping[str, int],
        needed: collections.abc.Mapping[str, int],
        demand: collections.abc.Mapping[str, float],
    ) -> list[LoadOrder]:
        """Returns the loads to order now.

        Args:
            engines: Engines that are believed to run.
            newest: Newest published version of each model.
            needed: Oldest version that open jobs of a model allow.
            demand: Work of each model, in any one unit.
        """
        ready = [view for view in engines if view.is_ready]
        self._assign(ready, newest, demand)
        under_way = sum(bool(view.loading) for view in engines)
        orders: list[LoadOrder] = []
        for model in sorted(newest):
            own = [
                view
                for view in ready
                if self._model_of.get(view.endpoint) == model
                or len(ready) < len(newest)
            ]
            room = loads_at_once(len(engines)) - under_way - len(orders)
            orders.extend(
                _loads_of(model, newest[model], needed.get(model, 0), own)[
                    : max(0, room)
                ]
            )
        return orders

    def assigned(self) -> dict[base.EndpointId, str]:
        """Returns the model of each engine."""
        return dict(self._model_of)

    def _assign(
        self,
        ready: collections.abc.Sequence[_engines.EngineView],
        newest: collections.abc.Mapping[str, int],
        demand: collections.abc.Mapping[str, float],
    ) -> None:
        """Gives each engine a model, in proportion to the models' work."""
        views = {view.endpoint: view for view in ready}
        self._model_of = {
            endpoint: model
            for endpoint, model in self._model_of.items()
            if endpoint in views and model in newest
        }
        if not newest or not ready:
            return
        wanted = share_engines(
            len(ready), {m: demand.get(m, 0) for m in newest}
        )
        counts = collections.Counter(self._model_of.values())
        for view in ready:
            if view.endpoint in self._model_of:
                continue
            short = [m for m in wanted if counts[m] < wanted[m]] or [*wanted]
            model = min(short, key=lambda m: (_behind(view, m, newest), m))
            self._model_of[view.endpoint] = model
            counts[model] += 1
        self._move_one(views, newest, demand, wanted)

    def _move_one(
        self,
        views: collections.abc.Mapping[base.EndpointId, _engines.EngineView],
        newest: collections.abc.Mapping[str, int],
        demand: collections.abc.Mapping[str, float],
        wanted: collections.abc.Mapping[str, int],
    ) -> None:
        """Moves an engine to another model where that pays for the load."""
        counts = collections.Counter(self._model_of.values())
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
        moved = min(
            (name for name, m in self._model_of.items() if m == source),
            key=lambda name: (_behind(views[name], to, newest), name),
        )
        self._model_of[moved] = to


def loads_at_once(engines: int) -> int:
    """Returns how many of a number of engines may load at once."""
    return max(1, int(LOADING_SHARE * engines))


def share_engines(
    engines: int, demand: collections.abc.Mapping[str, float]
) -> dict[str, int]:
    """Shares engines out to models in proportion to their work.

    Each model gets one while there are enough; each further engine goes where
    the work for each engine is largest.

    Args:
        engines: Number of engines.
        demand: Work of each model.
    """
    shares = collections.Counter(dict.fromkeys(demand, 0))
    for _ in range(engines):
        model = max(demand, key=lambda m: (_pressure(demand, shares, m), m))
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


def _loads_of(
    model: str,
    newest: int,
    needed: int,
    own: collections.abc.Sequence[_engines.EngineView],
) -> list[LoadOrder]:
    """Returns the loads of one model's engines, most urgent first.

    Engines that no open job can use load together. Of the rest, half are
    brought to the newest version; the other half goes on with the one before
    it and skips a load, which for as long as it lasts costs an engine's whole
    work.
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
    more = half - newest_already - loading - len(useless)
    chosen = [*useless, *useful[: max(0, more)]]
    return [LoadOrder(view.endpoint, model, newest) for view in chosen]
