"""The duty to record which lives of instances are over."""

import collections.abc

import banyanbank_base as base

from banyanbank_control import _state
from banyanbank_control import commands
from banyanbank_control import sync
from banyanbank_control.duties import _effects
from banyanbank_control.duties import _pacing

SETTLE_S = 5.0
"""Time in office after which an instance not heard counts as lost, seconds."""


class LossRecorder:
    """Commits the end of lives that the log knows and nobody hears.

    Then an idempotent resend is told "may have run" in place of "in
    progress", and the open usage window says that an instance was
    interrupted. A life noted too early by an isolation goes on unharmed.

    Args:
        epoch_began: Monotonic time at which the office began, in seconds.
    """

    def __init__(self, epoch_began: float) -> None:
        self._settled_at = epoch_began + SETTLE_S
        self._pacing: _pacing.Pacing[base.InstanceId] = _pacing.Pacing()

    def decide(
        self,
        state: _state.ControlState,
        members: collections.abc.Iterable[sync.Member],
        now: float,
    ) -> tuple[_effects.Effect, ...]:
        """Returns the commands that note lives as over.

        Args:
            state: Control state as committed.
            members: Instances heard.
            now: Monotonic time in seconds.
        """
        if now < self._settled_at:
            return ()
        heard = {member.instance: member.incarnation for member in members}
        effects: list[_effects.Effect] = []
        for instance, lives in state.usage.flushes.items():
            newest = lives[-1].incarnation
            if heard.get(instance, -1) >= newest:
                continue
            if newest <= state.lives_over.get(instance, -1):
                continue
            if self._pacing.take(instance, now):
                effects.append(
                    _effects.Propose(
                        commands.NoteInstanceLost(instance, newest)
                    )
                )
        return tuple(effects)
