"""Incarnations of endpoints that have ended.

A removal may arrive seconds late, more than once, and without saying which
incarnation it ends, while the endpoint has started again under its name.
"""

import math
import typing

import attrs
import banyanbank_base as base

OrderKey = tuple[int, int]
"""Start of an incarnation in Unix milliseconds, and number of its announcement.
"""

_ValueT = typing.TypeVar("_ValueT")

TOMBSTONE_TTL_S = 120.0
"""Time for which delayed announcements of an ended incarnation are rejected."""

MAX_CALL_DELAY_S = 10.0
"""Longest time that a call of an endpoint may take to arrive."""

MAX_LATE_ANNOUNCEMENTS = 2
"""Announcements of an incarnation that may arrive after its removal; a further
one shows that it goes on."""

MAX_REMEMBERED = 10_000
"""Number of endpoints whose ended incarnations are remembered; the oldest are
dropped."""


@attrs.frozen
class EndedIncarnation:
    """End of an endpoint's incarnation, and of all earlier ones."""

    endpoint: base.EndpointId
    """Name of the endpoint."""
    born_ms: int
    """Start of the incarnation, as Unix time in milliseconds."""
    last_sequence: int | None = None
    """Number of its last announcement if the end is in doubt: it goes on with a
    higher one. None if all announcements are stale."""

    @property
    def order_key(self) -> tuple[int, float]:
        """Sort key of ends with the same endpoint name."""
        last = self.last_sequence
        return (self.born_ms, math.inf if last is None else last)

    def covers(self, order_key: OrderKey) -> bool:
        """Whether an announcement of the endpoint is stale."""
        return order_key <= self.order_key


class EndedIncarnations:
    """The latest end of each endpoint that had one lately."""

    def __init__(self) -> None:
        self._ends: dict[base.EndpointId, tuple[EndedIncarnation, float]] = {}
        self._in_doubt: dict[base.EndpointId, tuple[int, float]] = {}

    def all(self) -> list[EndedIncarnation]:
        """Returns the ends."""
        return [end for end, _ in self._ends.values()]

    def get(self, endpoint: base.EndpointId) -> EndedIncarnation | None:
        """Returns the latest end of an endpoint, or None."""
        return self._ends.get(endpoint, (None, 0.0))[0]

    def covers(self, endpoint: base.EndpointId, order_key: OrderKey) -> bool:
        """Whether an announcement is of an incarnation that has ended."""
        end = self.get(endpoint)
        return end is not None and end.covers(order_key)

    def add(self, end: EndedIncarnation, now: float) -> bool:
        """Records an end; returns False if it, or a later one, is known."""
        known = self.get(end.endpoint)
        if known is not None and known.order_key >= end.order_key:
            return False
        self._ends[end.endpoint] = (end, now + TOMBSTONE_TTL_S)
        drop_oldest(self._ends)
        return True

    def add_unknown(
        self, endpoint: base.EndpointId, now: float, unix_ms: int
    ) -> bool:
        """Records the removal of an endpoint whose incarnation is not known.

        Incarnations that began while the removal may have been on its way are
        in doubt; all earlier ones have ended. A removal that closely follows an
        end is its repetition.

        Args:
            endpoint: Endpoint that is removed.
            now: Current time.
            unix_ms: Current Unix time in milliseconds.

        Returns:
            Whether the ends have changed.
        """
        _, expires_at = self._ends.get(endpoint, (None, -math.inf))
        if now < expires_at - TOMBSTONE_TTL_S + MAX_CALL_DELAY_S:
            return False
        self._in_doubt[endpoint] = (unix_ms, now + TOMBSTONE_TTL_S)
        drop_oldest(self._in_doubt)
        earliest_ms = unix_ms - round(1000 * MAX_CALL_DELAY_S)
        return self.add(EndedIncarnation(endpoint, earliest_ms), now)

    def settle_doubt(
        self, endpoint: base.EndpointId, order_key: OrderKey, now: float
    ) -> bool:
        """Takes the first announcement of an incarnation that is in doubt.

        Returns:
            Whether it is one, and so may have been sent before the removal.
        """
        until_ms, _ = self._in_doubt.get(endpoint, (-1, 0.0))
        if order_key[0] > until_ms:
            return False
        del self._in_doubt[endpoint]
        return self.add(doubt_end(endpoint, order_key), now)

    def expire(self, now: float) -> None:
        """Drops what is too old to matter."""
        for remembered in (self._ends, self._in_doubt):
            for endpoint, (_, expires_at) in list(remembered.items()):
                if expires_at < now:
                    del remembered[endpoint]


def doubt_end(
    endpoint: base.EndpointId, order_key: OrderKey
) -> EndedIncarnation:
    """Returns the end of an incarnation that may turn out to go on."""
    born_ms, sequence = order_key
    return EndedIncarnation(
        endpoint, born_ms, sequence + MAX_LATE_ANNOUNCEMENTS
    )


def drop_oldest(
    remembered: dict[base.EndpointId, tuple[_ValueT, float]],
) -> None:
    """Bounds a mapping from endpoints to values and their expiry times."""
    if len(remembered) > MAX_REMEMBERED:
        del remembered[min(remembered, key=lambda name: remembered[name][1])]
