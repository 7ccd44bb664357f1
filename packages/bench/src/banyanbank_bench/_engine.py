"""Discrete-event loop and the model of an engine that runs on it."""

import collections
import collections.abc
import heapq
import itertools
import typing

import attrs
import banyanbank_base as base
import banyanbank_dispatch as dispatch
import banyanbank_rollout as rollout

if typing.TYPE_CHECKING:
    from banyanbank_bench import _fleet

Action = collections.abc.Callable[[], None]
PRIORITY = {kind: rank for rank, kind in enumerate(dispatch.WorkKind)}
CACHED_SHARE = 0.1
KV_IMPORT_S = 0.3


class Simulator:
    """Runs actions in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Action]] = []
        self._numbers = itertools.count()

    def after(self, seconds: float, action: Action) -> None:
        """Runs an action later."""
        entry = (self.now + seconds, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def run(self, until: float) -> None:
        """Runs until the time has come."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()


@attrs.frozen
class EngineSpec:
    """Speed and limits of one model engine."""

    slots: int = 48
    step_s: float = 0.020
    step_per_stream_s: float = 0.00025
    prefill_tokens_per_s: float = 8000.0
    prefill_slowdown: float = 0.7
    cached_prefixes: int = 64

    def token_s(self, batch: int) -> float:
        """Returns seconds between tokens of each stream of a batch."""
        return self.step_s + self.step_per_stream_s * batch

    def peak_tokens_per_s(self) -> float:
        """Returns tokens a second of a full batch."""
        return self.slots / self.token_s(self.slots)


@attrs.define(eq=False)
class Job:
    """One request; no policy may read its output length."""

    work: dispatch.Work
    prompt_tokens: int
    output_tokens: int
    submitted_at: float
    start: rollout.StartAttempt | None = None
    """The sample attempt; None for a lookup."""
    entry: int = -1
    attempts: int = 0
    engine: "Engine | None" = None
    started_at: float = -1.0
    stretches: dict[int, float] = attrs.field(factory=dict)
    """Tokens by the weight version that produced them."""
    finish_mark: float = 0.0
    """Progress of the engine at which it is whole."""
    phase: rollout.AttemptPhase = rollout.AttemptPhase.RUNNING
    endpoint_id: base.EndpointId = base.EndpointId("")  # noqa: RUF009
    """Engine that it was on last."""

    @property
    def made(self) -> float:
        """Tokens generated so far."""
        return sum(self.stretches.values())


class Engine:
    """All streams of its batch advance at the same rate."""

    def __init__(
        self,
        sim: Simulator,
        rented: "_fleet.Rented",
        spec: EngineSpec,
        on_done: collections.abc.Callable[[Job], None],
    ) -> None:
        self.endpoint_id = rented.endpoint_id
        self.rented = rented
        self.spec = spec
        self.alive = True
        self.versions: collections.Counter[str] = collections.Counter()
        self._sim = sim
        self._on_done = on_done
        self._queue: list[tuple[int, int, Job]] = []
        self._numbers = itertools.count()
        self._prefilling: Job | None = None
        self._batch: list[tuple[float, int, Job]] = []
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._progress = 0.0
        self._progress_at = 0.0
        self._paused = 0
        self._plan = 0

    def jobs(self) -> list[Job]:
        """Returns the jobs that are here, with their tokens up to date."""
        self._advance()
        held = [self._prefilling] if self._prefilling else []
        return held + [entry[2] for entry in self._queue + self._batch]

    def token_s(self) -> float:
        """Returns the seconds between tokens at present."""
        return self.spec.token_s(len(self._batch) + 1)

    def submit(self, job: Job) -> None:
        """Takes a job in; it waits here when all slots are busy."""
        job.engine = self
        rank = PRIORITY[job.work.kind]
        heapq.heappush(self._queue, (rank, next(self._numbers), job))
        self._prefill_next()

    def cancel(self, job: Job) -> None:
        """Drops a job; the tokens that it has so far stay with it."""
        self._advance()
        if job is self._prefilling:
            self._prefilling = None
        self._batch = [entry for entry in self._batch if entry[2] is not job]
        self._queue = [entry for entry in self._queue if entry[2] is not job]
        heapq.heapify(self._batch)
        heapq.heapify(self._queue)
        job.engine = None
        self._prefill_next()
        self._replan()

    def swap(self, seconds: float, account: str, version: int) -> None:
        """Stands still to swap an account's weights."""
        self._pause(1)
        self.versions[account] = max(version, self.versions[account])
        self._sim.after(seconds, lambda: self._pause(-1))

    def _pause(self, change: int) -> None:
        self._advance()
        self._paused += change
        self._replan()

    def _prefill_next(self) -> None:
        free = self.spec.slots - len(self._batch)
        if self._prefilling or not self._queue or not self.alive or free <= 0:
            return
        self._advance()
        _, _, job = heapq.heappop(self._queue)
        self._prefilling = job
        if job.started_at < 0:
            job.started_at = self._sim.now
        share = CACHED_SHARE if job.work.prefix in self._cache else 1.0
        seconds = share * job.prompt_tokens / self.spec.prefill_tokens_per_s
        if job.made:
            seconds = KV_IMPORT_S
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
        job.finish_mark = self._progress + job.output_tokens - job.made
        entry = (job.finish_mark, next(self._numbers), job)
        heapq.heappush(self._batch, entry)
        self._prefill_next()
        self._replan()

    def _rate(self) -> float:
        """Returns tokens a second of each stream."""
        if self._paused or not self._batch:
            return 0.0
        slowdown = self.spec.prefill_slowdown if self._prefilling else 1.0
        return slowdown / self.spec.token_s(len(self._batch))

    def _advance(self) -> None:
        tokens = (self._sim.now - self._progress_at) * self._rate()
        self._progress_at = self._sim.now
        self._progress += tokens
        if not tokens:
            return
        for _, _, job in self._batch:
            version = self.versions[job.work.account]
            job.stretches[version] = job.stretches.get(version, 0.0) + tokens

    def _replan(self) -> None:
        self._plan += 1
        rate = self._rate()
        if rate:
            plan = self._plan
            seconds = max(0.0, (self._batch[0][0] - self._progress) / rate)
            self._sim.after(seconds, lambda: self._finish_first(plan))

    def _finish_first(self, plan: int) -> None:
        if plan != self._plan:
            return
        self._advance()
        _, _, job = heapq.heappop(self._batch)
        self._prefill_next()
        self._replan()
        self._on_done(job)
