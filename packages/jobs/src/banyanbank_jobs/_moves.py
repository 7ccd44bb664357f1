"""Decides whether a running item is worth moving to another engine."""

import enum

import attrs

from banyanbank_jobs import _engine_speed
from banyanbank_jobs import _item_progress

MIN_RUN_BEFORE_MOVE_S = 0.5
"""Minimum duration of a run before its item may move."""

MIN_TIME_BETWEEN_MOVES_S = 2.0
"""Minimum time between two moves of one item."""

READ_TOKENS_PER_S = 10_000.0
"""Tokens of a prompt and text that an engine reads in a second."""

MIN_SAVED_S = 0.5
"""Minimum time that a move saves beyond its cost.

The tokens that are read again are paid for, and a step has 7.5 s.
"""

MIN_SAVED_SHARE = 0.3
"""Minimum share of the remaining time that a move saves.

The remaining time is known only by the expected length of the text.
"""

ERROR_MARGIN = 2.0
"""Standard errors by which the speeds of both engines may be misjudged."""

SLOW_RATIO = 2.0
"""Ratio to the nominal event interval from which an engine counts as slow."""


class MoveReason(enum.Enum):
    """Why an item moves."""

    SLOW = "engine is slow"
    """Its engine is much slower than engines usually are."""
    FASTER = "faster engine is free"
    """A much faster engine has a free slot."""


@attrs.frozen
class MoveCase:
    """What a move of an item depends on."""

    remaining_events: float
    """Events that its text is expected to lack."""
    read_tokens: float
    """Tokens that the new engine has to read."""
    current: _engine_speed.SpeedEstimate
    """Speed of its engine."""

    @property
    def max_interval_s(self) -> float:
        """Event interval below which an engine is worth the move.

        Not positive if none is.
        """
        if self.remaining_events <= 0:
            return 0.0
        interval_s = _lower_bound_s(self.current)
        cost_s = self.read_tokens / READ_TOKENS_PER_S + interval_s
        saved_s = max(
            cost_s + MIN_SAVED_S,
            MIN_SAVED_SHARE * self.remaining_events * interval_s,
        )
        return interval_s - saved_s / self.remaining_events

    @property
    def reason(self) -> MoveReason:
        """Why the item moves, if it does."""
        nominal_s = _engine_speed.NOMINAL_EVENT_INTERVAL_S
        if self.current.event_interval_s > SLOW_RATIO * nominal_s:
            return MoveReason.SLOW
        return MoveReason.FASTER


def may_move(item: _item_progress.ItemProgress, now: float) -> bool:
    """Whether an item runs and has not been started or moved just now."""
    return (
        item.stage is _item_progress.Stage.RUNNING
        and item.engine is not None
        and now - item.began_at >= MIN_RUN_BEFORE_MOVE_S
        and now - item.moved_at >= MIN_TIME_BETWEEN_MOVES_S
    )


def cautious_interval_s(estimate: _engine_speed.SpeedEstimate) -> float:
    """Returns the event interval that a new engine may turn out to have."""
    return estimate.event_interval_s + ERROR_MARGIN * estimate.error_s


def _lower_bound_s(estimate: _engine_speed.SpeedEstimate) -> float:
    return max(0.0, estimate.event_interval_s - ERROR_MARGIN * estimate.error_s)
