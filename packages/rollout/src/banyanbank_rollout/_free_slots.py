"""Free rollout streams of the engines, as the scheduler counts them."""

from collections.abc import Sequence
import heapq

import banyanbank_base as base

from banyanbank_rollout import _ledger
from banyanbank_rollout import _views


class FreeSlots:
    """Counts which engines can take one more attempt.

    An attempt that is still queued is charged to the engine with the most
    room, as the dispatcher is expected to send it there.

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
        """Streams of all engines, free or not."""

    def occupy(self, endpoint: base.EndpointId) -> None:
        """Takes in an attempt that an engine runs."""
        if endpoint in self._free:
            self._free[endpoint] -= 1

    def has_room(self, model: base.ModelName) -> bool:
        """Tells whether any engine can take one more attempt."""
        heap = self._heaps.get(model)
        return heap is not None and self._settle(heap) > 0

    def take(self, model: base.ModelName) -> bool:
        """Charges one more attempt; False when no engine has room."""
        if not self.has_room(model):
            return False
        self._free[self._heaps[model][0][1]] -= 1
        return True

    def _settle(self, heap: list[tuple[int, base.EndpointId]]) -> int:
        """Corrects the top of a heap and returns its free streams."""
        while True:
            counted, endpoint = heap[0]
            free = self._free[endpoint]
            if -counted == free:
                return free
            heapq.heapreplace(heap, (-free, endpoint))


def freshest(
    engines: Sequence[_views.EngineView],
) -> dict[base.ModelName, base.WeightVersion]:
    """Returns the newest version that takes new work, by model."""
    freshest: dict[base.ModelName, base.WeightVersion] = {}
    for engine in engines:
        if engine.slots <= 0:
            continue
        for model, version in zip(engine.models, engine.versions, strict=True):
            freshest[model] = max(version, freshest.get(model, version))
    return freshest


def charge(
    ledger: _ledger.Ledger,
    live: Sequence[_views.AttemptView],
    engines: Sequence[_views.EngineView],
) -> FreeSlots:
    """Returns the free streams after all attempts that still generate."""
    free = FreeSlots(engines)
    queued = []
    for attempt in live:
        if attempt.phase is not _views.AttemptPhase.RUNNING:
            continue
        if attempt.engine is None:
            queued.append(attempt.slot)
        else:
            free.occupy(attempt.engine)
    for slot in queued:
        step = ledger.tables.steps.get((slot.trainer, slot.step))
        if step is not None:
            free.take(step.model)
    return free
