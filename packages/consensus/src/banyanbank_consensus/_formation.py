"""Formation of a new log, and hellos of stores without a leader.

A log is formed once, by the first of the initial voters, when every one of
them has said that its store is empty. The member set names their stores. An
empty store joins the first log that addresses it by its identity and stays in
it for good. A store that was lost and made anew has another identity: no one
addresses it, and its answers count for no member.
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

GREETING_LIFE_S = 2.0
"""Seconds for which a hello counts."""


def tick(state: _state.State, now: float) -> None:
    """Forms the log when all initial voters are there; says hello."""
    if not state.hard.cluster and _may_form(state, now):
        _form(state)
    if now >= state.hello_at and _needs_hello(state):
        state.hello_at = now + HELLO_PERIOD_S
        for peer in sorted(_audience(state)):
            _say_hello(state, peer, target="", answer=True)


def on_hello(
    state: _state.State,
    sender: base.InstanceId,
    msg: _messages.Hello,
    now: float,
) -> None:
    """Remembers the store of an instance, and answers when asked."""
    state.greetings[sender] = _state.Greeting(
        store=msg.head.store, cluster=msg.head.cluster, heard_at=now
    )
    state.heard_members |= frozenset(msg.members)
    if msg.answer:
        _say_hello(state, sender, target=msg.head.store, answer=False)


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


def _may_form(state: _state.State, now: float) -> bool:
    voters = state.cfg.initial_voters
    if state.me != min(voters):
        return False
    others = [peer for peer in voters if peer != state.me]
    greetings = [fresh_greeting(state, peer, now) for peer in others]
    return all(g is not None and not g.cluster for g in greetings)


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
    state: _state.State, peer: base.InstanceId, target: str, answer: bool
) -> None:
    hello = _messages.Hello(
        head=_state.header(state, target),
        answer=answer,
        members=tuple(m.instance for m in state.members.members),
    )
    _state.send(state, peer, hello)
