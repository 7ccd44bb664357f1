"""Finds limits of a document that contradict each other."""

import collections.abc

from banyanbank_gateway import _documents
from banyanbank_gateway.document_check import _findings

_Kind = _findings.FindingKind
_Findings = collections.abc.Iterator[_findings.Finding]
_Contradiction = tuple[_findings.FindingKind, float, float]


def find_contradictions(
    document: _documents.Document, domain_count: int | None = None
) -> list[_findings.Finding]:
    """Returns limits that contradict each other.

    Args:
        document: Valid document.
        domain_count: Number of failure domains; None if it is unknown, so that
            the number of endpoints is unknown, too.
    """
    return [
        *_find_in_routes(document, domain_count),
        *_find_in_services(document),
        *_find_in_limits(document.limits),
    ]


def _find_in_routes(
    document: _documents.Document, domain_count: int | None
) -> _Findings:
    for route in document.routes:
        place = _findings.make_route_place(route)
        for kind, first, second in _compare_times(route):
            yield _findings.Finding(kind, place, values=(first, second))
        # All attempts of a request go to the service that was drawn for it.
        for target in route.targets:
            most = _count_most_endpoints(
                document.services[target.service], domain_count
            )
            if (
                target.weight > 0
                and most is not None
                and route.max_attempts > most
            ):
                yield _findings.Finding(
                    _Kind.ATTEMPTS_ABOVE_ENDPOINTS,
                    place,
                    target.service,
                    (route.max_attempts, most),
                )


def _compare_times(
    route: _documents.Route,
) -> collections.abc.Iterator[_Contradiction]:
    if route.objective_s > route.timeout_s:
        yield _Kind.OBJECTIVE_ABOVE_TIMEOUT, route.objective_s, route.timeout_s
    if route.kind is not _documents.RouteKind.ROLLOUT:
        return
    if not route.item_ttl_s:
        yield _Kind.NO_ITEM_TTL, route.due_s, route.item_ttl_s
    elif route.due_s > route.item_ttl_s:
        yield _Kind.DUE_ABOVE_ITEM_TTL, route.due_s, route.item_ttl_s
    if route.due_s and route.timeout_s > route.due_s:
        yield _Kind.TIMEOUT_ABOVE_DUE, route.timeout_s, route.due_s


def _count_most_endpoints(
    service: _documents.Service, domain_count: int | None
) -> int | None:
    """Returns how many endpoints may be provisioned; None if unknown."""
    if service.scaling is None:
        return None
    most = service.scaling.max_endpoints
    if most == 0:
        return 0
    return None if domain_count is None else most * domain_count


def _find_in_services(document: _documents.Document) -> _Findings:
    for service in document.services.values():
        place = _findings.Place(_findings.PlaceKind.SERVICE, service.name)
        for kind, first, second in _compare_service(service):
            yield _findings.Finding(kind, place, values=(first, second))


def _compare_service(
    service: _documents.Service,
) -> collections.abc.Iterator[_Contradiction]:
    cold_start_s, cold_per_s = service.cold_start_s, service.cold_per_s
    if cold_per_s and not cold_start_s:
        yield _Kind.COLD_RATE_WITHOUT_TIME, cold_per_s, cold_start_s
    if cold_start_s and not cold_per_s:
        yield _Kind.COLD_TIME_WITHOUT_RATE, cold_start_s, cold_per_s
    engine, scaling = service.engine, service.scaling
    if scaling is not None and scaling.min_endpoints > scaling.max_endpoints:
        yield (
            _Kind.MIN_ABOVE_MAX_ENDPOINTS,
            scaling.min_endpoints,
            scaling.max_endpoints,
        )
    if engine is not None and service.max_connections < engine.slots:
        yield (
            _Kind.CONNECTIONS_BELOW_SLOTS,
            service.max_connections,
            engine.slots,
        )


def _find_in_limits(limits: _documents.Limits) -> _Findings:
    if limits.header_timeout_s > limits.idle_timeout_s:
        yield _findings.Finding(
            _Kind.HEAD_TIMEOUT_ABOVE_IDLE,
            _findings.Place(_findings.PlaceKind.LIMITS),
            values=(limits.header_timeout_s, limits.idle_timeout_s),
        )
