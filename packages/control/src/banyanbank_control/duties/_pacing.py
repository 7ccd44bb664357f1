"""Retry pacing for what is sent until its result is committed."""

import collections.abc
import typing

import attrs

K = typing.TypeVar("K", bound=collections.abc.Hashable)

INITIAL_RETRY_DELAY_S = 1.0
"""Delay between the first attempt and the first retry, in seconds."""

MAX_RETRY_DELAY_S = 30.0
"""Maximum delay between two attempts, in seconds."""


@attrs.frozen
class _Attempt:
    due_at: float
    delay_s: float


class RetryBackoff(typing.Generic[K]):
    """Tracks the next attempt by key; the delay doubles with each attempt.

    The state lasts for one leadership term. A new leader sends everything at
    once, which is safe because of the idempotency keys.
    """

    def __init__(self) -> None:
        self._attempts: dict[K, _Attempt] = {}

    def begin_attempt(self, key: K, now: float) -> bool:
        """Returns whether a key is due; if so, schedules the next attempt."""
        previous = self._attempts.get(key)
        if previous is not None and now < previous.due_at:
            return False
        delay_s = INITIAL_RETRY_DELAY_S
        if previous is not None:
            delay_s = min(2 * previous.delay_s, MAX_RETRY_DELAY_S)
        self._attempts[key] = _Attempt(now + delay_s, delay_s)
        return True

    def retain(self, keys: collections.abc.Collection[K]) -> None:
        """Drops the state of all other keys."""
        self._attempts = {
            key: attempt
            for key, attempt in self._attempts.items()
            if key in keys
        }
