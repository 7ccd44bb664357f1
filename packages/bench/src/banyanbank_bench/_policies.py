"""Policies under comparison; all decisions are those of the product."""

import functools
import itertools
import typing

import banyanbank_base as base
import banyanbank_dispatch as dispatch
from returns import result

from banyanbank_bench import _engine

if typing.TYPE_CHECKING:
    from banyanbank_bench import _cluster

OWNER_TAKEOVER_S = 3.0


class Policy(typing.Protocol):
    """Brings a job from its entry instance to an engine."""

    def route(self, entry: "_cluster.Entry", job: _engine.Job) -> None:
        """Sends a job on its way."""
        ...

    def done(self, job: _engine.Job, tokens: float) -> None:
        """Hears that a dispatched job ended, whole or not."""
        ...

    def instance_lost(self, entry: "_cluster.Entry") -> None:
        """Hears that an instance was killed."""
        ...

    def engine_leaving(self, engine: _engine.Engine) -> None:
        """Hears that an engine gets no new work."""
        ...

    def engine_joined(self, engine_id: base.EndpointId) -> None:
        """Hears that an engine takes work."""
        ...


class Direct:
    """Each entry sends straight to an engine, which keeps the only queue.

    Args:
        cluster: The parties.
        how: `round_robin`, `least_reported` or `independent`.
    """

    def __init__(self, cluster: "_cluster.Cluster", how: str) -> None:
        self._cluster = cluster
        self._how = how
        self._turns = [itertools.count(n) for n in range(len(cluster.entries))]

    def route(self, entry: "_cluster.Entry", job: _engine.Job) -> None:
        """Chooses at once and sends."""
        views = [v for v in entry.views.values() if not v.leaving]
        if self._how == "round_robin":
            turn = next(self._turns[entry.number])
            chosen = views[turn % len(views)].endpoint_id
        elif self._how == "least_reported":
            chosen = min(views, key=lambda v: v.load_tokens).endpoint_id
        else:
            chosen = self._cluster.choose(entry, job)
        self._cluster.send(chosen, job, hops=1)

    def done(self, job: _engine.Job, tokens: float) -> None:
        """Nothing is kept here."""

    def instance_lost(self, entry: "_cluster.Entry") -> None:
        """Nothing is kept here."""

    def engine_leaving(self, engine: _engine.Engine) -> None:
        """Nothing is kept here."""

    def engine_joined(self, engine_id: base.EndpointId) -> None:
        """Nothing is kept here."""


class Owned:
    """Each engine's queue is held by one instance, which grants its slots.

    An entry offers a job to the owner and, once granted, sends it to the
    engine itself, so the loss of an owner breaks no stream.

    Args:
        cluster: The parties.
        settings: Bounds of each queue.
    """

    def __init__(
        self,
        cluster: "_cluster.Cluster",
        settings: dispatch.QueueSettings,
    ) -> None:
        self._cluster = cluster
        self._settings = settings
        self._jobs: dict[base.RequestId, _engine.Job] = {}
        self._at: dict[base.RequestId, base.EndpointId] = {}
        self.queues: dict[base.EndpointId, dispatch.EngineQueue] = {}
        self._owners: dict[base.EndpointId, base.InstanceId] = {}
        self._frozen: set[base.EndpointId] = set()
        for engine_id in cluster.engines:
            self.engine_joined(engine_id)

    def engine_joined(self, engine_id: base.EndpointId) -> None:
        """Opens the queue of an engine at its owner."""
        self.queues[engine_id] = dispatch.EngineQueue(engine_id, self._settings)
        owner = dispatch.rendezvous_owner(engine_id, self._cluster.live_ids())
        assert owner is not None
        self._owners[engine_id] = owner

    def route(self, entry: "_cluster.Entry", job: _engine.Job) -> None:
        """Chooses an engine and offers the job to its owner."""
        chosen = self._cluster.choose(entry, job)
        self._cluster.sim.after(
            self._cluster.workload.hop_s, lambda: self._offer(chosen, job)
        )

    def _offer(self, engine_id: base.EndpointId, job: _engine.Job) -> None:
        now = self._cluster.sim.now
        answer = self.queues[engine_id].offer(job.work, now)
        if isinstance(answer, result.Failure):
            self._cluster.failed(job, answer.failure().outcome)
            return
        self._jobs[job.work.request_id] = job
        self._at[job.work.request_id] = engine_id
        self._pump(engine_id)

    def _pump(self, engine_id: base.EndpointId) -> None:
        if engine_id in self._frozen:
            return
        queue = self.queues[engine_id]
        while (work := queue.next(self._cluster.sim.now)) is not None:
            job = self._jobs[work.request_id]
            self._cluster.send(engine_id, job, hops=2)

    def done(self, job: _engine.Job, tokens: float) -> None:
        """Frees the slot and grants the next."""
        engine_id = self._at.pop(job.work.request_id, None)
        if engine_id is None:
            return
        del self._jobs[job.work.request_id]
        now = self._cluster.sim.now
        self.queues[engine_id].finish(job.work.request_id, tokens, now)
        self._pump(engine_id)

    def instance_lost(self, entry: "_cluster.Entry") -> None:
        """Rebuilds the queues it owned at their next owners."""
        for engine_id, owner in self._owners.items():
            if owner == entry.instance_id:
                self._frozen.add(engine_id)
                self._cluster.sim.after(
                    OWNER_TAKEOVER_S,
                    functools.partial(self._take_over, engine_id),
                )

    def _take_over(self, engine_id: base.EndpointId) -> None:
        """The next owner hears from entries what waits and what runs."""
        old = self.queues[engine_id]
        self.engine_joined(engine_id)
        queue = self.queues[engine_id]
        now = self._cluster.sim.now
        for work in old.running():
            queue.adopt(work, now)
        for work in old.waiting():
            queue.offer(work, now)
        self._frozen.discard(engine_id)
        self._pump(engine_id)

    def engine_leaving(self, engine: _engine.Engine) -> None:
        """Routes what waits for the engine anew."""
        for work in self.queues[engine.endpoint_id].retire():
            del self._at[work.request_id]
            job = self._jobs.pop(work.request_id)
            self._cluster.resubmit(job, 0.0)


NAMES = ("round_robin", "least_reported", "independent", "owned")


def make(cluster: "_cluster.Cluster", name: str) -> Policy:
    """Builds a policy by name."""
    if name in ("round_robin", "least_reported", "independent"):
        return Direct(cluster, name)
    slots = cluster.workload.engine.slots
    return Owned(cluster, dispatch.QueueSettings(slots, slots // 12))
