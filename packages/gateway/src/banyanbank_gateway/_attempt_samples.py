"""What an instance observed of plain endpoints since its last poll."""

import collections.abc

import attrs
import banyanbank_base as base

from banyanbank_gateway import _directory
from banyanbank_gateway import _latency_histogram

MAX_KEYS = 128
"""Number of pairs of endpoint and route that are kept between two polls."""


@attrs.frozen
class AttemptSample:
    """Attempts of one route at one incarnation of an endpoint."""

    endpoint: base.EndpointId
    """Name of the endpoint."""
    born_ms: int
    """Start of its incarnation, as Unix time in milliseconds."""
    service: str
    """Service of the endpoint."""
    route: str
    """Name of the route."""
    times: dict[int, int] = attrs.Factory(dict)
    """Number of successes by bucket of `LatencyHistogram`."""
    failures: int = 0
    """Number of failures that are attributable to the endpoint."""
    cut_times: dict[int, int] = attrs.Factory(dict)
    """Number of attempts that were cancelled because another one was first, by
    bucket of the time until then."""
    rejections: int = 0
    """Number of requests that the endpoint had no room for; counted only where
    second attempts are made."""


_Key = tuple[base.EndpointId, int, str, str]


class SampleLog:
    """Collects samples until the leader has received them.

    Samples of a poll without an answer are sent again with the next one; the
    leader may then count them twice, which does no harm.
    """

    def __init__(self) -> None:
        self._new: dict[_Key, AttemptSample] = {}
        self._sent: dict[_Key, AttemptSample] = {}

    def record_success(
        self, target: _directory.Announcement, route: str, took_s: float
    ) -> None:
        """Records an answer that was a success."""
        bucket = _latency_histogram.find_bucket(took_s)
        self._add(
            AttemptSample(
                target.endpoint,
                target.born_ms,
                target.service,
                route,
                {bucket: 1},
            )
        )

    def record_failure(
        self, target: _directory.Announcement, route: str
    ) -> None:
        """Records a lost answer, a server error or a timeout."""
        self._add(
            AttemptSample(
                target.endpoint,
                target.born_ms,
                target.service,
                route,
                failures=1,
            )
        )

    def record_cut(
        self, target: _directory.Announcement, route: str, took_s: float
    ) -> None:
        """Records an attempt that took at least this long."""
        bucket = _latency_histogram.find_bucket(took_s)
        self._add(
            AttemptSample(
                target.endpoint,
                target.born_ms,
                target.service,
                route,
                cut_times={bucket: 1},
            )
        )

    def record_rejection(
        self, target: _directory.Announcement, route: str
    ) -> None:
        """Records that an endpoint had no room for a request."""
        self._add(
            AttemptSample(
                target.endpoint,
                target.born_ms,
                target.service,
                route,
                rejections=1,
            )
        )

    def take(self) -> tuple[AttemptSample, ...]:
        """Returns all samples that the leader may not have received yet."""
        fresh, self._new = self._new, self._sent
        for sample in fresh.values():
            self._add(sample)
        self._sent, self._new = self._new, {}
        return tuple(self._sent.values())

    def confirm(self) -> None:
        """Drops the samples of the last `take`, which were received."""
        self._sent = {}

    def clear(self) -> None:
        """Drops all samples."""
        self._new, self._sent = {}, {}

    def _add(self, sample: AttemptSample) -> None:
        key = (sample.endpoint, sample.born_ms, sample.service, sample.route)
        known = self._new.get(key)
        if known is None:
            if len(self._new) < MAX_KEYS:
                self._new[key] = sample
            return
        self._new[key] = attrs.evolve(
            known,
            times=add_counts(known.times, sample.times),
            failures=known.failures + sample.failures,
            cut_times=add_counts(known.cut_times, sample.cut_times),
            rejections=known.rejections + sample.rejections,
        )


def add_counts(
    left: collections.abc.Mapping[int, int],
    right: collections.abc.Mapping[int, int],
) -> dict[int, int]:
    """Returns the sum of two counts by bucket."""
    total = dict(left)
    for bucket, count in right.items():
        total[bucket] = total.get(bucket, 0) + count
    return total
