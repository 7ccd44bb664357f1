"""Expires intents whose retention has ended."""

from banyanbank_control import commands
from banyanbank_control import intents
from banyanbank_control.duties import _effects

EXPIRY_INTERVAL_S = 10.0
"""Interval between two checks, in seconds."""


class IntentExpirer:
    """Proposes a command that expires intents whenever one is due."""

    def __init__(self) -> None:
        self._due_at = float("-inf")

    def decide(
        self, state: intents.IntentState, now: float, wall: float
    ) -> tuple[_effects.Effect, ...]:
        """Returns the command that expires intents, if any intent is due.

        Args:
            state: Committed intent state.
            now: Monotonic time in seconds.
            wall: Wall time in seconds.
        """
        if now < self._due_at:
            return ()
        self._due_at = now + EXPIRY_INTERVAL_S
        if not intents.has_expired(state, wall):
            return ()
        return (_effects.Propose(commands.ExpireIntents(wall)),)
