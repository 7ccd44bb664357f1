"""The leader that runs samples by the real ledger and scheduler."""

import random
import typing

import attrs
import banyanbank_base as base
import banyanbank_dispatch as dispatch
import banyanbank_rollout as rollout

from banyanbank_bench import _engine
from banyanbank_bench import _trainer

if typing.TYPE_CHECKING:
    from banyanbank_bench import _cluster

PROMPT_TOKENS = 1500
ESTIMATE_TOKENS = 500.0
DECIDE_S = 0.5
GRADE_S = 0.05


class Rollouts:
    """The leader's part: it drives the ledger and the sample scheduler."""

    def __init__(self, cluster: "_cluster.Cluster", seed: int) -> None:
        self.cluster = cluster
        self.ledger = rollout.Ledger()
        self.staleness: list[int] = []
        self.trainers = [
            _trainer.Trainer(self, number, seed)
            for number in range(cluster.workload.trainers)
        ]
        speculation = rollout.SpeculationCfg(extra_share=0.0)
        self._scheduler = rollout.SampleScheduler(
            random.Random(f"{seed} scheduler"),
            rollout.SchedulerCfg(
                speculation, use_forecasts=cluster.policy.scheduled > 0
            ),
        )
        self._jobs: dict[str, _engine.Job] = {}
        self._is_due = False

    def start(self) -> None:
        """Lets every trainer ask for its first steps."""
        for trainer in self.trainers:
            trainer.next_session()

    def apply(self, command: rollout.LedgerCommand) -> rollout.LedgerReply:
        """Applies a command to the ledger."""
        self.ledger, reply = self.ledger.apply(command)
        return reply

    def submit(self, trainer: _trainer.Trainer, step: int) -> None:
        """Takes in the groups of a step."""
        shape = self.cluster.workload
        for group in range(shape.groups):
            name = f"{trainer.trainer_id}/{step}/{group}"
            self.apply(
                rollout.SubmitGroup(
                    trainer.trainer_id,
                    step,
                    group,
                    name,
                    trainer.model,
                    b"",
                    shape.group_size,
                    shape.groups,
                    shape.staleness_bound,
                )
            )
        self.decide()

    def publish(self, trainer: _trainer.Trainer) -> None:
        """Announces weights and lets the engines swap."""
        version = base.WeightVersion(trainer.version)
        self.apply(
            rollout.PublishVersion(
                trainer.model, version, trainer.trainer_id, "store", 1
            )
        )
        self.cluster.swap(trainer.model, version)

    def delivered(self, batch: rollout.BatchFetched) -> None:
        """Notes how stale the samples of a batch are."""
        self.staleness.extend(
            batch.newest_version - min(s.version for s in entry.stretches)
            for entry in batch.entries
        )

    def done(self, job: _engine.Job) -> None:
        """Grades and records a sample."""
        job.phase = rollout.AttemptPhase.RECORDING
        self.cluster.sim.after(GRADE_S, lambda: self._record(job))

    def failed(self, job: _engine.Job, *, failed: bool = True) -> None:
        """Hears that an attempt ended without its sample."""
        assert job.start is not None
        if self._jobs.pop(job.start.attempt_id, None) is None:
            return
        resumes = self.cluster.policy.scheduled > 0
        view = self._view(job, resumes)
        now = self.cluster.sim.now
        self._scheduler.record_attempt_end(view, now, failed=failed)
        if not resumes:
            self.cluster.wasted_tokens += job.made
        self.decide_soon()

    def decide_soon(self) -> None:
        """Decides within a fixed time."""
        if not self._is_due:
            self._is_due = True
            self.cluster.sim.after(DECIDE_S, lambda: self.decide(due=True))

    def decide(self, *, due: bool = False) -> None:
        """Runs the scheduler once."""
        self._is_due = self._is_due and not due
        now = self.cluster.sim.now
        views = [self._view(job, True) for job in self._jobs.values()]
        effects = self._scheduler.decide(
            self.ledger, views, self._engine_views(), now
        )
        for effect in effects:
            match effect:
                case rollout.StartAttempt():
                    self._start(effect)
                case rollout.CancelAttempt():
                    self._cancel(effect)
                case rollout.ProposeBatch():
                    self._form(effect)

    def _start(self, start: rollout.StartAttempt) -> None:
        slot = start.slot
        trainer = next(t for t in self.trainers if t.trainer_id == slot.trainer)
        resume = start.resume_from
        made = 0 if resume is None else resume.token_count
        job = self.cluster.new_job(
            slot.trainer,
            dispatch.WorkKind.ROLLOUT,
            PROMPT_TOKENS,
            trainer.lengths[slot.step][slot.group][slot.index],
            ESTIMATE_TOKENS,
            f"{slot.trainer}/{slot.step}/{slot.group}",
        )
        job.start = start
        if resume is not None and made:
            job.stretches = {s.version: s.token_count for s in resume.stretches}
        self._jobs[start.attempt_id] = job
        self.cluster.submit(job)

    def _cancel(self, effect: rollout.CancelAttempt) -> None:
        job = self._jobs.get(effect.attempt_id)
        if job is None:
            return
        self.cluster.drop(job)
        if effect.export_kv:
            self.failed(job, failed=False)
            return
        del self._jobs[effect.attempt_id]
        self.cluster.wasted_tokens += job.made

    def _form(self, effect: rollout.ProposeBatch) -> None:
        for trainer in self.trainers:
            if trainer.trainer_id == effect.trainer:
                newest = base.WeightVersion(trainer.version)
                form = rollout.FormBatch(effect.trainer, effect.step, newest)
                self.apply(form)
                trainer.fetch()

    def _record(self, job: _engine.Job) -> None:
        start = job.start
        assert start is not None
        if self._jobs.pop(start.attempt_id, None) is None:
            return
        tokens = job.output_tokens
        record = rollout.RecordSample(
            start.slot,
            start.attempt_id,
            start.model,
            rollout.SampleBody.inline(b""),
            tokens,
            _stretches(job, tokens),
            1.0,
            job.endpoint_id,
            start.supersedes,
        )
        self.apply(record)
        steps = self.ledger.tables.steps
        step = steps.get((start.slot.trainer, start.slot.step))
        if step is not None and step.is_complete:
            self.decide()
        self.decide_soon()

    def _view(self, job: _engine.Job, resumes: bool) -> rollout.AttemptView:
        assert job.start is not None
        stretches = _stretches(job, int(job.made)) if resumes else ()
        return rollout.AttemptView(
            slot=job.start.slot,
            attempt_id=job.start.attempt_id,
            started_at=job.submitted_at,
            phase=job.phase,
            engine=None if job.engine is None else job.engine.endpoint_id,
            progress=rollout.ResumePoint(stretches) if stretches else None,
            supersedes=job.start.supersedes,
        )

    def _engine_views(self) -> list[rollout.EngineView]:
        models = tuple(trainer.model for trainer in self.trainers)
        return [
            rollout.EngineView(
                engine.endpoint_id,
                models,
                tuple(base.WeightVersion(engine.versions[m]) for m in models),
                self.cluster.queues.startable(engine),
                engine.rented.gone_at
                if self.cluster.policy.scheduled
                else None,
            )
            for engine in self.cluster.queues.live()
        ]


def _stretches(
    job: _engine.Job, tokens: int
) -> tuple[rollout.VersionStretch, ...]:
    """Rounds stretches to whole tokens that add up."""
    stretches, left = [], tokens
    for version, made in sorted(job.stretches.items(), reverse=True):
        count = min(left, round(made))
        if count:
            number = base.WeightVersion(version)
            stretches.append(rollout.VersionStretch(number, count))
        left -= count
    if left and stretches:
        last = stretches[-1]
        stretches[-1] = attrs.evolve(last, token_count=last.token_count + left)
    return tuple(reversed(stretches))
