"""What endpoints are planned from: what is there, and the work to do."""

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
    """What the plan is made from."""

    capacities: tuple[declarations.Capacity, ...]
    """Bounds in force."""
    offers: tuple[declarations.Offer, ...]
    """What the platform sells."""
    announced: tuple[sync.Announcement, ...]
    """Endpoints that announce themselves, those that leave included."""
    live: tuple[orders.Order, ...]
    """Live orders."""
    reports: _demand.EngineReports
    """Loads."""
    ledger: rollout.Ledger
    """Samples still to come."""
    avoided: frozenset[base.FailureDomain] = frozenset()
    """Failure domains in which orders have failed of late."""


def ordered(
    model: base.ModelName, around: PlanInputs, now: float
) -> collections.abc.Iterator[rollout.EndpointStatus]:
    """Yields the endpoints on order that have not announced themselves."""
    announced = {one.endpoint for one in around.announced}
    for order in around.live:
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
                ready_by=now + _orders.START_TIMEOUT_S,
            )


def endpoints_needed(
    model: base.ModelName, around: PlanInputs, now: float
) -> float:
    """Returns how many endpoints the work of now would fill.

    Requests that wait or run, or all samples to come when those are more,
    over the slots of an endpoint, at `TARGET_LOAD`. What the slots are is
    not known before one endpoint serves: one is wanted then.
    """
    engines = [
        one
        for one in around.announced
        if one.phase is sync.Phase.SERVING and _demand.serves(one, model)
    ]
    samples = around.ledger.open_samples(model)
    slots = sum(one.slots for one in engines)
    if not slots:
        return 1.0 if samples or around.reports.unserved(model, now) else 0.0
    requests = sum(
        around.reports.requests(one.endpoint, now) for one in engines
    )
    load = max(requests, samples)
    return load * len(engines) / (_demand.TARGET_LOAD * slots)
