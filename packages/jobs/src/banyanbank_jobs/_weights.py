"""Decides which engine loads which weights, and when.

Each engine serves one trainer's model where there are enough of them: loads
cost time, and a model's cached prompts are lost with them. Engines of a model
are changed a few at a time, so that the others go on serving.
"""

import collections
import collections.abc

import attrs
import banyanbank_base as base

from banyanbank_jobs import _engines

LOADS_AT_ONCE = 2
"""Engines that may load at once; the weight store slows down beyond it."""


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
    ) -> list[LoadOrder]:
        """Returns the loads to order now.

        Args:
            engines: Engines that are believed to run.
            newest: Newest published version of each model.
            needed: Oldest version that open jobs of a model allow.
        """
        ready = [view for view in engines if view.is_ready]
        self._assign(ready, newest)
        under_way = sum(bool(view.loading) for view in engines)
        orders: list[LoadOrder] = []
        for model in sorted(newest):
            own = [
                view
                for view in ready
                if self._model_of.get(view.endpoint) == model
                or len(ready) < len(newest)
            ]
            room = LOADS_AT_ONCE - under_way - len(orders)
            orders.extend(
                _loads_of(model, newest[model], needed.get(model, 0), own)[
                    : max(0, room)
                ]
            )
        return orders

    def _assign(
        self,
        ready: collections.abc.Sequence[_engines.EngineView],
        newest: collections.abc.Mapping[str, int],
    ) -> None:
        """Gives each engine a model and keeps the numbers even."""
        present = {view.endpoint for view in ready}
        self._model_of = {
            endpoint: model
            for endpoint, model in self._model_of.items()
            if endpoint in present and model in newest
        }
        if not newest:
            return
        for view in ready:
            if view.endpoint not in self._model_of:
                self._model_of[view.endpoint] = self._best_model(view, newest)
        self._even_out(newest)

    def _best_model(
        self,
        view: _engines.EngineView,
        newest: collections.abc.Mapping[str, int],
    ) -> str:
        """Returns the model with the fewest engines, or the best kept one."""
        counts = collections.Counter(self._model_of.values())

        def rank(model: str) -> tuple[int, int, str]:
            behind = newest[model] - view.versions.get(model, 0)
            return (counts[model], behind, model)

        return min(newest, key=rank)

    def _even_out(self, newest: collections.abc.Mapping[str, int]) -> None:
        counts = collections.Counter(
            dict.fromkeys(newest, 0)
            | collections.Counter(self._model_of.values())
        )
        while True:
            most = max(counts, key=lambda model: (counts[model], model))
            least = min(counts, key=lambda model: (counts[model], model))
            if counts[most] - counts[least] < 2:
                return
            moved = min(
                endpoint
                for endpoint, model in self._model_of.items()
                if model == most
            )
            self._model_of[moved] = least
            counts[most] -= 1
            counts[least] += 1


def _loads_of(
    model: str,
    newest: int,
    needed: int,
    own: collections.abc.Sequence[_engines.EngineView],
) -> list[LoadOrder]:
    """Returns the loads of one model's engines, most urgent first."""
    behind = [
        view
        for view in own
        if view.versions.get(model, newest) < newest and not view.loading
    ]
    # Engines that no open job can use come first.
    behind.sort(key=lambda view: (view.versions[model], view.endpoint))
    loading = sum(model in view.loading for view in own)
    is_served = any(
        view.versions.get(model, 0) >= needed and model not in view.loading
        for view in own
    )
    room = len(behind)
    if is_served:
        # The others go on serving meanwhile.
        room = max(1, len(own) // 2) - loading
    return [
        LoadOrder(view.endpoint, model, newest)
        for view in behind[: max(0, room)]
    ]
