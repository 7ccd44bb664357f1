"""Differences between two sets of declarations as typed changes."""

import attrs

from banyanbank_control.declarations import _models


@attrs.frozen
class Added:
    """An item that only the new set has."""

    item: _models.Item
    """The new item."""

    @property
    def ref(self) -> _models.ItemRef:
        """Reference of the item."""
        return self.item.ref


@attrs.frozen
class Changed:
    """An item that both sets have with different values."""

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
    """An item that only the old set has."""

    item: _models.Item
    """The item that goes."""

    @property
    def ref(self) -> _models.ItemRef:
        """Reference of the item."""
        return self.item.ref


Change = Added | Changed | Removed


def diff(
    old: _models.Declarations, new: _models.Declarations
) -> tuple[Change, ...]:
    """Returns what applying `new` over `old` changes, sorted by item.

    A `new` without any key leaves the keys of `old` as they are.
    """
    if not new.keys:
        new = new.with_keys(old.keys)
    before = {item.ref: item for item in old.items()}
    after = {item.ref: item for item in new.items()}
    changes = [
        change
        for ref in before.keys() | after.keys()
        if (change := _change(before.get(ref), after.get(ref))) is not None
    ]
    return tuple(sorted(changes, key=lambda change: change.ref.sort_key))


def _change(
    old: _models.Item | None, new: _models.Item | None
) -> Change | None:
    if old is not None and new is not None:
        return None if old == new else Changed(old, new)
    if new is not None:
        return Added(new)
    return None if old is None else Removed(old)
