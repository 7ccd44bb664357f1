"""Estimates the number of events from the output length clients expect."""

INITIAL_EVENTS_PER_TOKEN = 0.1
"""Events per expected token before any text is complete."""

INITIAL_WEIGHT_TOKENS = 2000.0
"""Weight of the initial estimate, in expected tokens."""


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
