"""Chooses the service and the endpoint of each attempt of a request."""

import collections.abc
import math
import random

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway

from banyanbank_node import _crash_watch
from banyanbank_node import _endpoint_limits
from banyanbank_node import _endpoint_sender
from banyanbank_node import _forwarding
from banyanbank_node import _permits
from banyanbank_node import _shared_endpoints

EndpointLookup = collections.abc.Callable[
    [str], collections.abc.Iterable[gateway.Announcement]
]
"""Returns the latest announcements of a service's endpoints."""


class TargetChoice:
    """Chooses where the attempts of requests go.

    Args:
        clock: Monotonic clock.
        endpoints: Decides which endpoints may be sent to.
        picker: Ranks endpoints.
        find_endpoints: Returns the endpoints of a service.
        rng: Selects the service of a route with several targets.
        limits: Rate limits of the endpoints.
        permits: Decides about requests to endpoints with a limit.
        crashes: Requests that may have ended their endpoints.
        shared: What is known of shared services.
    """

    def __init__(
        self,
        clock: base.Clock,
        endpoints: _endpoint_sender.EndpointSender,
        picker: gateway.EndpointPicker,
        find_endpoints: EndpointLookup,
        rng: random.Random,
        limits: _endpoint_limits.EndpointLimits,
        permits: _permits.PermitSource,
        crashes: _crash_watch.CrashWatch,
        shared: _shared_endpoints.SharedEndpoints,
    ) -> None:
        self._clock = clock
        self._endpoints = endpoints
        self._picker = picker
        self._find_endpoints = find_endpoints
        self._rng = rng
        self._limits = limits
        self._permits = permits
        self._crashes = crashes
        self._shared = shared

    def find_service(
        self, forwarding: _forwarding.Forwarding, former: str | None
    ) -> str | None:
        """Returns the service of the next attempt; None if there is none.

        Args:
            forwarding: Request to send.
            former: Service of the attempt before; None for the first attempt.
        """
        if forwarding.find_route is not None:
            route = forwarding.find_route()
            if route is None:
                return None
            if route != forwarding.route:
                forwarding.route = route
                former = None
        return self._avoid_closed(
            forwarding,
            former or gateway.draw_service(forwarding.route, self._rng),
        )

    async def choose_endpoint(
        self, forwarding: _forwarding.Forwarding, service: str
    ) -> gateway.Announcement | None:
        """Returns the best endpoint that may be sent the request now."""
        ranked = self._rank_endpoints(forwarding, service)
        forwarding.permit_expected_at = None
        forwarding.permit_expires_at = math.inf
        if not ranked or not self._limits.is_limited(ranked[0]):
            return ranked[0] if ranked else None
        limited = [
            target for target in ranked if self._limits.is_limited(target)
        ]
        permit = await self._permits.acquire(limited, forwarding.deadline)
        # Endpoints may have left while the leader was asked.
        ranked = self._rank_endpoints(forwarding, service)
        for target in ranked:
            if target.endpoint == permit.endpoint:
                forwarding.permit_expires_at = permit.expires_at
                return target
        if permit.endpoint is None:
            forwarding.permit_expected_at = permit.retry_at
        for target in ranked:
            if not self._limits.is_limited(target):
                return target
        return None

    def find_spares(
        self,
        forwarding: _forwarding.Forwarding,
        service: str,
        view: gateway.SharedView,
    ) -> list[gateway.Announcement]:
        """Returns the endpoints that a second attempt may go to, best first.

        It goes neither to endpoints that need a permit, which it would take
        from other requests, nor to those that are likely to fail it.
        """
        now = self._clock.now()
        return [
            target
            for target in self._rank_endpoints(forwarding, service)
            if target.endpoint not in forwarding.tried
            and not self._limits.is_limited(target)
            and self._picker.is_spare(target, now, view)
        ]

    def _avoid_closed(
        self, forwarding: _forwarding.Forwarding, service: str
    ) -> str:
        """Returns a service whose endpoints the request may be sent to.

        Args:
            forwarding: Request to send.
            service: Service that is returned unless it is closed and another
                target of the route is not.
        """
        route = forwarding.route
        if len(route.targets) == 1 or not self._is_closed(forwarding, service):
            return service
        others = tuple(
            target
            for target in route.targets
            if target.weight > 0 and self._is_served(target.service)
        )
        if not others:
            return service
        return gateway.draw_service(
            attrs.evolve(route, targets=others), self._rng
        )

    def _is_closed(
        self, forwarding: _forwarding.Forwarding, service: str
    ) -> bool:
        """Whether a request has to go to another service of its route.

        A caller's request does if all endpoints are in evacuated domains. One
        that waits for room does if there are no endpoints either, as it might
        wait without end.
        """
        if forwarding.gate is not None:
            return not self._is_served(service)
        known = list(self._find_endpoints(service))
        return bool(known) and not any(map(self._endpoints.may_send, known))

    def _is_served(self, service: str) -> bool:
        return any(
            target.state is gateway.EndpointState.READY
            and self._endpoints.may_send(target)
            for target in self._find_endpoints(service)
        )

    def _rank_endpoints(
        self, forwarding: _forwarding.Forwarding, service: str
    ) -> list[gateway.Announcement]:
        known = list(self._find_endpoints(service))
        candidates = list(filter(self._endpoints.may_send, known))
        forwarding.has_only_evacuated = bool(known) and not candidates
        if forwarding.gate is not None:
            candidates = list(filter(forwarding.gate.has_room, candidates))
        if self._crashes.is_suspect(forwarding):
            candidates = [
                target
                for target in candidates
                if self._crashes.is_free(target.endpoint)
            ]
        return self._picker.rank(
            candidates,
            forwarding.tried - forwarding.retryable,
            self._clock.now(),
            self._limits.is_limited,
            self._shared.find_view(service),
        )
