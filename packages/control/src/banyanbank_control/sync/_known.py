"""Members and endpoints known to an entry."""

import typing

import attrs
import banyanbank_base as base

from banyanbank_control.sync import _endpoints
from banyanbank_control.sync import _messages

RELEARN_GRACE_S = 2.0
"""Time for which an entry keeps what a new leader does not know yet.

The first poll of every entry to a new leader carries all announcements that
the entry has received.
"""


@attrs.define
class _ReportedEndpoint:
    announcement: _messages.Announcement
    expires_at: float | None = None


@attrs.define
class _ReportedMember:
    member: _messages.Member
    expires_at: float | None = None


_Name = typing.TypeVar("_Name")
_Entry = typing.TypeVar("_Entry", _ReportedEndpoint, _ReportedMember)


def _start_relearning(
    reported: dict[_Name, _Entry],
    now: float,
    keep_missing: bool,
) -> None:
    """Prepares for a complete listing, which replaces the items that it has.

    Items that it lacks expire after `RELEARN_GRACE_S`, or now if not
    `keep_missing`.
    """
    if not keep_missing:
        reported.clear()
    for record in reported.values():
        record.expires_at = record.expires_at or now + RELEARN_GRACE_S


def _evict_expired(
    reported: dict[_Name, _Entry],
    now: float,
) -> None:
    for name, record in list(reported.items()):
        if record.expires_at is not None and record.expires_at <= now:
            del reported[name]


class KnownMembers:
    """Instances reported by the leader."""

    def __init__(self) -> None:
        self._reported: dict[base.InstanceId, _ReportedMember] = {}

    def apply(
        self, reply: _messages.SyncReply, now: float, keep_missing: bool
    ) -> None:
        """Applies a reply.

        A new leader does not know all instances yet: those that its first
        reply lacks are kept for the time of a few polls, so that a change of
        leader moves no work between instances.

        Args:
            reply: The leader's reply.
            now: Monotonic time in seconds.
            keep_missing: Whether to keep, for that time, the members that a
                complete listing lacks.
        """
        if reply.soft_whole:
            _start_relearning(self._reported, now, keep_missing)
        for instance in reply.members_gone:
            self._reported.pop(instance, None)
        for member in reply.members:
            self._reported[member.instance] = _ReportedMember(member)

    def expire(self, now: float) -> None:
        """Evicts members past their deadline."""
        _evict_expired(self._reported, now)

    def all(self) -> tuple[_messages.Member, ...]:
        """Returns all known members, including those that are leaving."""
        return tuple(reported.member for reported in self._reported.values())


class KnownEndpoints:
    """Endpoints reported by the leader or announced to the entry itself.

    Attributes:
        heard: Endpoints announced to this entry itself.
    """

    def __init__(self) -> None:
        self.heard = _endpoints.EndpointTable()
        self._reported: dict[base.EndpointId, _ReportedEndpoint] = {}
        self._restrictions: dict[base.EndpointId, _messages.Restriction] = {}

    def apply(
        self, reply: _messages.SyncReply, now: float, keep_missing: bool
    ) -> None:
        """Applies a reply.

        A new leader does not know all endpoints yet: those that its first
        reply lacks are kept for the time of a few polls.

        Args:
            reply: The leader's reply.
            now: Monotonic time in seconds.
            keep_missing: Whether to keep, for that time, the endpoints that a
                complete listing lacks.
        """
        if reply.soft_whole:
            _start_relearning(self._reported, now, keep_missing)
        for endpoint in reply.endpoints_gone:
            self._reported.pop(endpoint, None)
        for announcement in reply.endpoints:
            self._apply_announcement(announcement, now)
        self._apply_restrictions(reply)

    def _apply_announcement(
        self, announcement: _messages.Announcement, now: float
    ) -> None:
        known = self._reported.get(announcement.endpoint)
        if known is None:
            self._reported[announcement.endpoint] = _ReportedEndpoint(
                announcement
            )
            return
        merged = _endpoints.merge_announcements(
            known.announcement, announcement
        )
        if _endpoints.equals_ignoring_sequence(merged, announcement):
            self._reported[announcement.endpoint] = _ReportedEndpoint(merged)
        else:
            # The leader lacks the newer announcement, or has dropped it.
            known.expires_at = known.expires_at or now + RELEARN_GRACE_S

    def _apply_restrictions(self, reply: _messages.SyncReply) -> None:
        # Outages and orders to stop are committed, so that the listing of a
        # new leader is complete.
        if reply.soft_whole:
            self._restrictions.clear()
        for restriction in reply.restrictions:
            self._restrictions[restriction.endpoint] = restriction
            if not (restriction.models or restriction.is_draining):
                del self._restrictions[restriction.endpoint]

    def in_service(
        self, endpoint: base.EndpointId, model: base.ModelName
    ) -> bool:
        """Returns whether an engine's weights for a model can be used.

        The leader's last report applies, even while it is unreachable.
        """
        restriction = self._restrictions.get(endpoint)
        return restriction is None or model not in restriction.models

    def is_draining(self, endpoint: base.EndpointId) -> bool:
        """Returns whether an endpoint gets no new work before it is stopped."""
        restriction = self._restrictions.get(endpoint)
        return restriction is not None and restriction.is_draining

    def expire(self, now: float) -> None:
        """Evicts endpoints past their deadline."""
        self.heard.expire(now)
        _evict_expired(self._reported, now)

    def all(self, include_reported: bool) -> tuple[_messages.Announcement, ...]:
        """Returns all known endpoints, including those that are leaving.

        Args:
            include_reported: Whether to include what the leader reported.
        """
        known = {item.endpoint: item for item in self.heard.all()}
        if include_reported:
            for endpoint, reported in self._reported.items():
                own = known.get(endpoint, reported.announcement)
                known[endpoint] = _endpoints.merge_announcements(
                    own, reported.announcement
                )
        return tuple(known.values())
