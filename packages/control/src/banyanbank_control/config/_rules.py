"""What a change must fulfil; its cost grows with the change alone."""

import collections.abc

from banyanbank_control import commands
from banyanbank_control import declarations
from banyanbank_control.config import _state

MAX_PROBLEMS = 20
"""Faults told in one reply."""


def check_new_items(
    before: _state.ConfigState,
    new_items: collections.abc.Iterable[declarations.Item],
) -> commands.Rejected | None:
    """Returns why items may not be added or changed; None when they may.

    Args:
        before: Configuration in force.
        new_items: Items with their new values.
    """
    items = tuple(new_items)
    keys = [item for item in items if isinstance(item, declarations.Key)]
    return (
        _withdrawn(before, keys)
        or _malformed(items)
        or _altered_keys(before, keys)
    )


def check_references(
    after: _state.ConfigState,
    new_items: collections.abc.Iterable[declarations.Item],
    removed: collections.abc.Iterable[declarations.ItemRef],
) -> commands.Rejected | None:
    """Returns which references a change would break; None when none.

    Args:
        after: Configuration as the change would make it.
        new_items: Items that it adds or changes.
        removed: Items that it removes.
    """
    problems = [
        str(problem)
        for item in new_items
        for problem in declarations.check_item(
            item, lambda ref: after.get(ref) is not None
        )
    ]
    problems.extend(
        f"{ref} is still used by {_referrer(after, ref)}; remove that first."
        for ref in removed
        if ref in after.referrers
    )
    if not problems:
        return None
    return invalid("\n".join(problems[:MAX_PROBLEMS]))


def invalid(detail: str) -> commands.Rejected:
    """Returns the reply to a change that contradicts what is in force."""
    return commands.Rejected(commands.RejectReason.INVALID, detail)


def _referrer(
    after: _state.ConfigState, ref: declarations.ItemRef
) -> declarations.ItemRef:
    """Returns the first item that refers to another; searches them all."""
    users = [
        item.ref
        for item in (*after.items.values(), *after.keys.values())
        if any(used.ref == ref for used in declarations.references(item))
    ]
    return min(users, key=lambda user: user.sort_key)


def _withdrawn(
    before: _state.ConfigState, keys: list[declarations.Key]
) -> commands.Rejected | None:
    dead = [
        key.key_id
        for key in keys
        if key.key_id in before.tombstones
        or key.secret_sha256 in before.dead_hashes
    ]
    if not dead:
        return None
    return commands.Rejected(
        commands.RejectReason.KEY_WITHDRAWN,
        f"Withdrawn keys never come back: {', '.join(sorted(dead))}; remove"
        " their rows or create new keys.",
    )


def _malformed(
    items: tuple[declarations.Item, ...],
) -> commands.Rejected | None:
    """Holds items against the sheet's rules, however they came."""
    for item in items:
        fault = declarations.malformed(item)
        if fault:
            return invalid(f"{item.ref}: {fault}")
    return None


def _altered_keys(
    before: _state.ConfigState, keys: list[declarations.Key]
) -> commands.Rejected | None:
    """Keys are never altered, and no two keys have one hash."""
    hashes: set[str] = set()
    for key in keys:
        taken = key.secret_sha256 in before.hashes
        if key.key_id in before.keys or taken or key.secret_sha256 in hashes:
            return invalid(
                f"Key {key.key_id!r} or its hash is in force with other"
                " values; withdraw that key and create one of another id"
                " and secret."
            )
        hashes.add(key.secret_sha256)
    return None
