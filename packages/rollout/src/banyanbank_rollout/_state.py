"""Persistent state of the sample ledger."""

import attrs
import banyanbank_base as base
import immutables

from banyanbank_rollout import _commands

MAX_DONE_STEPS = 256
"""Done steps kept individually per trainer; `done_below` covers older ones."""

StepKey = tuple[base.TrainerId, int]
SlotKey = tuple[int, int]


@attrs.frozen
class GroupState:
    """One submitted group."""

    spec: _commands.SubmitGroup
    """First submission of the group."""
    filled_slots: int = 0
    """Number of filled slots."""

    @property
    def is_complete(self) -> bool:
        """Whether the required number of samples is recorded."""
        return self.filled_slots >= self.spec.samples


@attrs.frozen
class BatchState:
    """A batch whose contents are fixed."""

    batch_id: str
    """Step and generation, joined by a dot."""
    handed_out_at: base.WeightVersion | None = None
    """Newest version at first hand-out; None if not handed out yet."""


@attrs.frozen
class StepState:
    """One open step of a trainer."""

    trainer: base.TrainerId
    """Trainer whose step it is."""
    step: int
    """Training step."""
    model: base.ModelName
    """Model of all groups of the step."""
    groups_in_step: int
    """Groups required to complete the step."""
    groups: immutables.Map[int, GroupState] = attrs.field(
        factory=immutables.Map
    )
    """Submitted groups by number."""
    samples: immutables.Map[SlotKey, _commands.RecordSample] = attrs.field(
        factory=immutables.Map
    )
    """Winning results by group and index."""
    complete_groups: int = 0
    """Number of groups that have all required samples."""
    generation: int = 0
    """Number of batches withdrawn so far."""
    batch: BatchState | None = None
    """Formed batch; None while the step collects samples."""

    @property
    def key(self) -> StepKey:
        """Key of the step in `Tables.steps`."""
        return (self.trainer, self.step)

    @property
    def declaration(self) -> _commands.SubmitGroup:
        """A submission with the declaration that all groups share."""
        return next(iter(self.groups.values())).spec

    @property
    def wanted(self) -> int:
        """Number of samples that the submitted groups require."""
        return sum(group.spec.samples for group in self.groups.values())

    @property
    def is_complete(self) -> bool:
        """Whether all groups of the step are submitted and complete."""
        return self.complete_groups == self.groups_in_step

    def with_group(self, spec: _commands.SubmitGroup) -> "StepState":
        """Returns the step with a group added."""
        groups = self.groups.set(spec.group, GroupState(spec))
        return attrs.evolve(self, groups=groups)

    def with_sample(self, sample: _commands.RecordSample) -> "StepState":
        """Returns the step with a slot filled, or its sample replaced."""
        slot = sample.slot
        key = (slot.group, slot.index)
        samples = self.samples.set(key, sample)
        if key in self.samples:
            return attrs.evolve(self, samples=samples)
        return self._replace_samples(slot.group, 1, samples)

    def without_sample(self, key: SlotKey) -> "StepState":
        """Returns the step with a slot reopened."""
        return self._replace_samples(key[0], -1, self.samples.delete(key))

    def _replace_samples(
        self,
        group: int,
        filled_change: int,
        samples: immutables.Map[SlotKey, _commands.RecordSample],
    ) -> "StepState":
        before = self.groups[group]
        after = attrs.evolve(
            before, filled_slots=before.filled_slots + filled_change
        )
        return attrs.evolve(
            self,
            samples=samples,
            groups=self.groups.set(group, after),
            complete_groups=self.complete_groups
            + after.is_complete
            - before.is_complete,
        )


@attrs.frozen
class TrainerState:
    """State of a trainer other than its open steps."""

    open_steps: int = 0
    """Number of open steps."""
    done: immutables.Map[int, int] = attrs.field(factory=immutables.Map)
    """Last generation of each done step kept individually; -1 if cancelled."""
    done_below: int = 0
    """Steps below this number that are not open are done."""

    def is_done(self, step: int) -> bool:
        """Returns whether a step that is not open is done."""
        return step < self.done_below or step in self.done

    def with_open_step(self) -> "TrainerState":
        """Returns the trainer with one open step added."""
        return attrs.evolve(self, open_steps=self.open_steps + 1)

    def with_done_step(self, step: int, generation: int) -> "TrainerState":
        """Returns the trainer with an open step marked as done."""
        done = self.done.set(step, generation)
        below = self.done_below
        if len(done) > MAX_DONE_STEPS:
            oldest = min(done)
            done = done.delete(oldest)
            # A step that ends late may be older than those dropped before.
            below = max(below, oldest + 1)
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
    """Trainers that have submitted a group."""
    models: immutables.Map[base.ModelName, _commands.PublishVersion] = (
        attrs.field(factory=immutables.Map)
    )
    """Newest publication of each model."""

    def trainer(self, trainer: base.TrainerId) -> TrainerState:
        """Returns the state of a trainer, an empty one if it is unknown."""
        return self.trainers.get(trainer, TrainerState())

    def newest_version(self, model: base.ModelName) -> base.WeightVersion:
        """Returns the newest version of a model, 0 if none is published."""
        published = self.models.get(model)
        return base.WeightVersion(0) if published is None else published.version

    def with_step(self, step: StepState) -> "Tables":
        """Returns the tables with an open step added or replaced."""
        trainers = self.trainers
        if step.key not in self.steps:
            opened = self.trainer(step.trainer).with_open_step()
            trainers = trainers.set(step.trainer, opened)
        return attrs.evolve(
            self, steps=self.steps.set(step.key, step), trainers=trainers
        )

    def without_step(self, step: StepState) -> "Tables":
        """Returns the tables with an open step moved to the done steps."""
        done = self.trainer(step.trainer).with_done_step(
            step.step, step.generation
        )
        return attrs.evolve(
            self,
            steps=self.steps.delete(step.key),
            trainers=self.trainers.set(step.trainer, done),
        )
