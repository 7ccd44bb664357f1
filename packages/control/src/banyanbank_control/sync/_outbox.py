"""Which of the announcements heard here the leader still has to be told."""

import attrs
import banyanbank_base as base

from banyanbank_control.sync import _endpoints
from banyanbank_control.sync import _messages

FORWARD_S = 2.0
"""Time between two renewals of one endpoint that are passed on, seconds."""

_PENDING_POLLS = 16


@attrs.frozen
class _Told:
    announcement: _messages.Announcement
    heard_at: float


class Outbox:
    """Passes on what is new at once, and mere renewals now and then.

    Args:
        table: What this entry hears.
    """

    def __init__(self, table: _endpoints.EndpointTable) -> None:
        self._table = table
        self._told: dict[base.EndpointId, _Told] = {}
        self._pending: dict[int, tuple[_Told, ...]] = {}

    def collect(self, number: int, now: float) -> tuple[_messages.Heard, ...]:
        """Returns what a poll must carry.

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
            _Told(heard.announcement, now - heard.age_s) for heard in due
        )
        while len(self._pending) > _PENDING_POLLS:
            del self._pending[next(iter(self._pending))]
        return due

    def confirm(self, number: int) -> None:
        """Notes that the leader has taken in a poll."""
        for told in self._pending.pop(number, ()):
            self._told[told.announcement.endpoint] = told
        if len(self._told) > 2 * len(self._table.all()) + _PENDING_POLLS:
            self._told = {
                endpoint: told
                for endpoint, told in self._told.items()
                if self._table.get(endpoint) is not None
            }

    def reset(self, number: int) -> None:
        """Forgets what an earlier leader was told.

        Args:
            number: Number of the poll that the new leader has taken in.
        """
        self._told.clear()
        kept = self._pending.get(number, ())
        self._pending = {number: kept}

    def _is_due(self, heard: _messages.Heard, now: float) -> bool:
        told = self._told.get(heard.announcement.endpoint)
        if told is None:
            return True
        if not _endpoints.same(told.announcement, heard.announcement):
            return True
        return now - heard.age_s >= told.heard_at + FORWARD_S
