"""The sample ledger: the rollout state that the replicated log builds."""

import attrs
import banyanbank_base as base

from banyanbank_rollout import _batches
from banyanbank_rollout import _commands
from banyanbank_rollout import _groups
from banyanbank_rollout import _replies
from banyanbank_rollout import _samples
from banyanbank_rollout import _snapshot
from banyanbank_rollout import _state


@attrs.frozen
class Ledger:
    """Groups, samples, batches and weight versions; immutable.

    The cost of applying a command does not depend on the size of the ledger,
    except for batch commands, which iterate over the samples of their step.
    """

    tables: _state.Tables = attrs.field(factory=_state.Tables)
    """State of the ledger."""

    def apply(
        self, command: _commands.LedgerCommand
    ) -> tuple["Ledger", _replies.LedgerReply]:
        """Applies one committed command.

        Returns:
            The next ledger and the reply. A command that changes nothing
            returns this ledger.
        """
        tables, reply = _apply(self.tables, command)
        if tables is self.tables:
            return self, reply
        return Ledger(tables), reply

    def steps(self) -> tuple[_state.StepState, ...]:
        """Returns the open steps, sorted by trainer and step."""
        return tuple(step for _, step in sorted(self.tables.steps.items()))

    def has_stale_samples(self, step: _state.StepState) -> bool:
        """Returns whether a sample of an open step exceeds its staleness bound.

        The bound is checked against the newest published version.
        """
        newest = self.newest_version(step.model)
        return any(
            _batches.is_stale(step.groups[key[0]], sample, newest)
            for key, sample in step.samples.items()
        )

    def oldest_age(self, step: _state.StepState) -> int | None:
        """Returns the lag of a step's oldest sample, in versions.

        None if the step has no samples.
        """
        oldest = min(
            (
                _samples.oldest_version(sample.stretches)
                for sample in step.samples.values()
            ),
            default=None,
        )
        if oldest is None:
            return None
        # Engines may run versions newer than the last published one.
        return max(0, self.newest_version(step.model) - oldest)

    def open_samples(self, model: base.ModelName) -> int:
        """Returns the samples still missing from a model's open steps."""
        return sum(
            max(0, group.spec.samples - group.filled_slots)
            for step in self.tables.steps.values()
            if step.model == model and step.batch is None
            for group in step.groups.values()
        )

    def newest_version(self, model: base.ModelName) -> base.WeightVersion:
        """Returns the newest version of a model, 0 if none is published."""
        return self.tables.newest_version(model)

    def publications(self) -> tuple[_commands.PublishVersion, ...]:
        """Returns the newest publication of each model, sorted by model."""
        return tuple(
            published for _, published in sorted(self.tables.models.items())
        )

    def body(self, slot: _samples.SampleSlot) -> _samples.SampleBody | None:
        """Returns the body of a slot's winning sample.

        None if the slot is not filled or its step is not open.
        """
        step = self.tables.steps.get((slot.trainer, slot.step))
        if step is None:
            return None
        sample = step.samples.get((slot.group, slot.index))
        return None if sample is None else sample.body

    def stored_digests(self) -> frozenset[bytes]:
        """Returns the digests of all bodies referenced from body stores."""
        return frozenset(
            sample.body.digest
            for step in self.tables.steps.values()
            for sample in step.samples.values()
            if sample.body.data is None
        )

    def to_snapshot(self) -> _snapshot.LedgerSnapshot:
        """Returns a snapshot in plain attrs classes and tuples."""
        return _snapshot.take_snapshot(self.tables)

    @classmethod
    def from_snapshot(cls, snapshot: _snapshot.LedgerSnapshot) -> "Ledger":
        """Restores a ledger from a snapshot."""
        return cls(_snapshot.restore_tables(snapshot))


def _apply(
    tables: _state.Tables, command: _commands.LedgerCommand
) -> _groups.Applied:
    match command:
        case _commands.SubmitGroup():
            return _groups.submit_group(tables, command)
        case _commands.RecordSample():
            return _groups.record_sample(tables, command)
        case _commands.FormBatch():
            return _batches.form_batch(tables, command)
        case _commands.FetchBatch():
            return _batches.fetch_batch(tables, command)
        case _commands.RejectBatch():
            return _batches.reject_batch(tables, command)
        case _commands.AcknowledgeBatch():
            return _batches.acknowledge_batch(tables, command)
        case _commands.CancelStep():
            return _batches.cancel_step(tables, command)
        case _commands.PublishVersion():
            return _groups.publish_version(tables, command)
