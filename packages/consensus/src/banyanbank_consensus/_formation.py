"""Formation of a new log, and hellos of stores without a leader.

The first of the initial voters, in order of their ids, forms the log once each
of the others has answered two consecutive hellos with the same empty store: at
the moment the second hello was sent, all stores were empty. The member set
identifies members by their stores. An empty store joins the first log that
addresses it by its identity, and never leaves it. A store that was lost and
recreated has a new identity: messages for the lost store do not address it,
and its responses count for no member.
"""

import attrs
import banyanbank_base as base

from banyanbank_consensus import _effects
from banyanbank_consensus import _log
from banyanbank_consensus import _members
from banyanbank_consensus import _messages
from banyanbank_consensus import _state

HELLO_INTERVAL_S = 0.25
"""Interval between hellos, in seconds."""

REQUIRED_EMPTY_ROUNDS = 2
"""Consecutive answers that show that all stores were empty at one time."""

HELLO_TTL_S = 2.0
"""Seconds after which a received hello expires."""


def tick(state: _state.State, now: float) -> None:
    """Forms the log if all initial voters are ready, and sends due hellos."""
    if not state.hard_state.cluster and _may_form_log(state):
        _form_log(state)
    if now >= state.next_hello_at and _should_send_hellos(state):
        state.next_hello_at = now + HELLO_INTERVAL_S
        state.hello_round += 1
        for peer in sorted(_find_hello_recipients(state)):
            _send_hello(state, peer, "", state.hello_round, answer=True)


def on_hello(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.Hello,
    now: float,
) -> None:
    """Records the store of an instance, and answers if requested."""
    if not msg.answer and msg.head.target != state.store:
        return
    state.peer_hellos[sender] = _merge_hello(state, sender, msg, now)
    state.advertised_members |= frozenset(msg.members)
    if msg.answer:
        _send_hello(state, sender, msg.head.store, msg.round, answer=False)


def accept_header(state: _state.State, head: _messages.Header) -> bool:
    """Whether a message is for this store; an empty store joins its log."""
    if not _is_for_store(state, head) or not head.cluster:
        return False
    if not state.hard_state.cluster:
        _state.update_hard_state(
            state, attrs.evolve(state.hard_state, cluster=head.cluster)
        )
        _state.record_event(state, "log.joined", f"cluster={head.cluster}")
    return head.cluster == state.hard_state.cluster


def get_recent_hello(
    state: _state.State, instance: base.InstanceId, now: float
) -> _state.PeerHello | None:
    """Returns the latest hello of an instance; None if it has expired."""
    peer_hello = state.peer_hellos.get(instance)
    if peer_hello is None or peer_hello.received_at + HELLO_TTL_S < now:
        return None
    return peer_hello


def _is_for_store(state: _state.State, head: _messages.Header) -> bool:
    return head.target == state.store


def _merge_hello(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.Hello,
    now: float,
) -> _state.PeerHello:
    """Returns the updated record of a peer after a hello or an answer."""
    previous = state.peer_hellos.get(sender)
    answered_round, empty_rounds = 0, 0
    if previous is not None and previous.store == msg.head.store:
        answered_round, empty_rounds = previous.round, previous.empty_rounds
    if msg.head.cluster:
        empty_rounds = 0
    elif not msg.answer and msg.round == state.hello_round > answered_round:
        is_consecutive = answered_round == msg.round - 1
        empty_rounds = empty_rounds + 1 if is_consecutive else 1
        answered_round = msg.round
    return _state.PeerHello(
        store=msg.head.store,
        cluster=msg.head.cluster,
        received_at=now,
        round=answered_round,
        empty_rounds=empty_rounds,
    )


def _may_form_log(state: _state.State) -> bool:
    voters = state.cfg.initial_voters
    if not state.cfg.may_form or state.own_instance != min(voters):
        return False
    return all(
        _is_known_empty(state, peer)
        for peer in voters
        if peer != state.own_instance
    )


def _is_known_empty(state: _state.State, peer: base.InstanceId) -> bool:
    peer_hello = state.peer_hellos.get(peer)
    return (
        peer_hello is not None
        and peer_hello.round == state.hello_round
        and peer_hello.empty_rounds >= REQUIRED_EMPTY_ROUNDS
    )


def _form_log(state: _state.State) -> None:
    """Forms a log whose first entry names the stores of all voters."""
    stores = {
        peer: peer_hello.store for peer, peer_hello in state.peer_hellos.items()
    }
    stores[state.own_instance] = state.store
    members = _members.make_members(
        _members.Member(peer, stores[peer]) for peer in state.cfg.initial_voters
    )
    cluster = f"{state.rng.getrandbits(64):016x}"
    _state.update_hard_state(
        state, attrs.evolve(state.hard_state, cluster=cluster)
    )
    data = _members.MEMBERS_CODEC.encode(members)
    entry = _log.Entry(1, 0, _log.EntryKind.MEMBERS, data)
    state.log.append([entry])
    state.effects.append(_effects.AppendLog((entry,)))
    _state.record_event(state, "log.formed", f"cluster={cluster}")


def _should_send_hellos(state: _state.State) -> bool:
    return state.leader is None or not state.is_voter


def _find_hello_recipients(state: _state.State) -> set[base.InstanceId]:
    recipients = set(state.cfg.initial_voters) | state.advertised_members
    recipients.update(m.instance for m in state.members.members)
    recipients.discard(state.own_instance)
    return recipients


def _send_hello(
    state: _state.State,
    peer: base.InstanceId,
    target: str,
    number: int,
    answer: bool,
) -> None:
    hello = _messages.Hello(
        head=_state.make_header(state, target),
        answer=answer,
        round=number,
        members=tuple(m.instance for m in state.members.members),
    )
    _state.send(state, peer, hello)
