"""Whether, and when, a failed attempt may be repeated."""

import random

import attrs
import banyanbank_base as base

BASE_DELAY_S = 0.025
MAX_DELAY_S = 2.0
MAX_ATTEMPTS = 4
BUDGET_RATIO = 0.1
BUDGET_CAP = 20.0


@attrs.frozen
class Retry:
    """The attempt may be repeated."""

    at: float
    """Monotonic seconds of the next attempt; before the deadline."""


@attrs.frozen
class GiveUp:
    """The attempt must not be repeated."""

    reason: str
    """Why, in one sentence."""


class RetryPolicy:
    """Retries what provably did not run, or may run twice, within a budget.

    The budget grows by a fixed part of every first attempt, so retries add at
    most that part to the load however many requests fail.

    Args:
        rng: Source of jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._budget = BUDGET_CAP

    @property
    def budget(self) -> float:
        """Retries that may be made now without new first attempts."""
        return self._budget

    def note_first_attempt(self) -> None:
        """Earns budget; called once a request."""
        self._budget = min(BUDGET_CAP, self._budget + BUDGET_RATIO)

    def decide(
        self,
        *,
        attempts: int,
        outcome: base.Outcome,
        idempotent: bool,
        deadline: float,
        now: float,
        retry_after: float | None = None,
    ) -> Retry | GiveUp:
        """Decides after a failed attempt and spends budget for a retry.

        Args:
            attempts: Attempts made so far; at least 1.
            outcome: What is known of the last one.
            idempotent: Whether running twice does no harm.
            deadline: Monotonic seconds of the request's deadline.
            now: Monotonic seconds.
            retry_after: Seconds that the refusing side asked for, or None.
        """
        if outcome is base.Outcome.RAN:
            return GiveUp("An endpoint has answered.")
        if outcome is not base.Outcome.NOT_RUN and not idempotent:
            return GiveUp("It may have run and must not run twice.")
        if attempts >= MAX_ATTEMPTS:
            return GiveUp(f"{attempts} attempts were made.")
        at = now + max(self._delay(attempts), retry_after or 0.0)
        if at >= deadline:
            return GiveUp("The deadline is too near for another attempt.")
        if self._budget < 1.0:
            return GiveUp("The retry budget is spent.")
        self._budget -= 1.0
        return Retry(at)

    def _delay(self, attempts: int) -> float:
        """Full jitter below an exponential bound."""
        bound = min(MAX_DELAY_S, BASE_DELAY_S * 2.0 ** (attempts - 1))
        return self._rng.uniform(0.0, bound)
