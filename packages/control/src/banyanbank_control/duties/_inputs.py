"""Inputs of the endpoint planner and figures derived from them."""

import collections.abc

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

from banyanbank_control import commands
from banyanbank_control import declarations
from banyanbank_control import orders
from banyanbank_control import sync
from banyanbank_control.duties import _demand
from banyanbank_control.duties import _orders


@attrs.frozen
class PlanInputs:
    """State from which endpoints are planned."""

    capacities: tuple[declarations.Capacity, ...]
    """Capacity bounds in effect, one entry per model."""
    offers: tuple[declarations.Offer, ...]
    """Endpoints that the platform offers."""
    announced: tuple[sync.Announcement, ...]
    """Newest announcements of endpoints, including leaving ones."""
    live: tuple[orders.Order, ...]
    """Live orders."""
    reports: _demand.EngineReports
    """Loads reported by the instances."""
    ledger: rollout.Ledger
    """Rollout ledger, which knows the open samples."""
    avoided: frozenset[base.FailureDomain] = frozenset()
    """Failure domains with a recent failed start."""


def iter_ordered_statuses(
    model: base.ModelName, inputs: PlanInputs, now: float
) -> collections.abc.Iterator[rollout.EndpointStatus]:
    """Yields the endpoints on order that have not been announced yet."""
    announced = {announcement.endpoint for announcement in inputs.announced}
    for order in inputs.live:
        request = order.request
        is_start = request.action is commands.Action.START
        if not is_start or request.model != model:
            continue
        names = order.endpoints or tuple(
            f"order-{order.number}-{index}" for index in range(request.count)
        )
        for name in names:
            endpoint = base.EndpointId(name)
            if endpoint in announced:
                continue
            yield rollout.EndpointStatus(
                endpoint=endpoint,
                model=model,
                failure_domain=request.failure_domain,
                reclaimable=(request.supply is declarations.Supply.RECLAIMABLE),
                start_deadline=now + _orders.ORDER_TIMEOUT_S,
            )


def estimate_endpoints_needed(
    model: base.ModelName, inputs: PlanInputs, now: float
) -> float:
    """Returns the fractional number of endpoints for the current load.

    The load is the number of waiting and running requests, or of open samples
    if that is larger. An endpoint takes `TARGET_SLOT_UTILIZATION` of its
    slots. The slots are unknown until an endpoint serves; until then any load
    needs one endpoint.
    """
    engines = [
        announcement
        for announcement in inputs.announced
        if announcement.phase is sync.Phase.SERVING
        and _demand.serves(announcement, model)
    ]
    samples = inputs.ledger.open_samples(model)
    slots = sum(announcement.slots for announcement in engines)
    if not slots:
        return 1.0 if samples or inputs.reports.unserved(model, now) else 0.0
    requests = sum(
        inputs.reports.requests(announcement.endpoint, now)
        for announcement in engines
    )
    load = max(requests, samples)
    return load * len(engines) / (_demand.TARGET_SLOT_UTILIZATION * slots)
