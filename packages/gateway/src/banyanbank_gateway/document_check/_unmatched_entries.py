"""Finds entries of a document that no request can match."""

import collections
import collections.abc
import re

from banyanbank_gateway import _documents
from banyanbank_gateway import _routing
from banyanbank_gateway.document_check import _findings

_REQUEST_PATH = re.compile("[!-~]*")
"""Paths are compared as they are sent: percent-encoded ASCII."""

_QUERY_MARK = "?"
"""Ends the path in a request, so it is never part of one."""

_Kind = _findings.FindingKind
_Findings = collections.abc.Iterator[_findings.Finding]


def find_unmatched(
    document: _documents.Document, declared: _findings.DeclaredNames
) -> list[_findings.Finding]:
    """Returns what is stated without ever having an effect.

    Args:
        document: Valid document.
        declared: All names that the document states.
    """
    return [
        *_find_in_number(document),
        *_find_in_routes(document),
        *_find_in_services(document, declared),
        *_find_in_accounts(document, declared),
    ]


def find_ineffective_number(
    document: _documents.Document, in_force: _documents.Document
) -> list[_findings.Finding]:
    """Returns a finding if a document would not replace the one in force."""
    if document.number > in_force.number or document == in_force:
        return []
    return [
        _findings.Finding(
            _Kind.NUMBER_NOT_HIGHER,
            _findings.DOCUMENT_PLACE,
            values=(document.number, in_force.number),
        )
    ]


def _find_in_number(document: _documents.Document) -> _Findings:
    if document.number == 0:
        yield _findings.Finding(_Kind.NUMBER_ZERO, _findings.DOCUMENT_PLACE)


def _find_in_routes(document: _documents.Document) -> _Findings:
    for route in document.routes:
        place = _findings.make_route_place(route)
        if route.host != _routing.normalize_host(route.host):
            yield _findings.Finding(_Kind.HOST_NEVER_MATCHES, place, route.host)
        if (
            not _REQUEST_PATH.fullmatch(route.prefix)
            or _QUERY_MARK in route.prefix
        ):
            yield _findings.Finding(
                _Kind.PREFIX_NEVER_MATCHES, place, route.prefix
            )
        for target in route.targets:
            if target.weight == 0:
                yield _findings.Finding(
                    _Kind.TARGET_WITHOUT_WEIGHT, place, target.service
                )
            elif (
                route.kind is _documents.RouteKind.ROLLOUT
                and document.services[target.service].engine is None
            ):
                yield _findings.Finding(
                    _Kind.ROLLOUT_WITHOUT_ENGINES, place, target.service
                )


def _find_in_services(
    document: _documents.Document, declared: _findings.DeclaredNames
) -> _Findings:
    routed = {
        target.service for route in document.routes for target in route.targets
    }
    for name in document.services:
        if name not in routed:
            yield _findings.Finding(
                _Kind.UNUSED_SERVICE, _make_service_place(name)
            )
    for name, count in collections.Counter(declared.services).items():
        if count > 1:
            yield _findings.Finding(
                _Kind.REPEATED_SERVICE, _make_service_place(name)
            )


def _find_in_accounts(
    document: _documents.Document, declared: _findings.DeclaredNames
) -> _Findings:
    if document.accounts is None:
        return
    with_keys = set(document.accounts.values())
    for name in dict.fromkeys(declared.accounts):
        if name not in with_keys:
            yield _findings.Finding(
                _Kind.ACCOUNT_WITHOUT_KEYS,
                _findings.Place(_findings.PlaceKind.ACCOUNT, name),
            )
    # The results of batch jobs are read with a key, also on public routes.
    keyed_count = sum(
        not route.is_public or route.kind is _documents.RouteKind.ROLLOUT
        for route in document.routes
    )
    if keyed_count and not with_keys:
        yield _findings.Finding(
            _Kind.NO_KEYS,
            _findings.DOCUMENT_PLACE,
            values=(keyed_count,),
        )
    if with_keys and not keyed_count:
        yield _findings.Finding(
            _Kind.KEYS_WITHOUT_USE,
            _findings.DOCUMENT_PLACE,
            values=(len(with_keys),),
        )


def _make_service_place(name: str) -> _findings.Place:
    return _findings.Place(_findings.PlaceKind.SERVICE, name)
