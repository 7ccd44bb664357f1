"""Estimates the speed of an engine from the intervals between its events."""

import collections
import statistics

import attrs

NOMINAL_EVENT_INTERVAL_S = 0.04
"""Time between two events of a stream, assumed before any is observed."""

NOMINAL_ERROR_S = 0.4 * NOMINAL_EVENT_INTERVAL_S
"""Uncertainty of the nominal interval; engines differ by 0.7 to 1.7."""

WINDOW_EVENTS = 25
"""Number of newest intervals of an engine that count.

Its runs pause together at most: 12 concurrent pauses don't change the median.
A slow engine is recognized after 13 of its events, over all its runs.
"""

MIN_EVENTS = 8
"""Intervals below which the nominal one is assumed for the missing ones."""

QUARTILES_PER_ERROR = 1.35 / 1.25
"""Ratio of the interquartile range to the standard error of a median, times the
square root of the number of intervals, for a normal distribution."""


@attrs.frozen
class SpeedEstimate:
    """Estimated time between two events of an engine."""

    event_interval_s: float = NOMINAL_EVENT_INTERVAL_S
    """Median time between two events."""
    error_s: float = NOMINAL_ERROR_S
    """Standard error of the median."""


class SpeedWindow:
    """Median of the newest intervals between events, over all runs.

    A pause of 0.6 s in one stream, or in all streams of an engine at once, is
    no sign of a slow engine: a mean that follows it makes running items move,
    and the next engine reads their texts again.
    """

    def __init__(self) -> None:
        self._intervals: collections.deque[float] = collections.deque(
            maxlen=WINDOW_EVENTS
        )
        self._estimate: SpeedEstimate | None = SpeedEstimate()

    def record(self, seconds: float) -> None:
        """Records the time between two events of one run."""
        self._intervals.append(seconds)
        self._estimate = None

    @property
    def estimate(self) -> SpeedEstimate:
        """The estimate from the intervals recorded so far."""
        if self._estimate is None:
            self._estimate = self._make_estimate()
        return self._estimate

    def _make_estimate(self) -> SpeedEstimate:
        missing = max(0, MIN_EVENTS - len(self._intervals))
        intervals = [*self._intervals, *[NOMINAL_EVENT_INTERVAL_S] * missing]
        lower, median, upper = statistics.quantiles(intervals, n=4)
        error_s = (upper - lower) / (
            QUARTILES_PER_ERROR * len(intervals) ** 0.5
        )
        if missing:
            error_s = max(error_s, NOMINAL_ERROR_S)
        return SpeedEstimate(median, error_s)
