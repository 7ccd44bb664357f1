"""Messages about permits and the limits of endpoints that they enforce."""

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway

TAKE_PERMIT = "store.permit"
REPORT_LIMITS = "store.limits"
LIMITS = "store.known_limits"
"""Channel on which the leader tells the other stores of rate limits."""


@attrs.frozen
class LimitsPart:
    """Rate limits that endpoints state, or no longer state."""

    observations: tuple[gateway.LimitObservation, ...]
    """Newest observation of each endpoint."""


@attrs.frozen
class PermitRequest:
    """Asks to send a request to one of several endpoints with a limit."""

    endpoints: tuple[base.EndpointId, ...]
    """Endpoints, in order of preference."""
    limits: tuple[gateway.LimitObservation, ...]
    """Rate limits of these endpoints, as the entry knows them."""
    cold: tuple[gateway.ColdReport, ...] = ()
    """Those of the endpoints that the entry takes for cold."""


@attrs.frozen
class PermitAnswer:
    """Grants or refuses to send a request."""

    endpoint: str
    """Endpoint that the request may be sent to; empty for none."""
    retry_after_s: float
    """If none: seconds after which to try again."""
    is_cold: bool = False
    """Whether the leader takes the endpoint for cold, so that the permit
    expires also at an entry that takes it for warm."""
