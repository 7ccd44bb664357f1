"""What a node tells of itself, for operators and metrics."""

import attrs
import banyanbank_base as base

from banyanbank_consensus import _lease
from banyanbank_consensus import _members
from banyanbank_consensus import _state


@attrs.frozen
class NodeStatus:
    """A copy of a node's view of the log at one moment."""

    instance: base.InstanceId
    """The instance."""
    phase: str
    """`new`, `running`, `stopped` or `failed`."""
    role: _state.Role
    """What the node does in its epoch."""
    epoch: int
    """Newest epoch seen."""
    leader: base.InstanceId | None
    """Best known leader; None when unknown."""
    last_index: int
    """Last entry of the own log."""
    commit_index: int
    """Last entry known to be committed."""
    applied_index: int
    """Last entry that was applied."""
    snapshot_index: int
    """Last entry in the newest snapshot; 0 when there is none."""
    store: str
    """Identity of the own store; empty before the start."""
    cluster: str
    """The log the store belongs to; empty when none."""
    voters: tuple[_members.Member, ...]
    """Members that vote."""
    learners: tuple[_members.Member, ...]
    """Members that count for nothing, or not yet."""
    members_committed: bool
    """Whether the newest change of members is known to be committed."""
    lease_deadline: float | None
    """When the lease ends on the own clock; None when none is held."""


def make_status(
    instance: base.InstanceId,
    state: _state.State | None,
    phase: str,
    applied: int,
    now: float,
) -> NodeStatus:
    """Returns the status of a node, started or not."""
    if state is None:
        return NodeStatus(
            instance=instance,
            phase=phase,
            role=_state.Role.FOLLOWER,
            epoch=0,
            leader=None,
            last_index=0,
            commit_index=0,
            applied_index=0,
            snapshot_index=0,
            store="",
            cluster="",
            voters=(),
            learners=(),
            members_committed=False,
            lease_deadline=None,
        )
    members = state.members
    deadline = _lease.get_lease_deadline(state, now)
    return NodeStatus(
        instance=instance,
        phase=phase,
        role=state.role,
        epoch=state.epoch,
        leader=state.leader,
        last_index=state.log.last_index,
        commit_index=state.commit,
        applied_index=applied,
        snapshot_index=state.snapshot.index if state.snapshot else 0,
        store=state.store,
        cluster=state.hard.cluster,
        voters=members.voters,
        learners=tuple(
            m
            for m in members.members
            if m.role is not _members.MemberRole.VOTER
        ),
        members_committed=state.log.members_index <= state.commit,
        lease_deadline=deadline if deadline > now else None,
    )
