"""One decision's view of a step: its running attempts and open slots."""

from collections.abc import Iterator
from collections.abc import Mapping

import attrs

from banyanbank_rollout import _commands
from banyanbank_rollout import _samples
from banyanbank_rollout import _state
from banyanbank_rollout import _views

Attempts = Mapping[_samples.SampleSlot, tuple[_views.AttemptView, ...]]


@attrs.frozen
class StepPlan:
    """An open step without a batch, with the attempts that run for it."""

    state: _state.StepState
    """The step in the ledger."""
    attempts: Attempts
    """Attempts of all steps that are not cancelled, by slot."""
    sequence: int
    """Order in which the scheduler first saw the steps."""
    rank: int
    """How many older steps of the same trainer are open."""

    def open_slots(
        self,
    ) -> Iterator[tuple[_state.GroupState, _samples.SampleSlot]]:
        """Yields slots that need an attempt, nearly whole groups first."""
        short = []
        for number, group in self.state.groups.items():
            missing = group.spec.samples - group.filled
            if missing > 0:
                short.append((missing, number))
        for missing, number in sorted(short):
            group = self.state.groups[number]
            idle = [
                slot
                for slot in self._unfilled(group, 0, group.spec.samples)
                if slot not in self.attempts
            ]
            for slot in idle[:missing]:
                yield group, slot

    def spare_slots(
        self,
    ) -> Iterator[tuple[_state.GroupState, _samples.SampleSlot]]:
        """Yields spare slots of groups that aren't whole."""
        for _, group in sorted(self.state.groups.items()):
            if group.is_whole or not group.spec.spare_samples:
                continue
            first = group.spec.samples
            end = first + group.spec.spare_samples
            for slot in self._unfilled(group, first, end):
                if slot not in self.attempts:
                    yield group, slot

    def samples(
        self,
    ) -> Iterator[tuple[_state.GroupState, _commands.RecordSample]]:
        """Yields the results recorded so far."""
        for key, sample in sorted(self.state.samples.items()):
            yield self.state.groups[key[0]], sample

    def running(
        self,
    ) -> Iterator[tuple[_state.GroupState, _views.AttemptView]]:
        """Yields the attempts that generate for groups not yet whole."""
        for _, group in sorted(self.state.groups.items()):
            if group.is_whole:
                continue
            end = group.spec.samples + group.spec.spare_samples
            for slot in self._unfilled(group, 0, end):
                for attempt in self.attempts.get(slot, ()):
                    if attempt.phase is _views.AttemptPhase.RUNNING:
                        yield group, attempt

    def _unfilled(
        self, group: _state.GroupState, first: int, end: int
    ) -> Iterator[_samples.SampleSlot]:
        spec = group.spec
        for index in range(first, end):
            if (spec.group, index) not in self.state.samples:
                yield _samples.SampleSlot(
                    spec.trainer, spec.step, spec.group, index
                )
