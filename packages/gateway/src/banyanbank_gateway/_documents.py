"""A numbered configuration document, decoded."""

import enum

import attrs
import banyanbank_base as base


class InvalidDocumentError(Exception):
    """A document cannot be put in force; the text says where and why."""


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    """Requests may run more than once."""
    NON_IDEMPOTENT = "non-idempotent"
    """Requests run at most once for each attempt of the client."""
    STREAMING = "streaming"
    """Answers are event streams that may not be resumed."""
    RESUMABLE = "resumable"
    """Answers are event streams that another endpoint may continue."""
    ROLLOUT = "rollout"
    """The route takes batch jobs."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be sent to a second endpoint after a loss."""
        return self in (RouteKind.IDEMPOTENT, RouteKind.RESUMABLE)


@attrs.frozen
class Target:
    """One service of a route."""

    service: str
    """Name of the service."""
    weight: float
    """Share of the requests, relative to the route's other targets."""


@attrs.frozen
class Route:
    """Requests of one host and path prefix."""

    name: str
    """Name of the route."""
    host: str
    """Host, in lower case."""
    prefix: str
    """Beginning of the path."""
    kind: RouteKind
    """What may be repeated."""
    targets: tuple[Target, ...]
    """Services; their weights add up to more than 0."""
    timeout_s: float
    """Longest time that the operator wants a request kept waiting."""
    objective_s: float
    """Time within which an answer earns its full credit."""
    max_attempts: int
    """Most endpoints to which one request may be sent."""
    is_public: bool
    """Whether requests need no key."""
    priority: int = 0
    """Rank; 0 is the most urgent."""
    due_s: float = 0.0
    """Batch jobs: results are due so long after the submission."""
    item_ttl_s: float = 0.0
    """Batch jobs: an item may be given up so long after the submission."""
    is_single_version: bool = False
    """Batch jobs: one weight version must make the whole text."""


@attrs.frozen
class EngineShape:
    """What a service's engines can hold."""

    slots: int
    """Requests that an engine runs at once."""
    cache_tokens: int
    """Tokens that its memory holds."""
    models: tuple[str, ...]
    """Models of the service."""


@attrs.frozen
class Scaling:
    """Bounds on the endpoints that may be ordered, for each domain."""

    least: int
    """Fewest endpoints of a domain."""
    most: int
    """Most endpoints of a domain."""


@attrs.frozen
class Service:
    """Endpoints that serve the same requests."""

    name: str
    """Name of the service."""
    max_connections: int
    """Connections that an endpoint takes from all callers together."""
    engine: EngineShape | None = None
    """None for a plain service."""
    scaling: Scaling | None = None
    """None when its endpoints cannot be ordered."""


@attrs.frozen
class Limits:
    """What a client may send, and how long it may take."""

    max_header_bytes: int = 16 * 1024
    """Largest request head."""
    max_body_bytes: int = 32 * 1024 * 1024
    """Largest request body."""
    header_timeout_s: float = 3.0
    """Seconds that a request head may take."""
    idle_timeout_s: float = 15.0
    """Seconds that a connection may stay idle."""


@attrs.frozen
class Document:
    """A whole configuration."""

    number: int
    """Number given by the operator; the highest is in force."""
    routes: tuple[Route, ...]
    """Routes; no two share host and prefix."""
    services: dict[str, Service]
    """Services by name."""
    limits: Limits
    """Limits on clients."""
    accounts: dict[str, base.AccountId] | None
    """Client account of each key; None when no keys are asked for."""
