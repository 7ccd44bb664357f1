"""Scheduling view of an open step: its attempts and unfilled slots."""

from collections.abc import Iterator
from collections.abc import Mapping

import attrs

from banyanbank_rollout import _commands
from banyanbank_rollout import _samples
from banyanbank_rollout import _state
from banyanbank_rollout import _views

SlotAttempts = Mapping[_state.SlotKey, tuple[_views.AttemptView, ...]]


@attrs.frozen
class StepPlan:
    """An open step without a batch, with its attempts."""

    state: _state.StepState
    """State of the step in the ledger."""
    attempts: SlotAttempts
    """Attempts that aren't cancelled, by group and index."""
    sequence: int
    """Position in the order in which the scheduler first saw the steps."""
    unbatched_before: int
    """Number of older steps of the same trainer without a batch."""
    open_before: int
    """Number of older open steps of the same trainer."""

    def open_slots(
        self,
    ) -> Iterator[tuple[_state.GroupState, _samples.SampleSlot]]:
        """Yields slots that need an attempt, most complete groups first."""
        incomplete = []
        for number, group in self.state.groups.items():
            missing = group.spec.samples - group.filled_slots
            if missing > 0:
                incomplete.append((missing, number))
        for missing, number in sorted(incomplete):
            group = self.state.groups[number]
            idle = list(self._unassigned_slots(group, 0, group.spec.samples))
            for slot in idle[:missing]:
                yield group, slot

    def spare_slots(
        self,
    ) -> Iterator[tuple[_state.GroupState, _samples.SampleSlot]]:
        """Yields the unassigned spare slots of incomplete groups."""
        for _, group in sorted(self.state.groups.items()):
            if group.is_complete or not group.spec.spare_samples:
                continue
            first = group.spec.samples
            end = first + group.spec.spare_samples
            for slot in self._unassigned_slots(group, first, end):
                yield group, slot

    def samples(
        self,
    ) -> Iterator[tuple[_state.GroupState, _commands.RecordSample]]:
        """Yields the samples recorded so far."""
        for key, sample in sorted(self.state.samples.items()):
            yield self.state.groups[key[0]], sample

    def running(
        self,
    ) -> Iterator[tuple[_state.GroupState, _views.AttemptView]]:
        """Yields queued and generating attempts of incomplete groups."""
        for key, attempts in sorted(self.attempts.items()):
            group = self.state.groups.get(key[0])
            if group is None or group.is_complete or key in self.state.samples:
                continue
            for attempt in attempts:
                if attempt.phase is _views.AttemptPhase.RUNNING:
                    yield group, attempt

    def _unassigned_slots(
        self, group: _state.GroupState, first: int, end: int
    ) -> Iterator[_samples.SampleSlot]:
        """Yields slots in a range without a sample or an attempt."""
        spec = group.spec
        for index in range(first, end):
            key = (spec.group, index)
            if key not in self.state.samples and key not in self.attempts:
                yield _samples.SampleSlot(
                    spec.trainer, spec.step, spec.group, index
                )
