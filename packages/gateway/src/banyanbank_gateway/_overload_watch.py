"""Tells from the rejections that instances report whether a service is full."""

import banyanbank_base as base

OVERLOAD_MEMORY_S = 5.0
"""Time for which a rejection counts; bursts of batch jobs come every 4 s."""

MIN_ENDPOINTS = 2
"""Endpoints that must reject requests; one may do so for reasons of its own."""


class OverloadWatch:
    """Services whose endpoints have no room for all requests.

    Addresses overload that one instance alone would not notice: with 65 entries
    and 6 requests a second, each sends one every 11 s.
    """

    def __init__(self) -> None:
        self._rejected_at: dict[str, dict[base.EndpointId, float]] = {}

    def add(self, service: str, endpoint: base.EndpointId, now: float) -> None:
        """Records that an endpoint of a service rejected a request."""
        self._rejected_at.setdefault(service, {})[endpoint] = now

    def is_overloaded(self, service: str, now: float) -> bool:
        """Whether several endpoints of a service rejected requests recently."""
        recent = {
            endpoint: rejected_at
            for endpoint, rejected_at in self._rejected_at.get(
                service, {}
            ).items()
            if now < rejected_at + OVERLOAD_MEMORY_S
        }
        if recent:
            self._rejected_at[service] = recent
        else:
            self._rejected_at.pop(service, None)
        return len(recent) >= MIN_ENDPOINTS
