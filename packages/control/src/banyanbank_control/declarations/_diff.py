"""Typed changes between two sets of declarations."""

import attrs

from banyanbank_control.declarations import _models


@attrs.frozen
class Added:
    """An item that only the new set contains."""

    item: _models.Item
    """The added item."""

    @property
    def ref(self) -> _models.ItemRef:
        """Reference of the item."""
        return self.item.ref


@attrs.frozen
class Changed:
    """An item that both sets contain, with different values."""

    old: _models.Item
    """The item before."""
    new: _models.Item
    """The item after."""

    @property
    def ref(self) -> _models.ItemRef:
        """Reference of the item."""
        return self.new.ref


@attrs.frozen
class Removed:
    """An item that only the old set contains."""

    item: _models.Item
    """The removed item."""

    @property
    def ref(self) -> _models.ItemRef:
        """Reference of the item."""
        return self.item.ref


Change = Added | Changed | Removed


def diff(
    old: _models.Declarations, new: _models.Declarations
) -> tuple[Change, ...]:
    """Returns the changes from `old` to `new`, sorted by item reference.

    When `new` contains no keys, the keys of `old` are kept.
    """
    if not new.keys:
        new = new.with_keys(old.keys)
    before = {item.ref: item for item in old.items()}
    after = {item.ref: item for item in new.items()}
    changes = [
        change
        for ref in before.keys() | after.keys()
        if (change := _compare(before.get(ref), after.get(ref))) is not None
    ]
    return tuple(sorted(changes, key=lambda change: change.ref.sort_key))


def _compare(
    old: _models.Item | None, new: _models.Item | None
) -> Change | None:
    if old is not None and new is not None:
        return None if old == new else Changed(old, new)
    if new is not None:
        return Added(new)
    return None if old is None else Removed(old)
