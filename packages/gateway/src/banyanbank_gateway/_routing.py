"""Finds the route, the service and the client account of a request."""

import random

import banyanbank_base as base

from banyanbank_gateway import _documents


class RouteTable:
    """Looks requests up in one document.

    Args:
        document: The configuration in force.
    """

    def __init__(self, document: _documents.Document) -> None:
        self.document = document
        self._by_host: dict[str, list[_documents.Route]] = {}
        for route in document.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> _documents.Route | None:
        """Returns the route with the longest prefix that begins the path."""
        for route in self._by_host.get(normal_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account_of(self, key: str | None) -> base.AccountId | None:
        """Returns the client account that holds a key, or None."""
        if key is None or self.document.accounts is None:
            return None
        return self.document.accounts.get(key)

    def needs_key(self, route: _documents.Route) -> bool:
        """Whether requests of a route must bring a key."""
        return self.document.accounts is not None and not route.is_public


def normal_host(host: str) -> str:
    """Returns a host without its port, in lower case."""
    return host.strip().partition(":")[0].lower()


def draw_service(route: _documents.Route, rng: random.Random) -> str:
    """Draws one of a route's services by their weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    (drawn,) = rng.choices(route.targets, weights)
    return drawn.service
