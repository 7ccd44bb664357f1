"""Deadline until which an entry's configuration counts as fresh."""

import typing

POLL_INTERVAL_S = 0.4
"""Interval between two polls of an entry."""

FRESHNESS_S = 2.5
"""Time after the sending of an answered poll until the deadline."""

_MAX_PENDING_POLLS = 64


class Freshness(typing.Protocol):
    """Tells whether the configuration held is fresh."""

    def is_fresh(self, now: float) -> bool:
        """Returns whether the deadline lies ahead."""
        ...


class FreshnessDeadline:
    """Counts the freshness deadline from the send time of answered polls.

    The leader's reply was true at some moment after its poll was sent;
    counting from the receipt would add the time that the reply was in transit.
    """

    def __init__(self) -> None:
        self._sent_at: dict[int, float] = {}
        self._deadline = float("-inf")

    @property
    def deadline(self) -> float:
        """End of freshness in seconds, by this process's monotonic clock."""
        return self._deadline

    def record_sent(self, number: int, now: float) -> None:
        """Records the send time of a poll."""
        self._sent_at[number] = now
        while len(self._sent_at) > _MAX_PENDING_POLLS:
            del self._sent_at[next(iter(self._sent_at))]

    def record_answer(self, number: int) -> None:
        """Extends the deadline after a reply whose content was applied.

        Ignores replies to polls that this incarnation of the entry did not
        send, and duplicate replies.
        """
        sent_at = self._sent_at.pop(number, None)
        if sent_at is not None:
            self._deadline = max(self._deadline, sent_at + FRESHNESS_S)

    def is_fresh(self, now: float) -> bool:
        """Returns whether the deadline lies ahead."""
        return now < self._deadline
