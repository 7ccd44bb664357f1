"""The duty to close usage windows and report them."""

import math

from banyanbank_control import commands
from banyanbank_control import usage
from banyanbank_control.duties import _effects
from banyanbank_control.duties import _pacing

WINDOW_S = 60.0
"""Length of a usage window, in seconds; windows end on its multiples."""

MAX_REPORTS_AT_ONCE = 8
"""Windows that one decision sends at most."""


class UsageReporter:
    """Closes windows in time and reports only what the log has frozen.

    One serves one office of a leader. Figures come from the committed window
    alone, so every sending of a report, by whichever leader, is the same.

    Args:
        epoch: Control epoch of the office.
    """

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._pacing: _pacing.Pacing[str] = _pacing.Pacing()

    def decide(
        self, state: usage.UsageState, now: float, wall: float
    ) -> tuple[_effects.Effect, ...]:
        """Returns what to do now.

        Args:
            state: Usage as committed.
            now: Monotonic time in seconds.
            wall: Wall time in seconds.
        """
        effects: list[_effects.Effect] = []
        end = math.floor(wall / WINDOW_S) * WINDOW_S
        close = f"close-{state.open.number}"
        if end > state.open.start and self._pacing.take(close, now):
            effects.append(
                _effects.Propose(
                    commands.CloseWindow(
                        state.open.number, end, first_start=end - WINDOW_S
                    )
                )
            )
        reports = [_report(window) for window in state.unreported()]
        for report in reports[:MAX_REPORTS_AT_ONCE]:
            if self._pacing.take(report.idempotency_key, now):
                effects.append(_effects.SendReport(report, self._epoch))
        known = {report.idempotency_key for report in reports}
        self._pacing.keep(known | {close})
        return tuple(effects)

    def on_reported(self, report: _effects.UsageReport) -> _effects.Propose:
        """Returns what to commit once the platform has taken a report."""
        return _effects.Propose(commands.MarkReported(report.window))


def _report(window: usage.Window) -> _effects.UsageReport:
    if window.end is None:
        raise ValueError(f"Window {window.number} is not frozen.")
    return _effects.UsageReport(
        window.number,
        window.start,
        window.end,
        usage.WindowRecord.of(window).figures,
        window.interrupted,
    )
