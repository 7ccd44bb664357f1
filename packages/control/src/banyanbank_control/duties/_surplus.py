"""Endpoints that a model can give back."""

import collections
import collections.abc

import banyanbank_base as base

from banyanbank_control import commands
from banyanbank_control import declarations
from banyanbank_control import orders
from banyanbank_control import sync
from banyanbank_control.duties import _demand

IDLE_S = 60.0
"""Time for which nothing ran or waited on an endpoint to stop, seconds."""


def stopping(
    live: collections.abc.Iterable[orders.Order],
) -> frozenset[str]:
    """Returns the endpoints with a live order to stop."""
    return frozenset(
        order.request.endpoint
        for order in live
        if order.request.action is commands.Action.STOP
    )


def plan_stop(
    capacity: declarations.Capacity,
    wanted: int,
    serving: collections.abc.Iterable[sync.Announcement],
    live: collections.abc.Iterable[orders.Order],
    reports: _demand.EngineReports,
    now: float,
) -> commands.OrderRequest | None:
    """Returns the order to stop one endpoint, or None.

    One endpoint of a model stops at a time, and none while one is on order.
    It has been idle for `IDLE_S` and serves no other model. Reclaimable ones
    go first, from the fullest failure domain; safe ones above the floor
    follow, and the last safe one stays.

    Args:
        capacity: Bounds of the model.
        wanted: Endpoints that the demand asks for; held to the bounds.
        serving: Endpoints that serve now, of any model.
        live: Live orders, of any model.
        reports: Loads.
        now: Monotonic time in seconds.
    """
    if now < reports.began + _demand.LOWER_S:
        return None
    if any(order.request.model == capacity.model for order in live):
        return None
    engines = [item for item in serving if _demand.serves(item, capacity.model)]
    least = max(capacity.min_endpoints, capacity.safe_floor)
    if len(engines) <= min(max(wanted, least), capacity.max_endpoints):
        return None
    chosen = _choose(capacity, engines, reports, now)
    return None if chosen is None else _stop(capacity, chosen)


def _choose(
    capacity: declarations.Capacity,
    engines: list[sync.Announcement],
    reports: _demand.EngineReports,
    now: float,
) -> sync.Announcement | None:
    safe = sum(item.supply is commands.Supply.SAFE for item in engines)
    keeps_safe = safe <= max(capacity.safe_floor, 1)
    filled = collections.Counter(item.failure_domain for item in engines)
    candidates = [
        item
        for item in engines
        if len(item.models) == 1
        and reports.idle_s(item.endpoint, now) >= IDLE_S
        and not (item.supply is commands.Supply.SAFE and keeps_safe)
    ]

    def order(item: sync.Announcement) -> tuple[bool, int, base.EndpointId]:
        is_safe = item.supply is commands.Supply.SAFE
        return is_safe, -filled[item.failure_domain], item.endpoint

    return min(candidates, key=order, default=None)


def _stop(
    capacity: declarations.Capacity, item: sync.Announcement
) -> commands.OrderRequest:
    return commands.OrderRequest(
        need=f"{capacity.model}/stop/{item.endpoint}",
        action=commands.Action.STOP,
        model=capacity.model,
        failure_domain=item.failure_domain,
        supply=item.supply,
        count=1,
        price_ceiling=capacity.price_ceiling,
        endpoint=item.endpoint,
    )
