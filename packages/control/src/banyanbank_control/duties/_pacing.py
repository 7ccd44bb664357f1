"""Spaces the repeats of things that are sent until they are recorded."""

import collections.abc
import typing

import attrs

K = typing.TypeVar("K", bound=collections.abc.Hashable)

FIRST_RETRY_S = 1.0
"""Time after a sending before it is repeated, in seconds."""

LAST_RETRY_S = 30.0
"""Longest time between two sendings of one thing, in seconds."""


@attrs.frozen
class _Sent:
    due_at: float
    delay_s: float


class Pacing(typing.Generic[K]):
    """Says when a thing is due again, with doubling delays.

    It is memory of one office only: a new leader sends at once, which the
    idempotency key makes harmless.
    """

    def __init__(self) -> None:
        self._sent: dict[K, _Sent] = {}

    def take(self, key: K, now: float) -> bool:
        """Returns whether a thing is due, and if so counts it as sent."""
        sent = self._sent.get(key)
        if sent is not None and now < sent.due_at:
            return False
        delay_s = FIRST_RETRY_S
        if sent is not None:
            delay_s = min(2 * sent.delay_s, LAST_RETRY_S)
        self._sent[key] = _Sent(now + delay_s, delay_s)
        return True

    def keep(self, keys: collections.abc.Collection[K]) -> None:
        """Forgets everything but some things."""
        self._sent = {
            key: sent for key, sent in self._sent.items() if key in keys
        }
