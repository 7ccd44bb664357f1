"""Trainers that ask for steps and train on them."""

import collections
import random
import typing

import banyanbank_base as base
import banyanbank_rollout as rollout

from banyanbank_bench import _workload

if typing.TYPE_CHECKING:
    from banyanbank_bench import _rollouts


class Trainer:
    """Trains on a step while the samples of the next are generated."""

    def __init__(
        self, owner: "_rollouts.Rollouts", number: int, seed: int
    ) -> None:
        self.trainer_id = base.TrainerId(f"a{number}")
        self.model = base.ModelName(f"a{number}")
        rng = random.Random(f"{seed} trainer {number}")
        shape = owner.cluster.workload
        self.sessions = shape.sessions_of(number)
        self.steps = sum(session.steps for session in self.sessions)
        self.lengths = [
            _workload.step_lengths(rng, shape) for _ in range(self.steps)
        ]
        self.version = 0
        self.idle_s = 0.0
        self.first_idle_s = 0.0
        self.finished_at = 0.0
        self._owner = owner
        self.step = 0
        self._first, self._end = 0, 0
        self._left = collections.deque(self.sessions)
        self._idle_since: float | None = None
        self._published_at = 0.0

    def next_session(self) -> None:
        """Waits for the next session; the trainer is not idle until then."""
        if not self._left:
            self.finished_at = self._owner.cluster.sim.now
            return
        session = self._left.popleft()
        delay = max(0.0, session.start_s - self._owner.cluster.sim.now)
        self._first, self._end = self.step, self.step + session.steps
        self._owner.cluster.sim.after(delay, self._begin)

    def _begin(self) -> None:
        self._idle_since = self._owner.cluster.sim.now
        ahead = self._first + self._owner.cluster.policy.steps_ahead
        for step in range(self._first, min(self._end, ahead)):
            self._owner.submit(self, step)

    def fetch(self) -> None:
        """Takes the batch of its step if it waits for one."""
        if self._idle_since is None:
            return
        owner, cluster = self._owner, self._owner.cluster
        newest = base.WeightVersion(self.version)
        fetch = rollout.FetchBatch(self.trainer_id, self.step, newest)
        reply = owner.apply(fetch)
        if not isinstance(reply, rollout.BatchFetched):
            return
        owner.delivered(reply)
        owner.apply(rollout.AcknowledgeBatch(self.trainer_id, reply.batch_id))
        idle_s = cluster.sim.now - self._idle_since
        self.idle_s += idle_s
        if self.step == self._first:
            self.first_idle_s += idle_s
        self._idle_since = None
        ahead = self.step + cluster.policy.steps_ahead
        if ahead < self._end:
            owner.submit(self, ahead)
        cluster.sim.after(cluster.workload.train_s, self._trained)

    def _trained(self) -> None:
        now = self._owner.cluster.sim.now
        self.step += 1
        is_done = self.step == self.steps
        is_due = (
            now - self._published_at >= self._owner.cluster.workload.publish_s
        )
        if is_due and not is_done:
            self._published_at = now
            self.version += 1
            self._owner.publish(self)
        if self.step == self._end:
            self.next_session()
            return
        self._idle_since = now
        self.fetch()
