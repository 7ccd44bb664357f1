"""Decides what follows when endpoints reject a request without running it."""

import random

import attrs

BACKOFF_SHARE = 0.25
"""Share of the latency objective that a request may wait in all."""

BACKOFFS = 2
"""Number of waits; after each, the endpoints that rejected are asked again."""

JITTER = 0.5
"""A wait or Retry-After is spread by this share to both sides, so that requests
that were rejected together do not return together."""

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0

DEFAULT_SERVICE_TIME_S = 0.25
"""Time that a request is assumed to take before one has been observed."""

SERVICE_TIME_WEIGHT = 0.2
"""Weight of the newest request in the average time."""


@attrs.define
class Backoff:
    """Waits of one request that all endpoints rejected.

    Addresses a burst on full endpoints, whose slots become free within the time
    of a short request.
    """

    _left_s: float
    """Time that the request may still wait."""
    _count: int = BACKOFFS

    @classmethod
    def of_objective(cls, objective_s: float) -> "Backoff":
        """Returns the waits of a request with a latency objective."""
        return cls(BACKOFF_SHARE * objective_s)

    def next_wait(
        self, now: float, deadline: float, rng: random.Random
    ) -> float | None:
        """Returns the next wait in seconds, or None if there is none.

        Args:
            now: Current time.
            deadline: When the request must be answered.
            rng: Source of jitter.
        """
        if not self._count or self._left_s <= 0:
            return None
        # The jitter stays within the time that is left.
        wait_s = self._left_s / self._count * rng.uniform(1 - JITTER, 1.0)
        if now + wait_s >= deadline:
            return None
        self._count -= 1
        self._left_s -= wait_s
        return wait_s


class ServiceTimes:
    """Average times of successful requests by route, at this instance."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def add(self, route: str, took_s: float) -> None:
        """Adds the time of a request."""
        mean = self._means.get(route, took_s)
        self._means[route] = mean + SERVICE_TIME_WEIGHT * (took_s - mean)

    def get(self, route: str) -> float:
        """Returns the average time of a route's requests."""
        return self._means.get(route, DEFAULT_SERVICE_TIME_S)


def draw_retry_after(service_time_s: float, rng: random.Random) -> float:
    """Returns the Retry-After of a request that all endpoints rejected.

    Args:
        service_time_s: Time that endpoints take for a request, after which a
            slot becomes free.
        rng: Source of jitter.
    """
    # Bounded before the jitter, since a bound on the result would bring the
    # callers together again.
    middle_s = min(
        max(service_time_s, MIN_RETRY_AFTER_S / (1 - JITTER)),
        MAX_RETRY_AFTER_S / (1 + JITTER),
    )
    return middle_s * rng.uniform(1 - JITTER, 1 + JITTER)
