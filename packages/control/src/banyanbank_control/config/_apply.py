"""Applies commands about declarations and keys.

Replies are part of the replicated state, so their texts must not differ between
builds.
"""

import collections.abc
import hashlib

import banyanbank_base as base

from banyanbank_control import commands
from banyanbank_control import declarations
from banyanbank_control.config import _state
from banyanbank_control.config import _validation

_ConfigReply = (
    commands.ConfigAccepted | commands.RevisionConflict | commands.Rejected
)
_Changes = tuple[declarations.Change, ...]
_ApplyResult = tuple[_state.ConfigState, _ConfigReply]

DIGEST_BYTES = 16
"""Length of a request digest, a truncated SHA-256, in bytes."""


def digest_payload(payload: bytes) -> bytes:
    """Returns the digest that distinguishes a retry from another request."""
    return hashlib.sha256(payload).digest()[:DIGEST_BYTES]


def derive_changes(
    state: _state.ConfigState, cmd: commands.ApplyDeclarations
) -> commands.ApplyChanges:
    """Returns an equivalent command that holds only the changed items.

    The leader calls it before it proposes the command, so that the log and
    the followers carry the changed items instead of the complete set.

    Args:
        state: Configuration in force at the leader.
        cmd: Command of the operator.
    """
    changes: _Changes = ()
    expected = cmd.expected_revision
    revisions_behind = state.revision - expected
    if revisions_behind in (0, 1):
        changes = _diff_from_state(state, cmd.declared)
    if revisions_behind == 1 and not changes:
        # The requested configuration is already in force.
        expected = state.revision
    elif revisions_behind:
        # The command conflicts; its expected revision is enough to reject it.
        changes = ()
    return commands.ApplyChanges(
        cmd.request_id,
        cmd.operator,
        expected,
        digest_payload(commands.COMMAND_CODEC.encode(cmd)),
        declarations.Declarations.from_items(_new_items(changes)),
        _removed_refs(changes),
    )


def derive_changes_payload(state: _state.ConfigState, payload: bytes) -> bytes:
    """Returns the payload that a leader proposes for an encoded command.

    Args:
        state: Configuration in force at the leader.
        payload: Any encoded command; only `ApplyDeclarations` is changed.
    """
    if commands.ApplyDeclarations.__name__.encode() not in payload:
        return payload
    try:
        cmd = commands.COMMAND_CODEC.decode(payload)
    except base.CodecError:
        return payload
    if not isinstance(cmd, commands.ApplyDeclarations):
        return payload
    return commands.COMMAND_CODEC.encode(derive_changes(state, cmd))


def apply_declarations(
    state: _state.ConfigState, cmd: commands.ApplyDeclarations
) -> _ApplyResult:
    """Replaces all declarations if the expected revision is in force.

    The cost grows with the size of the set; `derive_changes` avoids that.
    """
    changes = _diff_from_state(state, cmd.declared)
    if cmd.expected_revision != state.revision:
        # Another request has just put the same content in force.
        if cmd.expected_revision == state.revision - 1 and not changes:
            return state, commands.ConfigAccepted(state.revision, 0)
        return state, _make_conflict(state, cmd.expected_revision)
    return _validate_and_apply(state, cmd.operator, cmd.request_id, changes)


def apply_changes(
    state: _state.ConfigState, cmd: commands.ApplyChanges
) -> _ApplyResult:
    """Applies changed items if the expected revision is in force."""
    if cmd.expected_revision != state.revision:
        return state, _make_conflict(state, cmd.expected_revision)
    changes: list[declarations.Change] = []
    for item in cmd.puts.items():
        old = state.get(item.ref)
        if old is None:
            changes.append(declarations.Added(item))
        elif old != item:
            changes.append(declarations.Changed(old, item))
    for ref in cmd.removed:
        removed_item = state.get(ref)
        if removed_item is None:
            return state, _validation.reject_invalid(
                f"There is no {ref} to remove."
            )
        changes.append(declarations.Removed(removed_item))
    return _validate_and_apply(
        state, cmd.operator, cmd.request_id, tuple(changes)
    )


def create_key(
    state: _state.ConfigState, cmd: commands.CreateKey
) -> _ApplyResult:
    """Adds one key."""
    if cmd.key.key_id in state.keys:
        return state, _validation.reject_invalid(
            f"Key {cmd.key.key_id!r} is in force already; choose another id."
        )
    changes: _Changes = (declarations.Added(cmd.key),)
    return _validate_and_apply(state, cmd.operator, cmd.request_id, changes)


def withdraw_key(
    state: _state.ConfigState, cmd: commands.WithdrawKey
) -> _ApplyResult:
    """Withdraws one key permanently; idempotent."""
    key = state.keys.get(cmd.key_id)
    if key is not None:
        changes: _Changes = (declarations.Removed(key),)
        return _validate_and_apply(state, cmd.operator, cmd.request_id, changes)
    if cmd.key_id in state.tombstones:
        return state, commands.ConfigAccepted(state.revision, 0)
    return state, commands.Rejected(
        commands.RejectReason.NOT_FOUND,
        f"There is no key {cmd.key_id!r}; list the keys.",
    )


def _diff_from_state(
    state: _state.ConfigState, declared: declarations.Declarations
) -> _Changes:
    keys = tuple(state.keys.values()) if declared.keys else ()
    old = declarations.Declarations.from_items([*state.items.values(), *keys])
    return declarations.diff(old, declared)


def _make_conflict(
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


def _validate_and_apply(
    state: _state.ConfigState,
    operator: str,
    request_id: base.RequestId,
    changes: _Changes,
) -> _ApplyResult:
    if not changes:
        return state, commands.ConfigAccepted(state.revision, 0)
    new_items = tuple(_new_items(changes))
    rejection = _validation.check_new_items(state, new_items)
    if rejection is not None:
        return state, rejection
    delta = _state.Delta(
        revision=state.revision + 1,
        operator=operator,
        request_id=request_id,
        puts=declarations.Declarations.from_items(new_items),
        removed=_removed_refs(changes),
    )
    after = state.with_delta(delta)
    rejection = _validation.check_references(after, new_items, delta.removed)
    if rejection is not None:
        return state, rejection
    return after, commands.ConfigAccepted(delta.revision, len(changes))


def _new_items(
    changes: _Changes,
) -> collections.abc.Iterator[declarations.Item]:
    for change in changes:
        if isinstance(change, declarations.Added):
            yield change.item
        elif isinstance(change, declarations.Changed):
            yield change.new


def _removed_refs(changes: _Changes) -> tuple[declarations.ItemRef, ...]:
    return tuple(
        change.ref
        for change in changes
        if isinstance(change, declarations.Removed)
    )
