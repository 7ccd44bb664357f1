"""Retries of failed attempts with backoff and a retry budget."""

import random

import attrs
import banyanbank_base as base

BASE_DELAY_S = 0.025
MAX_DELAY_S = 2.0
MAX_ATTEMPTS = 4
RETRY_BUDGET_RATIO = 0.1
"""Retries that each first attempt adds to the budget."""
MAX_RETRY_BUDGET = 20.0
"""Maximum and initial number of retries in the budget."""


@attrs.frozen
class Retry:
    """The attempt may be repeated."""

    at: float
    """Monotonic time of the next attempt in seconds; before the deadline."""


@attrs.frozen
class GiveUp:
    """The attempt must not be repeated."""

    reason: str
    """Explanation in one sentence."""


class RetryPolicy:
    """Decides on retries within a budget.

    Retries requests that did not run, and idempotent requests that may have
    run. Every first attempt adds `RETRY_BUDGET_RATIO` to the budget, which
    bounds the load that retries add however many requests fail.

    Args:
        rng: Random source of the jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._budget = MAX_RETRY_BUDGET

    @property
    def budget(self) -> float:
        """Number of retries available until further first attempts."""
        return self._budget

    def note_first_attempt(self) -> None:
        """Adds to the budget; must be called once per request."""
        self._budget = min(MAX_RETRY_BUDGET, self._budget + RETRY_BUDGET_RATIO)

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
        """Decides after a failed attempt; a retry is charged to the budget.

        Args:
            attempts: Attempts made so far; at least 1.
            outcome: Outcome of the last attempt.
            idempotent: Whether the request is idempotent.
            deadline: Monotonic time of the request's deadline in seconds.
            now: Monotonic time in seconds.
            retry_after: Minimum delay in seconds that the refusal asked for,
                or None.
        """
        if outcome is base.Outcome.RAN:
            return GiveUp("An endpoint has answered the request.")
        if outcome is not base.Outcome.NOT_RUN and not idempotent:
            return GiveUp("It may have run and is not idempotent.")
        if attempts >= MAX_ATTEMPTS:
            return GiveUp(
                f"{attempts} attempts were made, which is the maximum."
            )
        at = now + max(self._backoff_s(attempts), retry_after or 0.0)
        if at >= deadline:
            return GiveUp("The next attempt would miss the deadline.")
        if self._budget < 1.0:
            return GiveUp("The retry budget is exhausted.")
        self._budget -= 1.0
        return Retry(at)

    def _backoff_s(self, attempts: int) -> float:
        """Returns an exponential backoff with full jitter."""
        max_backoff_s = min(MAX_DELAY_S, BASE_DELAY_S * 2.0 ** (attempts - 1))
        return self._rng.uniform(0.0, max_backoff_s)
