"""Records which incarnations of instances have ended."""

import collections.abc

import banyanbank_base as base

from banyanbank_control import _state
from banyanbank_control import commands
from banyanbank_control import sync
from banyanbank_control.duties import _effects
from banyanbank_control.duties import _pacing

LOSS_GRACE_S = 5.0
"""Time into the term before a silent instance counts as lost, in seconds."""


class LossRecorder:
    """Commits the end of incarnations that are in the log but silent.

    Afterwards an idempotent resend is answered with "may have run" instead of
    "in progress", and the open usage window counts an interrupted instance.
    An incarnation that was only isolated continues without harm.

    Args:
        term_began_at: Monotonic time at which the term began, in seconds.
    """

    def __init__(self, term_began_at: float) -> None:
        self._grace_ends_at = term_began_at + LOSS_GRACE_S
        self._backoff: _pacing.RetryBackoff[base.InstanceId] = (
            _pacing.RetryBackoff()
        )

    def decide(
        self,
        state: _state.ControlState,
        members: collections.abc.Iterable[sync.Member],
        now: float,
    ) -> tuple[_effects.Effect, ...]:
        """Returns the commands that record ended incarnations.

        Args:
            state: Committed control state.
            members: Instances that the leader currently hears from.
            now: Monotonic time in seconds.
        """
        if now < self._grace_ends_at:
            return ()
        heard = {member.instance: member.incarnation for member in members}
        effects: list[_effects.Effect] = []
        for instance, recorded in state.usage.flushes.items():
            newest = recorded[-1].incarnation
            if heard.get(instance, -1) >= newest:
                continue
            if newest <= state.lives_over.get(instance, -1):
                continue
            if self._backoff.begin_attempt(instance, now):
                effects.append(
                    _effects.Propose(
                        commands.NoteInstanceLost(instance, newest)
                    )
                )
        return tuple(effects)
