"""Model of a trainer that steps on groups of samples."""

import random
import typing

import attrs
import banyanbank_dispatch as dispatch

from banyanbank_bench import _engine
from banyanbank_bench import _workload

if typing.TYPE_CHECKING:
    from banyanbank_bench import _cluster

PROMPT_TOKENS = 1500
ESTIMATE_TOKENS = 500.0


@attrs.define
class Step:
    """Samples of one step and what came of them."""

    lengths: list[list[int]]
    """Tokens of each sample, by group."""
    left: list[int]
    """Samples missing, by group."""
    versions: list[int] = attrs.field(factory=list)
    """Oldest version in each sample that came."""

    @property
    def whole(self) -> bool:
        """Whether every sample is there."""
        return not any(self.left)


class Trainer:
    """Trains on one step while the samples of the next are generated."""

    def __init__(
        self, cluster: "_cluster.Cluster", number: int, seed: int
    ) -> None:
        self.account = f"a{number}"
        self.idle_s = 0.0
        self.finished_at = 0.0
        self.finished = False
        self.staleness: list[int] = []
        rng = random.Random(f"{seed} trainer {number}")
        self.steps = [
            _draw_step(rng, cluster.workload)
            for _ in range(cluster.workload.steps)
        ]
        self._cluster = cluster
        self._jobs: dict[str, tuple[int, int]] = {}
        self._current = 0
        self._idle_since: float | None = 0.0
        self._published_at = 0.0

    def start(self) -> None:
        """Asks for the first step."""
        self._ask(0)

    def sample_done(self, job: _engine.Job) -> None:
        """Takes in a sample."""
        number, group = self._jobs.pop(job.work.request_id)
        step = self.steps[number]
        step.left[group] -= 1
        step.versions.append(job.version)
        if self._idle_since is not None and self.steps[self._current].whole:
            self._train()

    def _ask(self, number: int) -> None:
        for group, lengths in enumerate(self.steps[number].lengths):
            prefix = f"{self.account}/{number}/{group}"
            for length in lengths:
                job = self._cluster.new_job(
                    self.account,
                    dispatch.WorkKind.ROLLOUT,
                    PROMPT_TOKENS,
                    length,
                    ESTIMATE_TOKENS,
                    prefix,
                )
                self._jobs[job.work.request_id] = (number, group)
                self._cluster.submit(job)

    def _train(self) -> None:
        cluster = self._cluster
        assert self._idle_since is not None
        self.idle_s += cluster.sim.now - self._idle_since
        self._idle_since = None
        newest = cluster.version(self.account)
        step = self.steps[self._current]
        self.staleness.extend(newest - version for version in step.versions)
        if self._current + 1 < len(self.steps):
            self._ask(self._current + 1)
        cluster.sim.after(cluster.workload.train_s, self._trained)

    def _trained(self) -> None:
        cluster = self._cluster
        now = cluster.sim.now
        if now - self._published_at >= cluster.workload.publish_s:
            self._published_at = now
            cluster.publish(self.account)
        self._current += 1
        if self._current == len(self.steps):
            self.finished, self.finished_at = True, now
            return
        self._idle_since = now
        if self.steps[self._current].whole:
            self._train()


def _draw_step(rng: random.Random, workload: _workload.Workload) -> Step:
    lengths = []
    for _ in range(workload.groups):
        factor = rng.lognormvariate(0.0, 0.5)
        lengths.append(
            [
                _workload.sample_tokens(rng, factor)
                for _ in range(workload.group_size)
            ]
        )
    return Step(lengths, [workload.group_size] * workload.groups)
