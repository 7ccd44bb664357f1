"""Leader election: pre-vote, votes, and withheld votes during a lease."""

import attrs
import banyanbank_base as base

from banyanbank_consensus import _lease
from banyanbank_consensus import _log
from banyanbank_consensus import _members
from banyanbank_consensus import _messages
from banyanbank_consensus import _progress
from banyanbank_consensus import _replication
from banyanbank_consensus import _state


def tick(state: _state.State, now: float) -> None:
    """Campaigns if the election timeout has passed without a leader."""
    if state.role is _state.Role.LEADER or not _may_campaign(state):
        return
    if state.is_voter and state.members.quorum == 1:
        # A sole voter has no rival: no other instance can become leader, and
        # only one process can open the data folder.
        _start_election(state, now)
    elif now >= state.election_due_at:
        _start_pre_vote(state, now)


def on_vote_request(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.VoteRequest,
    now: float,
) -> None:
    """Grants or rejects a vote or a pre-vote."""
    if _is_withholding_votes(state, now):
        _send_vote_response(state, sender, msg, granted=False)
        return
    if not msg.pre and msg.head.epoch > state.epoch:
        _state.become_follower(state, msg.head.epoch, None, now)
    granted = _may_grant_vote(state, sender, msg)
    if granted and not msg.pre:
        candidate = _state.format_identity(sender, msg.head.store)
        hard_state = attrs.evolve(
            state.hard_state, voted_for=candidate, promised_to=candidate
        )
        _state.update_hard_state(state, hard_state)
        _state.reset_election_timer(state, now)
    _send_vote_response(state, sender, msg, granted)


def on_vote_response(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.VoteResponse,
    now: float,
) -> None:
    """Records a granted vote or pre-vote."""
    if msg.head.epoch > state.epoch:
        _state.become_follower(state, msg.head.epoch, None, now)
        return
    if not _is_valid_grant(state, sender, msg):
        return
    state.votes.add(sender)
    if not _has_majority(state):
        return
    if msg.pre:
        _start_election(state, now)
    else:
        _become_leader(state, now)


def _may_campaign(state: _state.State) -> bool:
    """Whether this replica may become leader.

    It still may while its removal is not known to be committed: the entry
    that removes it may exist nowhere else, and the log cannot make progress
    without it. Any member set from the commit index on may be in force.
    """
    return any(
        members.is_voter(state.own_instance, state.store)
        for members in state.log.members_since(state.commit)
    )


def _is_withholding_votes(state: _state.State, now: float) -> bool:
    """Whether a leader's lease may rely on this replica not voting."""
    return state.role is _state.Role.LEADER or now < state.votes_withheld_until


def _may_grant_vote(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.VoteRequest,
) -> bool:
    if not _is_log_up_to_date(state.log, msg):
        return False
    if msg.pre:
        return msg.head.epoch > state.epoch
    candidate = _state.format_identity(sender, msg.head.store)
    return msg.head.epoch == state.epoch and state.hard_state.voted_for in (
        "",
        candidate,
    )


def _is_log_up_to_date(log: _log.Log, msg: _messages.VoteRequest) -> bool:
    own_position = (log.last_epoch, log.last_index)
    return (msg.last_epoch, msg.last_index) >= own_position


def _send_vote_response(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.VoteRequest,
    granted: bool,
) -> None:
    response = _messages.VoteResponse(
        head=_state.make_header(state, msg.head.store),
        pre=msg.pre,
        asked_epoch=msg.head.epoch,
        granted=granted,
    )
    _state.send(state, sender, response)


def _is_valid_grant(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.VoteResponse,
) -> bool:
    """Whether a response is a grant by a voter for the current election."""
    if not msg.granted:
        return False
    if not _is_voter_store(state.members, sender, msg.head.store):
        return False
    if msg.pre:
        expected_role = _state.Role.PRE_CANDIDATE
        expected_epoch = state.epoch + 1
    else:
        expected_role = _state.Role.CANDIDATE
        expected_epoch = state.epoch
    return state.role is expected_role and msg.asked_epoch == expected_epoch


def _is_voter_store(
    members: _members.Members, instance: base.InstanceId, store: str
) -> bool:
    return members.is_voter(instance, store)


def _has_majority(state: _state.State) -> bool:
    voters = {member.instance for member in state.members.voters}
    return len(state.votes & voters) >= state.members.quorum


def _start_pre_vote(state: _state.State, now: float) -> None:
    """Asks whether an election could be won, without changing the epoch."""
    _state.transition(state, "election_timed_out")
    state.leader = None
    state.votes = {state.own_instance}
    _state.reset_election_timer(state, now)
    _request_votes(state, pre=True, epoch=state.epoch + 1)


def _start_election(state: _state.State, now: float) -> None:
    """Starts a new epoch and requests votes."""
    _state.transition(state, "epoch_opened")
    state.leader = None
    hard_state = attrs.evolve(
        state.hard_state,
        epoch=state.epoch + 1,
        voted_for=state.identity,
        promised_to=state.identity,
    )
    _state.update_hard_state(state, hard_state)
    state.votes = {state.own_instance}
    _state.reset_election_timer(state, now)
    if _has_majority(state):
        _become_leader(state, now)
    else:
        _request_votes(state, pre=False, epoch=state.epoch)


def _request_votes(state: _state.State, pre: bool, epoch: int) -> None:
    for member in state.members.voters:
        if member.instance == state.own_instance:
            continue
        request = _messages.VoteRequest(
            head=_state.make_header(state, member.store, epoch),
            pre=pre,
            last_index=state.log.last_index,
            last_epoch=state.log.last_epoch,
        )
        _state.send(state, member.instance, request)


def _become_leader(state: _state.State, now: float) -> None:
    """Becomes leader of the current epoch and appends its no-op entry."""
    _state.transition(state, "election_won")
    state.leader = state.own_instance
    state.votes = set()
    state.leadership = _state.Leadership(
        noop_index=state.log.last_index + 1,
        elected_at=now,
        first_lease_at=_lease.get_first_lease_at(state, now),
    )
    _state.record_event(
        state, "leader.elected", f"index={state.log.last_index}"
    )
    _replication.append_in_epoch(state, _log.EntryKind.NOOP, b"")
    _replication.start_heartbeat_round(state, now)
    _progress.count_silence_of_former_leader(state)
