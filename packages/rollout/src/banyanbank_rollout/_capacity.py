"""Inputs, outputs and configuration of the capacity planner."""

import attrs
import banyanbank_base as base


@attrs.frozen
class EndpointOffer:
    """Endpoints that can be ordered for one model in one failure domain."""

    model: base.ModelName
    """Model that the endpoint serves."""
    failure_domain: base.FailureDomain
    """Failure domain in which the endpoint runs."""
    reclaimable: bool
    """Whether the platform may reclaim the endpoint at short notice."""
    price_per_hour: float
    """Price per hour of run time, in the platform's currency."""
    tokens_per_s: float
    """Generation throughput per endpoint at a sustainable load."""
    available: int
    """Additional endpoints that can be ordered now."""
    reclaims_per_hour: float = 0.0
    """Expected reclaims per endpoint and hour; 0 if not reclaimable."""


@attrs.frozen
class EndpointStatus:
    """Status of a running or ordered endpoint."""

    endpoint: base.EndpointId
    """Identifies the endpoint."""
    model: base.ModelName
    """Model that the endpoint serves."""
    failure_domain: base.FailureDomain
    """Failure domain in which the endpoint runs."""
    reclaimable: bool
    """Whether the platform may reclaim the endpoint at short notice."""
    running: int = 0
    """Requests in flight on the endpoint."""
    start_deadline: float | None = None
    """Start deadline in clock seconds; None once ready."""
    gone_at: float | None = None
    """Reclaim time in clock seconds; None without a reclaim notice."""
    draining: bool = False
    """Whether the committed state excludes the endpoint from new work."""


@attrs.frozen
class Demand:
    """Forecast throughput demand for one model."""

    model: base.ModelName
    """Model that the demand is for."""
    tokens_per_s: float
    """Total tokens per second, including the protected share."""
    protected_tokens_per_s: float = 0.0
    """Tokens per second that must not run on reclaimable endpoints."""


@attrs.frozen
class EndpointNeed:
    """Target number of endpoints of one kind; control orders missing ones."""

    model: base.ModelName
    """Model that the endpoints serve."""
    failure_domain: base.FailureDomain
    """Failure domain in which the endpoints run."""
    reclaimable: bool
    """Whether the endpoints are reclaimable."""
    count: int
    """Target number of endpoints, including running ones."""
    missing: int
    """Additional endpoints to order now."""


@attrs.frozen
class DrainEndpoint:
    """Excludes an endpoint from new work; requests in flight complete."""

    endpoint: base.EndpointId
    """Endpoint to drain."""
    reason: str
    """Reason shown in the timeline."""


@attrs.frozen
class UndrainEndpoint:
    """Makes a draining endpoint eligible for new work again."""

    endpoint: base.EndpointId
    """Endpoint to stop draining."""


@attrs.frozen
class ReleaseEndpoint:
    """Releases a drained endpoint without requests in flight."""

    endpoint: base.EndpointId
    """Endpoint to release."""


EndpointChange = DrainEndpoint | UndrainEndpoint | ReleaseEndpoint


@attrs.frozen
class CapacityPlan:
    """Planner output for one model."""

    needs: tuple[EndpointNeed, ...]
    """Target endpoints by failure domain and kind."""
    changes: tuple[EndpointChange, ...]
    """Endpoints to drain, to stop draining or to release."""
    unmet_tokens_per_s: float
    """Demand, with headroom, that no offer covers; 0 when fully covered."""


@attrs.frozen
class CapacityCfg:
    """Configuration of the capacity planner."""

    safe_per_domain: int = 1
    """Minimum safe endpoints per failure domain, where offered."""
    safe_floor: int = 0
    """Minimum safe endpoints in total, spread over failure domains."""
    headroom: float = 0.2
    """Capacity added on top of the forecast, as a share of the forecast."""
    max_domain_share: float = 0.5
    """Maximum share of the demand on reclaimable endpoints of one domain.

    The first reclaimable endpoint of a domain is exempt.
    """
    scale_down_after_s: float = 600.0
    """Time for which demand must stay lower before endpoints are drained."""
    running_discount: float = 0.2
    """Relative price discount for running endpoints, to avoid churn."""
    reclaim_loss_h: float = 0.1
    """Paid endpoint hours lost to each reclaim."""
    reclaim_cooldown_s: float = 600.0
    """Time without reclaimable orders in a domain after a reclaim notice."""


def may_run_on(
    reclaimable: bool, repeatable: bool, reclaimable_allowed: bool
) -> bool:
    """Returns whether a request may be sent to an endpoint.

    Args:
        reclaimable: Whether the platform may reclaim the endpoint.
        repeatable: Whether the request may be retried after a lost attempt.
        reclaimable_allowed: Whether the route allows requests that are not
            repeatable to run on reclaimable endpoints.
    """
    return not reclaimable or repeatable or reclaimable_allowed
