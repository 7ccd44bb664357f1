"""The modelled system: entries, engines, callers, trainers and faults."""

import collections
import functools
import itertools
import random

import attrs
import banyanbank_base as base
import banyanbank_dispatch as dispatch

from banyanbank_bench import _engine
from banyanbank_bench import _policies
from banyanbank_bench import _sim
from banyanbank_bench import _trainer
from banyanbank_bench import _workload

REPORT_PERIOD_S = 1.0
REPORT_LAG_S = 0.5
NOTICE_S = 5.0
NOTICE_HEARD_S = 1.0
REPLACED_S = 120.0
RESEND_S = 1.0
SWAP_S = 2.0
WAVE_S = 4.0
LOOKUP_DEADLINE_S = 60.0
ROLLOUT_DEADLINE_S = 1800.0


class Entry:
    """One entry instance with its own router and its view of the engines."""

    def __init__(self, number: int, domain: str, rng: random.Random) -> None:
        self.number = number
        self.instance_id = base.InstanceId(f"i{number}")
        self.alive = True
        self.router = dispatch.Router(base.FailureDomain(domain), rng)
        self.retries = dispatch.RetryPolicy(rng)
        self.views: dict[base.EndpointId, dispatch.Candidate] = {}


@attrs.define
class Record:
    """Raw figures of one run."""

    lookups: dict[str, list[tuple[float, float]]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    """Wait and latency in seconds of each lookup, by account."""
    rollout_waits: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    """Seconds each sample waited, by account."""
    used_tokens: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    """Tokens delivered, by account."""
    wasted_tokens: float = 0.0
    """Tokens generated for attempts that were lost."""
    reclaimable_tokens: float = 0.0
    """Tokens delivered by reclaimable engines."""
    refused: int = 0
    """Lookups that got no answer."""


class Cluster:
    """One run of one policy on one workload."""

    def __init__(
        self, workload: _workload.Workload, policy: str, seed: int
    ) -> None:
        self.workload = workload
        self.sim = _sim.Simulator()
        self.record = Record()
        self._rng = random.Random(f"{seed} policy")
        self._load_rng = random.Random(f"{seed} load")
        self._numbers = itertools.count()
        self.engines = {
            base.EndpointId(f"e{number}"): self._new_engine(number, domain)
            for number, domain in enumerate(workload.engine_domains)
        }
        domains = sorted(set(workload.engine_domains))
        self.entries = [
            Entry(number, domains[number % len(domains)], self._rng)
            for number in range(workload.instances)
        ]
        self._report()
        self.policy = _policies.make(self, policy)
        self.trainers = [
            _trainer.Trainer(self, number, seed)
            for number in range(workload.trainers)
        ]
        self._versions: collections.Counter[str] = collections.Counter()

    def run(self) -> Record:
        """Runs until every trainer has taken its steps."""
        for trainer in self.trainers:
            trainer.start()
        if self.workload.lookups_per_s:
            self._next_lookup()
        self.sim.after(self.workload.reclaim_at, self._notice)
        self.sim.after(self.workload.kill_at, self._kill)
        horizon = 0.0
        while not all(trainer.finished for trainer in self.trainers):
            horizon += 60.0
            self.sim.run(horizon)
        return self.record

    def live_ids(self) -> list[base.InstanceId]:
        """Returns the live instances."""
        return [entry.instance_id for entry in self.entries if entry.alive]

    def submit(self, job: _engine.Job) -> None:
        """Takes a request in at a random live instance."""
        job.submitted_at = self.sim.now
        self.resubmit(job, self.workload.hop_s)

    def resubmit(self, job: _engine.Job, delay: float) -> None:
        """Sends a job to an instance, after a delay."""
        live = [entry for entry in self.entries if entry.alive]
        entry = self.entries[job.entry]
        if job.entry < 0 or not entry.alive:
            entry = self._rng.choice(live)
        job.entry = entry.number
        job.attempts += 1
        self.sim.after(delay, lambda: self._arrive(entry, job))

    def _arrive(self, entry: Entry, job: _engine.Job) -> None:
        if entry.alive:
            self.policy.route(entry, job)
        else:
            self.resubmit(job, RESEND_S)

    def choose(self, entry: Entry, job: _engine.Job) -> base.EndpointId:
        """Asks the entry's router for an engine."""
        query = dispatch.RouteQuery(
            cost_tokens=job.work.cost_tokens,
            prefix=job.work.prefix,
            prefix_tokens=job.prompt_tokens * 0.1,
        )
        views = list(entry.views.values())
        chosen = entry.router.choose(query, views, self.sim.now).unwrap()
        entry.router.note_sent(
            job.work.request_id, chosen.endpoint_id, query, self.sim.now
        )
        return chosen.endpoint_id

    def send(
        self, engine_id: base.EndpointId, job: _engine.Job, hops: int
    ) -> None:
        """Lets a job travel to an engine."""
        delay = hops * self.workload.hop_s
        self.sim.after(delay, lambda: self._reach(engine_id, job))

    def _reach(self, engine_id: base.EndpointId, job: _engine.Job) -> None:
        engine = self.engines[engine_id]
        if engine.alive:
            engine.submit(job)
        else:
            self._lost(engine_id, job, base.Outcome.NOT_RUN)

    def _lost(
        self, engine_id: base.EndpointId, job: _engine.Job, why: base.Outcome
    ) -> None:
        self.policy.done(job, 0.0)
        entry = self.entries[job.entry]
        rid = job.work.request_id
        entry.router.note_done(rid, engine_id, False, self.sim.now)
        self.failed(job, why)

    def failed(self, job: _engine.Job, outcome: base.Outcome) -> None:
        """Retries as the entry's policy says; the owner resends the rest."""
        decision = self.entries[job.entry].retries.decide(
            attempts=job.attempts,
            outcome=outcome,
            idempotent=job.work.idempotent,
            deadline=job.work.deadline,
            now=self.sim.now,
        )
        if isinstance(decision, dispatch.Retry):
            self.resubmit(job, decision.at - self.sim.now)
        elif job.work.kind is dispatch.WorkKind.INTERACTIVE:
            self.record.refused += 1
        else:
            job.attempts = 0
            self.resubmit(job, RESEND_S)

    def new_job(
        self,
        account: str,
        kind: dispatch.WorkKind,
        prompt: int,
        output: int,
        estimate: float,
        prefix: str = "",
    ) -> _engine.Job:
        """Builds a request; only its output length is hidden."""
        lookup = kind is dispatch.WorkKind.INTERACTIVE
        patience = LOOKUP_DEADLINE_S if lookup else ROLLOUT_DEADLINE_S
        work = dispatch.Work(
            request_id=base.RequestId(f"r{next(self._numbers)}"),
            account=base.AccountId(account),
            key_id=base.KeyId(f"key-{account}"),
            kind=kind,
            cost_tokens=estimate,
            deadline=self.sim.now + patience,
            prefix=prefix,
        )
        return _engine.Job(work, prompt, output, self._done)

    def _done(self, job: _engine.Job) -> None:
        self.policy.done(job, job.output_tokens)
        entry = self.entries[job.entry]
        entry.retries.note_first_attempt()
        for engine_id in self.engines:
            entry.router.note_done(
                job.work.request_id, engine_id, True, self.sim.now
            )
        account = job.work.account
        self.record.used_tokens[account] += job.output_tokens
        if job.domain == self.workload.reclaimed_domain:
            self.record.reclaimable_tokens += job.output_tokens
        wait = job.started_at - job.submitted_at
        if job.work.kind is dispatch.WorkKind.INTERACTIVE:
            latency = job.done_at - job.submitted_at
            self.record.lookups[account].append((wait, latency))
            return
        self.record.rollout_waits[account].append(wait)
        self.trainers[int(account[1:])].sample_done(job)

    def publish(self, account: str) -> None:
        """Swaps a trainer's new weights in, engine by engine."""
        self._versions[account] += 1
        version = self._versions[account]
        for number, engine_id in enumerate(list(self.engines)):
            self.sim.after(
                number * WAVE_S,
                functools.partial(self._swap, engine_id, account, version),
            )

    def version(self, account: str) -> int:
        """Returns the newest published version."""
        return self._versions[account]

    def _swap(
        self, engine_id: base.EndpointId, account: str, version: int
    ) -> None:
        engine = self.engines[engine_id]
        engine.versions[account] = max(version, engine.versions[account])
        if engine.alive:
            engine.pause(SWAP_S)

    def _next_lookup(self) -> None:
        rate = self.workload.lookups_per_s
        rate *= self.workload.callers_rate(self.sim.now)
        gap = self._load_rng.expovariate(rate)
        self.sim.after(gap, self._lookup)

    def _lookup(self) -> None:
        shares = self.workload.account_shares
        (number,) = self._load_rng.choices(range(len(shares)), shares)
        tokens = _workload.lookup_tokens(self._load_rng)
        kind = dispatch.WorkKind.INTERACTIVE
        self.submit(self.new_job(f"a{number}", kind, 300, tokens, 70.0))
        self._next_lookup()

    def _new_engine(self, number: int, domain: str) -> _engine.Engine:
        return _engine.Engine(
            self.sim,
            base.EndpointId(f"e{number}"),
            base.FailureDomain(domain),
            self.workload.engine,
        )

    def _report(self) -> None:
        """Engines report their load; entries hear of it later."""
        now = self.sim.now
        views = {
            engine_id: dispatch.Candidate(
                engine_id,
                engine.domain,
                slots=engine.spec.slots,
                load_tokens=engine.load_tokens,
                reported_at=now,
                tokens_per_s=engine.spec.peak_tokens_per_s(),
                reclaimable=engine.domain == self.workload.reclaimed_domain,
            )
            for engine_id, engine in self.engines.items()
            if engine.alive
        }
        self._hear(views) if now == 0.0 else self.sim.after(
            REPORT_LAG_S, lambda: self._hear(views)
        )
        self.sim.after(REPORT_PERIOD_S, self._report)

    def _hear(self, views: dict[base.EndpointId, dispatch.Candidate]) -> None:
        for entry in self.entries:
            leaving = {e for e, v in entry.views.items() if v.leaving}
            entry.views = {
                engine_id: attrs.evolve(view, leaving=engine_id in leaving)
                for engine_id, view in views.items()
            }

    def _notice(self) -> None:
        """A whole domain is to be reclaimed."""
        self.sim.after(NOTICE_HEARD_S, self._stop_new_work)
        self.sim.after(NOTICE_S, self._reclaim)

    def _reclaimed(self) -> list[_engine.Engine]:
        domain = self.workload.reclaimed_domain
        return [e for e in self.engines.values() if e.domain == domain]

    def _stop_new_work(self) -> None:
        for engine in self._reclaimed():
            for entry in self.entries:
                view = entry.views[engine.endpoint_id]
                leaving = attrs.evolve(view, leaving=True)
                entry.views[engine.endpoint_id] = leaving
            self.policy.engine_leaving(engine)

    def _reclaim(self) -> None:
        for engine in self._reclaimed():
            for job in engine.jobs():
                self.record.wasted_tokens += engine.cancel(job)
                self._lost(engine.endpoint_id, job, base.Outcome.MAY_HAVE_RUN)
            engine.alive = False
            self.sim.after(REPLACED_S, functools.partial(self._replace, engine))

    def _replace(self, engine: _engine.Engine) -> None:
        number = int(engine.endpoint_id[1:])
        fresh = self._new_engine(number, engine.domain)
        fresh.versions.update(self._versions)
        self.engines[engine.endpoint_id] = fresh
        for entry in self.entries:
            entry.views.pop(engine.endpoint_id, None)
            entry.router.forget(engine.endpoint_id)
        self.policy.engine_joined(engine.endpoint_id)

    def _kill(self) -> None:
        """Kills an instance: its streams break and are sent anew."""
        entry = self.entries[1]
        entry.alive = False
        for engine in self.engines.values():
            for job in [j for j in engine.jobs() if j.entry == entry.number]:
                self.record.wasted_tokens += engine.cancel(job)
                self.policy.done(job, 0.0)
                self.resubmit(job, RESEND_S)
        self.policy.instance_lost(entry)
