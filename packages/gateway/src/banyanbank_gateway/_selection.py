"""Selects endpoints of services without engines."""

import collections
import collections.abc
import math
import random

import attrs
import banyanbank_base as base

from banyanbank_gateway import _directory
from banyanbank_gateway import _endpoint_figures
from banyanbank_gateway import _weighted_choice

SUSPECT_BACKOFF_S = 1.5
"""An endpoint that failed ranks last for about one announcement interval.

Multiplied by the number of consecutive failures.
"""

REJECTION_MEMORY_S = 0.1
"""Time for which an endpoint that rejected a request for lack of room comes
after others."""

FULL_S = 0.25
"""Time for which an endpoint that rejected a request is taken for full where
there are cold ones: the drain time of a queue of tens of requests of 25 ms over
several slots."""

EXPLORATION_SHARE = 0.5
"""Share of the choices that do not prefer a kept connection. Without them an
entry with few requests keeps to one endpoint, and one that has recovered gets
few for as long as idle connections are kept. A new connection costs one more
round trip."""


@attrs.frozen
class SharedView:
    """What is known of shared plain endpoints besides the own requests."""

    figures: _endpoint_figures.KnownFigures
    """Figures of the leader."""
    is_connected: collections.abc.Callable[[_directory.Announcement], bool]
    """Whether there is an idle kept connection to an endpoint."""


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
        self._rejected_at: dict[base.EndpointId, float] = {}

    def rank(
        self,
        candidates: collections.abc.Iterable[_directory.Announcement],
        tried: collections.abc.Container[base.EndpointId],
        now: float,
        is_limited: collections.abc.Callable[
            [_directory.Announcement], bool
        ] = _has_no_limit,
        view: SharedView | None = None,
    ) -> list[_directory.Announcement]:
        """Returns the endpoints that were not tried, the best one first.

        Cold endpoints come after warm ones that have room.

        Args:
            candidates: Endpoints of the service.
            tried: Endpoints to which the request has been sent already.
            now: Current time.
            is_limited: Whether an endpoint limits the requests it takes; it
                then comes after others with the same load.
            view: What is known of shared endpoints; None for other services.
        """
        usable = [
            announcement
            for announcement in candidates
            if announcement.state is _directory.EndpointState.READY
            and announcement.endpoint not in tried
        ]
        if view is not None:
            return self._rank_shared(usable, now, is_limited, view)
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
        self._rejected_at[endpoint] = now

    def succeeded(self, endpoint: base.EndpointId) -> None:
        """Records a success; ends the endpoint's backoff."""
        self._health.pop(endpoint, None)
        self._rejected_at.pop(endpoint, None)

    def is_failing(
        self,
        target: _directory.Announcement,
        now: float,
        view: SharedView | None = None,
    ) -> bool:
        """Whether an endpoint ranks as failing.

        It does in its backoff after a failure at this instance, and if the
        leader's figures say so.

        Args:
            target: Endpoint.
            now: Current time.
            view: What is known of shared endpoints; None for other services.
        """
        health = self._health.get(target.endpoint)
        if health is not None and now < health.suspect_until:
            return True
        figure = None if view is None else view.figures.get(target, now)
        return figure is not None and figure.is_failing

    def is_spare(
        self, target: _directory.Announcement, now: float, view: SharedView
    ) -> bool:
        """Whether an endpoint may get requests that others might run as well.

        It may not if it is cold or fails, or rejected a request just now.
        """
        return not (
            target.is_cold
            or self.is_failing(target, now, view)
            or self._has_rejected(target.endpoint, now)
        )

    def _rank_shared(
        self,
        usable: list[_directory.Announcement],
        now: float,
        is_limited: collections.abc.Callable[[_directory.Announcement], bool],
        view: SharedView,
    ) -> list[_directory.Announcement]:
        """Ranks endpoints by figures of all instances and the own load.

        Failing ones come last, and those that rejected a request just now come
        after the others, cold ones after warm ones that did not. Where all take
        the same time, the least own load goes first; else the order is drawn.
        """
        tiers: dict[
            tuple[bool, bool, bool],
            list[_weighted_choice.Option[_directory.Announcement]],
        ] = {}
        explores = self._rng.random() < EXPLORATION_SHARE
        for target in usable:
            figure = view.figures.get(target, now)
            tier = (
                self.is_failing(target, now, view),
                self._has_rejected(target.endpoint, now),
                target.is_cold,
            )
            option = _weighted_choice.Option(
                target,
                1.0 if figure is None else figure.time_factor,
                self._find_load(target),
                (
                    is_limited(target),
                    not (explores or view.is_connected(target)),
                    target.domain != self._domain,
                ),
            )
            tiers.setdefault(tier, []).append(option)
        ranked: list[_directory.Announcement] = []
        for _, options in sorted(tiers.items(), key=lambda item: item[0]):
            ranked += self._order_tier(options)
        return ranked

    def _order_tier(
        self, options: list[_weighted_choice.Option[_directory.Announcement]]
    ) -> list[_directory.Announcement]:
        if len({option.time_factor for option in options}) > 1:
            return _weighted_choice.draw_order(options, self._rng)
        options.sort(
            key=lambda one: (one.load, one.preference, self._rng.random())
        )
        return [option.target for option in options]

    def _has_rejected(
        self,
        endpoint: base.EndpointId,
        now: float,
        memory_s: float = REJECTION_MEMORY_S,
    ) -> bool:
        rejected_at = self._rejected_at.get(endpoint, -math.inf)
        return now < rejected_at + memory_s

    def _find_load(self, target: _directory.Announcement) -> float:
        return self._in_flight[target.endpoint] / max(1, target.slots)

    def _sort_key(
        self,
        announcement: _directory.Announcement,
        now: float,
        is_limited: bool,
        has_cold: bool,
    ) -> tuple[bool, int, float, bool, bool, float]:
        load = self._find_load(announcement)
        is_other_domain = announcement.domain != self._domain
        cold_rank = 0
        if has_cold:
            is_full = load >= 1 or self._has_rejected(
                announcement.endpoint, now, FULL_S
            )
            cold_rank = 2 if is_full else int(announcement.is_cold)
        return (
            self.is_failing(announcement, now),
            cold_rank,
            load,
            is_limited,
            is_other_domain,
            self._rng.random(),
        )
