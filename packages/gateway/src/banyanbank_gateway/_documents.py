"""Decoded configuration documents."""

import enum

import attrs
import banyanbank_base as base


class InvalidDocumentError(Exception):
    """A document cannot be applied; the message says where and why."""


class RouteKind(enum.Enum):
    """Kind of a route; decides which requests may be retried."""

    IDEMPOTENT = "idempotent"
    """Requests may run more than once."""
    NON_IDEMPOTENT = "non-idempotent"
    """Requests run at most once for each attempt of the client."""
    STREAMING = "streaming"
    """Responses are event streams that must not be resumed."""
    RESUMABLE = "resumable"
    """Responses are event streams that another endpoint may continue."""
    ROLLOUT = "rollout"
    """The route accepts batch jobs."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a lost request may be retried on another endpoint."""
        return self in (RouteKind.IDEMPOTENT, RouteKind.RESUMABLE)


@attrs.frozen
class Target:
    """Service to which a route sends a share of its requests."""

    service: str
    """Name of the service."""
    weight: float
    """Share of the requests, relative to the other targets of the route."""


@attrs.frozen
class Route:
    """Rules for the requests with one host and path prefix."""

    name: str
    """Name of the route."""
    host: str
    """Host, in lower case."""
    prefix: str
    """Path prefix."""
    kind: RouteKind
    """Decides which requests may be retried."""
    targets: tuple[Target, ...]
    """Services; the sum of their weights is positive."""
    timeout_s: float
    """Maximum time that a request may wait for its response."""
    objective_s: float
    """Latency objective; a response within it earns its full credit."""
    max_attempts: int
    """Maximum number of endpoints to which one request is sent."""
    is_public: bool
    """Whether requests need no key."""
    priority: int = 0
    """Priority; 0 is the most urgent."""
    due_s: float = 0.0
    """Batch jobs: time from the submission until all results are due."""
    item_ttl_s: float = 0.0
    """Batch jobs: time from the submission until items may be abandoned."""
    is_single_version: bool = False
    """Batch jobs: whether one weight version must generate an entire text."""


@attrs.frozen
class EngineShape:
    """Capacity of the engines of a service."""

    slots: int
    """Requests that an engine runs concurrently."""
    cache_tokens: int
    """Capacity of the engine's cache in tokens."""
    models: tuple[str, ...]
    """Models of the service."""


@attrs.frozen
class Scaling:
    """Bounds on the number of endpoints that may be provisioned."""

    min_endpoints: int
    """Minimum number of endpoints in a failure domain."""
    max_endpoints: int
    """Maximum number of endpoints in a failure domain."""


@attrs.frozen
class Service:
    """Endpoints that serve the same requests."""

    name: str
    """Name of the service."""
    max_connections: int
    """Connections that an endpoint accepts from all callers together."""
    engine: EngineShape | None = None
    """Capacity of its engines; None for a service without engines."""
    scaling: Scaling | None = None
    """Bounds on its endpoints; None if endpoints cannot be provisioned."""
    cold_start_s: float = 0.0
    """Time for which an endpoint is cold after its start; 0 if it is not."""
    cold_per_s: float = 0.0
    """Requests a second that a cold endpoint tolerates from all instances
    together; 0 for no bound."""


@attrs.frozen
class Limits:
    """Limits on the size and the duration of client requests."""

    max_header_bytes: int = 16 * 1024
    """Maximum size of a request head."""
    max_body_bytes: int = 32 * 1024 * 1024
    """Maximum size of a request body."""
    header_timeout_s: float = 3.0
    """Timeout for receiving a request head."""
    idle_timeout_s: float = 15.0
    """Timeout after which an idle connection is closed."""


@attrs.frozen
class Document:
    """A complete configuration."""

    number: int
    """Number assigned by the operator; the highest number is in force."""
    routes: tuple[Route, ...]
    """Routes; no two have the same host and prefix."""
    services: dict[str, Service]
    """Services by name."""
    limits: Limits
    """Limits on client requests."""
    accounts: dict[str, base.AccountId] | None
    """Client account of each key; None if requests need no key."""
    account_priorities: dict[base.AccountId, int] = attrs.Factory(dict)
    """Priorities of accounts that take precedence over those of routes."""
