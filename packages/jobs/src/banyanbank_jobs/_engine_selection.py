"""Chooses engines for items at one point in time."""

import collections.abc

import banyanbank_base as base

from banyanbank_jobs import _engines
from banyanbank_jobs import _item_progress

LOAD_COST = 0.5
"""Cost of a fully loaded engine, in units of the shortest event interval."""

PREFIX_MISS_COST = 0.25
"""Cost of processing a prompt prefix that another engine has cached.

In the same unit as `LOAD_COST`.
"""

COLD_COST = 1.0
"""Cost of a cold engine, in the same unit: until its own event intervals are
known, it counts as an engine of half the speed."""

CONTINUE_GRACE_S = 1.0
"""Time for which a text of one version waits for a suspect engine that could
continue it, before it is begun anew elsewhere."""

FindServices = collections.abc.Callable[
    [_item_progress.ItemProgress], collections.abc.Sequence[str]
]
"""Returns the services that the route of an item allows now, the preferred one
first; empty if its route is gone."""


class EngineSelection:
    """Engines at one point in time, and the slots that are left on them.

    Args:
        health: Speed and recent failures of the engines.
        find_services: Returns the services that may run an item.
        engines: All engines that are considered alive.
        running_on: Returns the number of items that run on an engine.
        now: Current time.
    """

    def __init__(
        self,
        health: _engines.EngineHealth,
        find_services: FindServices,
        engines: collections.abc.Iterable[_engines.EngineView],
        running_on: collections.abc.Callable[[base.EndpointId], int],
        now: float,
    ) -> None:
        self._health = health
        self._find_services = find_services
        self._now = now
        self._by_service: dict[str, list[_engines.EngineView]] = {}
        self._free: dict[base.EndpointId, int] = {}
        self._idle: set[base.EndpointId] = set()
        for view in engines:
            self._by_service.setdefault(view.service, []).append(view)
            running = running_on(view.endpoint)
            self._free[view.endpoint] = view.count_free(running)
            if not running:
                self._idle.add(view.endpoint)

    def take_slot(self, endpoint: base.EndpointId) -> None:
        """Records that an item is to run on an engine."""
        self._free[endpoint] -= 1
        self._idle.discard(endpoint)

    def permitted(
        self, item: _item_progress.ItemProgress, continues_text: bool = True
    ) -> list[_engines.EngineView]:
        """Returns the engines of one service that may run an item.

        The service is the preferred one of the item's route, unless none of
        its engines is healthy and may run the item.

        Args:
            item: Item to run.
            continues_text: Whether the engines continue the text so far.
        """
        fallback: list[_engines.EngineView] = []
        for service in self._find_services(item):
            views = [
                view
                for view in self._by_service.get(service, ())
                if may_run(item, view, continues_text)
            ]
            if any(self._is_healthy(view) for view in views):
                return views
            fallback = fallback or views
        return fallback

    def must_restart(
        self,
        item: _item_progress.ItemProgress,
        permitted: collections.abc.Iterable[_engines.EngineView],
    ) -> bool:
        """Whether a text of one version has to be begun anew.

        Engines never return to an earlier version, so a text that none of them
        can continue would wait until its item is given up.

        Args:
            item: Item whose text may be continued.
            permitted: Engines that may continue it.
        """
        if not (item.job.is_single_version and item.text.pieces):
            return False
        return not any(
            self._now < item.not_before + CONTINUE_GRACE_S
            or self._is_healthy(view)
            for view in permitted
        )

    def choose(
        self,
        permitted: collections.abc.Sequence[_engines.EngineView],
        prefix_engine: base.EndpointId | None,
    ) -> _engines.EngineView | None:
        """Returns the best engine with a free slot, or None.

        Args:
            permitted: Engines that may run the item.
            prefix_engine: Engine that has cached the item's prompt prefix.
        """
        healthy = self._healthy_with_slots(permitted)
        if not healthy:
            return self._choose_probe(permitted)
        shortest_interval_s = min(map(self._event_interval_s, healthy))

        def cost(view: _engines.EngineView) -> float:
            used = 1 - self._free[view.endpoint] / max(1, view.slots)
            is_prefix_miss = view.endpoint != prefix_engine
            return (
                self._event_interval_s(view) / shortest_interval_s
                + LOAD_COST * used
                + PREFIX_MISS_COST * is_prefix_miss
                + COLD_COST * view.is_cold
            )

        return min(healthy, key=cost)

    def choose_faster(
        self,
        permitted: collections.abc.Iterable[_engines.EngineView],
        max_interval_s: float,
    ) -> _engines.EngineView | None:
        """Returns the fastest engine with a free slot, or None.

        Args:
            permitted: Engines that may run the item.
            max_interval_s: Bound on the engine's time between events.
        """
        faster = [
            view
            for view in self._healthy_with_slots(permitted)
            if self._event_interval_s(view) < max_interval_s
            and not view.is_cold
        ]
        return min(faster, key=self._event_interval_s, default=None)

    def _choose_probe(
        self, permitted: collections.abc.Sequence[_engines.EngineView]
    ) -> _engines.EngineView | None:
        """Returns an idle suspect engine if no healthy one may run the item.

        What all engines failed at may be the connections to them, so waiting
        for the end of every backoff would stop the job.
        """
        if any(self._is_healthy(view) for view in permitted):
            return None
        for view in permitted:
            if (
                view.endpoint in self._idle
                and self._free[view.endpoint] > 0
                and self._health.may_probe(view.endpoint, self._now)
            ):
                return view
        return None

    def _healthy_with_slots(
        self, views: collections.abc.Iterable[_engines.EngineView]
    ) -> list[_engines.EngineView]:
        return [
            view
            for view in views
            if self._free[view.endpoint] > 0 and self._is_healthy(view)
        ]

    def _is_healthy(self, view: _engines.EngineView) -> bool:
        return not self._health.is_suspect(view.endpoint, self._now)

    def _event_interval_s(self, view: _engines.EngineView) -> float:
        return self._health.mean_event_interval_s(view.endpoint)


def may_run(
    item: _item_progress.ItemProgress,
    view: _engines.EngineView,
    continues_text: bool = True,
) -> bool:
    """Whether an engine accepts an item and holds a permitted version.

    Args:
        item: Item to run.
        view: State of the engine.
        continues_text: Whether the engine continues the text so far.
    """
    if not view.is_ready:
        return False
    model = item.job.model
    if not model:
        return True
    if model in view.loading:
        return False
    version = view.versions.get(model)
    if version is None or version < item.job.least_version:
        return False
    if continues_text and item.job.is_single_version and item.text.versions:
        return item.text.versions == {version}
    return True
