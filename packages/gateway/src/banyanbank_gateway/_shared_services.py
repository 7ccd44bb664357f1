"""Finds the services whose plain endpoints several kinds of load share."""

import collections

from banyanbank_gateway import _documents


def find_shared_services(document: _documents.Document) -> frozenset[str]:
    """Returns the services without engines that may get several kinds of load.

    Those are the services that two routes lead to, and, if batch jobs are
    accepted, all that one leads to: jobs name their scorers by host and path.
    """
    route_counts: collections.Counter[str] = collections.Counter()
    has_jobs = False
    for route in document.routes:
        has_jobs |= route.kind is _documents.RouteKind.ROLLOUT
        route_counts.update(
            {target.service for target in route.targets if target.weight > 0}
        )
    min_routes = 1 if has_jobs else 2
    return frozenset(
        name
        for name, count in route_counts.items()
        if count >= min_routes
        and name in document.services
        and document.services[name].engine is None
    )
