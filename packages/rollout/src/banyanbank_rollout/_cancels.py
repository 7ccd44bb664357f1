"""Which attempts are of no more use, and which must move."""

from collections.abc import Mapping

import attrs
import banyanbank_base as base

from banyanbank_rollout import _effects
from banyanbank_rollout import _forecast
from banyanbank_rollout import _samples
from banyanbank_rollout import _state
from banyanbank_rollout import _views

DOOMED_SHARE = 0.25
"""An attempt is given up when its bound breaks within this share of its age.

Lengths are heavy-tailed: an attempt that has run for long is expected to run
for about as long again.
"""


@attrs.frozen
class StepCheck:
    """What decides on the attempts of one open step."""

    step: _state.StepState
    """The step in the ledger."""
    newest: base.WeightVersion
    """Newest published version of its model."""
    freshest: base.WeightVersion
    """Newest version that engines serve of its model."""
    forecast: _forecast.PublicationForecast | None
    """Of publications; None to stop nothing by forecast."""
    older: int
    """Older open steps of the same trainer."""
    now: float
    """Clock seconds."""

    def cancel_reason(self, attempt: _views.AttemptView) -> str:
        """Returns why an attempt is of no more use; empty while it is."""
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
        if group is None or group.is_whole:
            return "group whole"
        return self._age_reason(group, attempt)

    def _age_reason(
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
        if attempt.supersedes or self.freshest <= oldest:
            return ""
        return self._doom_reason(slack, attempt.started_at)

    def _doom_reason(self, slack: int, started_at: float) -> str:
        if self.forecast is None:
            return ""
        breaks_at = self.forecast.breaks_at(
            self.step.model, self.older, slack, self.now
        )
        patience_s = DOOMED_SHARE * (self.now - started_at)
        if breaks_at < self.now + patience_s:
            return "expected to become stale"
        return ""


def slack(
    newest: base.WeightVersion,
    group: _state.GroupState,
    progress: _effects.ResumePoint | None,
) -> int:
    """Returns how many publications the tokens so far survive."""
    if progress is None or not progress.stretches:
        return group.spec.staleness_bound
    oldest = _samples.oldest_version(progress.stretches)
    return group.spec.staleness_bound - (newest - oldest)


def must_move(
    attempt: _views.AttemptView,
    engines: Mapping[base.EndpointId, _views.EngineView],
) -> bool:
    """Tells whether the attempt's engine will be gone before it ends."""
    if attempt.engine is None:
        return False
    engine = engines.get(attempt.engine)
    return engine is not None and engine.gone_at is not None


def cancel(
    attempt: _views.AttemptView, reason: str, export_kv: bool = False
) -> _effects.CancelAttempt:
    """Returns the effect that stops an attempt."""
    return _effects.CancelAttempt(
        attempt.slot, attempt.attempt_id, reason, export_kv
    )
