"""Learns how many events the tokens that clients expect come in."""

EVENTS_PER_TOKEN = 0.1
"""Events for each expected token, believed until texts are whole."""

INITIAL_TOKENS = 2000.0
"""Tokens for which the belief at the start counts."""


class LengthEstimate:
    """Compares the output that clients expect with what engines made.

    A single hint is often far off; over many texts the errors even out.
    """

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS
        self._events = INITIAL_TOKENS * EVENTS_PER_TOKEN

    def note(self, hint: int, events: int) -> None:
        """Takes in a whole text.

        Args:
            hint: Tokens that its client expected; 0 when it said nothing.
            events: Events that it came in.
        """
        if hint:
            self._tokens += hint
            self._events += events

    def events(self, hint: int) -> float:
        """Returns the events that a number of expected tokens will make."""
        return hint * self._events / self._tokens
