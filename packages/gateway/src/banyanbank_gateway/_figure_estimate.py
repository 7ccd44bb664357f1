"""Estimates how fast one endpoint is from times of several routes."""

import collections.abc
import math

import attrs

FAST_HALF_LIFE_S = 2.0
"""Follows endpoints that turn slow for some seconds."""

SLOW_HALF_LIFE_S = 20.0
"""Remembers how fast an endpoint usually is, for when it has few requests."""

PRIOR_WEIGHT = 2.0
"""Weight of the usual speed, in requests of the recent past."""

MIN_COUNT = 2.0
"""Least (decayed) number of successes for an endpoint to count."""

MIN_VARIANCE = 0.01
"""Least variance of the logarithm of times, for a cautious start."""


@attrs.define
class DecayingSum:
    """Count, sum and sum of squares that decay exponentially."""

    half_life_s: float
    """Time after which a value counts half."""
    count: float = 0.0
    """Decayed number of values."""
    total: float = 0.0
    """Decayed sum of the values."""
    squares: float = 0.0
    """Decayed sum of their squares."""
    decayed_at: float = 0.0
    """Time of the last decay."""

    def decay(self, now: float) -> None:
        """Lets the sums decay until now."""
        elapsed_s = max(0.0, now - self.decayed_at)
        factor = 0.5 ** (elapsed_s / self.half_life_s)
        self.count *= factor
        self.total *= factor
        self.squares *= factor
        self.decayed_at = now

    def add(self, value: float, count: float, now: float) -> None:
        """Adds a value a number of times."""
        self.decay(now)
        self.count += count
        self.total += count * value
        self.squares += count * value * value

    @property
    def mean(self) -> float:
        """Mean of the values; there must be some."""
        return self.total / self.count

    @property
    def variance(self) -> float:
        """Variance of the values; there must be some."""
        return max(0.0, self.squares / self.count - self.mean**2)


class RouteTimes:
    """Logarithms of the times of one route at one endpoint."""

    def __init__(self) -> None:
        self.fast = DecayingSum(FAST_HALF_LIFE_S)
        self.slow = DecayingSum(SLOW_HALF_LIFE_S)

    def add(self, duration_s: float, count: float, now: float) -> None:
        """Adds successes that took a time."""
        for sums in (self.fast, self.slow):
            sums.add(math.log(duration_s), count, now)

    def estimate(self, now: float) -> tuple[float, float] | None:
        """Returns the present mean and its weight in requests, or None."""
        self.fast.decay(now)
        self.slow.decay(now)
        if self.slow.count < MIN_COUNT:
            return None
        weight = self.fast.count + PRIOR_WEIGHT
        mean = (self.fast.total + PRIOR_WEIGHT * self.slow.mean) / weight
        return mean, weight


@attrs.frozen
class Deviation:
    """How an endpoint differs from the median one, as logarithms of times."""

    mean: float
    """Mean difference."""
    error: float
    """Standard error of the mean."""


def find_deviations(
    routes: collections.abc.Iterable[collections.abc.Mapping[str, RouteTimes]],
    now: float,
) -> dict[str, Deviation]:
    """Returns the deviation of each endpoint that has enough successes.

    Addresses unequal endpoints and requests of unequal length: times are
    compared within a route only, and routes count by how well they are known.

    Args:
        routes: For each route, the times at the endpoints of one service.
        now: Current time.
    """
    parts: dict[str, list[tuple[float, float]]] = {}
    for by_endpoint in routes:
        estimates = {
            name: estimate
            for name, times in by_endpoint.items()
            if (estimate := times.estimate(now)) is not None
        }
        if len(estimates) < 2:
            continue
        median = _find_median(mean for mean, _ in estimates.values())
        variance = _find_median(
            by_endpoint[name].slow.variance for name in estimates
        )
        for name, (mean, weight) in estimates.items():
            precision = weight / max(variance, MIN_VARIANCE)
            parts.setdefault(name, []).append((mean - median, precision))
    return {name: _combine(found) for name, found in parts.items()}


def _find_median(values: collections.abc.Iterable[float]) -> float:
    # Importing the module `statistics` would slow the start of an entry.
    ordered = sorted(values)
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[~middle]) / 2


def _combine(parts: list[tuple[float, float]]) -> Deviation:
    total = sum(precision for _, precision in parts)
    mean = sum(value * precision for value, precision in parts) / total
    return Deviation(mean, total**-0.5)
