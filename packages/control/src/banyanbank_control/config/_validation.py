"""Validates configuration changes.

The cost grows with the size of the change, not of the configuration.
Rejections are part of the replicated state, so their texts must not differ
between builds.
"""

import collections.abc

from banyanbank_control import commands
from banyanbank_control import declarations
from banyanbank_control.config import _state

MAX_REPORTED_PROBLEMS = 20
"""Maximum number of problems that one reply reports."""


def check_new_items(
    before: _state.ConfigState,
    new_items: collections.abc.Iterable[declarations.Item],
) -> commands.Rejected | None:
    """Returns a rejection if items must not be added or changed.

    Args:
        before: Configuration in force.
        new_items: Items with their new values.

    Returns:
        None if the items are valid.
    """
    items = tuple(new_items)
    keys = [item for item in items if isinstance(item, declarations.Key)]
    return (
        _check_withdrawn_keys(before, keys)
        or _check_items(items)
        or _check_key_conflicts(before, keys)
    )


def check_references(
    after: _state.ConfigState,
    new_items: collections.abc.Iterable[declarations.Item],
    removed: collections.abc.Iterable[declarations.ItemRef],
) -> commands.Rejected | None:
    """Returns a rejection if a change would break references.

    Args:
        after: Configuration that the change would produce.
        new_items: Items that the change adds or replaces.
        removed: References to the items that the change removes.

    Returns:
        None if all references are valid.
    """
    problems = [
        str(problem)
        for item in new_items
        for problem in declarations.check_item(
            item, lambda ref: after.get(ref) is not None
        )
    ]
    problems.extend(
        f"{ref} is still used by {_find_referrer(after, ref)};"
        " remove that first."
        for ref in removed
        if ref in after.reference_counts
    )
    if not problems:
        return None
    return reject_invalid("\n".join(problems[:MAX_REPORTED_PROBLEMS]))


def reject_invalid(detail: str) -> commands.Rejected:
    """Returns the rejection of a change with invalid content."""
    return commands.Rejected(commands.RejectReason.INVALID, detail)


def _find_referrer(
    after: _state.ConfigState, ref: declarations.ItemRef
) -> declarations.ItemRef:
    """Returns the first item that refers to `ref`, in sort order.

    The search visits all items and keys; it runs only for a rejection.
    """
    referring_refs = [
        item.ref
        for item in (*after.items.values(), *after.keys.values())
        if any(
            reference.ref == ref
            for reference in declarations.find_references(item)
        )
    ]
    return min(referring_refs, key=lambda referring: referring.sort_key)


def _check_withdrawn_keys(
    before: _state.ConfigState, keys: list[declarations.Key]
) -> commands.Rejected | None:
    withdrawn_ids = [
        key.key_id
        for key in keys
        if key.key_id in before.tombstones
        or key.secret_sha256 in before.withdrawn_ids_by_hash
    ]
    if not withdrawn_ids:
        return None
    return commands.Rejected(
        commands.RejectReason.KEY_WITHDRAWN,
        f"Withdrawn keys never come back: {', '.join(sorted(withdrawn_ids))};"
        " remove their rows or create new keys.",
    )


def _check_items(
    items: tuple[declarations.Item, ...],
) -> commands.Rejected | None:
    """Applies the sheet's rules to items from any source."""
    for item in items:
        error = declarations.find_format_error(item)
        if error:
            return reject_invalid(f"{item.ref}: {error}")
    return None


def _check_key_conflicts(
    before: _state.ConfigState, keys: list[declarations.Key]
) -> commands.Rejected | None:
    """Rejects changed keys and keys that share the hash of another."""
    new_hashes: set[str] = set()
    for key in keys:
        is_hash_in_use = key.secret_sha256 in before.key_ids_by_hash
        if (
            key.key_id in before.keys
            or is_hash_in_use
            or key.secret_sha256 in new_hashes
        ):
            return reject_invalid(
                f"Key {key.key_id!r} or its hash is in force with other"
                " values; withdraw that key and create one of another id"
                " and secret."
            )
        new_hashes.add(key.secret_sha256)
    return None
