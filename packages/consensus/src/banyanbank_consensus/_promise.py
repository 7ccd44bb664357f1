"""Release of the votes that a restarted voter withholds for a former leader.

A voter that restarts does not know when it last acknowledged a heartbeat, so
it withholds votes for a full election timeout. It does know to whom: a lease
can rely only on the leader that it followed, or voted for, last. Once that
leader's process says that it does not lead, its lease has ended for good, and
leading again needs new votes and new acknowledgements. So the voter stops to
withhold, and all voters of a common restart elect a leader at once.

The answer must be to a query of the present process: an answer to an earlier
one may be older than the acknowledgement. A former leader that is suspended,
unreachable or lost its disk does not answer, and the voter waits.

The former leader campaigns as soon as it has answered: the voter that asked
releases its vote with the answer, which the request for it follows. An earlier
campaign was rejected by that voter, and the next one would be a timeout later.
When a replica campaigns has no part in the safety of a lease; that voters
grant no votes has, and also that a replica that withholds votes, or has voted
for a rival, does not count itself.
"""

import attrs
import banyanbank_base as base

from banyanbank_consensus import _messages
from banyanbank_consensus import _state

QUERY_INTERVAL_S = 0.05
"""Interval between leadership queries, in seconds."""


def start(state: _state.State, now: float) -> None:
    """Begins to ask the former leader; done if that is this voter itself."""
    if not state.is_voter or not state.hard_state.promised_to:
        return
    if state.hard_state.promised_to == state.identity:
        # The leadership of this voter ended with its previous process.
        _release(state, now)
        state.election_due_at = now
    else:
        state.promise_query_at = now


def tick(state: _state.State, now: float) -> None:
    """Sends a leadership query if it is due."""
    if state.promise_query_at is None or now < state.promise_query_at:
        return
    if now >= state.votes_withheld_until:
        state.promise_query_at = None
        return
    state.promise_query_at = now + QUERY_INTERVAL_S
    instance, store = _state.parse_identity(state.hard_state.promised_to)
    query = _messages.LeadershipQuery(
        _state.make_header(state, store), state.incarnation
    )
    _state.send(state, instance, query)


def on_query(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.LeadershipQuery,
) -> None:
    """Answers whether this replica leads."""
    answer = _messages.LeadershipAnswer(
        _state.make_header(state, msg.head.store),
        msg.incarnation,
        is_leading=state.role is _state.Role.LEADER,
    )
    _state.send(state, sender, answer)


def campaign_after_answer(state: _state.State, now: float) -> None:
    """Has a former leader campaign as soon as it has answered a query."""
    if _may_campaign_at_once(state, now):
        state.election_due_at = now


def on_answer(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.LeadershipAnswer,
    now: float,
) -> None:
    """Stops withholding votes if the former leader no longer leads."""
    if state.promise_query_at is None or msg.is_leading:
        return
    identity = _state.format_identity(sender, msg.head.store)
    if identity != state.hard_state.promised_to:
        return
    if _is_of_this_process(state, msg):
        _release(state, now)


def _may_campaign_at_once(state: _state.State, now: float) -> bool:
    """Whether this replica led last and nobody relies on its vote.

    It must not be a candidate either: a majority has granted it a pre-vote,
    and another epoch would void the votes that are on their way.
    """
    return (
        state.hard_state.promised_to == state.identity
        and now >= state.votes_withheld_until
        and state.role in (_state.Role.FOLLOWER, _state.Role.PRE_CANDIDATE)
    )


def _is_of_this_process(
    state: _state.State, msg: _messages.LeadershipAnswer
) -> bool:
    return msg.incarnation == state.incarnation


def _release(state: _state.State, now: float) -> None:
    state.promise_query_at = None
    state.votes_withheld_until = now
    state.quick_elections_until = now + state.cfg.election_max_s
    _state.reset_election_timer(state, now)
    _state.record_event(
        state, "votes.released", f"former={state.hard_state.promised_to}"
    )


def record(
    state: _state.State, leader: base.InstanceId, head: _messages.Header
) -> None:
    """Records the leader on whose behalf votes are withheld from now on."""
    identity = _state.format_identity(leader, head.store)
    _state.update_hard_state(
        state, attrs.evolve(state.hard_state, promised_to=identity)
    )
    state.promise_query_at = None
    state.quick_elections_until = _state.DISTANT_PAST
