"""Forecast of a model's need by level and trend."""

import math

LEVEL_TIME_S = 60.0
"""Time constant of the smoothed level."""
TREND_TIME_S = 300.0
"""Time constant of the smoothed trend."""


class DemandForecast:
    """Double exponential smoothing of a rate seen at uneven times."""

    def __init__(self) -> None:
        self._level: float | None = None
        self._trend = 0.0
        self._at = 0.0

    def observe(self, tokens_per_s: float, now: float) -> None:
        """Takes in a measured rate at `now` seconds."""
        if self._level is None:
            self._level = tokens_per_s
            self._at = now
            return
        elapsed = now - self._at
        if elapsed <= 0:
            return
        expected = self._level + self._trend * elapsed
        weight = 1 - math.exp(-elapsed / LEVEL_TIME_S)
        level = expected + weight * (tokens_per_s - expected)
        slope = (level - self._level) / elapsed
        weight = 1 - math.exp(-elapsed / TREND_TIME_S)
        self._trend += weight * (slope - self._trend)
        self._level = level
        self._at = now

    def at(self, when: float) -> float:
        """Returns the rate expected at a clock time, 0 when none is seen."""
        if self._level is None:
            return 0.0
        return max(0.0, self._level + self._trend * (when - self._at))


class PeakWindow:
    """Highest value of the last seconds.

    Args:
        window_s: How long a value counts.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._values: list[tuple[float, float]] = []

    def observe(self, value: float, now: float) -> float:
        """Takes in a value and returns the highest of the window."""
        start = now - self._window_s
        self._values = [
            (at, old) for at, old in self._values if at > start and old > value
        ]
        self._values.append((now, value))
        return self._values[0][1]
