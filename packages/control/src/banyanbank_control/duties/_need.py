"""Order requests that bring a model to its planned endpoints."""

import collections.abc

import banyanbank_base as base
import banyanbank_rollout as rollout

from banyanbank_control import commands
from banyanbank_control import declarations
from banyanbank_control import orders
from banyanbank_control import sync


def stopping(
    live: collections.abc.Iterable[orders.Order],
) -> frozenset[base.EndpointId]:
    """Returns the endpoints with a live order to stop."""
    return frozenset(
        base.EndpointId(order.request.endpoint)
        for order in live
        if order.request.action is commands.Action.STOP
    )


def starts(
    capacity: declarations.Capacity,
    needs: collections.abc.Iterable[rollout.EndpointNeed],
    live: collections.abc.Iterable[orders.Order],
) -> collections.abc.Iterator[commands.OrderRequest]:
    """Yields the orders that a plan lacks, one endpoint each.

    Args:
        capacity: Bounds of the model.
        needs: Endpoints wanted, by failure domain and supply.
        live: Live orders, whose needs are taken.
    """
    taken = {order.request.need for order in live}
    # Safe ones first: there may not be room for all.
    for need in sorted(needs, key=lambda need: need.reclaimable):
        for _ in range(need.missing):
            request = _start(capacity, need, taken)
            taken.add(request.need)
            yield request


def stop(
    capacity: declarations.Capacity,
    item: sync.Announcement,
) -> commands.OrderRequest:
    """Returns the order to stop an endpoint."""
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


def _start(
    capacity: declarations.Capacity,
    need: rollout.EndpointNeed,
    taken: set[str],
) -> commands.OrderRequest:
    supply = (
        declarations.Supply.RECLAIMABLE
        if need.reclaimable
        else declarations.Supply.SAFE
    )
    place = f"{capacity.model}/{need.failure_domain}/{supply.value}"
    number = 1
    while f"{place}/{number}" in taken:
        number += 1
    return commands.OrderRequest(
        need=f"{place}/{number}",
        action=commands.Action.START,
        model=capacity.model,
        failure_domain=need.failure_domain,
        supply=supply,
        count=1,
        price_ceiling=capacity.price_ceiling,
    )
