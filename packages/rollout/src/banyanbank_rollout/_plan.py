"""One decision's view of a step: its running attempts and open slots."""

from collections.abc import Iterator
from collections.abc import Mapping

import attrs

from banyanbank_rollout import _commands
from banyanbank_rollout import _samples
from banyanbank_rollout import _state
from banyanbank_rollout import _views

Attempts = Mapping[_state.SlotKey, tuple[_views.AttemptView, ...]]


@attrs.frozen
class StepPlan:
    """An open step without a batch, with the attempts that run for it."""

    state: _state.StepState
    """The step in the ledger."""
    attempts: Attempts
    """Its attempts that are not cancelled, by group and index."""
    sequence: int
    """Order in which the scheduler first saw the steps."""
    rank: int
    """How many older steps of the same trainer have no batch yet."""
    older: int
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
            idle = list(self._idle(group, 0, group.spec.samples))
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
            for slot in self._idle(group, first, end):
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
        for key, attempts in sorted(self.attempts.items()):
            group = self.state.groups.get(key[0])
            if group is None or group.is_whole or key in self.state.samples:
                continue
            for attempt in attempts:
                if attempt.phase is _views.AttemptPhase.RUNNING:
                    yield group, attempt

    def _idle(
        self, group: _state.GroupState, first: int, end: int
    ) -> Iterator[_samples.SampleSlot]:
        """Yields slots that neither a result nor an attempt holds."""
        spec = group.spec
        for index in range(first, end):
            key = (spec.group, index)
            if key not in self.state.samples and key not in self.attempts:
                yield _samples.SampleSlot(
                    spec.trainer, spec.step, spec.group, index
                )
