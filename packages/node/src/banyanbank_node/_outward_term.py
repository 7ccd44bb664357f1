"""Decides from when a leader may act towards engines and the platform.

Fencing tokens rise with the epoch, so a receiver that checks them refuses an
old leader. One that does not check them must not see two leaders act in turn:
the log's lease keeps a former leader from acting beside its successor, and a
leader that is elected again after others rests before its first act.
"""

import typing

import attrs
import banyanbank_base as base


@attrs.frozen
class TurnRules:
    """What receivers of orders and reports ask of those who send them."""

    lease_s: float = 3.0
    """Seconds within which two leaders must not act in turn."""
    is_fenced: bool = True
    """Whether receivers check fencing tokens."""


class Lead(typing.Protocol):
    """The log, as far as it tells who leads."""

    @property
    def epoch(self) -> int:
        """Number of the leadership; rises with each one."""
        ...

    def lease_held(self) -> bool:
        """Whether this instance leads at this very moment."""
        ...


class OutwardTerm:
    """Permits outward acts, and remembers when one was permitted last.

    Args:
        clock: Steady clock.
        lead: The log here.
        rules: What receivers ask.
    """

    def __init__(self, clock: base.Clock, lead: Lead, rules: TurnRules) -> None:
        self._clock = clock
        self._lead = lead
        self._rules = rules
        self._acted_epoch: int | None = None
        # An earlier life of this process may have acted until its end.
        self._acted_at = None if rules.is_fenced else clock.now()

    def may_act(self) -> bool:
        """Whether this instance may act outwards at this very moment."""
        if not self._lead.lease_held():
            return False
        if self._acted_at is None or self._lead.epoch == self._acted_epoch:
            return True
        return self._clock.now() >= self._acted_at + self._rules.lease_s

    def guard(self, epoch: int) -> typing.Callable[[], bool]:
        """Returns what permits one act of an epoch, asked as it is sent."""

        def permit() -> bool:
            if self._lead.epoch != epoch or not self.may_act():
                return False
            self._acted_epoch = epoch
            self._acted_at = self._clock.now()
            return True

        return permit
