"""Finds the route, the service and the client account of a request."""

import collections
import functools
import hashlib
import math
import random

import attrs
import banyanbank_base as base

from banyanbank_gateway import _documents


@attrs.define
class _HostRoutes:
    by_prefix: dict[str, _documents.Route] = attrs.Factory(dict)
    lengths: list[int] = attrs.Factory(list)


class RouteTable:
    """Finds routes by host and path prefix.

    The cost of a lookup is proportional to the number of distinct prefix
    lengths of the host, not to the number of routes.

    Args:
        document: Configuration in force.
    """

    def __init__(self, document: _documents.Document) -> None:
        self.document = document
        self._hosts: dict[str, _HostRoutes] = {}
        for route in document.routes:
            host = self._hosts.setdefault(route.host, _HostRoutes())
            host.by_prefix[route.prefix] = route
        for host in self._hosts.values():
            lengths = {len(prefix) for prefix in host.by_prefix}
            host.lengths = sorted(lengths, reverse=True)

    def find(self, host: str, path: str) -> _documents.Route | None:
        """Returns the route with the longest matching prefix, or None."""
        routes = self._hosts.get(normalize_host(host))
        if routes is None:
            return None
        for length in routes.lengths:
            route = routes.by_prefix.get(path[:length])
            if route is not None:
                return route
        return None

    def find_rollout_route(
        self, host: str, prefix: str
    ) -> _documents.Route | None:
        """Returns the route that runs the items of a batch job now, or None.

        Args:
            host: Host that the job was submitted to.
            prefix: Path prefix of the route that accepted the job.
        """
        route = self.find(host, prefix)
        if route is None or route.kind is not _documents.RouteKind.ROLLOUT:
            return None
        return route

    def account_of(self, key: str | None) -> base.AccountId | None:
        """Returns the client account of a key; None if there is none."""
        if key is None or self.document.accounts is None:
            return None
        return self.document.accounts.get(key)

    def keys_of(self, account: base.AccountId) -> tuple[str, ...]:
        """Returns the keys of a client account."""
        return self._keys_by_account.get(account, ())

    @functools.cached_property
    def _keys_by_account(self) -> dict[base.AccountId, tuple[str, ...]]:
        keys: dict[base.AccountId, tuple[str, ...]] = {}
        for key, account in (self.document.accounts or {}).items():
            keys[account] = (*keys.get(account, ()), key)
        return keys

    def find_priority(
        self, route: _documents.Route, account: base.AccountId | None
    ) -> int:
        """Returns the priority of an account's work on a route."""
        if account is None:
            return route.priority
        return self.document.account_priorities.get(account, route.priority)

    @functools.cached_property
    def has_several_priorities(self) -> bool:
        """Whether batch jobs may be submitted with different priorities."""
        accounts = set((self.document.accounts or {}).values())
        own = self.document.account_priorities
        uses_route_priorities = bool(accounts - own.keys())
        routes = [
            route
            for route in self.document.routes
            if route.kind is _documents.RouteKind.ROLLOUT
        ]
        priorities = {
            route.priority
            for route in routes
            if uses_route_priorities or not self.needs_key(route)
        }
        if routes:
            priorities.update(own[name] for name in accounts & own.keys())
        return len(priorities) > 1

    def count_routes(self, service: str) -> int:
        """Returns the number of routes that lead requests to a service."""
        return self._route_counts[service]

    @functools.cached_property
    def split_services(self) -> frozenset[str]:
        """Services of the routes that lead to several."""
        return frozenset(
            target.service
            for route in self.document.routes
            if len(route.targets) > 1
            for target in route.targets
        )

    @functools.cached_property
    def _route_counts(self) -> collections.Counter[str]:
        return collections.Counter(
            service
            for route in self.document.routes
            for service in {
                target.service for target in route.targets if target.weight > 0
            }
        )

    def needs_key(self, route: _documents.Route) -> bool:
        """Whether requests of a route need a key."""
        return self.document.accounts is not None and not route.is_public


def normalize_host(host: str) -> str:
    """Returns the host in lower case and without its port."""
    return host.strip().partition(":")[0].lower()


def draw_service(route: _documents.Route, rng: random.Random) -> str:
    """Returns a random service of a route, chosen by target weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    (drawn,) = rng.choices(route.targets, weights)
    return drawn.service


def rank_services(route: _documents.Route, key: str) -> tuple[str, ...]:
    """Returns the services of a route in the order of preference of a key.

    Keys are spread over the services by target weight (weighted rendezvous
    hashing), so that all instances agree on the order. A service without
    weight is left out.

    Args:
        route: Route with one or more targets.
        key: Identifies the work, such as the group of an item.
    """
    if len(route.targets) == 1:
        return (route.targets[0].service,)
    ranked = sorted(
        (_hash_cost(target, key), target.service)
        for target in route.targets
        if target.weight > 0
    )
    return tuple(service for _, service in ranked)


def _hash_cost(target: _documents.Target, key: str) -> float:
    digest = hashlib.blake2b(
        f"{target.service}\0{key}".encode(), digest_size=8
    ).digest()
    uniform = (int.from_bytes(digest) + 1) / 2**64
    return -math.log(uniform) / target.weight
