"""Elections: pre-vote, votes, and the promise behind the leader's lease."""

import attrs
import banyanbank_base as base

from banyanbank_consensus import _lease
from banyanbank_consensus import _log
from banyanbank_consensus import _members
from banyanbank_consensus import _messages
from banyanbank_consensus import _replication
from banyanbank_consensus import _state


def tick(state: _state.State, now: float) -> None:
    """Campaigns when no leader was heard for an election timeout."""
    if state.role is _state.Role.LEADER or not _may_campaign(state):
        return
    if state.is_voter and state.members.quorum == 1:
        # Nobody else can lead, and this folder admits one process.
        _campaign(state, now)
    elif now >= state.election_at:
        _pre_campaign(state, now)


def on_vote_request(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.VoteRequest,
    now: float,
) -> None:
    """Grants or refuses a vote or a pre-vote."""
    if _promised(state, now):
        _answer(state, sender, msg, granted=False)
        return
    if not msg.pre and msg.head.epoch > state.epoch:
        _state.become_follower(state, msg.head.epoch, None, now)
    granted = _may_grant(state, sender, msg)
    if granted and not msg.pre:
        candidate = _state.identity_of(sender, msg.head.store)
        hard = attrs.evolve(state.hard, voted_for=candidate)
        _state.save_hard(state, hard)
        _state.reset_election(state, now)
    _answer(state, sender, msg, granted)


def on_vote_response(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.VoteResponse,
    now: float,
) -> None:
    """Counts a vote or a pre-vote."""
    if msg.head.epoch > state.epoch:
        _state.become_follower(state, msg.head.epoch, None, now)
        return
    if not _counts(state, sender, msg):
        return
    state.votes.add(sender)
    if not _has_majority(state):
        return
    if msg.pre:
        _campaign(state, now)
    else:
        _lead(state, now)


def _may_campaign(state: _state.State) -> bool:
    """Whether this replica may lead.

    One whose removal is not known to be committed still may: nobody else may
    hold the entry that removes it, and the log cannot go on without it.
    """
    if state.is_voter:
        return True
    committed = state.log.members_at(state.commit)
    return committed.is_voter(state.me, state.store)


def _promised(state: _state.State, now: float) -> bool:
    """Whether a leader may hold a lease that rests on this replica."""
    return state.role is _state.Role.LEADER or now < state.promise_until


def _may_grant(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.VoteRequest,
) -> bool:
    if not _log_is_as_new(state.log, msg):
        return False
    if msg.pre:
        return msg.head.epoch > state.epoch
    candidate = _state.identity_of(sender, msg.head.store)
    return msg.head.epoch == state.epoch and state.hard.voted_for in (
        "",
        candidate,
    )


def _log_is_as_new(log: _log.Log, msg: _messages.VoteRequest) -> bool:
    mine = (log.last_epoch, log.last_index)
    return (msg.last_epoch, msg.last_index) >= mine


def _answer(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.VoteRequest,
    granted: bool,
) -> None:
    response = _messages.VoteResponse(
        head=_state.header(state, msg.head.store),
        pre=msg.pre,
        asked_epoch=msg.head.epoch,
        granted=granted,
    )
    _state.send(state, sender, response)


def _counts(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.VoteResponse,
) -> bool:
    """Whether a response is a grant by a voter for the current election."""
    if not msg.granted:
        return False
    if not _is_counted_voter(state.members, sender, msg.head.store):
        return False
    if msg.pre:
        expected = _state.Role.PRE_CANDIDATE
        asked = state.epoch + 1
    else:
        expected = _state.Role.CANDIDATE
        asked = state.epoch
    return state.role is expected and msg.asked_epoch == asked


def _is_counted_voter(
    members: _members.Members, instance: base.InstanceId, store: str
) -> bool:
    return members.is_voter(instance, store)


def _has_majority(state: _state.State) -> bool:
    voters = {member.instance for member in state.members.voters}
    return len(state.votes & voters) >= state.members.quorum


def _pre_campaign(state: _state.State, now: float) -> None:
    """Asks whether an election could be won, without changing the epoch."""
    _state.move(state, "election_timed_out")
    state.leader = None
    state.votes = {state.me}
    _state.reset_election(state, now)
    _ask_for_votes(state, pre=True, epoch=state.epoch + 1)


def _campaign(state: _state.State, now: float) -> None:
    """Opens a new epoch and asks for votes."""
    _state.move(state, "epoch_opened")
    state.leader = None
    hard = attrs.evolve(
        state.hard, epoch=state.epoch + 1, voted_for=state.identity
    )
    _state.save_hard(state, hard)
    state.votes = {state.me}
    _state.reset_election(state, now)
    if _has_majority(state):
        _lead(state, now)
    else:
        _ask_for_votes(state, pre=False, epoch=state.epoch)


def _ask_for_votes(state: _state.State, pre: bool, epoch: int) -> None:
    for member in state.members.voters:
        if member.instance == state.me:
            continue
        request = _messages.VoteRequest(
            head=_state.header(state, member.store, epoch),
            pre=pre,
            last_index=state.log.last_index,
            last_epoch=state.log.last_epoch,
        )
        _state.send(state, member.instance, request)


def _lead(state: _state.State, now: float) -> None:
    """Starts to lead the epoch that was won."""
    _state.move(state, "election_won")
    state.leader = state.me
    state.votes = set()
    state.leadership = _state.Leadership(
        noop_index=state.log.last_index + 1,
        elected_at=now,
        lease_from=_lease.first_lease_at(state, now),
    )
    _state.note(state, "leader.elected", f"index={state.log.last_index}")
    _replication.append_own(state, _log.EntryKind.NOOP, b"")
    _replication.start_round(state, now)
