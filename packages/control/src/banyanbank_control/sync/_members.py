"""Soft state of instances at the leader."""

import attrs
import banyanbank_base as base

from banyanbank_control.sync import _messages

MEMBER_TTL_S = 2.0
"""Time without a poll after which an instance counts as gone, in seconds."""


@attrs.frozen
class Lost:
    """An instance that has stopped polling."""

    member: _messages.Member
    """The instance as last heard; `leaving` tells a shutdown from a loss."""


@attrs.frozen
class _Entry:
    member: _messages.Member
    heard_at: float


class MemberTable:
    """Instances by their polls.

    An instance that restarts has a higher incarnation and displaces its
    earlier life at once, under whatever address; a delayed poll of an earlier
    life never displaces a later one, also after that one is gone.
    """

    def __init__(self) -> None:
        self._entries: dict[base.InstanceId, _Entry] = {}
        self._newest: dict[base.InstanceId, base.Incarnation] = {}

    def hear(self, member: _messages.Member, now: float) -> bool:
        """Takes in a poll.

        Returns:
            Whether the member is new or changed.
        """
        newest = self._newest.get(member.instance, member.incarnation)
        if member.incarnation < newest:
            return False
        self._newest[member.instance] = member.incarnation
        known = self._entries.get(member.instance)
        if known is not None:
            member = _keep_leaving(known.member, member)
        self._entries[member.instance] = _Entry(member, now)
        return known is None or known.member != member

    def expire(self, now: float) -> tuple[Lost, ...]:
        """Removes instances that have stopped polling and returns them."""
        lost = tuple(
            Lost(entry.member)
            for entry in self._entries.values()
            if now - entry.heard_at >= MEMBER_TTL_S
        )
        for gone in lost:
            del self._entries[gone.member.instance]
        return lost

    def get(self, instance: base.InstanceId) -> _messages.Member | None:
        """Returns a member; None when it is not there."""
        entry = self._entries.get(instance)
        return entry.member if entry else None

    def all(self) -> tuple[_messages.Member, ...]:
        """Returns every member, those that leave included."""
        return tuple(entry.member for entry in self._entries.values())


def _keep_leaving(
    known: _messages.Member, member: _messages.Member
) -> _messages.Member:
    # Polls may overtake each other; a life that leaves never comes back.
    if known.incarnation == member.incarnation and known.leaving:
        return attrs.evolve(member, leaving=True)
    return member
