"""Builds the order requests that start and stop endpoints."""

import collections.abc

import banyanbank_base as base
import banyanbank_rollout as rollout

from banyanbank_control import commands
from banyanbank_control import declarations
from banyanbank_control import orders
from banyanbank_control import sync


def find_stopping_endpoints(
    live: collections.abc.Iterable[orders.Order],
) -> frozenset[base.EndpointId]:
    """Returns the endpoints with a live order to stop."""
    return frozenset(
        base.EndpointId(order.request.endpoint)
        for order in live
        if order.request.action is commands.Action.STOP
    )


def build_start_requests(
    capacity: declarations.Capacity,
    needs: collections.abc.Iterable[rollout.EndpointNeed],
    live: collections.abc.Iterable[orders.Order],
) -> collections.abc.Iterator[commands.OrderRequest]:
    """Yields the start requests for missing endpoints, one per endpoint.

    Args:
        capacity: Capacity bounds of the model.
        needs: Planned endpoints by failure domain and supply.
        live: Live orders, whose need names cannot be reused.
    """
    taken_needs = {order.request.need for order in live}
    # Safe endpoints first: the capacity bounds may not allow all requests.
    for need in sorted(needs, key=lambda need: need.reclaimable):
        for _ in range(need.missing):
            request = _build_start_request(capacity, need, taken_needs)
            taken_needs.add(request.need)
            yield request


def build_stop_request(
    capacity: declarations.Capacity,
    item: sync.Announcement,
) -> commands.OrderRequest:
    """Returns the request to stop an endpoint."""
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


def _build_start_request(
    capacity: declarations.Capacity,
    need: rollout.EndpointNeed,
    taken_needs: set[str],
) -> commands.OrderRequest:
    supply = (
        declarations.Supply.RECLAIMABLE
        if need.reclaimable
        else declarations.Supply.SAFE
    )
    need_prefix = f"{capacity.model}/{need.failure_domain}/{supply.value}"
    number = 1
    while f"{need_prefix}/{number}" in taken_needs:
        number += 1
    return commands.OrderRequest(
        need=f"{need_prefix}/{number}",
        action=commands.Action.START,
        model=capacity.model,
        failure_domain=need.failure_domain,
        supply=supply,
        count=1,
        price_ceiling=capacity.price_ceiling,
    )
