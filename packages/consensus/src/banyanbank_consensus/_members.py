"""Members of the log: voters and learners with the identity of their store."""

from collections.abc import Iterable
import enum
import functools

import attrs
import banyanbank_base as base


class MemberRole(enum.Enum):
    """What a member counts for."""

    VOTER = "voter"
    """Votes, and counts for commits and the lease."""
    JOINING = "joining"
    """Learner that becomes a voter once it has caught up."""
    LEARNER = "learner"
    """Receives the log and counts for nothing."""


@attrs.frozen
class Member:
    """One member; a store that was lost and made anew is another member."""

    instance: base.InstanceId
    """Where the member runs."""
    store: str
    """Identity of its store, drawn when the store was created."""
    role: MemberRole = MemberRole.VOTER
    """What it counts for."""

    def with_role(self, role: MemberRole) -> "Member":
        """Returns the member in another role."""
        return attrs.evolve(self, role=role)


@attrs.frozen
class Members:
    """The member set that one log entry puts in force."""

    members: tuple[Member, ...] = ()
    """Members in order of their instance ids, one per instance."""

    @functools.cached_property
    def by_instance(self) -> dict[base.InstanceId, Member]:
        """Members by the instance they run on."""
        return {member.instance: member for member in self.members}

    @functools.cached_property
    def voters(self) -> tuple[Member, ...]:
        """The members that vote."""
        return tuple(m for m in self.members if m.role is MemberRole.VOTER)

    @property
    def quorum(self) -> int:
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    def find(self, instance: base.InstanceId) -> Member | None:
        """Returns the member on an instance, or None."""
        return self.by_instance.get(instance)

    def is_member(self, instance: base.InstanceId, store: str) -> bool:
        """Whether this very store is a member."""
        member = self.find(instance)
        return member is not None and member.store == store

    def is_voter(self, instance: base.InstanceId, store: str) -> bool:
        """Whether this very store is a voter."""
        member = self.find(instance)
        return (
            member is not None
            and member.store == store
            and member.role is MemberRole.VOTER
        )

    def with_member(self, member: Member) -> "Members":
        """Returns the set with a member added or put in place of its slot."""
        others = self.without(member.instance).members
        return make_members((*others, member))

    def without(self, instance: base.InstanceId) -> "Members":
        """Returns the set without the member on an instance."""
        return Members(tuple(m for m in self.members if m.instance != instance))


def make_members(members: Iterable[Member]) -> Members:
    """Returns a member set in canonical order."""
    return Members(tuple(sorted(members, key=lambda m: m.instance)))


MEMBERS_CODEC: base.Codec[Members] = base.Codec(Members)
"""Codec of the payload of member entries."""
