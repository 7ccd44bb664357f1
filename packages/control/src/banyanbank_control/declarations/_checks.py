"""Checks across fields and items: references, bounds, duplicate hashes.

The problems that `check_item` yields get into replies to configuration
commands. These replies are part of the replicated state, so their texts must
not differ between builds.
"""

import collections.abc

import attrs

from banyanbank_control.declarations import _models
from banyanbank_control.declarations import _references


@attrs.frozen
class ItemProblem:
    """A reference or value of an item that is invalid in its context."""

    ref: _models.ItemRef
    """Item with the problem."""
    column: str
    """Heading of the column; empty for the whole item."""
    message: str
    """What is wrong."""
    hint: str
    """How to correct it."""

    def __str__(self) -> str:
        return f"{self.ref}, {self.column}: {self.message} {self.hint}"


def check(declared: _models.Declarations) -> tuple[ItemProblem, ...]:
    """Returns every problem of a complete set of declarations."""
    declared_refs = {item.ref for item in declared.items()}
    problems: list[ItemProblem] = []
    for item in declared.items():
        problems.extend(check_item(item, declared_refs.__contains__))
    problems.extend(_check_unique_hashes(declared))
    return tuple(problems)


def check_item(
    item: _models.Item,
    is_declared: collections.abc.Callable[[_models.ItemRef], bool],
) -> collections.abc.Iterator[ItemProblem]:
    """Yields the problems of one item.

    Args:
        item: Item to check.
        is_declared: Returns whether a referenced item is declared.
    """
    for reference in _references.find_references(item):
        if not is_declared(reference.ref):
            yield _describe_missing(item, reference)
    if isinstance(item, _models.Route):
        yield from _check_route(item)
    if isinstance(item, _models.Capacity):
        yield from _check_capacity(item)
    if isinstance(item, _models.Offer):
        yield from _check_offer(item)


def _describe_missing(
    item: _models.Item, reference: _references.Reference
) -> ItemProblem:
    wanted = reference.ref
    if wanted.kind == _models.Kind.GRANT.value:
        account, _, model = wanted.id.split(":")
        return ItemProblem(
            item.ref,
            reference.column,
            f"Account {account!r} may not use {model!r}.",
            "Add a grant row for them.",
        )
    return ItemProblem(
        item.ref,
        reference.column,
        f"There is no {wanted.kind} {wanted.id!r}.",
        f"Add a {wanted.kind} row of that name or correct the name.",
    )


def _check_unique_hashes(
    declared: _models.Declarations,
) -> collections.abc.Iterator[ItemProblem]:
    key_id_by_hash: dict[str, str] = {}
    for key in declared.keys:
        first_key_id = key_id_by_hash.setdefault(key.secret_sha256, key.key_id)
        if first_key_id != key.key_id:
            yield ItemProblem(
                key.ref,
                "secret_sha256",
                f"Key {first_key_id!r} has the same hash.",
                "Create another secret for this key.",
            )


def _check_route(
    route: _models.Route,
) -> collections.abc.Iterator[ItemProblem]:
    if route.access is not _models.Access.OPEN:
        return
    if route.accounts:
        yield ItemProblem(
            route.ref,
            "accounts",
            "A route open to all names accounts.",
            "Leave the cell empty or set access to 'keyed'.",
        )
    if route.repeat is _models.Repeat.NON_IDEMPOTENT:
        yield ItemProblem(
            route.ref,
            "repeat",
            "Calls that run at most once are kept by account.",
            "Set access to 'keyed'.",
        )


def _check_capacity(
    capacity: _models.Capacity,
) -> collections.abc.Iterator[ItemProblem]:
    if capacity.max_endpoints < capacity.min_endpoints:
        yield ItemProblem(
            capacity.ref,
            "max_endpoints",
            f"{capacity.max_endpoints} is less than min_endpoints.",
            f"Write {capacity.min_endpoints} or more.",
        )
    if capacity.safe_floor > capacity.max_endpoints:
        yield ItemProblem(
            capacity.ref,
            "safe_floor",
            f"{capacity.safe_floor} is more than max_endpoints.",
            f"Write {capacity.max_endpoints} or less.",
        )


def _check_offer(offer: _models.Offer) -> collections.abc.Iterator[ItemProblem]:
    if offer.supply is _models.Supply.SAFE and offer.reclaims_per_hour > 0:
        yield ItemProblem(
            offer.ref,
            "reclaims_per_hour",
            "Safe endpoints are never taken back.",
            "Leave the cell empty or set supply to 'reclaimable'.",
        )
