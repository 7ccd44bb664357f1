"""Permits for requests to endpoints that limit the requests they take.

One instance, the leader, hands out the permits for all instances, so that all
together keep to a limit, whatever their number. An endpoint is limited while
it states a rate limit, and while it is cold and its service states a rate for
that; if both apply, a request needs room under both.
"""

import collections.abc
import math

import banyanbank_base as base

from banyanbank_gateway import _directory
from banyanbank_gateway import _known_limits
from banyanbank_gateway import _permit_bucket

MIN_RATE_PER_S = 0.2
"""Rate at which a lower limit is probed; only an answer tells of its end."""


def _is_never_cold(target: _directory.Announcement) -> float | None:
    """Default of `RateLimiter`."""
    del target
    return None


class RateLimiter:
    """Hands out permits at the rates that endpoints take.

    An endpoint without a limit needs no permit. A limit that has just become
    known starts without permits, since earlier requests are not known in full.

    Load addressed: callers' requests of all entries, and items and scorer calls
    of the leader, to endpoints that would crash under them.

    Args:
        known: Limits that endpoints state.
        find_cold_rate: Returns the requests a second that an endpoint takes
            because it is cold; None if that does not limit it.
    """

    def __init__(
        self,
        known: _known_limits.KnownLimits,
        find_cold_rate: collections.abc.Callable[
            [_directory.Announcement], float | None
        ] = _is_never_cold,
    ) -> None:
        self._known = known
        self._find_cold_rate = find_cold_rate
        self._cold_permits_from = -math.inf
        self._stated: dict[base.EndpointId, _permit_bucket.Bucket] = {}
        self._cold: dict[base.EndpointId, _permit_bucket.Bucket] = {}

    def reset(self, cold_permits_from: float = -math.inf) -> None:
        """Discards all permits: an earlier leader may have handed out some.

        Args:
            cold_permits_from: When the first permits for cold endpoints begin
                to accrue.
        """
        self._stated.clear()
        self._cold.clear()
        self._cold_permits_from = cold_permits_from

    def forget_ended(self) -> None:
        """Discards the permits of endpoints whose limits are forgotten."""
        known = {observation.endpoint for observation in self._known.all()}
        for endpoint in self._stated.keys() - known:
            del self._stated[endpoint]

    def forget_warm(
        self, cold: collections.abc.Container[base.EndpointId]
    ) -> None:
        """Discards the permits of endpoints that are no longer cold."""
        for endpoint in [name for name in self._cold if name not in cold]:
            del self._cold[endpoint]

    def count_room(
        self, target: _directory.Announcement, now: float
    ) -> int | None:
        """Returns how many requests an endpoint may get now.

        None means that it has no limit.
        """
        return min(
            (bucket.count_room() for bucket in self._buckets(target, now)),
            default=None,
        )

    def take(self, target: _directory.Announcement, now: float) -> bool:
        """Takes a permit for a request; returns False if there is none."""
        buckets = self._buckets(target, now)
        if any(bucket.count_room() < 1 for bucket in buckets):
            return False
        for bucket in buckets:
            bucket.charge(now)
        return True

    def charge(self, target: _directory.Announcement, now: float) -> None:
        """Counts a request that is sent whether there is a permit or not."""
        for bucket in self._buckets(target, now):
            bucket.charge(now)

    def charge_order(self, target: _directory.Announcement, now: float) -> None:
        """Counts a report request or an order to a cold endpoint.

        Those to an endpoint that states a rate limit are not counted.
        """
        bucket = self._cold_bucket(target, now)
        if bucket is not None:
            bucket.charge(now)

    def promise_turn(
        self, target: _directory.Announcement, now: float
    ) -> float:
        """Returns when a refused caller is to return.

        Each gets a time of its own, at the rate of the limit. Nothing is
        reserved.
        """
        buckets = self._buckets(target, now)
        if not buckets:
            return now
        turn = max(bucket.find_next_turn() for bucket in buckets)
        for bucket in buckets:
            bucket.promised_at = turn
        return min(turn, now + _permit_bucket.MAX_RETRY_AFTER_S)

    def find_turn(self, target: _directory.Announcement, now: float) -> float:
        """Returns the time that `promise_turn` would give."""
        return max(
            (bucket.find_next_turn() for bucket in self._buckets(target, now)),
            default=now,
        )

    def _buckets(
        self, target: _directory.Announcement, now: float
    ) -> list[_permit_bucket.Bucket]:
        """Returns the refilled buckets that bound the requests to a target."""
        buckets = (
            self._stated_bucket(target, now),
            self._cold_bucket(target, now),
        )
        return [bucket for bucket in buckets if bucket is not None]

    def _stated_bucket(
        self, target: _directory.Announcement, now: float
    ) -> _permit_bucket.Bucket | None:
        limit = self._known.get(target)
        if limit is None or limit.rate_per_s is None:
            self._stated.pop(target.endpoint, None)
            return None
        rate_per_s = max(limit.rate_per_s, MIN_RATE_PER_S)
        return _refill(
            self._stated,
            target,
            _permit_bucket.shape_stated(rate_per_s),
            now,
            now,
        )

    def _cold_bucket(
        self, target: _directory.Announcement, now: float
    ) -> _permit_bucket.Bucket | None:
        rate_per_s = self._find_cold_rate(target)
        if rate_per_s is None:
            self._cold.pop(target.endpoint, None)
            return None
        return _refill(
            self._cold,
            target,
            _permit_bucket.shape_cold(rate_per_s),
            max(now, self._cold_permits_from),
            now,
        )


def _refill(
    buckets: dict[base.EndpointId, _permit_bucket.Bucket],
    target: _directory.Announcement,
    shape: _permit_bucket.BucketShape,
    starts_at: float,
    now: float,
) -> _permit_bucket.Bucket:
    """Returns the refilled bucket of a target; a new one starts empty.

    Args:
        buckets: Buckets by endpoint.
        target: Endpoint that requests are to be sent to.
        shape: Bounds on the permits.
        starts_at: When permits begin to accrue in a new bucket.
        now: Current time.
    """
    bucket = buckets.get(target.endpoint)
    if bucket is None or bucket.born_ms != target.born_ms:
        bucket = buckets[target.endpoint] = _permit_bucket.Bucket(
            target.born_ms, shape, starts_at
        )
    bucket.refill(shape, now)
    return bucket
