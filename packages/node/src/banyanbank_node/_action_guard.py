"""Decides when a leader may send orders to engines and reports to the platform.

Fencing tokens increase with the epoch, so a receiver that checks them rejects a
former leader. A receiver that does not check them must not see two leaders
alternate: the lease of the log keeps a former leader from acting concurrently
with its successor, and a leader that is re-elected after others waits for the
lease duration before its first external write.
"""

import typing

import attrs
import banyanbank_base as base


@attrs.frozen
class HandoverRules:
    """Requirements of the receivers of orders and reports."""

    lease_s: float = 3.0
    """Period within which two leaders must not alternate."""
    is_fenced: bool = True
    """Whether receivers check fencing tokens."""


class Leadership(typing.Protocol):
    """Leadership state of the local log instance."""

    @property
    def epoch(self) -> int:
        """Number of the leadership; increases with each election."""
        ...

    def lease_held(self) -> bool:
        """Whether this instance holds the leader lease now."""
        ...


class ActionGuard:
    """Permits external writes and records when the last one was permitted.

    Args:
        clock: Monotonic clock.
        leadership: Leadership state of the local log instance.
        rules: Requirements of the receivers.
    """

    def __init__(
        self, clock: base.Clock, leadership: Leadership, rules: HandoverRules
    ) -> None:
        self._clock = clock
        self._leadership = leadership
        self._rules = rules
        self._last_action_epoch: int | None = None
        # An earlier incarnation of this process may have acted until it ended.
        self._last_action_at = None if rules.is_fenced else clock.now()

    def may_act(self) -> bool:
        """Whether this instance may do an external write now."""
        if not self._leadership.lease_held():
            return False
        if (
            self._last_action_at is None
            or self._leadership.epoch == self._last_action_epoch
        ):
            return True
        return self._clock.now() >= self._last_action_at + self._rules.lease_s

    def make_permit(self, epoch: int) -> typing.Callable[[], bool]:
        """Returns a callable that permits one external write of an epoch.

        It is called immediately before the request is sent.
        """

        def permit() -> bool:
            if self._leadership.epoch != epoch or not self.may_act():
                return False
            self._last_action_epoch = epoch
            self._last_action_at = self._clock.now()
            return True

        return permit
