"""Applies commands about declarations and keys."""

import collections.abc
import hashlib

import banyanbank_base as base

from banyanbank_control import commands
from banyanbank_control import declarations
from banyanbank_control.config import _rules
from banyanbank_control.config import _state

Reply = commands.ConfigAccepted | commands.RevisionConflict | commands.Rejected
_Changes = tuple[declarations.Change, ...]
_Answer = tuple[_state.ConfigState, Reply]

DIGEST_BYTES = 16


def digest_of(payload: bytes) -> bytes:
    """Returns the digest by which a resend is told from another request."""
    return hashlib.sha256(payload).digest()[:DIGEST_BYTES]


def compact(
    state: _state.ConfigState, cmd: commands.ApplyDeclarations
) -> commands.ApplyChanges:
    """Returns a command of the same effect that holds only what changes.

    The leader calls it before it proposes: log, peers and followers then
    bear the size of the change in place of the size of the set.

    Args:
        state: Configuration in force at the leader.
        cmd: What an operator asks for.
    """
    changes: _Changes = ()
    expected = cmd.expected_revision
    behind = state.revision - expected
    if behind in (0, 1):
        changes = _changes_to(state, cmd.declared)
    if behind == 1 and not changes:
        # What is asked for is in force already.
        expected = state.revision
    elif behind:
        # It has lost: the revision alone shows that.
        changes = ()
    return commands.ApplyChanges(
        cmd.request_id,
        cmd.operator,
        expected,
        digest_of(commands.COMMAND_CODEC.encode(cmd)),
        declarations.Declarations.of(_new_items(changes)),
        _removed(changes),
    )


def compact_payload(state: _state.ConfigState, payload: bytes) -> bytes:
    """Returns what a leader proposes in place of a command's bytes.

    Args:
        state: Configuration in force at the leader.
        payload: Any command; all but `ApplyDeclarations` stay as they are.
    """
    if commands.ApplyDeclarations.__name__.encode() not in payload:
        return payload
    try:
        cmd = commands.COMMAND_CODEC.decode(payload)
    except base.CodecError:
        return payload
    if not isinstance(cmd, commands.ApplyDeclarations):
        return payload
    return commands.COMMAND_CODEC.encode(compact(state, cmd))


def apply_declarations(
    state: _state.ConfigState, cmd: commands.ApplyDeclarations
) -> _Answer:
    """Puts a whole set in force if its expected revision fits.

    Its cost grows with the set; see `compact` for one that does not.
    """
    changes = _changes_to(state, cmd.declared)
    if cmd.expected_revision != state.revision:
        # The same content under the same number: what is asked is in force.
        if cmd.expected_revision == state.revision - 1 and not changes:
            return state, commands.ConfigAccepted(state.revision, 0)
        return state, _conflict(state, cmd.expected_revision)
    return _accept(state, cmd.operator, cmd.request_id, changes)


def apply_changes(
    state: _state.ConfigState, cmd: commands.ApplyChanges
) -> _Answer:
    """Puts changes in force if their expected revision fits."""
    if cmd.expected_revision != state.revision:
        return state, _conflict(state, cmd.expected_revision)
    changes: list[declarations.Change] = []
    for item in cmd.puts.items():
        old = state.get(item.ref)
        if old is None:
            changes.append(declarations.Added(item))
        elif old != item:
            changes.append(declarations.Changed(old, item))
    for ref in cmd.removed:
        gone = state.get(ref)
        if gone is None:
            return state, _rules.invalid(f"There is no {ref} to remove.")
        changes.append(declarations.Removed(gone))
    return _accept(state, cmd.operator, cmd.request_id, tuple(changes))


def create_key(state: _state.ConfigState, cmd: commands.CreateKey) -> _Answer:
    """Adds one key."""
    if cmd.key.key_id in state.keys:
        return state, _rules.invalid(
            f"Key {cmd.key.key_id!r} is in force already; choose another id."
        )
    changes: _Changes = (declarations.Added(cmd.key),)
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
    state: _state.ConfigState, expected_revision: int
) -> commands.RevisionConflict:
    winner = state.history.get(
        expected_revision + 1, state.history.get(state.revision)
    )
    if winner is None:
        return commands.RevisionConflict(
            expected_revision,
            state.revision,
            0,
            "",
            "",
            f"Revision {state.revision} is in force, not"
            f" {expected_revision}; export it and apply over it.",
        )
    return commands.RevisionConflict(
        expected_revision,
        state.revision,
        winner.revision,
        winner.operator,
        winner.request_id,
        f"Operator {winner.operator!r} made revision {winner.revision} by"
        f" request {winner.request_id!r} first; export revision"
        f" {state.revision} and apply your change over it.",
    )


def _accept(
    state: _state.ConfigState,
    operator: str,
    request_id: base.RequestId,
    changes: _Changes,
) -> _Answer:
    if not changes:
        return state, commands.ConfigAccepted(state.revision, 0)
    new_items = tuple(_new_items(changes))
    fault = _rules.check_new_items(state, new_items)
    if fault is not None:
        return state, fault
    delta = _state.Delta(
        revision=state.revision + 1,
        operator=operator,
        request_id=request_id,
        puts=declarations.Declarations.of(new_items),
        removed=_removed(changes),
    )
    after = state.with_delta(delta)
    fault = _rules.check_references(after, new_items, delta.removed)
    if fault is not None:
        return state, fault
    return after, commands.ConfigAccepted(delta.revision, len(changes))


def _new_items(
    changes: _Changes,
) -> collections.abc.Iterator[declarations.Item]:
    for change in changes:
        if isinstance(change, declarations.Added):
            yield change.item
        elif isinstance(change, declarations.Changed):
            yield change.new


def _removed(changes: _Changes) -> tuple[declarations.ItemRef, ...]:
    return tuple(
        change.ref
        for change in changes
        if isinstance(change, declarations.Removed)
    )
