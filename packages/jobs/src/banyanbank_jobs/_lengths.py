"""Estimates the number of events from the output length clients expect."""

INITIAL_EVENTS_PER_TOKEN = 0.1
"""Events per expected token before any text is complete."""

INITIAL_WEIGHT_TOKENS = 2000.0
"""Weight of the initial estimate, in expected tokens."""

MIN_REMAINING_SHARE = 0.25
"""Minimum expected rest of a text, as a share of what there is."""


class LengthEstimate:
    """Average number of events per expected output token.

    A single length hint is often far off, but errors average out over many
    texts.
    """

    def __init__(self) -> None:
        self._tokens = INITIAL_WEIGHT_TOKENS
        self._events = INITIAL_WEIGHT_TOKENS * INITIAL_EVENTS_PER_TOKEN

    def record_text(self, hint: int, events: int) -> None:
        """Records a complete text; without a hint it is ignored.

        Args:
            hint: Output tokens that the client expected; 0 for no hint.
            events: Number of events of the text.
        """
        if hint:
            self._tokens += hint
            self._events += events

    def events(self, hint: int) -> float:
        """Returns the expected number of events for a length hint."""
        return hint * self._events / self._tokens

    def remaining(self, hint: int, done: int) -> float:
        """Returns the number of events that a text is expected to lack.

        A text near or beyond its expected length is often far from its end,
        since hints are off and some texts are several times as long.

        Args:
            hint: Output tokens that the client expected.
            done: Events of the text so far.
        """
        return max(self.events(hint) - done, MIN_REMAINING_SHARE * done)
