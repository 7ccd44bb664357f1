"""Needs for endpoints: what a model's bounds and demand ask for."""

import collections
import collections.abc

import banyanbank_base as base

from banyanbank_control import commands
from banyanbank_control import declarations
from banyanbank_control import orders
from banyanbank_control import sync

_Place = tuple[base.FailureDomain, commands.Supply]
_Filled = collections.Counter[_Place]


def plan_needs(
    capacity: declarations.Capacity,
    wanted: int,
    serving: collections.abc.Iterable[sync.Announcement],
    live: collections.abc.Iterable[orders.Order] = (),
    avoided: collections.abc.Collection[base.FailureDomain] = (),
) -> tuple[commands.OrderRequest, ...]:
    """Returns the orders that a model lacks, one endpoint each.

    Safe endpoints up to the floor are spread over the failure domains first,
    so that the loss of one domain leaves as many as can be; the rest are
    reclaimable ones, spread likewise. What is on order counts as there: a
    plan that changes its mind never pays twice.

    Args:
        capacity: Bounds of the model.
        wanted: Endpoints that the demand asks for; held to the bounds.
        serving: Endpoints that serve now, of any model.
        live: Live orders, of any model.
        avoided: Failure domains in which orders have failed of late; used
            only when the model may run in no other.
    """
    count = min(max(wanted, capacity.min_endpoints), capacity.max_endpoints)
    ordered = [order.request for order in live if _starts(order, capacity)]
    filled = _filled(capacity, serving, ordered)
    safe = sum(
        number
        for (_, supply), number in filled.items()
        if supply is commands.Supply.SAFE
    )
    total = sum(filled.values())
    lacking = max(count - total, 0)
    room = max(capacity.max_endpoints - total, 0)
    safe_lacking = min(max(capacity.safe_floor - safe, 0), room)
    supplies = [commands.Supply.SAFE] * safe_lacking
    supplies += [commands.Supply.RECLAIMABLE] * (lacking - safe_lacking)
    taken = {request.need for request in ordered}
    domains = _domains(capacity, avoided)
    return tuple(
        _next_need(capacity, domains, supply, filled, taken)
        for supply in supplies
    )


def _domains(
    capacity: declarations.Capacity,
    avoided: collections.abc.Collection[base.FailureDomain],
) -> tuple[base.FailureDomain, ...]:
    allowed = tuple(map(base.FailureDomain, capacity.failure_domains))
    good = tuple(domain for domain in allowed if domain not in avoided)
    return good or allowed


def _starts(order: orders.Order, capacity: declarations.Capacity) -> bool:
    request = order.request
    is_start = request.action is commands.Action.START
    return is_start and request.model == capacity.model


def _filled(
    capacity: declarations.Capacity,
    serving: collections.abc.Iterable[sync.Announcement],
    ordered: collections.abc.Iterable[commands.OrderRequest],
) -> _Filled:
    filled: _Filled = collections.Counter(
        (item.failure_domain, item.supply)
        for item in serving
        if any(served.model == capacity.model for served in item.models)
    )
    for request in ordered:
        filled[request.failure_domain, request.supply] += request.count
    return filled


def _next_need(
    capacity: declarations.Capacity,
    domains: tuple[base.FailureDomain, ...],
    supply: commands.Supply,
    filled: _Filled,
    taken: set[str],
) -> commands.OrderRequest:
    """Fills the emptiest place; `filled` and `taken` follow."""
    domain = min(domains, key=lambda name: (filled[name, supply], name))
    filled[domain, supply] += 1
    number = filled[domain, supply]
    while (need := _need(capacity, domain, supply, number)) in taken:
        number += 1
    taken.add(need)
    return commands.OrderRequest(
        need=need,
        action=commands.Action.START,
        model=capacity.model,
        failure_domain=domain,
        supply=supply,
        count=1,
        price_ceiling=capacity.price_ceiling,
    )


def _need(
    capacity: declarations.Capacity,
    domain: base.FailureDomain,
    supply: commands.Supply,
    number: int,
) -> str:
    return f"{capacity.model}/{domain}/{supply.value}/{number}"
