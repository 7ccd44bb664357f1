"""Checks of items: names that must exist, values that must fit."""

import collections.abc

import attrs

from banyanbank_control.declarations import _models
from banyanbank_control.declarations import _references


@attrs.frozen
class Problem:
    """A fault of one item in the light of the others."""

    ref: _models.ItemRef
    """Item at fault."""
    heading: str
    """Column at fault; empty when the whole item is meant."""
    problem: str
    """What is wrong."""
    mend: str
    """What to do."""

    def __str__(self) -> str:
        return f"{self.ref}, {self.heading}: {self.problem} {self.mend}"


def check(declared: _models.Declarations) -> tuple[Problem, ...]:
    """Returns every fault of a whole set."""
    known = {item.ref for item in declared.items()}
    problems: list[Problem] = []
    for item in declared.items():
        problems.extend(check_item(item, known.__contains__))
    problems.extend(_check_hashes(declared))
    return tuple(problems)


def check_item(
    item: _models.Item,
    is_declared: collections.abc.Callable[[_models.ItemRef], bool],
) -> collections.abc.Iterator[Problem]:
    """Yields the faults of one item.

    Args:
        item: The item.
        is_declared: Tells whether another item is there.
    """
    for reference in _references.references(item):
        if not is_declared(reference.ref):
            yield _missing(item, reference)
    if isinstance(item, _models.Route):
        yield from _check_route(item)
    if isinstance(item, _models.Capacity):
        yield from _check_capacity(item)
    if isinstance(item, _models.Offer):
        yield from _check_offer(item)


def _missing(item: _models.Item, reference: _references.Reference) -> Problem:
    wanted = reference.ref
    if wanted.kind == _models.Kind.GRANT.value:
        account, _, model = wanted.id.split(":")
        return Problem(
            item.ref,
            reference.heading,
            f"Account {account!r} may not use {model!r}.",
            "Add a grant row for them.",
        )
    return Problem(
        item.ref,
        reference.heading,
        f"There is no {wanted.kind} {wanted.id!r}.",
        f"Add a {wanted.kind} row of that name or correct the name.",
    )


def _check_hashes(
    declared: _models.Declarations,
) -> collections.abc.Iterator[Problem]:
    owners: dict[str, str] = {}
    for key in declared.keys:
        owner = owners.setdefault(key.secret_sha256, key.key_id)
        if owner != key.key_id:
            yield Problem(
                key.ref,
                "secret_sha256",
                f"Key {owner!r} has the same hash.",
                "Create another secret for this key.",
            )


def _check_route(
    route: _models.Route,
) -> collections.abc.Iterator[Problem]:
    if route.access is not _models.Access.OPEN:
        return
    if route.accounts:
        yield Problem(
            route.ref,
            "accounts",
            "A route open to all names accounts.",
            "Leave the cell empty or set access to 'keyed'.",
        )
    if route.repeat is _models.Repeat.NON_IDEMPOTENT:
        yield Problem(
            route.ref,
            "repeat",
            "Calls that run at most once are kept by account.",
            "Set access to 'keyed'.",
        )


def _check_capacity(
    capacity: _models.Capacity,
) -> collections.abc.Iterator[Problem]:
    if capacity.max_endpoints < capacity.min_endpoints:
        yield Problem(
            capacity.ref,
            "max_endpoints",
            f"{capacity.max_endpoints} is less than min_endpoints.",
            f"Write {capacity.min_endpoints} or more.",
        )
    if capacity.safe_floor > capacity.max_endpoints:
        yield Problem(
            capacity.ref,
            "safe_floor",
            f"{capacity.safe_floor} is more than max_endpoints.",
            f"Write {capacity.max_endpoints} or less.",
        )


def _check_offer(offer: _models.Offer) -> collections.abc.Iterator[Problem]:
    if offer.supply is _models.Supply.SAFE and offer.reclaims_per_hour > 0:
        yield Problem(
            offer.ref,
            "reclaims_per_hour",
            "Safe endpoints are never taken back.",
            "Leave the cell empty or set supply to 'reclaimable'.",
        )
