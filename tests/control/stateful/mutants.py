"""Faults put into the code on purpose; the rules must catch each one.

A mutant is a context manager that breaks one thing while it lasts.
"""

import collections.abc
import contextlib
import typing
import unittest.mock

import attrs
import banyanbank_control as control
from banyanbank_control import _handlers
from banyanbank_control import intents
from banyanbank_control import orders
from banyanbank_control import usage
from banyanbank_control.config import _apply as config_apply
from banyanbank_control.config import _validation as config_validation
from banyanbank_control.intents import _apply as intents_apply
from banyanbank_control.intents import _state as intents_state
from banyanbank_control.sync import _endpoints
from banyanbank_control.sync import _entry
from banyanbank_control.sync import _known
from banyanbank_control.sync import _leader
from banyanbank_control.sync import _members
from banyanbank_control.sync import _view
from banyanbank_control.usage import _apply as usage_apply
import immutables

Mutant = collections.abc.Callable[
    [], contextlib.AbstractContextManager[typing.Any]
]


def _replaced(owner: object, name: str, value: object) -> Mutant:
    return lambda: unittest.mock.patch.object(owner, name, value)


def _wrapped(
    owner: typing.Any, name: str, wrap: collections.abc.Callable
) -> Mutant:
    """Replaces a callable by `wrap(original, *args)`."""
    original = getattr(owner, name)
    return _replaced(owner, name, lambda *args: wrap(original, *args))


def _snapshot_without(owner: typing.Any, **empty: object) -> Mutant:
    return _wrapped(
        owner,
        "to_record",
        lambda to_record, self: attrs.evolve(to_record(self), **empty),
    )


def _reverts(to_record: typing.Any, self: control.ConfigState) -> typing.Any:
    taken = to_record(self)
    kept = taken.declared.with_keys(taken.declared.keys[:1])
    return attrs.evolve(taken, declared=kept)


def _any_revision(
    state: control.ConfigState, cmd: control.ApplyDeclarations
) -> typing.Any:
    cmd = attrs.evolve(cmd, expected_revision=state.revision)
    return config_apply.apply_declarations(state, cmd)


def _any_base(
    state: control.ConfigState, cmd: control.ApplyChanges
) -> typing.Any:
    cmd = attrs.evolve(cmd, expected_revision=state.revision)
    return config_apply.apply_changes(state, cmd)


def _from_receipt(
    apply_reply: typing.Any,
    self: control.EntrySync,
    reply: typing.Any,
    now: float,
) -> typing.Any:
    if reply.number in self.freshness._sent_at:
        self.freshness._sent_at[reply.number] = now
    return apply_reply(self, reply, now)


def _any_life(
    apply_reply: typing.Any,
    self: control.EntrySync,
    reply: typing.Any,
    now: float,
) -> typing.Any:
    me = self.member
    mine = attrs.evolve(reply, instance=me.instance, incarnation=me.incarnation)
    return apply_reply(self, mine, now)


def _older_whole(
    apply_reply: typing.Any, self: control.ConfigView, reply: typing.Any
) -> typing.Any:
    if reply.whole is None or reply.revision >= self.revision:
        return apply_reply(self, reply)
    return _view.ViewUpdate(self._with_whole(reply.whole), is_current=True)


def _for_queued_work(
    without: typing.Any, self: control.ConfigView, key_id: typing.Any
) -> typing.Any:
    return attrs.evolve(without(self, key_id), key_ids=self.key_ids)


def _count_again(
    add: typing.Any, state: control.UsageState, cmd: control.AddUsage
) -> typing.Any:
    new, reply = add(state, cmd)
    window = usage_apply._with_deltas(state.open, cmd.deltas)
    return new.with_open(window), reply


def _count_in_closed(
    add: typing.Any, state: control.UsageState, cmd: control.AddUsage
) -> typing.Any:
    new, reply = add(state, cmd)
    last = state.closed.get(state.open.number - 1)
    if new is state or last is None:
        return new, reply
    late = usage_apply._with_deltas(last, cmd.deltas)
    closed = new.closed.set(last.number, late)
    return attrs.evolve(new, open=state.open, closed=closed), reply


def _renumbered(
    flush: typing.Any, self: control.UsageBuffer, final: bool = False
) -> typing.Any:
    pending, self._pending = self._pending, None
    if pending is None:
        return flush(self, final)
    for delta in pending.deltas:
        self.count(delta.account, delta.figures)
    return flush(self, final)


def _claim_after_restart(held: typing.Any, *args: typing.Any) -> typing.Any:
    reply = held(*args)
    if isinstance(reply, control.IntentOpen) and reply.may_have_run:
        return control.IntentBegun()
    return reply


def _abandon_any(
    abandon: typing.Any,
    state: control.IntentState,
    cmd: control.AbandonIntent,
) -> typing.Any:
    held = state.intents.get((cmd.account, cmd.idempotency_key))
    if held is not None:
        cmd = attrs.evolve(cmd, request_id=held.request_id)
    return abandon(state, cmd)


def _forget_needs(
    decide: typing.Any, state: control.OrderState, cmd: control.DecideOrder
) -> typing.Any:
    return decide(attrs.evolve(state, needs=immutables.Map()), cmd)


def _any_member(
    record_poll: typing.Any, self: control.MemberTable, *args: typing.Any
) -> typing.Any:
    self._newest_incarnations.clear()
    return record_poll(self, *args)


def _without_gone(answer: typing.Any, *args: typing.Any) -> typing.Any:
    return attrs.evolve(answer(*args), endpoints_gone=(), members_gone=())


def _without_age(
    merge_announcement: typing.Any, *args: typing.Any
) -> typing.Any:
    return merge_announcement(*args[:3])


CONFIG_MUTANTS: dict[str, Mutant] = {
    "snapshot reverts the newest change": _wrapped(
        control.ConfigState, "to_record", _reverts
    ),
    "snapshot forgets tombstones": _snapshot_without(
        control.ConfigState, tombstones=()
    ),
    "snapshot forgets request ids": _snapshot_without(
        control.ConfigState, requests=()
    ),
    "no tombstone is kept": _replaced(
        control.ConfigState, "with_tombstone", lambda self, tombstone: self
    ),
    "hash of a withdrawn key comes back": _wrapped(
        config_validation,
        "_check_withdrawn_keys",
        lambda check, state, keys: check(
            attrs.evolve(state, withdrawn_ids_by_hash=immutables.Map()), keys
        ),
    ),
    "request id is not kept": _replaced(
        control.ConfigState, "with_request_record", lambda self, record: self
    ),
    "revision is not compared": lambda: unittest.mock.patch.dict(
        _handlers._CONFIG_HANDLERS, {control.ApplyDeclarations: _any_revision}
    ),
    "revision of changes is not compared": lambda: unittest.mock.patch.dict(
        _handlers._CONFIG_HANDLERS, {control.ApplyChanges: _any_base}
    ),
    "freshness counts from receipt": _wrapped(
        _entry.EntrySync, "apply_reply", _from_receipt
    ),
    "answer to an earlier life counts": _wrapped(
        _entry.EntrySync, "apply_reply", _any_life
    ),
    "view takes an older revision": _wrapped(
        control.ConfigView, "apply_reply", _older_whole
    ),
    "withdrawn key goes on with queued work": _wrapped(
        control.ConfigView, "_without_key", _for_queued_work
    ),
}
"""What the rules of configuration must catch."""

EFFECT_MUTANTS: dict[str, Mutant] = {
    "snapshot forgets flush numbers": _snapshot_without(
        control.UsageState, flushes=()
    ),
    "snapshot forgets intents": _snapshot_without(
        control.IntentState, rows=b"\x80"
    ),
    "snapshot forgets order numbers": _snapshot_without(
        control.OrderState, next=1
    ),
    "flush number is ignored": _wrapped(usage, "add", _count_again),
    "late flush changes a frozen window": _wrapped(
        usage, "add", _count_in_closed
    ),
    "flush is sent again under another number": _wrapped(
        control.UsageBuffer, "flush", _renumbered
    ),
    "claim passes on after a restart": _wrapped(
        intents_apply, "_reply_to_existing", _claim_after_restart
    ),
    "another attempt abandons the claim": _wrapped(
        intents, "abandon", _abandon_any
    ),
    "attempt given up is forgotten": _replaced(
        control.IntentState, "with_abandoned", lambda self, request_id: self
    ),
    "intent expires without clock margin": _replaced(
        intents_state, "CLOCK_SKEW_MARGIN_S", 0.0
    ),
    "need with a live order is ordered": _wrapped(
        orders, "decide", _forget_needs
    ),
}
"""What the rules of usage, requests and orders must catch."""

SOFT_MUTANTS: dict[str, Mutant] = {
    "renewal beats a leave": lambda: unittest.mock.patch.dict(
        _endpoints._PHASE_RANK, dict.fromkeys(control.Phase, 0)
    ),
    "leave is forgotten at once": _replaced(
        _endpoints, "LEAVE_RETENTION_S", 0.5
    ),
    "silence of an endpoint goes unnoticed": _replaced(
        _endpoints, "ENDPOINT_TTL_S", 1e6
    ),
    "silence of an instance goes unnoticed": _replaced(
        _members, "MEMBER_TTL_S", 1e6
    ),
    "poll of an earlier life displaces a later one": _wrapped(
        control.MemberTable, "record_poll", _any_member
    ),
    "what is gone is not told": _wrapped(
        control.LeaderSync, "answer", _without_gone
    ),
    "age of announcements is ignored": _wrapped(
        control.EndpointTable, "merge_announcement", _without_age
    ),
    "list of a new leader replaces all at once": _replaced(
        _known, "RELEARN_GRACE_S", 0.0
    ),
    "numbers begin anew with a regained lease": _replaced(
        _leader, "_SEQUENCE_NUMBERS_PER_S", 0
    ),
    "isolated entry uses an old list for ever": _replaced(
        _entry, "ISOLATION_GRACE_S", 1e9
    ),
}
"""What the rules of members and endpoints must catch."""
