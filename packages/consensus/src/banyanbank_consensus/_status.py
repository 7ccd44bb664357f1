"""Status of a node, for operators and metrics."""

import attrs
import banyanbank_base as base

from banyanbank_consensus import _lease
from banyanbank_consensus import _members
from banyanbank_consensus import _progress
from banyanbank_consensus import _state


@attrs.frozen
class MemberSilence:
    """How long a leader has heard nothing from another member."""

    instance: base.InstanceId
    """Instance of the member."""
    since: float
    """When its store was heard last, on the leader's clock; when it became a
    member of this leadership if it was not heard since."""
    has_responded: bool
    """Whether it has responded during this leadership."""
    has_caught_up: bool
    """Whether it holds all that was committed when it responded last."""


@attrs.frozen
class NodeStatus:
    """A node's view of itself and the log at one point in time."""

    instance: base.InstanceId
    """Instance the node runs on."""
    phase: str
    """`new`, `running`, `stopped` or `failed`."""
    role: _state.Role
    """Role of the node in its epoch."""
    epoch: int
    """Latest epoch seen."""
    leader: base.InstanceId | None
    """Best known leader; None if unknown."""
    last_index: int
    """Index of the last entry of the node's log."""
    commit_index: int
    """Last index known to be committed."""
    applied_index: int
    """Index of the last applied entry."""
    snapshot_index: int
    """Last index in the latest snapshot; 0 if there is none."""
    store: str
    """Identity of the node's store; empty before the start."""
    cluster: str
    """Log that the store belongs to; empty if none."""
    voters: tuple[_members.Member, ...]
    """Members that vote."""
    learners: tuple[_members.Member, ...]
    """Members that do not vote, or not yet."""
    members_committed: bool
    """Whether the latest membership change is known to be committed."""
    lease_deadline: float | None
    """When the lease ends on the node's clock; None if none is held."""
    silences: tuple[MemberSilence, ...] = ()
    """Silence of each other member; empty unless the node leads."""


def make_status(
    instance: base.InstanceId,
    state: _state.State | None,
    phase: str,
    applied: int,
    now: float,
) -> NodeStatus:
    """Returns the status of a node; `state` is None before its start."""
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
        cluster=state.hard_state.cluster,
        voters=members.voters,
        learners=tuple(
            m
            for m in members.members
            if m.role is not _members.MemberRole.VOTER
        ),
        members_committed=state.log.members_index <= state.commit,
        lease_deadline=deadline if deadline > now else None,
        silences=_find_silences(state),
    )


def _find_silences(state: _state.State) -> tuple[MemberSilence, ...]:
    leadership = state.leadership
    if leadership is None:
        return ()
    return tuple(
        MemberSilence(
            instance,
            progress.heard_at,
            progress.has_responded,
            _progress.has_caught_up(leadership, progress),
        )
        for instance, progress in leadership.progress.items()
    )
