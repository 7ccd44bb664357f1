"""Follow-up work: grading of finished attempts and batches of steps."""

from collections.abc import Sequence

import banyanbank_base as base

from banyanbank_rollout import _effects
from banyanbank_rollout import _ledger
from banyanbank_rollout import _state
from banyanbank_rollout import _views

GRADE_RETRY_S = 10.0
PROPOSE_RETRY_S = 1.0


class GradeRequests:
    """Requests grading of finished attempts, with retries."""

    def __init__(self) -> None:
        self._retry_at: dict[str, float] = {}

    def collect_due(
        self, live: Sequence[_views.AttemptView], now: float
    ) -> list[_effects.GradeSample]:
        """Returns the grading requests that are due and schedules a retry."""
        finished = [
            attempt
            for attempt in live
            if attempt.phase is _views.AttemptPhase.FINISHED
        ]
        present = {attempt.attempt_id for attempt in finished}
        for gone in self._retry_at.keys() - present:
            del self._retry_at[gone]
        effects = []
        for attempt in finished:
            if self._retry_at.get(attempt.attempt_id, now) > now:
                continue
            self._retry_at[attempt.attempt_id] = now + GRADE_RETRY_S
            effects.append(
                _effects.GradeSample(attempt.slot, attempt.attempt_id)
            )
        return effects


class BatchProposals:
    """Proposes batches of complete steps and the removal of stale samples."""

    def __init__(self) -> None:
        self._retry_at: dict[_state.StepKey, float] = {}
        self._last_checked: dict[_state.StepKey, base.WeightVersion] = {}

    def collect_due(
        self, ledger: _ledger.Ledger, now: float
    ) -> list[_effects.ProposeBatch]:
        """Returns the proposals that are due and schedules a retry."""
        for gone in self._last_checked.keys() - ledger.tables.steps.keys():
            del self._last_checked[gone]
        wanted = [
            step for step in ledger.steps() if self._is_proposable(ledger, step)
        ]
        after = self._retry_at
        self._retry_at = {}
        effects = []
        for step in wanted:
            self._retry_at[step.key] = after.get(step.key, now)
            if self._retry_at[step.key] > now:
                continue
            self._retry_at[step.key] = now + PROPOSE_RETRY_S
            effects.append(_effects.ProposeBatch(step.trainer, step.step))
        return effects

    def _is_proposable(
        self, ledger: _ledger.Ledger, step: _state.StepState
    ) -> bool:
        if step.batch is None and step.is_complete:
            return True
        if step.batch is not None and step.batch.handed_out_at is not None:
            return False
        # The ledger rejects stale results, so only a publication makes a
        # recorded sample stale.
        newest = ledger.newest_version(step.model)
        if self._last_checked.get(step.key) == newest:
            return False
        if ledger.has_stale_samples(step):
            return True
        self._last_checked[step.key] = newest
        return False
