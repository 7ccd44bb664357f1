"""The modelled system: entries, engine queues, callers and faults."""

import collections
import collections.abc
import functools
import itertools
import random

import banyanbank_base as base
import banyanbank_dispatch as dispatch
from returns import result

from banyanbank_bench import _callers
from banyanbank_bench import _engine
from banyanbank_bench import _entry
from banyanbank_bench import _fleet
from banyanbank_bench import _queues
from banyanbank_bench import _rollouts
from banyanbank_bench import _workload

REPORT_S = 1.0
REPORT_LAG_S = 0.5
RESEND_S = 1.0
TAKEOVER_S = 3.0
SWAP_S = 2.0
WAVE_S = 4.0
PATIENCE_S = 1800.0
HORIZON_S = 20_000.0


class Cluster:
    """One run of one policy on one workload."""

    def __init__(
        self, workload: _workload.Workload, policy: _workload.Policy, seed: int
    ) -> None:
        self.workload = workload
        self.policy = policy
        self.sim = _engine.Simulator()
        self.lookups: dict[str, list[tuple[float, float]]]
        self.lookups = collections.defaultdict(list)
        self.waits: dict[str, list[float]] = collections.defaultdict(list)
        self.tokens: collections.Counter[bool] = collections.Counter()
        self.wasted_tokens = 0.0
        self.refused = 0
        self._rng = random.Random(f"{seed} policy")
        self._callers = _callers.Callers(self, seed)
        self._numbers = itertools.count()
        self.queues = _queues.EngineQueues(policy)
        self._owners: dict[base.EndpointId, base.InstanceId | None] = {}
        self._jobs: dict[base.RequestId, _engine.Job] = {}
        domains = itertools.cycle(sorted(set(workload.engine_domains)))
        self.entries = [
            _entry.entry(number, next(domains), policy, self._rng)
            for number in range(workload.instances)
        ]
        self.rollouts = _rollouts.Rollouts(self, seed)
        self.fleet = _fleet.Fleet(self, seed)

    def run(self) -> None:
        """Runs until every trainer has taken its steps."""
        self._report(0.0)
        self.rollouts.start()
        self._callers.start()
        self.fleet.run()
        self.sim.after(self.workload.kill_at, self._kill)
        trainers = self.rollouts.trainers
        while not all(trainer.finished_at for trainer in trainers):
            self.sim.run(self.sim.now + 60.0)
            if self.sim.now > HORIZON_S:
                raise RuntimeError("A trainer waits for ever: samples lost.")
        self.sim.run(self.workload.day_s)

    def new_job(
        self,
        account: str,
        kind: dispatch.WorkKind,
        prompt: int,
        output: int,
        estimate: float,
        prefix: str = "",
    ) -> _engine.Job:
        """Builds a request that arrives now."""
        rid = base.RequestId(f"r{next(self._numbers)}")
        key_id, deadline = base.KeyId(""), self.sim.now + PATIENCE_S
        owner = base.AccountId(account)
        work = dispatch.Work(
            rid, owner, key_id, kind, estimate, deadline, prefix
        )
        return _engine.Job(work, prompt, output, self.sim.now)

    def submit(self, job: _engine.Job, delay: float = 0.0) -> None:
        """Sends a lookup to a random live instance, a sample to the leader."""
        live = [entry for entry in self.entries if entry.alive]
        is_led = job.start is not None and self.policy.scheduled
        entry = live[0] if is_led else self._rng.choice(live)
        job.entry = entry.number
        job.attempts += 1
        self._jobs[job.work.request_id] = job
        delay += self.workload.hop_s
        self.sim.after(delay, lambda: self._route(entry, job))

    def drop(self, job: _engine.Job) -> None:
        """Cancels a request wherever it is."""
        self._jobs.pop(job.work.request_id, None)
        if job.engine is not None:
            self._leave(job, ok=True)
        elif self.policy.owned:
            for engine_id in self.queues.engines:
                queue = self.queues[engine_id]
                queue.cancel(job.work.request_id)
                queue.finish(job.work.request_id, 0.0, self.sim.now)

    def swap(self, account: str, version: int) -> None:
        """Swaps new weights in, engine by engine."""
        for number, engine in enumerate(self.queues.live()):
            swap = functools.partial(engine.swap, SWAP_S, account, version)
            self.sim.after(number * WAVE_S, swap)

    def _route(self, entry: _entry.Entry, job: _engine.Job) -> None:
        if job.work.request_id not in self._jobs:
            return
        if not entry.alive:
            self.submit(job, RESEND_S)
            return
        engine_id = entry.choose(self.policy, self.queues, job, self.sim.now)
        if engine_id is None:
            self.submit(job, RESEND_S)
            return
        step = self._offer if self.policy.owned else self._reach
        self.sim.after(self.workload.hop_s, lambda: step(engine_id, job))

    def _offer(self, engine_id: base.EndpointId, job: _engine.Job) -> None:
        if job.work.request_id not in self._jobs:
            return
        answer = self.queues[engine_id].offer(job.work, self.sim.now)
        if isinstance(answer, result.Failure):
            self._failed(job, answer.failure().outcome)
        else:
            self._pump(engine_id)

    def _pump(self, engine_id: base.EndpointId) -> None:
        if engine_id in self.queues.frozen:
            return
        queue = self.queues[engine_id]
        while (work := queue.next(self.sim.now)) is not None:
            job = self._jobs[work.request_id]
            reach = functools.partial(self._reach, engine_id, job)
            self.sim.after(2 * self.workload.hop_s, reach)

    def _reach(self, engine_id: base.EndpointId, job: _engine.Job) -> None:
        if job.work.request_id not in self._jobs:
            return
        engine = self.queues.engines[engine_id]
        if engine.alive:
            engine.submit(job)
        else:
            self._failed(job, base.Outcome.NOT_RUN)

    def _leave(self, job: _engine.Job, *, ok: bool) -> None:
        """Takes a job off its engine and frees its slot."""
        engine = job.engine
        assert engine is not None
        job.endpoint_id = engine.endpoint_id
        engine.cancel(job)
        self._free(job, ok=ok)

    def _free(self, job: _engine.Job, *, ok: bool) -> None:
        rid, engine_id = job.work.request_id, job.endpoint_id
        entry = self.entries[job.entry]
        entry.router.note_done(rid, engine_id, ok, self.sim.now)
        if self.policy.owned:
            self.queues[engine_id].finish(rid, job.made, self.sim.now)
            self._pump(engine_id)

    def _failed(self, job: _engine.Job, outcome: base.Outcome) -> None:
        """Retries as the entry's policy says; samples go to the leader."""
        if job.start is not None:
            self._jobs.pop(job.work.request_id, None)
            self.rollouts.failed(job)
            return
        decision = self.entries[job.entry].retries.decide(
            attempts=job.attempts,
            outcome=outcome,
            idempotent=True,
            deadline=job.work.deadline,
            now=self.sim.now,
        )
        if isinstance(decision, dispatch.Retry):
            self.submit(job, decision.at - self.sim.now)
        else:
            self.refused += 1

    def _done(self, job: _engine.Job) -> None:
        engine = job.engine
        assert engine is not None
        job.endpoint_id, job.engine = engine.endpoint_id, None
        self._free(job, ok=True)
        del self._jobs[job.work.request_id]
        self.entries[job.entry].retries.note_first_attempt()
        self.tokens[engine.rented.reclaimable] += job.output_tokens
        wait = job.started_at - job.submitted_at
        if job.start is not None:
            self.waits[job.work.account].append(wait)
            self.rollouts.done(job)
        else:
            latency = self.sim.now - job.submitted_at
            self.lookups[job.work.account].append((wait, latency))
            self.fleet.lookup_tokens += job.output_tokens

    def add_engine(self, rented: _fleet.Rented) -> None:
        """Takes a started engine in; it has loaded the newest weights."""
        engine = _engine.Engine(
            self.sim, rented, self.workload.engine, self._done
        )
        for trainer in self.rollouts.trainers:
            engine.versions[trainer.trainer_id] = trainer.version
        self.queues.add(engine)
        self._own(rented.endpoint_id)
        self.fleet_changed()

    def fleet_changed(self) -> None:
        """Entries hear at once which engines get no new work."""
        self.queues.changed()
        for entry in self.entries:
            entry.views = {
                engine_id: view
                for engine_id, view in entry.views.items()
                if self.queues.is_open(engine_id)
            }

    def stop_new_work(self, engine_id: base.EndpointId) -> None:
        """Closes the queue of an engine that is to be reclaimed."""
        if engine_id in self.queues:
            self.hand_back(engine_id)
            self.queues[engine_id].retire()

    def hand_back(self, engine_id: base.EndpointId) -> None:
        """Sends what waits for an engine elsewhere."""
        queue = self.queues[engine_id]
        for work in queue.waiting():
            queue.cancel(work.request_id)
            self.submit(self._jobs[work.request_id])

    def end_engine(self, engine_id: base.EndpointId) -> None:
        """Stops an engine; what runs on it breaks."""
        engine = self.queues.engines.get(engine_id)
        if engine is None:
            return
        engine.alive = False
        self.stop_new_work(engine_id)
        for job in engine.jobs():
            self._leave(job, ok=False)
            self._failed(job, base.Outcome.MAY_HAVE_RUN)
        self.fleet_changed()

    def _report(self, lag: float = REPORT_LAG_S) -> None:
        """Engines report their load; entries hear of it later."""
        views = [self.queues.view(e, self.sim.now) for e in self.queues.live()]
        self.sim.after(lag, lambda: self._hear(views))
        self.sim.after(REPORT_S, self._report)
        self.rollouts.decide_soon()

    def _hear(self, views: list[dispatch.Candidate]) -> None:
        for entry in self.entries:
            entry.views = {
                view.endpoint_id: view
                for view in views
                if self.queues.is_open(view.endpoint_id)
            }

    def _kill(self) -> None:
        """Kills an instance: its streams break, its queues move.

        Entries see the broken connection at once and send elsewhere what the
        owner had not granted.
        """
        entry = self.entries[1]
        entry.alive = False
        for engine in self.queues.live():
            for job in engine.jobs():
                if job.entry == entry.number:
                    self._leave(job, ok=True)
                    self._resend(job)
        for engine_id, owner in self._owners.items():
            if owner == _instance(entry.number):
                self.queues.frozen.add(engine_id)
                self.hand_back(engine_id)
                take_over = functools.partial(self._take_over, engine_id)
                self.sim.after(TAKEOVER_S, take_over)

    def _resend(self, job: _engine.Job) -> None:
        if job.start is not None:
            self._failed(job, base.Outcome.MAY_HAVE_RUN)
            return
        self.wasted_tokens += job.made
        job.stretches = {}
        self.submit(job, RESEND_S)

    def _take_over(self, engine_id: base.EndpointId) -> None:
        """The next owner hears from entries what waits and what runs."""
        self.queues.move(engine_id, self.sim.now)
        self._own(engine_id)
        self._pump(engine_id)

    def _own(self, engine_id: base.EndpointId) -> None:
        live = [_instance(e.number) for e in self.entries if e.alive]
        self._owners[engine_id] = dispatch.rendezvous_owner(engine_id, live)


def _instance(number: int) -> base.InstanceId:
    return base.InstanceId(f"i{number}")
