"""Decides which store is added to the log's members or removed next."""

import enum

import attrs
import banyanbank_base as base

MAX_STANDBYS = 1
"""Maximum number of non-voting members, kept to replace a voter at once."""


class ChangeKind(enum.Enum):
    """Kind of a membership change."""

    ADD_VOTER = "add voter"
    """Adds a member that votes once it has caught up."""
    ADD_STANDBY = "add standby"
    """Adds a member that receives the log without a vote."""
    REMOVE = "remove"
    """Removes a member."""


@attrs.frozen
class MemberChange:
    """One membership change."""

    kind: ChangeKind
    """Kind of the change."""
    instance: base.InstanceId
    """Store that is added or removed."""


@attrs.frozen
class MembershipView:
    """Members of the log and running stores at one moment."""

    voters: tuple[base.InstanceId, ...]
    """Members that vote, the longest silent last."""
    joining: tuple[base.InstanceId, ...]
    """Members that will vote once they have caught up."""
    standby: tuple[base.InstanceId, ...]
    """Members without a vote."""
    live: frozenset[base.InstanceId]
    """Stores with a recent heartbeat."""
    gone: frozenset[base.InstanceId]
    """Members that are considered to have ended."""
    leaving: tuple[base.InstanceId, ...]
    """Stores that have said that they end, in that order."""
    retired: frozenset[base.InstanceId]
    """Stores that an operator removes."""
    wanted: int
    """Target number of voters; odd."""


def next_change(view: MembershipView) -> MemberChange | None:
    """Returns the next membership change, or None.

    The number of voters is kept odd: one more voter would not tolerate more
    failures, and a split into halves would leave neither half a quorum. A
    voter that is gone, leaves or is retired is removed only after its
    replacement votes. One that stays although its replacement votes, as after
    a restart, is removed if it makes their number even.
    """
    healthy_voters = find_healthy_voters(view)
    if len(view.voters) > view.wanted:
        removable = _sort_unhealthy_voters(view)
        if not removable and len(view.voters) % 2 == 0:
            removable = healthy_voters[-1:]
        if removable:
            return MemberChange(ChangeKind.REMOVE, removable[0])
    for name in (*view.standby, *view.joining):
        if name in view.gone or name in view.retired:
            return MemberChange(ChangeKind.REMOVE, name)
    for name in view.joining:
        if name in view.leaving:
            return MemberChange(ChangeKind.REMOVE, name)
    candidates = find_candidates(view)
    if len(healthy_voters) + len(view.joining) < view.wanted and candidates:
        return MemberChange(ChangeKind.ADD_VOTER, candidates[0])
    new_stores = [name for name in candidates if name not in view.standby]
    if len(view.standby) < MAX_STANDBYS and not view.joining and new_stores:
        return MemberChange(ChangeKind.ADD_STANDBY, new_stores[0])
    return None


def find_healthy_voters(view: MembershipView) -> list[base.InstanceId]:
    """Returns the voters that are to stay, the longest silent last."""
    return [
        name
        for name in view.voters
        if name not in view.gone
        and name not in view.leaving
        and name not in view.retired
    ]


def find_candidates(view: MembershipView) -> list[base.InstanceId]:
    """Returns the stores that can become voters, the standbys first."""
    available = view.live - view.retired - set(view.leaving)
    standbys = [name for name in view.standby if name in available]
    members = {*view.voters, *view.joining, *view.standby}
    return [*standbys, *sorted(available - members)]


def find_handover_refusal(
    view: MembershipView, instance: base.InstanceId
) -> str:
    """Returns why a leaving voter has no successor; empty if it has one."""
    joining = [name for name in view.joining if name not in view.leaving]
    successors = len(joining) + len(find_candidates(view))
    replaceable = successors + len(view.voters) - view.wanted
    position = _sort_unhealthy_voters(view).index(instance)
    if position < replaceable:
        return ""
    if not successors:
        return "no other store runs that could vote instead"
    return "other stores that have ended or stop take all successors"


def _sort_unhealthy_voters(view: MembershipView) -> list[base.InstanceId]:
    """Returns the voters to replace: those that are gone, then as they left."""
    gone = [name for name in view.voters if name in view.gone]
    leaving = [name for name in view.leaving if name in view.voters]
    retired = [name for name in view.voters if name in view.retired]
    return list(dict.fromkeys([*gone, *leaving, *retired]))
