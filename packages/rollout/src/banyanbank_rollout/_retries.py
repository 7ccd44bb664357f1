"""Retry delays and resume points of sample slots."""

import random

import attrs
import banyanbank_base as base

from banyanbank_rollout import _effects
from banyanbank_rollout import _ledger
from banyanbank_rollout import _samples

MAX_AVOIDED_ENDPOINTS = 2
"""Avoiding more endpoints at a retry would leave too few."""


@attrs.frozen
class SlotRetry:
    """Retry state of a slot."""

    failures: int = 0
    """Number of consecutive failed attempts."""
    not_before: float = 0.0
    """Earliest start of the next attempt, in clock seconds."""
    resume_from: _effects.ResumePoint | None = None
    """Where the next attempt resumes; None to start from the prompt."""
    avoid: tuple[base.EndpointId, ...] = ()
    """Endpoints of the last failures or of the last move."""


class SlotRetries:
    """Retry state of the slots whose attempts failed or were moved.

    Args:
        rng: Source of jitter.
        delay_s: Delay after the second failure; the first has no delay.
        max_delay_s: Maximum delay.
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

    def has_repeated_failures(self) -> bool:
        """Returns whether any slot has failed at least twice."""
        return any(retry.failures > 1 for retry in self._slots.values())

    def record_failure(
        self,
        slot: _samples.SampleSlot,
        engine: base.EndpointId | None,
        resume_from: _effects.ResumePoint | None,
        now: float,
    ) -> None:
        """Records a failed attempt."""
        before = self.get(slot)
        avoid = before.avoid
        if engine is not None:
            avoid = (engine, *(e for e in avoid if e != engine))[
                :MAX_AVOIDED_ENDPOINTS
            ]
        self._slots[slot] = SlotRetry(
            failures=before.failures + 1,
            not_before=now + self._delay(before.failures),
            resume_from=resume_from or before.resume_from,
            avoid=avoid,
        )

    def record_move(
        self,
        slot: _samples.SampleSlot,
        engine: base.EndpointId | None,
        resume_from: _effects.ResumePoint | None,
    ) -> None:
        """Records an attempt that was cancelled to resume on another engine."""
        self._slots[slot] = attrs.evolve(
            self.get(slot),
            resume_from=resume_from,
            avoid=() if engine is None else (engine,),
        )

    def discard_progress(self, slot: _samples.SampleSlot) -> None:
        """Makes the next attempt start from the prompt."""
        if slot in self._slots:
            self._slots[slot] = attrs.evolve(
                self._slots[slot], resume_from=None
            )

    def retain_open(self, ledger: _ledger.Ledger) -> None:
        """Drops the state of all slots that aren't open in the ledger.

        A slot reopens only when its sample has become stale; progress from
        before that sample would be staler still.
        """
        closed = [slot for slot in self._slots if not _is_open(ledger, slot)]
        for slot in closed:
            del self._slots[slot]

    def _delay(self, previous_failures: int) -> float:
        if previous_failures == 0:
            return 0.0
        exponent = min(previous_failures - 1, 16)
        delay = min(self._delay_s * 2.0**exponent, self._max_delay_s)
        return delay * self._rng.uniform(0.5, 1.0)


def _is_open(ledger: _ledger.Ledger, slot: _samples.SampleSlot) -> bool:
    step = ledger.tables.steps.get((slot.trainer, slot.step))
    return step is not None and (slot.group, slot.index) not in step.samples
