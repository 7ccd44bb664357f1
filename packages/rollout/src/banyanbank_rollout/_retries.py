"""Retry delays and resume points of sample slots."""

import random

import attrs
import banyanbank_base as base

from banyanbank_rollout import _effects
from banyanbank_rollout import _ledger
from banyanbank_rollout import _samples

MAX_AVOIDED = 2
"""Endpoints avoided at a retry; more would leave too few."""


@attrs.frozen
class SlotRetry:
    """What failed attempts left behind for the next one."""

    failures: int = 0
    """Attempts that failed in a row."""
    not_before: float = 0.0
    """Clock seconds before which no attempt may start."""
    resume_from: _effects.ResumePoint | None = None
    """Where the next attempt goes on; None to start at the prompt."""
    avoid: tuple[base.EndpointId, ...] = ()
    """Endpoints of the newest failures."""


class SlotRetries:
    """Keeps the retry state of slots whose attempts failed or were moved.

    Args:
        rng: Source of jitter.
        delay_s: Delay after the second failure; the first has none.
        max_delay_s: Longest delay.
    """

    def __init__(
        self, rng: random.Random, delay_s: float, max_delay_s: float
    ) -> None:
        self._rng = rng
        self._delay_s = delay_s
        self._max_delay_s = max_delay_s
        self._slots: dict[_samples.SampleSlot, SlotRetry] = {}

    def get(self, slot: _samples.SampleSlot) -> SlotRetry:
        """Returns the retry state of a slot."""
        return self._slots.get(slot, SlotRetry())

    def any_repeated(self) -> bool:
        """Tells whether any slot has failed twice or more."""
        return any(retry.failures > 1 for retry in self._slots.values())

    def failed(
        self,
        slot: _samples.SampleSlot,
        engine: base.EndpointId | None,
        resume_from: _effects.ResumePoint | None,
        now: float,
    ) -> None:
        """Takes in a failed attempt."""
        before = self.get(slot)
        avoid = before.avoid
        if engine is not None:
            avoid = (engine, *(e for e in avoid if e != engine))[:MAX_AVOIDED]
        self._slots[slot] = SlotRetry(
            failures=before.failures + 1,
            not_before=now + self._delay(before.failures),
            resume_from=resume_from or before.resume_from,
            avoid=avoid,
        )

    def moved(
        self,
        slot: _samples.SampleSlot,
        engine: base.EndpointId | None,
        resume_from: _effects.ResumePoint | None,
    ) -> None:
        """Takes in an attempt that was stopped to go on elsewhere."""
        self._slots[slot] = attrs.evolve(
            self.get(slot),
            resume_from=resume_from,
            avoid=() if engine is None else (engine,),
        )

    def forget_progress(self, slot: _samples.SampleSlot) -> None:
        """Makes the next attempt start at the prompt."""
        if slot in self._slots:
            self._slots[slot] = attrs.evolve(
                self._slots[slot], resume_from=None
            )

    def keep_open(self, ledger: _ledger.Ledger) -> None:
        """Forgets all slots but the open ones of the ledger.

        A slot that is reopened later has lost a whole sample to its age:
        tokens from before that sample would only be older.
        """
        closed = [slot for slot in self._slots if not _is_open(ledger, slot)]
        for slot in closed:
            del self._slots[slot]

    def _delay(self, earlier_failures: int) -> float:
        if earlier_failures == 0:
            return 0.0
        exponent = min(earlier_failures - 1, 16)
        delay = min(self._delay_s * 2.0**exponent, self._max_delay_s)
        return delay * self._rng.uniform(0.5, 1.0)


def _is_open(ledger: _ledger.Ledger, slot: _samples.SampleSlot) -> bool:
    step = ledger.tables.steps.get((slot.trainer, slot.step))
    return step is not None and (slot.group, slot.index) not in step.samples
