"""Which attempts are of no more use, and which must move."""

from collections.abc import Mapping

import banyanbank_base as base

from banyanbank_rollout import _effects
from banyanbank_rollout import _forecast
from banyanbank_rollout import _ledger
from banyanbank_rollout import _samples
from banyanbank_rollout import _state
from banyanbank_rollout import _views

DOOMED_SHARE = 0.25
"""An attempt is given up when its bound breaks within this share of its age.

Lengths are heavy-tailed: an attempt that has run for long is expected to run
for about as long again.
"""


def cancel_reason(ledger: _ledger.Ledger, attempt: _views.AttemptView) -> str:
    """Returns why an attempt's result cannot count; empty when it can."""
    slot = attempt.slot
    step = ledger.tables.steps.get((slot.trainer, slot.step))
    if step is None:
        return "step done"
    winner = step.samples.get((slot.group, slot.index))
    if winner is not None and winner.attempt_id == attempt.attempt_id:
        return ""
    if step.batch is not None:
        return "batch formed"
    if winner is not None:
        superseding = attempt.supersedes == winner.attempt_id
        return "" if superseding else "slot filled"
    group = step.groups.get(slot.group)
    if group is None or group.is_whole:
        return "group whole"
    if slack(ledger, group, attempt.progress) < 0:
        return "stale"
    return ""


def slack(
    ledger: _ledger.Ledger,
    group: _state.GroupState,
    progress: _effects.ResumePoint | None,
) -> int:
    """Returns how many publications the tokens so far survive."""
    if progress is None or not progress.stretches:
        return group.spec.staleness_bound
    oldest = _samples.oldest_version(progress.stretches)
    lag = ledger.newest_version(group.spec.model) - oldest
    return group.spec.staleness_bound - lag


def is_doomed(
    ledger: _ledger.Ledger,
    attempt: _views.AttemptView,
    forecast: _forecast.PublicationForecast,
    freshest: base.WeightVersion,
    older: int,
    now: float,
) -> bool:
    """Tells whether an attempt is expected to be stale when it ends.

    Args:
        ledger: The newest committed ledger.
        attempt: A running attempt that `cancel_reason` leaves running.
        forecast: Of publications.
        freshest: Newest version that engines serve of its model.
        older: Older open steps of the same trainer.
        now: Clock seconds.
    """
    slot = attempt.slot
    step = ledger.tables.steps[(slot.trainer, slot.step)]
    progress = attempt.progress
    if progress is None or not progress.stretches:
        return False
    if freshest <= _samples.oldest_version(progress.stretches):
        return False
    group = step.groups[slot.group]
    breaks_at = forecast.breaks_at(
        step.model, older, slack(ledger, group, progress), now
    )
    return breaks_at < now + DOOMED_SHARE * (now - attempt.started_at)


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
