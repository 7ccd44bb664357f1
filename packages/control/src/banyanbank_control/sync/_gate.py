"""The deadline up to which an entry's configuration counts as in force."""

import typing

POLL_S = 0.4
"""Time between two polls of an entry, in seconds."""

FRESHNESS_S = 2.5
"""Time after sending a poll that its answer vouches for, in seconds."""

_PENDING_POLLS = 64


class Freshness(typing.Protocol):
    """Says whether the configuration held may be relied on."""

    def is_fresh(self, now: float) -> bool:
        """Returns whether the deadline lies ahead."""
        ...


class FreshnessGate:
    """Counts the deadline from the moment a poll was sent.

    The leader's answer was true at some moment after that; counting from the
    receipt would add the time that the answer was under way.
    """

    def __init__(self) -> None:
        self._sent: dict[int, float] = {}
        self._deadline = float("-inf")

    @property
    def deadline(self) -> float:
        """Monotonic time of this process at which freshness ends."""
        return self._deadline

    def note_sent(self, number: int, now: float) -> None:
        """Notes when a poll leaves."""
        self._sent[number] = now
        while len(self._sent) > _PENDING_POLLS:
            del self._sent[next(iter(self._sent))]

    def note_answered(self, number: int) -> None:
        """Moves the deadline on by an answer whose content is in force.

        An answer to a poll that this life of the entry did not send, or has
        taken an answer to already, changes nothing.
        """
        sent = self._sent.pop(number, None)
        if sent is not None:
            self._deadline = max(self._deadline, sent + FRESHNESS_S)

    def is_fresh(self, now: float) -> bool:
        """Returns whether the deadline lies ahead."""
        return now < self._deadline
