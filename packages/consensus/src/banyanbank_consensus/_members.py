"""Members of the log: voters and learners, identified by their stores."""

from collections.abc import Iterable
import enum
import functools

import attrs
import banyanbank_base as base


class MemberRole(enum.Enum):
    """Role of a member in quorums."""

    VOTER = "voter"
    """Votes, and counts in the quorums for commits and the lease."""
    JOINING = "joining"
    """Learner that is promoted to voter once it has caught up."""
    LEARNER = "learner"
    """Receives the log but counts in no quorum."""


@attrs.frozen
class Member:
    """A member; a store that was lost and recreated is a different member."""

    instance: base.InstanceId
    """Instance that the member runs on."""
    store: str
    """Identity of its store, generated when the store was created."""
    role: MemberRole = MemberRole.VOTER
    """Role of the member in quorums."""

    def with_role(self, role: MemberRole) -> "Member":
        """Returns a copy of the member with another role."""
        return attrs.evolve(self, role=role)


@attrs.frozen
class Members:
    """Member set that a log entry puts in force."""

    members: tuple[Member, ...] = ()
    """Members in order of their instance ids, at most one per instance."""

    @functools.cached_property
    def by_instance(self) -> dict[base.InstanceId, Member]:
        """Members by the instance they run on."""
        return {member.instance: member for member in self.members}

    @functools.cached_property
    def voters(self) -> tuple[Member, ...]:
        """Members that vote."""
        return tuple(m for m in self.members if m.role is MemberRole.VOTER)

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def find(self, instance: base.InstanceId) -> Member | None:
        """Returns the member on an instance, or None."""
        return self.by_instance.get(instance)

    def is_member(self, instance: base.InstanceId, store: str) -> bool:
        """Whether a member on this instance has this store."""
        member = self.find(instance)
        return member is not None and member.store == store

    def is_voter(self, instance: base.InstanceId, store: str) -> bool:
        """Whether a voter on this instance has this store."""
        member = self.find(instance)
        return (
            member is not None
            and member.store == store
            and member.role is MemberRole.VOTER
        )

    def with_member(self, member: Member) -> "Members":
        """Returns the set with a member added or replaced, by its instance."""
        others = self.without(member.instance).members
        return make_members((*others, member))

    def without(self, instance: base.InstanceId) -> "Members":
        """Returns the set without the member on an instance."""
        return Members(tuple(m for m in self.members if m.instance != instance))


def make_members(members: Iterable[Member]) -> Members:
    """Returns a member set in canonical order, by instance id."""
    return Members(tuple(sorted(members, key=lambda m: m.instance)))


MEMBERS_CODEC: base.Codec[Members] = base.Codec(Members)
"""Codec of the payload of member entries."""
