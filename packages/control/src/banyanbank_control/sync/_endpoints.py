"""Soft state of endpoints: announcements, leaves, reclaim notices."""

import attrs
import banyanbank_base as base

from banyanbank_control import _lifecycles
from banyanbank_control.sync import _messages

ENDPOINT_TTL_S = 6.0
"""Time without a renewal after which a serving endpoint expires."""

LEAVE_RETENTION_S = 60.0
"""Time for which a leave or a reclaim notice is kept.

Until it expires, it takes precedence over late renewals.
"""

_PHASE_RANK = {
    _messages.Phase.SERVING: 0,
    _messages.Phase.RECLAIMED: 1,
    _messages.Phase.LEAVING: 2,
}


def merge_announcements(
    left: _messages.Announcement, right: _messages.Announcement
) -> _messages.Announcement:
    """Returns the announcement that takes precedence.

    Commutative, associative and idempotent: instances may receive and
    exchange the announcements of an endpoint in any order. The higher
    incarnation takes precedence; within an incarnation, a leave takes
    precedence over a reclaim notice and both over any renewal; then the
    higher sequence.
    """
    left_precedence, right_precedence = _precedence(left), _precedence(right)
    if left_precedence != right_precedence:
        return left if left_precedence > right_precedence else right
    if left == right:
        return left
    # Only faulty endpoints reuse a sequence: any fixed tie-breaker will do.
    return max(left, right, key=repr)


def _precedence(announcement: _messages.Announcement) -> tuple[int, int, int]:
    return (
        announcement.incarnation,
        _PHASE_RANK[announcement.phase],
        announcement.sequence,
    )


@attrs.frozen
class _TableEntry:
    announcement: _messages.Announcement
    expires_at: float


class EndpointTable:
    """Announced endpoints with their expiry, at entries and at the leader."""

    def __init__(self) -> None:
        self._entries: dict[base.EndpointId, _TableEntry] = {}

    def merge_announcement(
        self,
        announcement: _messages.Announcement,
        now: float,
        age_s: float = 0.0,
    ) -> bool:
        """Merges an announcement or renewal into the table.

        Args:
            announcement: The announcement received.
            now: Monotonic time in seconds.
            age_s: Time since an entry received it, in seconds.

        Returns:
            Whether more than the sequence and the expiry changed.
        """
        ttl_s = _get_ttl_s(announcement)
        heard = _TableEntry(announcement, now + ttl_s - max(age_s, 0.0))
        known = self._entries.get(announcement.endpoint)
        if known is None:
            if heard.expires_at <= now:
                return False
            self._entries[announcement.endpoint] = heard
            return True
        entry = _merge_entries(known, heard)
        self._entries[announcement.endpoint] = entry
        return not equals_ignoring_sequence(
            entry.announcement, known.announcement
        )

    def mark_reclaimed(
        self,
        endpoint: base.EndpointId,
        gone_at: float | None,
        now: float,
    ) -> bool:
        """Applies a notice that the platform reclaims an endpoint.

        Args:
            endpoint: Endpoint to be reclaimed.
            gone_at: Wall-clock time of its end in seconds; None if unknown.
            now: Monotonic time in seconds.

        Returns:
            Whether the endpoint is known and was serving until now.
        """
        entry = self._entries.get(endpoint)
        if entry is None:
            return False
        current = entry.announcement
        phase = _lifecycles.ENDPOINT.next(current.phase.value, "reclaim")
        if phase is None:
            return False
        reclaimed = attrs.evolve(
            current, phase=_messages.Phase(phase), gone_at=gone_at
        )
        return self.merge_announcement(reclaimed, now)

    def expire(self, now: float) -> tuple[base.EndpointId, ...]:
        """Evicts expired endpoints and returns them."""
        expired = tuple(
            endpoint
            for endpoint, entry in self._entries.items()
            if entry.expires_at <= now
        )
        for endpoint in expired:
            del self._entries[endpoint]
        return expired

    def get(self, endpoint: base.EndpointId) -> _messages.Announcement | None:
        """Returns the announcement of an endpoint; None if it is unknown."""
        entry = self._entries.get(endpoint)
        return entry.announcement if entry else None

    def all(self) -> tuple[_messages.Announcement, ...]:
        """Returns all known endpoints, including those that are leaving."""
        return tuple(entry.announcement for entry in self._entries.values())

    def serving(self) -> tuple[_messages.Announcement, ...]:
        """Returns the endpoints that accept new work."""
        return tuple(
            announcement
            for announcement in self.all()
            if announcement.phase is _messages.Phase.SERVING
        )

    def withdraw(self, endpoint: base.EndpointId) -> None:
        """Evicts an endpoint that is known to be gone before it expires."""
        self._entries.pop(endpoint, None)

    def heard(self, now: float) -> tuple[_messages.Heard, ...]:
        """Returns all announcements with their ages, for forwarding."""
        return tuple(
            _messages.Heard(
                entry.announcement,
                max(
                    0.0,
                    _get_ttl_s(entry.announcement) - (entry.expires_at - now),
                ),
            )
            for entry in self._entries.values()
        )


def equals_ignoring_sequence(
    left: _messages.Announcement, right: _messages.Announcement
) -> bool:
    """Returns whether two announcements differ in their sequence at most."""
    return attrs.evolve(left, sequence=0) == attrs.evolve(right, sequence=0)


def _get_ttl_s(announcement: _messages.Announcement) -> float:
    if announcement.phase is _messages.Phase.SERVING:
        return ENDPOINT_TTL_S
    return LEAVE_RETENTION_S


def _merge_entries(known: _TableEntry, heard: _TableEntry) -> _TableEntry:
    winner = merge_announcements(known.announcement, heard.announcement)
    deadlines = [
        entry.expires_at
        for entry in (known, heard)
        if entry.announcement.incarnation == winner.incarnation
        and entry.announcement.phase is winner.phase
    ]
    return _TableEntry(winner, max(deadlines))
