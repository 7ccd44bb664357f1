"""Free engine slots, as estimated by the scheduler."""

from collections.abc import Sequence
import heapq

import banyanbank_base as base

from banyanbank_rollout import _ledger
from banyanbank_rollout import _views


class FreeSlots:
    """Counts the free slots of each engine.

    A queued attempt takes a slot of the engine with the most free slots,
    since the dispatcher is expected to send it there.

    Args:
        engines: All engines that may run rollouts.
    """

    def __init__(self, engines: Sequence[_views.EngineView]) -> None:
        self._free = {engine.endpoint: engine.slots for engine in engines}
        self._heaps: dict[
            base.ModelName, list[tuple[int, base.EndpointId]]
        ] = {}
        for engine in engines:
            for model in engine.models:
                heap = self._heaps.setdefault(model, [])
                heap.append((-engine.slots, engine.endpoint))
        for heap in self._heaps.values():
            heapq.heapify(heap)
        self.total = sum(self._free.values())
        """Slots of all engines, free or occupied."""

    def record_running(self, endpoint: base.EndpointId) -> None:
        """Records an attempt that runs on an engine."""
        if endpoint in self._free:
            self._free[endpoint] -= 1

    def has_free_slot(self, model: base.ModelName) -> bool:
        """Returns whether any engine that serves the model has a free slot."""
        heap = self._heaps.get(model)
        return heap is not None and self._refresh_top(heap) > 0

    def reserve(self, model: base.ModelName) -> bool:
        """Reserves a slot for one attempt; False if no engine has one free."""
        if not self.has_free_slot(model):
            return False
        self._free[self._heaps[model][0][1]] -= 1
        return True

    def _refresh_top(self, heap: list[tuple[int, base.EndpointId]]) -> int:
        """Refreshes the top of a heap and returns its number of free slots."""
        while True:
            negated_free, endpoint = heap[0]
            free = self._free[endpoint]
            if -negated_free == free:
                return free
            heapq.heapreplace(heap, (-free, endpoint))


def find_newest_served(
    engines: Sequence[_views.EngineView],
) -> dict[base.ModelName, base.WeightVersion]:
    """Returns the newest version served on engines with slots, by model."""
    newest_served: dict[base.ModelName, base.WeightVersion] = {}
    for engine in engines:
        if engine.slots <= 0:
            continue
        for model, version in zip(engine.models, engine.versions, strict=True):
            newest_served[model] = max(
                version, newest_served.get(model, version)
            )
    return newest_served


def count_free_slots(
    ledger: _ledger.Ledger,
    live: Sequence[_views.AttemptView],
    engines: Sequence[_views.EngineView],
) -> FreeSlots:
    """Returns the engine slots not taken by queued or running attempts."""
    free = FreeSlots(engines)
    queued = []
    for attempt in live:
        if attempt.phase is not _views.AttemptPhase.RUNNING:
            continue
        if attempt.engine is None:
            queued.append(attempt.slot)
        else:
            free.record_running(attempt.engine)
    for slot in queued:
        step = ledger.tables.steps.get((slot.trainer, slot.step))
        if step is not None:
            free.reserve(step.model)
    return free
