"""Histograms of request durations that instances can add up.

Durations are counted in logarithmic buckets that are the same everywhere, so
the counts of several instances are added bucket by bucket.
"""

import collections.abc
import math

import attrs

BUCKETS_PER_DOUBLING = 8
"""A bucket is 9% wide, which bounds the error of a quantile."""

SHORTEST_S = 0.001
"""Shorter durations count as this one."""

HALF_LIFE_S = 60.0
"""Time after which a recorded duration counts half."""

FORGOTTEN_COUNT = 0.05
"""Decayed count below which a bucket is dropped."""

SENT_QUANTILES = (0.5, 0.9, 0.95, 0.99)
"""Quantiles that the leader sends."""

MIN_SENT_COUNT = 50
"""Least (decayed) number of durations for quantiles to be sent."""

MAX_SENT_ROUTES = 64
"""Pairs of service and route whose quantiles are sent, those with the most
durations; each takes some 40 bytes."""


@attrs.frozen
class RouteLatency:
    """Quantiles of the durations of one route's requests at one service."""

    service: str
    """Name of the service."""
    route: str
    """Name of the route."""
    buckets: tuple[int, ...]
    """Buckets of `SENT_QUANTILES`."""


def find_bucket(duration_s: float) -> int:
    """Returns the bucket of a duration."""
    doublings = math.log2(max(duration_s, SHORTEST_S) / SHORTEST_S)
    return round(BUCKETS_PER_DOUBLING * doublings)


def duration_of(bucket: int) -> float:
    """Returns the duration in the middle of a bucket, in seconds."""
    return SHORTEST_S * float(2.0 ** (bucket / BUCKETS_PER_DOUBLING))


class LatencyHistogram:
    """Durations of successful requests, the recent ones counting most.

    Addresses second attempts, whose threshold is a quantile over all instances:
    one entry sees too few requests of a route to know it.
    """

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._decayed_at = 0.0

    def add(
        self, counts: collections.abc.Mapping[int, int], now: float
    ) -> None:
        """Adds counts by bucket."""
        self._decay(now)
        for bucket, count in counts.items():
            self._counts[bucket] = self._counts.get(bucket, 0.0) + count

    @property
    def total(self) -> float:
        """Decayed number of durations."""
        return sum(self._counts.values())

    def find_quantile(self, share: float, min_count: float) -> float | None:
        """Returns a quantile in seconds, or None with too few durations.

        Args:
            share: Share of the durations that are not longer.
            min_count: Least (decayed) number of durations.
        """
        total = self.total
        if not total or total < min_count:
            return None
        seen = 0.0
        for bucket, count in sorted(self._counts.items()):
            seen += count
            if seen >= share * total:
                return duration_of(bucket)
        return duration_of(max(self._counts))

    def is_empty(self, now: float) -> bool:
        """Whether all durations are too old to count."""
        self._decay(now)
        return not self._counts

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._decayed_at) / HALF_LIFE_S)
        self._decayed_at = now
        self._counts = {
            bucket: count * factor
            for bucket, count in self._counts.items()
            if count * factor > FORGOTTEN_COUNT
        }


def summarize_latencies(
    histograms: collections.abc.Mapping[tuple[str, str], LatencyHistogram],
) -> tuple[RouteLatency, ...]:
    """Returns the quantiles of the routes with the most durations."""
    summaries = []
    busiest = sorted(
        histograms.items(), key=lambda item: (-item[1].total, item[0])
    )[:MAX_SENT_ROUTES]
    for (service, route), histogram in sorted(
        busiest, key=lambda item: item[0]
    ):
        quantiles = [
            histogram.find_quantile(share, MIN_SENT_COUNT)
            for share in SENT_QUANTILES
        ]
        buckets = tuple(find_bucket(one) for one in quantiles if one)
        if buckets:
            summaries.append(RouteLatency(service, route, buckets))
    return tuple(summaries)
