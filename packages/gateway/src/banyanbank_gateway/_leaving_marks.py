"""Endpoints that have stated in an answer that they leave."""

import collections.abc

import banyanbank_base as base

from banyanbank_gateway import _ended_incarnations


class LeavingMarks:
    """The latest incarnation of each endpoint that has stated its departure."""

    def __init__(self) -> None:
        self._marks: dict[base.EndpointId, tuple[int, float]] = {}

    def add(self, endpoint: base.EndpointId, born_ms: int, now: float) -> bool:
        """Marks an incarnation; returns False if it, or a later one, was."""
        marked = self._marks.get(endpoint)
        if marked is not None and marked[0] >= born_ms:
            return False
        self._marks[endpoint] = (
            born_ms,
            now + _ended_incarnations.TOMBSTONE_TTL_S,
        )
        _ended_incarnations.drop_oldest(self._marks)
        return True

    def covers(self, endpoint: base.EndpointId, born_ms: int) -> bool:
        """Whether an incarnation has stated its departure."""
        marked = self._marks.get(endpoint)
        return marked is not None and born_ms <= marked[0]

    def expire(
        self,
        find_start: collections.abc.Callable[[base.EndpointId], int | None],
        now: float,
    ) -> None:
        """Drops the marks of endpoints that are gone or have started again.

        Args:
            find_start: Returns the start of an endpoint's known incarnation, as
                Unix time in milliseconds, or None.
            now: Current time.
        """
        for endpoint, (marked_ms, expires_at) in list(self._marks.items()):
            born_ms = find_start(endpoint)
            if born_ms is not None and born_ms <= marked_ms:
                renewed_until = now + _ended_incarnations.TOMBSTONE_TTL_S
                self._marks[endpoint] = (marked_ms, renewed_until)
            elif born_ms is not None or expires_at < now:
                del self._marks[endpoint]
