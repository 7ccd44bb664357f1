"""Lists what differs between two documents."""

import collections
import collections.abc
import typing

import attrs
import banyanbank_base as base

from banyanbank_gateway import _documents
from banyanbank_gateway.document_check import _findings

_Change = _findings.Change
_Changes = collections.abc.Iterator[_findings.Change]
_Kind = _findings.ChangeKind
_PlaceKind = _findings.PlaceKind
_RoutePair = tuple[_documents.Route, _documents.Route]

MAX_SHOWN_KEY_CHARACTERS = 4
"""Maximum number of characters of a key that are shown."""

SHOWN_KEY_SHARE = 4
"""At most one in so many characters of a key is shown."""


def list_changes(
    before: _documents.Document, after: _documents.Document
) -> list[_findings.Change]:
    """Returns what differs in a document from the one before.

    The order of entries has no effect and is not compared.
    """
    return [
        *_compare_fields(
            _findings.DOCUMENT_PLACE, before, after, _DOCUMENT_FIELDS
        ),
        *_compare_routes(before, after),
        *_compare_services(before, after),
        *_compare_fields(
            _findings.Place(_PlaceKind.LIMITS),
            before.limits,
            after.limits,
        ),
        *_compare_accounts(before, after),
    ]


def mask_key(key: str) -> str:
    """Returns the beginning of a key; nothing of a short one."""
    shown = min(MAX_SHOWN_KEY_CHARACTERS, len(key) // SHOWN_KEY_SHARE)
    return f"{key[:shown]}... ({len(key)} characters)"


_DOCUMENT_FIELDS = ("number",)


def _compare_fields(
    place: _findings.Place,
    before: typing.Any,
    after: typing.Any,
    names: collections.abc.Iterable[str] | None = None,
    prefix: str = "",
) -> _Changes:
    """Compares two objects of one attrs class field by field."""
    if names is None:
        names = [field.name for field in attrs.fields(type(after))]
    for name in names:
        former, latter = getattr(before, name), getattr(after, name)
        if former == latter:
            continue
        if attrs.has(type(former)) and attrs.has(type(latter)):
            yield from _compare_fields(
                place, former, latter, prefix=f"{prefix}{name}."
            )
        else:
            yield _Change(
                _Kind.CHANGED, place, f"{prefix}{name}", former, latter
            )


def _compare_routes(
    before: _documents.Document, after: _documents.Document
) -> _Changes:
    formers = {(route.host, route.prefix): route for route in before.routes}
    latters = {(route.host, route.prefix): route for route in after.routes}
    kept = formers.keys() & latters.keys()
    removed = [route for key, route in formers.items() if key not in kept]
    added = [route for key, route in latters.items() if key not in kept]
    pairs: list[_RoutePair] = [
        (formers[key], route) for key, route in latters.items() if key in kept
    ]
    moved = _match_names(removed, added)
    for former, latter in (*pairs, *moved):
        place = _findings.make_route_place(latter)
        yield from _compare_fields(place, former, latter)
    matched = {id(route) for pair in moved for route in pair}
    for kind, routes in ((_Kind.REMOVED, removed), (_Kind.ADDED, added)):
        for route in routes:
            if id(route) not in matched:
                yield _make_entry_change(
                    kind,
                    _findings.make_route_place(route),
                    "targets",
                    route.targets,
                )


def _match_names(
    removed: list[_documents.Route], added: list[_documents.Route]
) -> list[_RoutePair]:
    """Pairs routes that have another host or prefix and the same name."""
    removed_counts = collections.Counter(route.name for route in removed)
    added_counts = collections.Counter(route.name for route in added)
    formers = {route.name: route for route in removed}
    return [
        (formers[route.name], route)
        for route in added
        if removed_counts[route.name] == added_counts[route.name] == 1
    ]


def _compare_services(
    before: _documents.Document, after: _documents.Document
) -> _Changes:
    for name in sorted(before.services.keys() - after.services.keys()):
        yield _make_entry_change(_Kind.REMOVED, _make_service_place(name))
    for name, service in after.services.items():
        former = before.services.get(name)
        place = _make_service_place(name)
        if former is None:
            yield _make_entry_change(_Kind.ADDED, place)
        else:
            yield from _compare_fields(place, former, service)


def _compare_accounts(
    before: _documents.Document, after: _documents.Document
) -> _Changes:
    if (before.accounts is None) != (after.accounts is None):
        yield _Change(
            _Kind.CHANGED,
            _findings.DOCUMENT_PLACE,
            "accounts",
            before.accounts is not None,
            after.accounts is not None,
        )
    former_names, latter_names = _list_accounts(before), _list_accounts(after)
    for kind, names in (
        (_Kind.REMOVED, former_names - latter_names),
        (_Kind.ADDED, latter_names - former_names),
    ):
        for name in sorted(names):
            yield _make_entry_change(kind, _make_account_place(name))
    for name in sorted(latter_names):
        former = before.account_priorities.get(name)
        latter = after.account_priorities.get(name)
        if former != latter:
            yield _Change(
                _Kind.CHANGED,
                _make_account_place(name),
                "priority",
                former,
                latter,
            )
    yield from _compare_keys(before.accounts or {}, after.accounts or {})


def _compare_keys(
    before: dict[str, base.AccountId], after: dict[str, base.AccountId]
) -> _Changes:
    for key in (*before, *(key for key in after if key not in before)):
        former, latter = before.get(key), after.get(key)
        if former == latter:
            continue
        kind = _Kind.CHANGED
        if former is None or latter is None:
            kind = _Kind.ADDED if former is None else _Kind.REMOVED
        place = _findings.Place(_PlaceKind.KEY, mask_key(key))
        yield _Change(kind, place, "account", former, latter)


def _list_accounts(document: _documents.Document) -> set[base.AccountId]:
    accounts = document.accounts or {}
    return {*accounts.values(), *document.account_priorities}


def _make_entry_change(
    kind: _findings.ChangeKind,
    place: _findings.Place,
    field: str = "",
    value: typing.Any = None,
) -> _findings.Change:
    is_added = kind is _Kind.ADDED
    return _Change(
        kind,
        place,
        field,
        None if is_added else value,
        value if is_added else None,
    )


def _make_service_place(name: str) -> _findings.Place:
    return _findings.Place(_PlaceKind.SERVICE, name)


def _make_account_place(name: str) -> _findings.Place:
    return _findings.Place(_PlaceKind.ACCOUNT, name)
