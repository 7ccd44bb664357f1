"""Reads, from the answers of endpoints, the rate limits that they state."""

import collections
import enum
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway

from banyanbank_node import _event_log
from banyanbank_node import _ports

OK = 200
FIRST_NON_SUCCESS_STATUS = 300
OTHER_ENDPOINT_STATUS = 421
"""Status of an answer by another endpoint than the one that was meant."""


class Purpose(enum.Enum):
    """Why a request is sent to an endpoint."""

    FORWARD = "forward"
    """Request of a caller, or of the leader to a scorer."""
    ITEM = "item"
    """Run of an item."""
    ORDER = "order"
    """Order to load weights, or question for an engine's state."""


@attrs.define
class _SendCounts:
    second: int
    by_purpose: collections.Counter[str] = attrs.Factory(collections.Counter)


class EndpointLimits:
    """Limits known to this process, and what it sends to limited endpoints.

    Args:
        clock: Monotonic clock.
        true_time: Unix time that the processes agree on.
        events: Event log.

    Attributes:
        known: Limits in force.
        on_observed: Called with each change that this process observes.
    """

    def __init__(
        self,
        clock: base.Clock,
        true_time: gateway.SyncedClock,
        events: _event_log.EventLog,
    ) -> None:
        self._clock = clock
        self._true_time = true_time
        self._events = events
        self._counts: dict[base.EndpointId, _SendCounts] = {}
        self.known = gateway.KnownLimits()
        self.on_observed: typing.Callable[[gateway.LimitObservation], None] = (
            _ignore_observation
        )

    def observe(
        self,
        target: gateway.Announcement,
        status: int,
        response_headers: _ports.ResponseHeaders,
        sent_at: float,
    ) -> None:
        """Takes in what an answer says about the limit of an endpoint.

        Args:
            target: Endpoint that the request was sent to.
            status: HTTP status of the answer.
            response_headers: Parsed headers of the answer.
            sent_at: When the request was sent, on the monotonic clock.
        """
        stated = response_headers.rate_limit
        if stated is None:
            if not OK <= status < FIRST_NON_SUCCESS_STATUS:
                # May come from another endpoint at the same address.
                return
            age_s = self._clock.now() - sent_at
            observed_at = self._true_time.now() - age_s
        elif stated.rate_per_s is None or status == OTHER_ENDPOINT_STATUS:
            return
        else:
            observed_at = self._true_time.now()
        observation = gateway.LimitObservation(
            target.endpoint,
            target.born_ms,
            None if stated is None else stated.rate_per_s,
            observed_at,
        )
        if self.apply(observation):
            self.on_observed(observation)

    def apply(self, observation: gateway.LimitObservation) -> bool:
        """Applies an observation; returns whether it changes a rate."""
        has_changed = self.known.apply(observation)
        if has_changed:
            self._events.write(
                "endpoint.limit",
                endpoint=observation.endpoint,
                rate_per_s=observation.rate_per_s,
            )
        return has_changed

    def forget_ended(self, directory: gateway.Directory) -> None:
        """Drops what is known of endpoints that ended long ago."""
        self.known.forget_ended(directory, self._true_time.now())
        for endpoint in list(self._counts):
            if directory.get(endpoint) is None:
                del self._counts[endpoint]

    def is_limited(self, target: gateway.Announcement) -> bool:
        """Whether requests to an endpoint need a permit."""
        return target.is_cold or self.known.get(target) is not None

    def note_sent(self, target: gateway.Announcement, purpose: Purpose) -> None:
        """Counts a request that is sent to an endpoint.

        The requests of each second to a limited or cold endpoint are logged.
        """
        limit = self.known.get(target)
        is_counted = target.is_cold or limit is not None
        second = int(self._true_time.now())
        counts = self._counts.get(target.endpoint)
        if counts is not None and not (is_counted and counts.second == second):
            del self._counts[target.endpoint]
            self._events.write(
                "endpoint.limit_use",
                endpoint=target.endpoint,
                second=counts.second,
                rate_per_s=None if limit is None else limit.rate_per_s,
                is_cold=target.is_cold,
                sent=dict(counts.by_purpose),
            )
            counts = None
        if not is_counted:
            return
        if counts is None:
            counts = self._counts[target.endpoint] = _SendCounts(second)
        counts.by_purpose[purpose.value] += 1


def _ignore_observation(observation: gateway.LimitObservation) -> None:
    """Default of `EndpointLimits.on_observed`."""
