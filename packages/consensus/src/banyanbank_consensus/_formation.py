"""Formation of a new log, and hellos of stores without a leader.

A log is formed once, by the first of the initial voters, when each of the
others has answered two hellos in a row with the same empty store. When the
second of the two was sent, all stores were then empty at once. The member set
names the stores. An empty store joins the first log that addresses it by its
identity, and stays in it for good. A store that was lost and made anew has
another identity: no one addresses it, and its answers count for no member.
"""

import attrs
import banyanbank_base as base

from banyanbank_consensus import _effects
from banyanbank_consensus import _log
from banyanbank_consensus import _members
from banyanbank_consensus import _messages
from banyanbank_consensus import _state

HELLO_PERIOD_S = 0.25
"""Seconds between hellos."""

EMPTY_ROUNDS = 2
"""Answers in a row that show that stores were empty at the same time."""

GREETING_LIFE_S = 2.0
"""Seconds for which a hello counts."""


def tick(state: _state.State, now: float) -> None:
    """Forms the log when all initial voters are there; says hello."""
    if not state.hard.cluster and _may_form(state):
        _form(state)
    if now >= state.hello_at and _needs_hello(state):
        state.hello_at = now + HELLO_PERIOD_S
        state.hello_round += 1
        for peer in sorted(_audience(state)):
            _say_hello(state, peer, "", state.hello_round, answer=True)


def on_hello(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.Hello,
    now: float,
) -> None:
    """Remembers the store of an instance, and answers when asked."""
    if not msg.answer and msg.head.target != state.store:
        return
    state.greetings[sender] = _greeting(state, sender, msg, now)
    state.heard_members |= frozenset(msg.members)
    if msg.answer:
        _say_hello(state, sender, msg.head.store, msg.round, answer=False)


def admit(state: _state.State, head: _messages.Header) -> bool:
    """Whether a message is meant for this store, joining its log if need be."""
    if not _is_for_store(state, head) or not head.cluster:
        return False
    if not state.hard.cluster:
        _state.save_hard(state, attrs.evolve(state.hard, cluster=head.cluster))
        _state.note(state, "log.joined", f"cluster={head.cluster}")
    return head.cluster == state.hard.cluster


def fresh_greeting(
    state: _state.State, instance: base.InstanceId, now: float
) -> _state.Greeting | None:
    """Returns the newest hello of an instance unless it is old."""
    greeting = state.greetings.get(instance)
    if greeting is None or greeting.heard_at + GREETING_LIFE_S < now:
        return None
    return greeting


def _is_for_store(state: _state.State, head: _messages.Header) -> bool:
    return head.target == state.store


def _greeting(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.Hello,
    now: float,
) -> _state.Greeting:
    """Returns the greeting that follows from a hello or an answer."""
    before = state.greetings.get(sender)
    answered, empty_rounds = 0, 0
    if before is not None and before.store == msg.head.store:
        answered, empty_rounds = before.round, before.empty_rounds
    if msg.head.cluster:
        empty_rounds = 0
    elif not msg.answer and msg.round == state.hello_round > answered:
        in_a_row = answered == msg.round - 1
        empty_rounds = empty_rounds + 1 if in_a_row else 1
        answered = msg.round
    return _state.Greeting(
        store=msg.head.store,
        cluster=msg.head.cluster,
        heard_at=now,
        round=answered,
        empty_rounds=empty_rounds,
    )


def _may_form(state: _state.State) -> bool:
    voters = state.cfg.initial_voters
    if not state.cfg.may_form or state.me != min(voters):
        return False
    return all(_is_empty(state, peer) for peer in voters if peer != state.me)


def _is_empty(state: _state.State, peer: base.InstanceId) -> bool:
    greeting = state.greetings.get(peer)
    return (
        greeting is not None
        and greeting.round == state.hello_round
        and greeting.empty_rounds >= EMPTY_ROUNDS
    )


def _form(state: _state.State) -> None:
    """Writes the first entry, which names the stores of all voters."""
    stores = {peer: g.store for peer, g in state.greetings.items()}
    stores[state.me] = state.store
    members = _members.make_members(
        _members.Member(peer, stores[peer]) for peer in state.cfg.initial_voters
    )
    cluster = f"{state.rng.getrandbits(64):016x}"
    _state.save_hard(state, attrs.evolve(state.hard, cluster=cluster))
    data = _members.MEMBERS_CODEC.encode(members)
    entry = _log.Entry(1, 0, _log.EntryKind.MEMBERS, data)
    state.log.append([entry])
    state.effects.append(_effects.AppendLog((entry,)))
    _state.note(state, "log.formed", f"cluster={cluster}")


def _needs_hello(state: _state.State) -> bool:
    return state.leader is None or not state.is_voter


def _audience(state: _state.State) -> set[base.InstanceId]:
    audience = set(state.cfg.initial_voters) | state.heard_members
    audience.update(m.instance for m in state.members.members)
    audience.discard(state.me)
    return audience


def _say_hello(
    state: _state.State,
    peer: base.InstanceId,
    target: str,
    number: int,
    answer: bool,
) -> None:
    hello = _messages.Hello(
        head=_state.header(state, target),
        answer=answer,
        round=number,
        members=tuple(m.instance for m in state.members.members),
    )
    _state.send(state, peer, hello)
