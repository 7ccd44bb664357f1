"""Demand forecast by double exponential smoothing."""

import math

LEVEL_TIME_CONSTANT_S = 60.0
"""Time constant of the smoothed level."""
TREND_TIME_CONSTANT_S = 300.0
"""Time constant of the smoothed trend."""


class DemandForecast:
    """Double exponential smoothing of an irregularly sampled rate."""

    def __init__(self) -> None:
        self._level: float | None = None
        self._trend = 0.0
        self._observed_at = 0.0

    def observe(self, tokens_per_s: float, now: float) -> None:
        """Records the rate measured at `now`, in clock seconds."""
        if self._level is None:
            self._level = tokens_per_s
            self._observed_at = now
            return
        elapsed = now - self._observed_at
        if elapsed <= 0:
            return
        expected = self._level + self._trend * elapsed
        weight = 1 - math.exp(-elapsed / LEVEL_TIME_CONSTANT_S)
        level = expected + weight * (tokens_per_s - expected)
        slope = (level - self._level) / elapsed
        weight = 1 - math.exp(-elapsed / TREND_TIME_CONSTANT_S)
        self._trend += weight * (slope - self._trend)
        self._level = level
        self._observed_at = now

    def predict(self, when: float) -> float:
        """Returns the rate expected at a clock time; 0 before observations."""
        if self._level is None:
            return 0.0
        return max(0.0, self._level + self._trend * (when - self._observed_at))


class SlidingMaximum:
    """Maximum over a sliding time window.

    Args:
        window_s: Length of the window.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._values: list[tuple[float, float]] = []

    def observe(self, value: float, now: float) -> float:
        """Records a value and returns the maximum of the window."""
        start = now - self._window_s
        self._values = [
            (at, old) for at, old in self._values if at > start and old > value
        ]
        self._values.append((now, value))
        return self._values[0][1]
