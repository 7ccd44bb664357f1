"""Engines of a run, with their queues at the instances that own them."""

import banyanbank_base as base
import banyanbank_dispatch as dispatch

from banyanbank_bench import _engine
from banyanbank_bench import _workload

UNLIMITED = 1_000_000
LEAST_RESERVE = 4
"""Slots that samples never take."""


class EngineQueues:
    """All engines, which one is quick, and their queues.

    Args:
        policy: How many streams samples may take.
    """

    def __init__(self, policy: _workload.Policy) -> None:
        self.engines: dict[base.EndpointId, _engine.Engine] = {}
        self.frozen: set[base.EndpointId] = set()
        """Engines without an owner."""
        self._policy = policy
        self._queues: dict[base.EndpointId, dispatch.EngineQueue] = {}
        self._quick: base.EndpointId | None = None

    def __getitem__(self, engine_id: base.EndpointId) -> dispatch.EngineQueue:
        return self._queues[engine_id]

    def __contains__(self, engine_id: base.EndpointId) -> bool:
        return engine_id in self._queues

    def add(self, engine: _engine.Engine) -> None:
        """Takes a started engine in."""
        self.engines[engine.endpoint_id] = engine
        self._open(engine)

    def move(self, engine_id: base.EndpointId, now: float) -> None:
        """Lets the next owner go on with what runs."""
        old = self._queues[engine_id]
        self._open(self.engines[engine_id])
        for work in old.running():
            self._queues[engine_id].adopt(work, now)
        self.frozen.discard(engine_id)

    def changed(self) -> None:
        """Keeps one safe engine that stays quick for lookups."""
        self._quick = next(
            (
                engine.endpoint_id
                for engine in self.live()
                if not engine.rented.reclaimable and not engine.rented.draining
            ),
            None,
        )
        for engine in self.live():
            queue = self._queues[engine.endpoint_id]
            queue.set_slots(engine.spec.slots, self._reserve(engine))

    def live(self) -> list[_engine.Engine]:
        """Returns the engines that run."""
        return [engine for engine in self.engines.values() if engine.alive]

    def is_open(self, engine_id: base.EndpointId) -> bool:
        """Tells whether an engine takes new work."""
        engine = self.engines[engine_id]
        rented = engine.rented
        return engine.alive and rented.gone_at is None and not rented.draining

    def rollout_slots(self, engine: _engine.Engine) -> int:
        """Returns how many rollout streams an engine may run."""
        if engine.rented.gone_at is not None or engine.rented.draining:
            return 0
        policy = self._policy
        fast = policy.fast_slots and engine.endpoint_id == self._quick
        return policy.fast_slots if fast else policy.bulk_slots

    def startable(self, engine: _engine.Engine) -> int:
        """Returns how many samples the leader may have at an engine."""
        ahead = self._policy.scheduled
        return self.rollout_slots(engine) + ahead if ahead else UNLIMITED

    def running(self, engine_id: base.EndpointId) -> int:
        """Returns the requests that an engine holds or that wait for it."""
        engine = self.engines.get(engine_id)
        if engine is None:
            return 0
        queue = self._queues[engine_id]
        queued = len(queue.running()) + len(queue.waiting())
        return max(queued, len(engine.jobs()))

    def busy_share(self) -> float:
        """Returns the busy streams of all that may run."""
        engines = [e for e in self.live() if not e.rented.draining]
        slots = sum(engine.spec.slots for engine in engines)
        busy = sum(self.running(engine.endpoint_id) for engine in engines)
        return busy / max(slots, 1)

    def view(self, engine: _engine.Engine, now: float) -> dispatch.Candidate:
        """Returns what an engine and its owner report."""
        works = [job.work for job in engine.jobs()]
        works += self._queues[engine.endpoint_id].waiting()
        return dispatch.Candidate(
            engine.endpoint_id,
            engine.rented.domain,
            slots=engine.spec.slots,
            load_tokens=sum(work.cost_tokens for work in works),
            reported_at=now,
            tokens_per_s=engine.spec.peak_tokens_per_s(),
            requests=len(works),
            token_s=engine.token_s(),
        )

    def _open(self, engine: _engine.Engine) -> None:
        settings = dispatch.QueueSettings(
            engine.spec.slots, self._reserve(engine)
        )
        queue = dispatch.EngineQueue(engine.endpoint_id, settings)
        self._queues[engine.endpoint_id] = queue

    def _reserve(self, engine: _engine.Engine) -> int:
        return max(
            LEAST_RESERVE, engine.spec.slots - self.rollout_slots(engine)
        )
