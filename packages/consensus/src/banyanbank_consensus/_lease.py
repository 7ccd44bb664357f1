"""Leader lease, quorum check and confirmation of leadership.

A heartbeat round that was sent at `s` and answered by a quorum proves that the
responding voters grant no vote before `s + election_min_s` on their clocks.
The lease ends at `s + lease_s` on the leader's clock. `NodeConfig` checks that
the lease ends first on any two clocks within the drift bound.
"""

import banyanbank_base as base

from banyanbank_consensus import _state


def get_first_lease_at(state: _state.State, now: float) -> float:
    """Returns when a replica elected now may hold its first lease.

    Voters grant votes only after earlier leases have ended. Waiting for
    another lease duration separates the last external write of the old leader,
    which may have been in flight when its lease ended, from the first of the
    new one. In epoch 1, a sole voter has no earlier leader.
    """
    if state.epoch == 1 and state.members.quorum == 1:
        return now
    return now + state.cfg.lease_s


def get_confirmed_at(state: _state.State, now: float) -> float:
    """Returns the send time of the latest round that a quorum answered."""
    leadership = state.leadership
    if leadership is None or not state.members.voters:
        return _state.DISTANT_PAST
    times = [now] if state.is_voter else []
    for member in state.members.voters:
        if member.instance != state.own_instance:
            times.append(_get_member_confirmed_at(leadership, member.instance))
    times.sort(reverse=True)
    return times[state.members.quorum - 1]


def get_lease_deadline(state: _state.State, now: float) -> float:
    """Returns when the lease ends; `DISTANT_PAST` if none is held."""
    leadership = state.leadership
    if leadership is None or now < leadership.first_lease_at:
        return _state.DISTANT_PAST
    if not state.is_voter or not may_serve_reads(state):
        return _state.DISTANT_PAST
    return get_confirmed_at(state, now) + state.cfg.lease_s


def may_serve_reads(state: _state.State) -> bool:
    """Whether the commit index covers all entries committed in past epochs."""
    leadership = state.leadership
    return leadership is not None and state.commit >= leadership.noop_index


def has_lost_quorum(state: _state.State, now: float) -> bool:
    """Whether no quorum answered for the maximum election timeout."""
    leadership = state.leadership
    if leadership is None:
        return False
    last_confirmed_at = max(get_confirmed_at(state, now), leadership.elected_at)
    return last_confirmed_at + state.cfg.election_max_s < now


def _get_member_confirmed_at(
    leadership: _state.Leadership, instance: base.InstanceId
) -> float:
    progress = leadership.progress.get(instance)
    return _state.DISTANT_PAST if progress is None else progress.confirmed_at
