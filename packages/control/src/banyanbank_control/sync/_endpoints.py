"""Soft state of endpoints: announcements, renewals, leaves, notices."""

import attrs
import banyanbank_base as base

from banyanbank_control import _lifecycles
from banyanbank_control.sync import _messages

ENDPOINT_TTL_S = 6.0
"""Time without a renewal after which an endpoint counts as gone, seconds."""

LEAVE_MEMORY_S = 60.0
"""Time for which a leave still beats late renewals, in seconds."""

_RANK = {
    _messages.Phase.SERVING: 0,
    _messages.Phase.RECLAIMED: 1,
    _messages.Phase.LEAVING: 2,
}


def merge(
    left: _messages.Announcement, right: _messages.Announcement
) -> _messages.Announcement:
    """Returns the one of two announcements of an endpoint that counts.

    Commutative, associative and idempotent, so that instances may hear and
    exchange announcements in any order. A later life wins; within one life a
    leave wins over any renewal; then the later announcement wins.
    """
    of_left, of_right = _precedence(left), _precedence(right)
    if of_left != of_right:
        return left if of_left > of_right else right
    if left == right:
        return left
    # Only faulty endpoints reuse a sequence; any fixed order will do.
    return max(left, right, key=repr)


def _precedence(announcement: _messages.Announcement) -> tuple[int, int, int]:
    return (
        announcement.incarnation,
        _RANK[announcement.phase],
        announcement.sequence,
    )


@attrs.frozen
class _Entry:
    announcement: _messages.Announcement
    expires_at: float


class EndpointTable:
    """Endpoints heard of, with their deadlines; at entries and the leader."""

    def __init__(self) -> None:
        self._entries: dict[base.EndpointId, _Entry] = {}

    def hear(
        self,
        announcement: _messages.Announcement,
        now: float,
        age_s: float = 0.0,
    ) -> bool:
        """Takes in an announcement or renewal.

        Args:
            announcement: What was heard.
            now: Monotonic time in seconds.
            age_s: Seconds since somebody heard it first.

        Returns:
            Whether more than the deadline changed.
        """
        lifetime = _lifetime(announcement)
        heard = _Entry(announcement, now + lifetime - max(age_s, 0.0))
        known = self._entries.get(announcement.endpoint)
        if known is None:
            if heard.expires_at <= now:
                return False
            self._entries[announcement.endpoint] = heard
            return True
        entry = _merge_entries(known, heard)
        self._entries[announcement.endpoint] = entry
        return not same(entry.announcement, known.announcement)

    def notice(
        self,
        endpoint: base.EndpointId,
        gone_at: float | None,
        now: float,
    ) -> bool:
        """Takes in the platform's notice that it takes an endpoint back.

        Args:
            endpoint: The endpoint.
            gone_at: Wall time at which it goes, in seconds.
            now: Monotonic time in seconds.

        Returns:
            Whether the endpoint is known and took work until now.
        """
        entry = self._entries.get(endpoint)
        if entry is None:
            return False
        before = entry.announcement
        phase = _lifecycles.ENDPOINT.next(before.phase.value, "reclaim")
        if phase is None:
            return False
        noticed = attrs.evolve(
            before, phase=_messages.Phase(phase), gone_at=gone_at
        )
        return self.hear(noticed, now)

    def expire(self, now: float) -> tuple[base.EndpointId, ...]:
        """Removes endpoints past their deadline and returns them."""
        gone = tuple(
            endpoint
            for endpoint, entry in self._entries.items()
            if entry.expires_at <= now
        )
        for endpoint in gone:
            del self._entries[endpoint]
        return gone

    def get(self, endpoint: base.EndpointId) -> _messages.Announcement | None:
        """Returns what an endpoint said; None when it is not known."""
        entry = self._entries.get(endpoint)
        return entry.announcement if entry else None

    def all(self) -> tuple[_messages.Announcement, ...]:
        """Returns every endpoint known, those that leave included."""
        return tuple(entry.announcement for entry in self._entries.values())

    def serving(self) -> tuple[_messages.Announcement, ...]:
        """Returns the endpoints that take new work."""
        return tuple(
            announcement
            for announcement in self.all()
            if announcement.phase is _messages.Phase.SERVING
        )

    def withdraw(self, endpoint: base.EndpointId) -> None:
        """Drops an endpoint, as when somebody who knows says it is gone."""
        self._entries.pop(endpoint, None)

    def heard(self, now: float) -> tuple[_messages.Heard, ...]:
        """Returns every announcement with its age, to pass it on."""
        return tuple(
            _messages.Heard(
                entry.announcement,
                max(
                    0.0,
                    _lifetime(entry.announcement) - (entry.expires_at - now),
                ),
            )
            for entry in self._entries.values()
        )


def same(left: _messages.Announcement, right: _messages.Announcement) -> bool:
    """Returns whether two announcements say the same, whenever they came."""
    return attrs.evolve(left, sequence=0) == attrs.evolve(right, sequence=0)


def _lifetime(announcement: _messages.Announcement) -> float:
    if announcement.phase is _messages.Phase.SERVING:
        return ENDPOINT_TTL_S
    return LEAVE_MEMORY_S


def _merge_entries(known: _Entry, heard: _Entry) -> _Entry:
    winner = merge(known.announcement, heard.announcement)
    deadlines = [
        entry.expires_at
        for entry in (known, heard)
        if entry.announcement.incarnation == winner.incarnation
        and entry.announcement.phase is winner.phase
    ]
    return _Entry(winner, max(deadlines))
