"""Applies commands about declarations and keys."""

import collections.abc

import banyanbank_base as base

from banyanbank_control import commands
from banyanbank_control import declarations
from banyanbank_control.config import _state

Reply = commands.ConfigAccepted | commands.RevisionConflict | commands.Rejected
_Changes = tuple[declarations.Change, ...]
_Answer = tuple[_state.ConfigState, Reply]


def apply_declarations(
    state: _state.ConfigState, cmd: commands.ApplyDeclarations
) -> _Answer:
    """Puts a whole set in force if its expected revision fits.

    Cost grows with the set, not with the keys in force when it has no keys.
    """
    changes = _changes_to(state, cmd.declared)
    if cmd.expected_revision != state.revision:
        # The same content under the same number: what is asked is in force.
        if cmd.expected_revision == state.revision - 1 and not changes:
            return state, commands.ConfigAccepted(state.revision, 0)
        return state, _conflict(state, cmd)
    if not changes:
        return state, commands.ConfigAccepted(state.revision, 0)
    fault = _fault_of(state, cmd.declared, changes)
    if fault is not None:
        return state, fault
    return _accept(state, cmd.operator, cmd.request_id, changes)


def create_key(state: _state.ConfigState, cmd: commands.CreateKey) -> _Answer:
    """Adds one key."""
    key = cmd.key
    account = declarations.ItemRef(declarations.Kind.ACCOUNT.value, key.account)
    if account not in state.items:
        return state, _invalid(
            f"There is no account {key.account!r}; declare it first."
        )
    changes: _Changes = (declarations.Added(key),)
    fault = (
        _withdrawn(state, (key,))
        or _malformed(changes)
        or _altered_keys(state, changes)
    )
    if fault is not None:
        return state, fault
    return _accept(state, cmd.operator, cmd.request_id, changes)


def withdraw_key(
    state: _state.ConfigState, cmd: commands.WithdrawKey
) -> _Answer:
    """Withdraws one key for ever."""
    key = state.keys.get(cmd.key_id)
    if key is not None:
        changes: _Changes = (declarations.Removed(key),)
        return _accept(state, cmd.operator, cmd.request_id, changes)
    if cmd.key_id in state.tombstones:
        return state, commands.ConfigAccepted(state.revision, 0)
    return state, commands.Rejected(
        commands.RejectReason.NOT_FOUND,
        f"There is no key {cmd.key_id!r}; list the keys.",
    )


def _changes_to(
    state: _state.ConfigState, declared: declarations.Declarations
) -> _Changes:
    keys = tuple(state.keys.values()) if declared.keys else ()
    old = declarations.Declarations.of([*state.items.values(), *keys])
    return declarations.diff(old, declared)


def _conflict(
    state: _state.ConfigState, cmd: commands.ApplyDeclarations
) -> commands.RevisionConflict:
    winner = state.history.get(
        cmd.expected_revision + 1, state.history.get(state.revision)
    )
    if winner is None:
        return commands.RevisionConflict(
            cmd.expected_revision,
            state.revision,
            0,
            "",
            "",
            f"Revision {state.revision} is in force, not"
            f" {cmd.expected_revision}; export it and apply over it.",
        )
    return commands.RevisionConflict(
        cmd.expected_revision,
        state.revision,
        winner.revision,
        winner.operator,
        winner.request_id,
        f"Operator {winner.operator!r} made revision {winner.revision} by"
        f" request {winner.request_id!r} first; export revision"
        f" {state.revision} and apply your change over it.",
    )


def _fault_of(
    state: _state.ConfigState,
    declared: declarations.Declarations,
    changes: _Changes,
) -> commands.Rejected | None:
    problems = declarations.check(declared)
    if problems:
        return _invalid("\n".join(str(problem) for problem in problems))
    return (
        _withdrawn(state, declared.keys)
        or _malformed(changes)
        or _orphaned(state, declared)
        or _altered_keys(state, changes)
    )


def _withdrawn(
    state: _state.ConfigState, keys: tuple[declarations.Key, ...]
) -> commands.Rejected | None:
    dead = [
        key.key_id
        for key in keys
        if key.key_id in state.tombstones
        or key.secret_sha256 in state.dead_hashes
    ]
    if not dead:
        return None
    return commands.Rejected(
        commands.RejectReason.KEY_WITHDRAWN,
        f"Withdrawn keys never come back: {', '.join(sorted(dead))}; remove"
        " their rows or create new keys.",
    )


def _malformed(changes: _Changes) -> commands.Rejected | None:
    """Holds new items against the sheet's rules, however they came."""
    for item in _new_items(changes):
        fault = declarations.malformed(item)
        if fault:
            return _invalid(f"{item.ref}: {fault}")
    return None


def _orphaned(
    state: _state.ConfigState, declared: declarations.Declarations
) -> commands.Rejected | None:
    """Finds accounts that go while their keys, left out, would stay."""
    if declared.keys:
        return None
    names = {account.name for account in declared.accounts}
    orphans = sorted(name for name in state.key_counts if name not in names)
    if not orphans:
        return None
    return _invalid(
        f"Accounts with keys in force are missing: {', '.join(orphans)};"
        " withdraw their keys first or add key rows."
    )


def _altered_keys(
    state: _state.ConfigState, changes: _Changes
) -> commands.Rejected | None:
    """Keys are never altered, and a hash never moves to another key."""
    for key in _new_items(changes):
        if not isinstance(key, declarations.Key):
            continue
        if key.key_id in state.keys or key.secret_sha256 in state.hashes:
            return _invalid(
                f"Key {key.key_id!r} or its hash is in force with other"
                " values; withdraw that key and create one of another id"
                " and secret."
            )
    return None


def _invalid(detail: str) -> commands.Rejected:
    return commands.Rejected(commands.RejectReason.INVALID, detail)


def _accept(
    state: _state.ConfigState,
    operator: str,
    request_id: base.RequestId,
    changes: _Changes,
) -> _Answer:
    delta = _state.Delta(
        revision=state.revision + 1,
        operator=operator,
        request_id=request_id,
        puts=declarations.Declarations.of(_new_items(changes)),
        removed=tuple(
            change.ref
            for change in changes
            if isinstance(change, declarations.Removed)
        ),
    )
    reply = commands.ConfigAccepted(delta.revision, len(changes))
    return state.with_delta(delta), reply


def _new_items(
    changes: _Changes,
) -> collections.abc.Iterator[declarations.Item]:
    for change in changes:
        if isinstance(change, declarations.Added):
            yield change.item
        elif isinstance(change, declarations.Changed):
            yield change.new
