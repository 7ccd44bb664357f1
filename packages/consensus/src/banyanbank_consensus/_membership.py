"""Membership changes through the log, at most one voter at a time."""

import banyanbank_base as base

from banyanbank_consensus import _formation
from banyanbank_consensus import _lease
from banyanbank_consensus import _log
from banyanbank_consensus import _members
from banyanbank_consensus import _progress
from banyanbank_consensus import _replication
from banyanbank_consensus import _state


def tick(state: _state.State, now: float) -> None:
    """Promotes members that have caught up and replaces lost stores."""
    if state.role is not _state.Role.LEADER or get_change_refusal(state):
        return
    new_members = _plan_promotion(state, now) or _plan_replacement(state, now)
    if new_members is not None:
        append_members(state, new_members, now)


def promote_caught_up(state: _state.State, now: float) -> None:
    """Promotes a member whose answer shows that it has caught up."""
    if state.role is not _state.Role.LEADER or get_change_refusal(state):
        return
    new_members = _plan_promotion(state, now)
    if new_members is not None:
        append_members(state, new_members, now)


def get_change_refusal(state: _state.State) -> str:
    """Returns why members cannot change now; empty if they can."""
    if not _lease.may_serve_reads(state):
        # Otherwise two leaders could each have an uncommitted change, whose
        # quorums need not overlap.
        return "The leader has not committed an entry of its epoch yet."
    if state.log.members_index > state.commit:
        return "Another change of members is not committed yet."
    return ""


def append_members(
    state: _state.State, members: _members.Members, now: float
) -> _log.Entry:
    """Appends a member set, which is in force at once."""
    data = _members.MEMBERS_CODEC.encode(members)
    entry = _replication.append_in_epoch(state, _log.EntryKind.MEMBERS, data)
    _state.record_event(state, "members.changing", _format_members(members))
    _replication.start_heartbeat_round(state, now)
    return entry


def plan_addition(
    state: _state.State,
    instance: base.InstanceId,
    role: _members.MemberRole,
    now: float,
) -> _members.Members | str:
    """Returns the members with a store added, or why it cannot be added."""
    peer_hello = _formation.get_recent_hello(state, instance, now)
    if peer_hello is None:
        return f"Instance {instance} has not said hello; start it first."
    if peer_hello.cluster not in ("", state.hard_state.cluster):
        return f"The store of {instance} belongs to another log; empty it."
    current = state.members.find(instance)
    if current is not None and current.store == peer_hello.store:
        is_promotion = (
            current.role is _members.MemberRole.LEARNER
            and role is _members.MemberRole.JOINING
        )
        if not is_promotion:
            return f"Instance {instance} is a member already."
    member = _members.Member(instance, peer_hello.store, role)
    return state.members.with_member(member)


def plan_removal(
    state: _state.State, instance: base.InstanceId
) -> _members.Members | str:
    """Returns the members without one, or why it cannot be removed."""
    if state.members.find(instance) is None:
        return f"Instance {instance} is no member."
    members = state.members.without(instance)
    if not members.voters:
        return f"Instance {instance} is the last voter."
    return members


def step_down_if_removed(state: _state.State, now: float) -> None:
    """Steps down once the removal of the leader itself is committed."""
    if state.role is not _state.Role.LEADER or state.is_voter:
        return
    if state.log.members_index <= state.commit:
        _state.become_follower(state, state.epoch, None, now)


def _plan_promotion(state: _state.State, now: float) -> _members.Members | None:
    leadership = _state.require_leadership(state)
    for member in state.members.members:
        if member.role is not _members.MemberRole.JOINING:
            continue
        progress = leadership.progress.get(member.instance)
        if progress is None or _is_unresponsive(state, member, now):
            continue
        if _progress.has_caught_up(leadership, progress):
            voter = member.with_role(_members.MemberRole.VOTER)
            return state.members.with_member(voter)
    return None


def _plan_replacement(
    state: _state.State, now: float
) -> _members.Members | None:
    """Returns the members after replacing a lost store; None if none is due.

    One entry removes the voter that lost its store and adds the new store as
    a learner, so that only one voter changes. The removal is committed by a
    majority of the remaining voters, so each entry that the lost store helped
    to commit is again held by a majority of them.
    """
    for member in state.members.members:
        peer_hello = _formation.get_recent_hello(state, member.instance, now)
        if peer_hello is None or peer_hello.store == member.store:
            continue
        if peer_hello.cluster not in ("", state.hard_state.cluster):
            continue
        if member.instance == state.own_instance or not _is_store_lost(
            state, member, peer_hello, now
        ):
            continue
        role = member.role
        if role is _members.MemberRole.VOTER:
            role = _members.MemberRole.JOINING
        new_member = _members.Member(member.instance, peer_hello.store, role)
        return state.members.with_member(new_member)
    return None


def _is_store_lost(
    state: _state.State,
    member: _members.Member,
    peer_hello: _state.PeerHello,
    now: float,
) -> bool:
    """Whether a store is lost, as another one says hello at its instance.

    One instance runs one store at a time, so the store's silence need only
    outlast its messages in flight. A store that is frozen, cut off or slow has
    no other one at its instance.
    """
    leadership = _state.require_leadership(state)
    heard_at = leadership.elected_at
    progress = leadership.progress.get(member.instance)
    if progress is not None:
        heard_at = progress.heard_at
    return (
        peer_hello.received_at > heard_at
        and heard_at + state.cfg.repair_after_s < now
    )


def _is_unresponsive(
    state: _state.State, member: _members.Member, now: float
) -> bool:
    progress = _state.require_leadership(state).progress[member.instance]
    return progress.confirmed_at + state.cfg.election_min_s < now


def _format_members(members: _members.Members) -> str:
    return " ".join(
        f"{m.instance}={m.store}/{m.role.value}" for m in members.members
    )
