"""What follows a finished attempt and a whole step: grades and batches."""

from collections.abc import Sequence

import banyanbank_base as base

from banyanbank_rollout import _effects
from banyanbank_rollout import _ledger
from banyanbank_rollout import _state
from banyanbank_rollout import _views

GRADE_RETRY_S = 10.0
PROPOSE_RETRY_S = 1.0


class Grades:
    """Sends finished attempts to grading, again while they stay so."""

    def __init__(self) -> None:
        self._after: dict[str, float] = {}

    def due(
        self, live: Sequence[_views.AttemptView], now: float
    ) -> list[_effects.GradeSample]:
        """Returns the attempts to grade now."""
        finished = [
            attempt
            for attempt in live
            if attempt.phase is _views.AttemptPhase.FINISHED
        ]
        present = {attempt.attempt_id for attempt in finished}
        for gone in self._after.keys() - present:
            del self._after[gone]
        effects = []
        for attempt in finished:
            if self._after.get(attempt.attempt_id, now) > now:
                continue
            self._after[attempt.attempt_id] = now + GRADE_RETRY_S
            effects.append(
                _effects.GradeSample(attempt.slot, attempt.attempt_id)
            )
        return effects


class Proposals:
    """Proposes batches of whole steps, and the removal of stale samples."""

    def __init__(self) -> None:
        self._after: dict[_state.StepKey, float] = {}
        self._unstale: dict[_state.StepKey, base.WeightVersion] = {}

    def due(
        self, ledger: _ledger.Ledger, now: float
    ) -> list[_effects.ProposeBatch]:
        """Returns the steps to propose now."""
        for gone in self._unstale.keys() - ledger.tables.steps.keys():
            del self._unstale[gone]
        wanted = [
            step for step in ledger.steps() if self._is_wanted(ledger, step)
        ]
        after = self._after
        self._after = {}
        effects = []
        for step in wanted:
            self._after[step.key] = after.get(step.key, now)
            if self._after[step.key] > now:
                continue
            self._after[step.key] = now + PROPOSE_RETRY_S
            effects.append(_effects.ProposeBatch(step.trainer, step.step))
        return effects

    def _is_wanted(
        self, ledger: _ledger.Ledger, step: _state.StepState
    ) -> bool:
        if step.batch is None and step.is_whole:
            return True
        if step.batch is not None and step.batch.handed_out_at is not None:
            return False
        # Stale results are refused, so only a publication can make one.
        newest = ledger.newest_version(step.model)
        if self._unstale.get(step.key) == newest:
            return False
        if ledger.has_stale_samples(step):
            return True
        self._unstale[step.key] = newest
        return False
