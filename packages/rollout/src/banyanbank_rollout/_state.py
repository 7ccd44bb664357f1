"""Persistent state of the sample ledger."""

import attrs
import banyanbank_base as base
import immutables

from banyanbank_rollout import _commands

MAX_DONE_STEPS = 256
"""Done steps remembered one by one; older ones are a single number."""

StepKey = tuple[base.TrainerId, int]
SlotKey = tuple[int, int]


@attrs.frozen
class GroupState:
    """One submitted group."""

    spec: _commands.SubmitGroup
    """The first submission."""
    filled: int = 0
    """Samples recorded."""

    @property
    def is_whole(self) -> bool:
        """Whether enough samples are recorded."""
        return self.filled >= self.spec.samples


@attrs.frozen
class BatchState:
    """A batch whose contents are fixed."""

    batch_id: str
    """Names the batch."""
    handed_out_at: base.WeightVersion | None = None
    """Newest version at first hand-out; None before it."""


@attrs.frozen
class StepState:
    """One open step of a trainer."""

    trainer: base.TrainerId
    """Trainer whose step it is."""
    step: int
    """Training step."""
    model: base.ModelName
    """Model of all its groups."""
    groups_in_step: int
    """Groups that make it whole."""
    groups: immutables.Map[int, GroupState] = attrs.field(
        factory=immutables.Map
    )
    """Groups submitted so far."""
    samples: immutables.Map[SlotKey, _commands.RecordSample] = attrs.field(
        factory=immutables.Map
    )
    """Results that count, by group and index."""
    whole_groups: int = 0
    """Groups that are whole."""
    generation: int = 0
    """Batches formed so far, those reopened included."""
    batch: BatchState | None = None
    """The batch; None while the step collects samples."""

    @property
    def key(self) -> StepKey:
        """Key of the step in the ledger."""
        return (self.trainer, self.step)

    @property
    def terms(self) -> _commands.SubmitGroup:
        """Any group: the declaration of the first is that of all."""
        return next(iter(self.groups.values())).spec

    @property
    def wanted(self) -> int:
        """Samples of the groups submitted so far."""
        return sum(group.spec.samples for group in self.groups.values())

    @property
    def is_whole(self) -> bool:
        """Whether all groups are whole."""
        return self.whole_groups == self.groups_in_step

    def with_group(self, spec: _commands.SubmitGroup) -> "StepState":
        """Returns the step with one more group."""
        groups = self.groups.set(spec.group, GroupState(spec))
        return attrs.evolve(self, groups=groups)

    def with_sample(self, sample: _commands.RecordSample) -> "StepState":
        """Returns the step with a slot filled, or filled anew."""
        slot = sample.slot
        key = (slot.group, slot.index)
        samples = self.samples.set(key, sample)
        if key in self.samples:
            return attrs.evolve(self, samples=samples)
        return self._with_filled(slot.group, 1, samples)

    def without_sample(self, key: SlotKey) -> "StepState":
        """Returns the step with a slot reopened."""
        return self._with_filled(key[0], -1, self.samples.delete(key))

    def _with_filled(
        self,
        group: int,
        change: int,
        samples: immutables.Map[SlotKey, _commands.RecordSample],
    ) -> "StepState":
        before = self.groups[group]
        after = attrs.evolve(before, filled=before.filled + change)
        return attrs.evolve(
            self,
            samples=samples,
            groups=self.groups.set(group, after),
            whole_groups=self.whole_groups + after.is_whole - before.is_whole,
        )


@attrs.frozen
class TrainerState:
    """What is kept of a trainer besides its open steps."""

    open_steps: int = 0
    """Steps that hold samples or groups."""
    done: immutables.Map[int, int] = attrs.field(factory=immutables.Map)
    """Done steps at or above `done_below`, with their last generation."""
    done_below: int = 0
    """Steps under this number that are not open are done."""

    def is_done(self, step: int) -> bool:
        """Tells whether a step that is not open was ended."""
        return step < self.done_below or step in self.done

    def with_open_step(self) -> "TrainerState":
        """Returns the trainer with one more open step."""
        return attrs.evolve(self, open_steps=self.open_steps + 1)

    def with_done(self, step: int, generation: int) -> "TrainerState":
        """Returns the trainer with an open step ended."""
        done = self.done.set(step, generation)
        below = self.done_below
        if len(done) > MAX_DONE_STEPS:
            oldest = min(done)
            done = done.delete(oldest)
            below = oldest + 1
        return attrs.evolve(
            self, open_steps=self.open_steps - 1, done=done, done_below=below
        )


@attrs.frozen
class Tables:
    """All tables of the ledger."""

    steps: immutables.Map[StepKey, StepState] = attrs.field(
        factory=immutables.Map
    )
    """Open steps."""
    trainers: immutables.Map[base.TrainerId, TrainerState] = attrs.field(
        factory=immutables.Map
    )
    """Trainers that ever submitted."""
    models: immutables.Map[base.ModelName, _commands.PublishVersion] = (
        attrs.field(factory=immutables.Map)
    )
    """Newest publication of each model."""

    def trainer(self, trainer: base.TrainerId) -> TrainerState:
        """Returns a trainer's state, a fresh one when it is new."""
        return self.trainers.get(trainer, TrainerState())

    def newest(self, model: base.ModelName) -> base.WeightVersion:
        """Returns the newest version of a model, 0 when none is published."""
        published = self.models.get(model)
        return base.WeightVersion(0) if published is None else published.version

    def with_step(self, step: StepState) -> "Tables":
        """Returns the tables with an open step replaced or added."""
        trainers = self.trainers
        if step.key not in self.steps:
            opened = self.trainer(step.trainer).with_open_step()
            trainers = trainers.set(step.trainer, opened)
        return attrs.evolve(
            self, steps=self.steps.set(step.key, step), trainers=trainers
        )

    def without_step(self, step: StepState) -> "Tables":
        """Returns the tables with a step done."""
        done = self.trainer(step.trainer).with_done(step.step, step.generation)
        return attrs.evolve(
            self,
            steps=self.steps.delete(step.key),
            trainers=self.trainers.set(step.trainer, done),
        )
