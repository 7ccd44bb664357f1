"""Members and endpoints as one entry knows them."""

import typing

import attrs
import banyanbank_base as base

from banyanbank_control.sync import _endpoints
from banyanbank_control.sync import _messages

RELEARN_S = 2.0
"""Time for which what a new leader has not heard of yet is kept, seconds.

Every entry tells a new leader all it has heard in its first poll.
"""


@attrs.define
class _Told:
    announcement: _messages.Announcement
    expires_at: float | None = None


@attrs.define
class _ToldMember:
    member: _messages.Member
    expires_at: float | None = None


_Name = typing.TypeVar("_Name")
_Entry = typing.TypeVar("_Entry", _Told, _ToldMember)


def _start_over(
    told: dict[_Name, _Entry],
    now: float,
    keep_missing: bool,
) -> None:
    """Keeps what was told before for a while, or drops it."""
    if not keep_missing:
        told.clear()
    for one in told.values():
        one.expires_at = one.expires_at or now + RELEARN_S


def _drop_expired(
    told: dict[_Name, _Entry],
    now: float,
) -> None:
    for name, one in list(told.items()):
        if one.expires_at is not None and one.expires_at <= now:
            del told[name]


class KnownMembers:
    """Instances that the leader has told of."""

    def __init__(self) -> None:
        self._told: dict[base.InstanceId, _ToldMember] = {}

    def apply(
        self, reply: _messages.SyncReply, now: float, keep_missing: bool
    ) -> None:
        """Takes in a reply.

        A new leader has not heard of every instance yet: what its first reply
        lacks stays for the time of a few polls, so that a change of leader
        moves no work between instances.

        Args:
            reply: The leader's answer.
            now: Monotonic time in seconds.
            keep_missing: Whether what was known before still counts.
        """
        if reply.soft_whole:
            _start_over(self._told, now, keep_missing)
        for instance in reply.members_gone:
            self._told.pop(instance, None)
        for member in reply.members:
            self._told[member.instance] = _ToldMember(member)

    def expire(self, now: float) -> None:
        """Drops members past their deadline."""
        _drop_expired(self._told, now)

    def all(self) -> tuple[_messages.Member, ...]:
        """Returns every member, those that leave included."""
        return tuple(told.member for told in self._told.values())


class KnownEndpoints:
    """Endpoints that the leader has told of and the entry itself has heard.

    Attributes:
        heard: What this entry heard itself.
    """

    def __init__(self) -> None:
        self.heard = _endpoints.EndpointTable()
        self._told: dict[base.EndpointId, _Told] = {}
        self._restricted: dict[base.EndpointId, _messages.Restriction] = {}

    def apply(
        self, reply: _messages.SyncReply, now: float, keep_missing: bool
    ) -> None:
        """Takes in a reply.

        A new leader has not heard of every endpoint yet: what its first reply
        lacks stays for the time of a few polls.

        Args:
            reply: The leader's answer.
            now: Monotonic time in seconds.
            keep_missing: Whether what was known before still counts.
        """
        if reply.soft_whole:
            _start_over(self._told, now, keep_missing)
        for endpoint in reply.endpoints_gone:
            self._told.pop(endpoint, None)
        for announcement in reply.endpoints:
            self._take(announcement, now)
        self._take_restrictions(reply)

    def _take(self, announcement: _messages.Announcement, now: float) -> None:
        known = self._told.get(announcement.endpoint)
        if known is None:
            self._told[announcement.endpoint] = _Told(announcement)
            return
        merged = _endpoints.merge(known.announcement, announcement)
        if _endpoints.same(merged, announcement):
            self._told[announcement.endpoint] = _Told(merged)
        else:
            # The leader knows less, or has dropped what it knew.
            known.expires_at = known.expires_at or now + RELEARN_S

    def _take_restrictions(self, reply: _messages.SyncReply) -> None:
        # Outages and stops are committed: a new leader's list lacks none.
        if reply.soft_whole:
            self._restricted.clear()
        for restriction in reply.restrictions:
            self._restricted[restriction.endpoint] = restriction
            if not (restriction.models or restriction.is_draining):
                del self._restricted[restriction.endpoint]

    def in_service(
        self, endpoint: base.EndpointId, model: base.ModelName
    ) -> bool:
        """Tells whether an engine's weights for a model can be used.

        What the leader told last counts, also while it cannot be reached.
        """
        restriction = self._restricted.get(endpoint)
        return restriction is None or model not in restriction.models

    def is_draining(self, endpoint: base.EndpointId) -> bool:
        """Tells whether an endpoint gets no new work before it is stopped."""
        restriction = self._restricted.get(endpoint)
        return restriction is not None and restriction.is_draining

    def expire(self, now: float) -> None:
        """Drops endpoints past their deadline."""
        self.heard.expire(now)
        _drop_expired(self._told, now)

    def all(self, trust_leader: bool) -> tuple[_messages.Announcement, ...]:
        """Returns every endpoint known, those that leave included.

        Args:
            trust_leader: Whether what the leader told still counts.
        """
        known = {item.endpoint: item for item in self.heard.all()}
        if trust_leader:
            for endpoint, told in self._told.items():
                mine = known.get(endpoint, told.announcement)
                known[endpoint] = _endpoints.merge(mine, told.announcement)
        return tuple(known.values())
