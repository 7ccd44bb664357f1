"""Selects endpoints of services without engines."""

import collections
import collections.abc
import math
import random

import attrs
import banyanbank_base as base

from banyanbank_gateway import _directory

SUSPECT_BACKOFF_S = 1.5
"""An endpoint that failed ranks last for about one announcement interval.

Multiplied by the number of consecutive failures.
"""


FULL_S = 0.25
"""Time for which an endpoint that rejected a request is taken for full: the
drain time of a queue of tens of requests of 25 ms over several slots."""


@attrs.define
class _EndpointHealth:
    failed_at: float = -math.inf
    suspect_until: float = -math.inf
    consecutive_failures: int = 0


def _has_no_limit(announcement: _directory.Announcement) -> bool:
    """Default of `EndpointPicker.rank`."""
    del announcement
    return False


class EndpointPicker:
    """Ranks endpoints by their load, in requests per slot.

    Counts the requests in flight of this instance alone. Endpoints that failed
    recently rank last.

    Args:
        domain: Failure domain of this instance; its endpoints win ties.
        rng: Source of randomness for the remaining ties.
    """

    def __init__(self, domain: base.FailureDomain, rng: random.Random) -> None:
        self._domain = domain
        self._rng = rng
        self._in_flight: collections.Counter[base.EndpointId] = (
            collections.Counter()
        )
        self._health: dict[base.EndpointId, _EndpointHealth] = {}
        self._full_until: dict[base.EndpointId, float] = {}

    def rank(
        self,
        candidates: collections.abc.Iterable[_directory.Announcement],
        tried: collections.abc.Container[base.EndpointId],
        now: float,
        is_limited: collections.abc.Callable[
            [_directory.Announcement], bool
        ] = _has_no_limit,
    ) -> list[_directory.Announcement]:
        """Returns the endpoints that were not tried, the best one first.

        Cold endpoints come after warm ones that have room.

        Args:
            candidates: Endpoints of the service.
            tried: Endpoints to which the request has been sent already.
            now: Current time.
            is_limited: Whether an endpoint limits the requests it takes; it
                then comes after others with the same load.
        """
        usable = [
            announcement
            for announcement in candidates
            if announcement.state is _directory.EndpointState.READY
            and announcement.endpoint not in tried
        ]
        has_cold = any(announcement.is_cold for announcement in usable)
        return sorted(
            usable,
            key=lambda announcement: self._sort_key(
                announcement, now, is_limited(announcement), has_cold
            ),
        )

    def started(self, endpoint: base.EndpointId) -> None:
        """Records that a request was sent to an endpoint."""
        self._in_flight[endpoint] += 1

    def ended(self, endpoint: base.EndpointId) -> None:
        """Records that a request to an endpoint has ended."""
        self._in_flight[endpoint] -= 1
        if self._in_flight[endpoint] <= 0:
            del self._in_flight[endpoint]

    def failed(
        self, endpoint: base.EndpointId, sent_at: float, now: float
    ) -> None:
        """Records a failure; the endpoint ranks last during its backoff.

        The backoff grows with the number of consecutive failures, up to four.
        Requests that were sent before the last failure may have been ended by
        the same event and do not count.

        Args:
            endpoint: Endpoint that the request was sent to.
            sent_at: When the request was sent.
            now: Current time.
        """
        health = self._health.setdefault(endpoint, _EndpointHealth())
        if sent_at <= health.failed_at:
            return
        health.failed_at = now
        health.consecutive_failures = min(health.consecutive_failures + 1, 4)
        health.suspect_until = (
            now + SUSPECT_BACKOFF_S * health.consecutive_failures
        )

    def rejected(self, endpoint: base.EndpointId, now: float) -> None:
        """Records that an endpoint had no room for a request."""
        self._full_until[endpoint] = now + FULL_S

    def succeeded(self, endpoint: base.EndpointId) -> None:
        """Records a success; ends the endpoint's backoff."""
        self._health.pop(endpoint, None)
        self._full_until.pop(endpoint, None)

    def is_failing(self, endpoint: base.EndpointId, now: float) -> bool:
        """Whether an endpoint is in its backoff after a failure."""
        health = self._health.get(endpoint)
        return health is not None and now < health.suspect_until

    def _sort_key(
        self,
        announcement: _directory.Announcement,
        now: float,
        is_limited: bool,
        has_cold: bool,
    ) -> tuple[bool, int, float, bool, bool, float]:
        health = self._health.get(announcement.endpoint)
        is_suspect = health is not None and now < health.suspect_until
        load = self._in_flight[announcement.endpoint] / max(
            1, announcement.slots
        )
        is_other_domain = announcement.domain != self._domain
        cold_rank = 0
        if has_cold:
            is_full = load >= 1 or now < self._full_until.get(
                announcement.endpoint, -math.inf
            )
            cold_rank = 2 if is_full else int(announcement.is_cold)
        return (
            is_suspect,
            cold_rank,
            load,
            is_limited,
            is_other_domain,
            self._rng.random(),
        )
