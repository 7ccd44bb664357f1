"""Soft state of instances at the leader."""

import attrs
import banyanbank_base as base

from banyanbank_control.sync import _messages

MEMBER_TTL_S = 2.0
"""Time without a poll after which a member expires."""


@attrs.frozen
class LostMember:
    """An instance that has stopped polling."""

    member: _messages.Member
    """Its last known state; `leaving` tells a shutdown from a failure."""


@attrs.frozen
class _TableEntry:
    member: _messages.Member
    received_at: float


class MemberTable:
    """Instances that poll.

    An instance that restarts has a higher incarnation, which replaces the
    earlier one immediately, even if the address differs. A delayed poll of an
    earlier incarnation never replaces a later one, even after the later one
    has expired.
    """

    def __init__(self) -> None:
        self._entries: dict[base.InstanceId, _TableEntry] = {}
        self._newest_incarnations: dict[base.InstanceId, base.Incarnation] = {}

    def record_poll(self, member: _messages.Member, now: float) -> bool:
        """Records the member of a poll.

        Returns:
            Whether the member is new or changed.
        """
        newest = self._newest_incarnations.get(
            member.instance, member.incarnation
        )
        if member.incarnation < newest:
            return False
        self._newest_incarnations[member.instance] = member.incarnation
        known = self._entries.get(member.instance)
        if known is not None:
            member = _keep_leaving_flag(known.member, member)
        self._entries[member.instance] = _TableEntry(member, now)
        return known is None or known.member != member

    def expire(self, now: float) -> tuple[LostMember, ...]:
        """Evicts instances that have stopped polling and returns them."""
        lost = tuple(
            LostMember(entry.member)
            for entry in self._entries.values()
            if now - entry.received_at >= MEMBER_TTL_S
        )
        for gone in lost:
            del self._entries[gone.member.instance]
        return lost

    def get(self, instance: base.InstanceId) -> _messages.Member | None:
        """Returns a member; None if it is unknown."""
        entry = self._entries.get(instance)
        return entry.member if entry else None

    def all(self) -> tuple[_messages.Member, ...]:
        """Returns all members, including those that are leaving."""
        return tuple(entry.member for entry in self._entries.values())


def _keep_leaving_flag(
    known: _messages.Member, member: _messages.Member
) -> _messages.Member:
    # Polls may be reordered; an incarnation never stops leaving.
    if known.incarnation == member.incarnation and known.leaving:
        return attrs.evolve(member, leaving=True)
    return member
