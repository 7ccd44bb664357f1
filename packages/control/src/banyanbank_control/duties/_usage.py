"""Closes usage windows and reports them to the platform."""

import math

from banyanbank_control import commands
from banyanbank_control import usage
from banyanbank_control.duties import _effects
from banyanbank_control.duties import _pacing

WINDOW_S = 60.0
"""Length of a usage window, in seconds; windows end at multiples of it."""

MAX_REPORTS_PER_DECISION = 8
"""Maximum number of window reports that one decision sends."""


class UsageReporter:
    """Closes usage windows when due and reports the frozen ones.

    One instance serves one leadership term. The figures come from the
    committed window alone, so a report is the same for every resend by any
    leader.

    Args:
        epoch: Control epoch of the term.
    """

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._backoff: _pacing.RetryBackoff[str] = _pacing.RetryBackoff()

    def decide(
        self, state: usage.UsageState, now: float, wall: float
    ) -> tuple[_effects.Effect, ...]:
        """Returns the effects that are due.

        Args:
            state: Committed usage state.
            now: Monotonic time in seconds.
            wall: Wall time in seconds.
        """
        effects: list[_effects.Effect] = []
        end = math.floor(wall / WINDOW_S) * WINDOW_S
        close_key = f"close-{state.open.number}"
        if end > state.open.start and self._backoff.begin_attempt(
            close_key, now
        ):
            effects.append(
                _effects.Propose(
                    commands.CloseWindow(
                        state.open.number, end, first_start=end - WINDOW_S
                    )
                )
            )
        reports = [_build_report(window) for window in state.unreported()]
        for report in reports[:MAX_REPORTS_PER_DECISION]:
            if self._backoff.begin_attempt(report.idempotency_key, now):
                effects.append(_effects.SendReport(report, self._epoch))
        report_keys = {report.idempotency_key for report in reports}
        self._backoff.retain(report_keys | {close_key})
        return tuple(effects)

    def build_delivery_proposal(
        self, report: _effects.UsageReport
    ) -> _effects.Propose:
        """Returns the effect that commits the delivery of a report."""
        return _effects.Propose(commands.MarkReported(report.window))


def _build_report(window: usage.Window) -> _effects.UsageReport:
    if window.end is None:
        raise ValueError(
            f"Usage window {window.number} is still open; only a frozen window"
            " can be reported."
        )
    return _effects.UsageReport(
        window.number,
        window.start,
        window.end,
        usage.WindowRecord.from_window(window).figures,
        window.interrupted,
    )
