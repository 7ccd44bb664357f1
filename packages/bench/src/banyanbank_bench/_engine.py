"""Model of an engine: continuous batching, prefix cache, swaps, loss."""

import collections
import collections.abc
import heapq
import itertools

import attrs
import banyanbank_base as base
import banyanbank_dispatch as dispatch

from banyanbank_bench import _sim
from banyanbank_bench import _workload

PRIORITY = {
    dispatch.WorkKind.INTERACTIVE: 0,
    dispatch.WorkKind.TAIL: 1,
    dispatch.WorkKind.ROLLOUT: 2,
}


@attrs.define(eq=False)
class Job:
    """One request and its true cost, which no policy may read."""

    work: dispatch.Work
    prompt_tokens: int
    output_tokens: int
    on_done: collections.abc.Callable[["Job"], None]
    submitted_at: float = 0.0
    started_at: float = 0.0
    done_at: float = 0.0
    attempts: int = 0
    entry: int = -1
    engine: "Engine | None" = None
    domain: base.FailureDomain | None = None
    version: int = 0
    """Oldest weight version that produced a token."""
    finish_mark: float = 0.0
    """Engine progress, in tokens a sequence, at which it is whole."""


class Engine:
    """One engine; all sequences of its batch advance at the same rate."""

    def __init__(
        self,
        sim: _sim.Simulator,
        endpoint_id: base.EndpointId,
        domain: base.FailureDomain,
        spec: _workload.EngineSpec,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.domain = domain
        self.spec = spec
        self.alive = True
        self.versions: dict[str, int] = collections.defaultdict(int)
        self.load_tokens = 0.0
        self._sim = sim
        self._waiting: list[tuple[int, int, Job]] = []
        self._numbers = itertools.count()
        self._prefilling: Job | None = None
        self._batch: list[tuple[float, int, Job]] = []
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._progress = 0.0
        self._progress_at = 0.0
        self._paused = False
        self._plan = 0

    def submit(self, job: Job) -> None:
        """Takes a job in; it waits here when all slots are busy."""
        job.engine = self
        self.load_tokens += job.work.cost_tokens
        priority = PRIORITY[job.work.kind]
        heapq.heappush(self._waiting, (priority, next(self._numbers), job))
        self._prefill_next()

    def jobs(self) -> list[Job]:
        """Returns all jobs here."""
        held = [self._prefilling] if self._prefilling else []
        return held + [entry[2] for entry in self._waiting + self._batch]

    def cancel(self, job: Job) -> float:
        """Drops a job and returns the tokens it had generated."""
        self._advance()
        made = 0.0
        if any(entry[2] is job for entry in self._batch):
            made = job.output_tokens - (job.finish_mark - self._progress)
        elif job is self._prefilling:
            self._prefilling = None
        self._batch = [entry for entry in self._batch if entry[2] is not job]
        self._waiting = [e for e in self._waiting if e[2] is not job]
        heapq.heapify(self._batch)
        heapq.heapify(self._waiting)
        self._leave(job)
        self._prefill_next()
        self._replan()
        return made

    def crash(self) -> list[Job]:
        """Stops the engine and returns the jobs it held."""
        self.alive = False
        lost = self.jobs()
        for job in lost:
            self.cancel(job)
        self._cache.clear()
        return lost

    def pause(self, seconds: float) -> None:
        """Stands still for a weight swap."""
        self._advance()
        self._paused = True
        self._replan()
        self._sim.after(seconds, self._resume)

    def _resume(self) -> None:
        self._advance()
        self._paused = False
        self._replan()

    def _prefill_next(self) -> None:
        free = self.spec.slots - len(self._batch)
        if self._prefilling or not self._waiting or not self.alive or free <= 0:
            return
        self._advance()
        _, _, job = heapq.heappop(self._waiting)
        self._prefilling = job
        job.started_at = self._sim.now
        job.version = self.versions[job.work.account]
        cached = job.work.prefix in self._cache
        tokens = job.prompt_tokens * (0.1 if cached else 1.0)
        seconds = tokens / self.spec.prefill_tokens_per_s
        self._sim.after(seconds, lambda: self._join(job))
        self._replan()

    def _join(self, job: Job) -> None:
        if self._prefilling is not job:
            return
        self._advance()
        self._prefilling = None
        if job.work.prefix:
            self._cache[job.work.prefix] = None
            self._cache.move_to_end(job.work.prefix)
            if len(self._cache) > self.spec.cached_prefixes:
                self._cache.popitem(last=False)
        job.finish_mark = self._progress + job.output_tokens
        entry = (job.finish_mark, next(self._numbers), job)
        heapq.heappush(self._batch, entry)
        self._prefill_next()
        self._replan()

    def _rate(self) -> float:
        """Returns tokens a second of each sequence."""
        if self._paused or not self._batch:
            return 0.0
        rate = 1.0 / self.spec.step_time(len(self._batch))
        return rate * (self.spec.prefill_slowdown if self._prefilling else 1.0)

    def _advance(self) -> None:
        elapsed = self._sim.now - self._progress_at
        self._progress += elapsed * self._rate()
        self._progress_at = self._sim.now

    def _replan(self) -> None:
        self._plan += 1
        rate = self._rate()
        if rate == 0.0:
            return
        plan = self._plan
        seconds = max(0.0, (self._batch[0][0] - self._progress) / rate)
        self._sim.after(seconds, lambda: self._finish_first(plan))

    def _finish_first(self, plan: int) -> None:
        if plan != self._plan:
            return
        self._advance()
        _, _, job = heapq.heappop(self._batch)
        self._leave(job)
        job.done_at = self._sim.now
        job.domain = self.domain
        self._prefill_next()
        self._replan()
        job.on_done(job)

    def _leave(self, job: Job) -> None:
        job.engine = None
        self.load_tokens -= job.work.cost_tokens
