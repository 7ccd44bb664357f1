"""Decides how many engines each failure domain should have; no I/O.

Answers the load that remains when engines crash for good, are reclaimed or are
taken away: the items of a step then queue at the engines that are left. The
number of engines follows the work that arrives, so that a burst of items at the
start of a step finds free slots while some of the engines load weights.
"""

import collections.abc
import math

import attrs
import banyanbank_base as base

TARGET_UTILIZATION = 0.45
"""Share of the slots that the arriving work should use on average."""

DEMAND_WINDOW_S = 12.0
"""Time over which arriving work is averaged; several steps of a trainer."""

ARRIVAL_TIMEOUT_S = 10.0
"""Time after which an ordered engine that did not appear is ordered again."""

UNAVAILABLE_BACKOFF_S = 3.0
"""Time without orders to a domain that has no engines available."""


@attrs.frozen
class DomainEngines:
    """Engines of one service in one failure domain."""

    domain: base.FailureDomain
    """The failure domain."""
    ready: int
    """Engines that accept items."""
    present: int
    """All engines that may still exist, also draining and silent ones.

    An order for fewer would take engines away.
    """


@attrs.frozen
class CapacityBounds:
    """Bounds on the number of engines of a service in each domain."""

    least: int
    """Minimum number."""
    most: int
    """Maximum number."""


@attrs.frozen
class CapacityOrder:
    """Instruction to the platform to provide engines."""

    service: str
    """Service of the engines."""
    domain: base.FailureDomain
    """Failure domain of the engines."""
    count: int
    """Number of engines that the domain should have."""


@attrs.frozen
class _OpenOrder:
    count: int
    ready_expected: int
    expires_at: float


def count_wanted_engines(busy_slots: float, slots_per_engine: int) -> int:
    """Returns how many engines the arriving work needs.

    Args:
        busy_slots: Slots that the work would keep busy: items a second times
            seconds a run.
        slots_per_engine: Items that an engine runs concurrently.
    """
    usable_slots = max(1, slots_per_engine) * TARGET_UTILIZATION
    return max(1, math.ceil(busy_slots / usable_slots))


class CapacityPlanner:
    """Plans orders of one service; remembers those that are not met yet.

    Args:
        service: Service of the engines.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._open: dict[base.FailureDomain, _OpenOrder] = {}
        self._unavailable_until: dict[base.FailureDomain, float] = {}

    def plan(
        self,
        domains: collections.abc.Sequence[DomainEngines],
        wanted: int,
        bounds: CapacityBounds,
        now: float,
    ) -> CapacityOrder | None:
        """Returns the order to send now; None if there are enough engines.

        Orders one more engine, for the domain with the fewest.

        Args:
            domains: Engines in each failure domain.
            wanted: Number of engines that all domains should have together.
            bounds: Bounds of each domain.
            now: Current time.
        """
        self._forget_met_orders(domains, now)
        expected = sum(self._count_expected(domain) for domain in domains)
        if expected >= wanted:
            return None
        candidates = [
            domain
            for domain in domains
            if self._next_count(domain) <= bounds.most
            and now >= self._unavailable_until.get(domain.domain, now)
        ]
        if not candidates:
            return None
        chosen = min(
            candidates,
            key=lambda domain: (self._count_expected(domain), domain.domain),
        )
        count = max(bounds.least, self._next_count(chosen))
        return CapacityOrder(self._service, chosen.domain, count)

    def record_accepted(
        self, order: CapacityOrder, ready: int, now: float
    ) -> None:
        """Records that the platform will provide what was ordered.

        Args:
            order: The order.
            ready: Engines of the domain that accepted items before.
            now: Current time.
        """
        previous = self._open.get(order.domain)
        expected = ready if previous is None else previous.ready_expected
        self._open[order.domain] = _OpenOrder(
            order.count, max(expected, ready) + 1, now + ARRIVAL_TIMEOUT_S
        )

    def record_unavailable(
        self, domain: base.FailureDomain, now: float
    ) -> None:
        """Records that a domain has no engines available at the moment."""
        self._unavailable_until[domain] = now + UNAVAILABLE_BACKOFF_S

    def _count_expected(self, domain: DomainEngines) -> int:
        """Returns the ready engines, with those that are on their way."""
        order = self._open.get(domain.domain)
        if order is None:
            return domain.ready
        return max(domain.ready, order.ready_expected)

    def _next_count(self, domain: DomainEngines) -> int:
        order = self._open.get(domain.domain)
        ordered = 0 if order is None else order.count
        return max(domain.present, ordered) + 1

    def _forget_met_orders(
        self, domains: collections.abc.Sequence[DomainEngines], now: float
    ) -> None:
        ready = {domain.domain: domain.ready for domain in domains}
        for domain, order in list(self._open.items()):
            is_met = ready.get(domain, 0) >= order.ready_expected
            if is_met or now >= order.expires_at:
                del self._open[domain]
