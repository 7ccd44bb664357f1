"""Decides which attempts to cancel and which to move to another engine."""

from collections.abc import Mapping

import attrs
import banyanbank_base as base

from banyanbank_rollout import _effects
from banyanbank_rollout import _forecast
from banyanbank_rollout import _samples
from banyanbank_rollout import _state
from banyanbank_rollout import _views

STALE_HORIZON_AGE_SHARE = 0.25
"""Horizon within which expected staleness cancels an attempt, by its age.

Sample lengths are heavy-tailed: the expected remaining run time of an attempt
is about its age.
"""


@attrs.frozen
class CancelCheck:
    """Cancellation rules for the attempts of one open step."""

    step: _state.StepState
    """State of the step in the ledger."""
    newest: base.WeightVersion
    """Newest published version of the step's model."""
    newest_served: base.WeightVersion
    """Newest version of the step's model that an engine serves."""
    forecast: _forecast.PublicationForecast | None
    """Publication forecast; None disables cancellation by forecast."""
    open_before: int
    """Number of older open steps of the same trainer."""
    now: float
    """Clock seconds."""

    def cancel_reason(self, attempt: _views.AttemptView) -> str:
        """Returns why to cancel an attempt; empty to let it run."""
        slot = attempt.slot
        winner = self.step.samples.get((slot.group, slot.index))
        if winner is not None and winner.attempt_id == attempt.attempt_id:
            return ""
        if self.step.batch is not None:
            return "batch formed"
        if winner is not None:
            superseding = attempt.supersedes == winner.attempt_id
            return "" if superseding else "slot filled"
        group = self.step.groups.get(slot.group)
        if group is None or group.is_complete:
            return "group whole"
        return self._staleness_reason(group, attempt)

    def _staleness_reason(
        self, group: _state.GroupState, attempt: _views.AttemptView
    ) -> str:
        if attempt.progress is None or not attempt.progress.stretches:
            return ""
        oldest = _samples.oldest_version(attempt.progress.stretches)
        slack = group.spec.staleness_bound - (self.newest - oldest)
        if slack < 0:
            return "stale"
        if attempt.phase is not _views.AttemptPhase.RUNNING:
            return ""
        if attempt.supersedes or self.newest_served <= oldest:
            return ""
        return self._forecast_reason(slack, attempt.started_at)

    def _forecast_reason(self, slack: int, started_at: float) -> str:
        if self.forecast is None:
            return ""
        stale_at = self.forecast.predict_stale_at(
            self.step.model, self.open_before, slack, self.now
        )
        horizon_s = STALE_HORIZON_AGE_SHARE * (self.now - started_at)
        if stale_at < self.now + horizon_s:
            return "expected to become stale"
        return ""


def compute_slack(
    newest: base.WeightVersion,
    group: _state.GroupState,
    progress: _effects.ResumePoint | None,
) -> int:
    """Returns how many more publications the staleness bound allows.

    Negative when tokens generated so far are already stale.
    """
    if progress is None or not progress.stretches:
        return group.spec.staleness_bound
    oldest = _samples.oldest_version(progress.stretches)
    return group.spec.staleness_bound - (newest - oldest)


def is_engine_leaving(
    attempt: _views.AttemptView,
    engines: Mapping[base.EndpointId, _views.EngineView],
) -> bool:
    """Returns whether the attempt runs on an engine about to be reclaimed."""
    if attempt.engine is None:
        return False
    engine = engines.get(attempt.engine)
    return engine is not None and engine.gone_at is not None


def cancel(
    attempt: _views.AttemptView, reason: str, export_kv: bool = False
) -> _effects.CancelAttempt:
    """Builds the effect that cancels an attempt."""
    return _effects.CancelAttempt(
        attempt.slot, attempt.attempt_id, reason, export_kv
    )
