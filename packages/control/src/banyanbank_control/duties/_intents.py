"""The duty to forget intents whose retention is over."""

from banyanbank_control import commands
from banyanbank_control import intents
from banyanbank_control.duties import _effects

EXPIRE_S = 10.0
"""Time between two looks, in seconds."""


class IntentExpirer:
    """Commits the wall time by which intents are forgotten."""

    def __init__(self) -> None:
        self._due_at = float("-inf")

    def decide(
        self, state: intents.IntentState, now: float, wall: float
    ) -> tuple[_effects.Effect, ...]:
        """Returns the command that forgets, when there is anything to.

        Args:
            state: Intents as committed.
            now: Monotonic time in seconds.
            wall: Wall time in seconds.
        """
        if now < self._due_at:
            return ()
        self._due_at = now + EXPIRE_S
        if not intents.has_due(state, wall):
            return ()
        return (_effects.Propose(commands.ExpireIntents(wall)),)
