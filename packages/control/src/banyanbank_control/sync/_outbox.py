"""Forwarding of an entry's announcements to the leader."""

import attrs
import banyanbank_base as base

from banyanbank_control.sync import _endpoints
from banyanbank_control.sync import _messages

RENEWAL_FORWARD_INTERVAL_S = 2.0
"""Minimum interval between forwarded renewals of one endpoint."""

_MAX_PENDING_POLLS = 16


@attrs.frozen
class _ForwardedAnnouncement:
    announcement: _messages.Announcement
    received_at: float


class Outbox:
    """Forwards changes with the next poll and mere renewals at an interval.

    Args:
        table: Endpoints announced to this entry.
    """

    def __init__(self, table: _endpoints.EndpointTable) -> None:
        self._table = table
        self._confirmed: dict[base.EndpointId, _ForwardedAnnouncement] = {}
        self._pending: dict[int, tuple[_ForwardedAnnouncement, ...]] = {}

    def collect(self, number: int, now: float) -> tuple[_messages.Heard, ...]:
        """Returns the announcements that a poll must carry.

        Args:
            number: Number of the poll.
            now: Monotonic time in seconds.
        """
        due = tuple(
            heard
            for heard in self._table.heard(now)
            if self._is_due(heard, now)
        )
        self._pending[number] = tuple(
            _ForwardedAnnouncement(heard.announcement, now - heard.age_s)
            for heard in due
        )
        while len(self._pending) > _MAX_PENDING_POLLS:
            del self._pending[next(iter(self._pending))]
        return due

    def confirm(self, number: int) -> None:
        """Records that the leader has processed a poll."""
        for forwarded in self._pending.pop(number, ()):
            self._confirmed[forwarded.announcement.endpoint] = forwarded
        if (
            len(self._confirmed)
            > 2 * len(self._table.all()) + _MAX_PENDING_POLLS
        ):
            self._confirmed = {
                endpoint: forwarded
                for endpoint, forwarded in self._confirmed.items()
                if self._table.get(endpoint) is not None
            }

    def reset(self, number: int) -> None:
        """Drops all confirmations, and all pending polls but one.

        Args:
            number: Number of the poll that the new leader has processed.
        """
        self._confirmed.clear()
        kept = self._pending.get(number, ())
        self._pending = {number: kept}

    def _is_due(self, heard: _messages.Heard, now: float) -> bool:
        forwarded = self._confirmed.get(heard.announcement.endpoint)
        if forwarded is None:
            return True
        if not _endpoints.equals_ignoring_sequence(
            forwarded.announcement, heard.announcement
        ):
            return True
        return (
            now - heard.age_s
            >= forwarded.received_at + RENEWAL_FORWARD_INTERVAL_S
        )
