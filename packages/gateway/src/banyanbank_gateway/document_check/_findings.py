"""What a check of a configuration document finds in it."""

import enum
import typing

import attrs

from banyanbank_gateway import _documents


class PlaceKind(enum.Enum):
    """Kind of the part of a document that something was found in."""

    DOCUMENT = "document"
    LIMITS = "limits"
    ROUTE = "route"
    SERVICE = "service"
    ACCOUNT = "account"
    KEY = "key"


@attrs.frozen
class Place:
    """Part of a document."""

    kind: PlaceKind
    """Kind of the part."""
    name: str = ""
    """Name of the entry; empty for the document and its limits. Masked for a
    key."""
    pattern: str = ""
    """Host and path prefix of a route; names of routes may repeat."""


DOCUMENT_PLACE = Place(PlaceKind.DOCUMENT)


def make_route_place(route: _documents.Route) -> Place:
    """Returns the place of a route."""
    return Place(PlaceKind.ROUTE, route.name, route.host + route.prefix)


class FindingKind(enum.Enum):
    """What is doubtful about a valid document."""

    NUMBER_ZERO = "number 0"
    NUMBER_NOT_HIGHER = "number not above that in force"
    HOST_NEVER_MATCHES = "host never matches"
    PREFIX_NEVER_MATCHES = "path prefix never matches"
    TARGET_WITHOUT_WEIGHT = "target without weight"
    ROLLOUT_WITHOUT_ENGINES = "batch jobs at a service without engines"
    UNUSED_SERVICE = "service that no route names"
    REPEATED_SERVICE = "service stated twice"
    ACCOUNT_WITHOUT_KEYS = "account without keys"
    NO_KEYS = "routes need keys and there are none"
    KEYS_WITHOUT_USE = "no route needs keys"
    OBJECTIVE_ABOVE_TIMEOUT = "latency objective above the timeout"
    DUE_ABOVE_ITEM_TTL = "items are abandoned before they are due"
    NO_ITEM_TTL = "items are abandoned at once"
    TIMEOUT_ABOVE_DUE = "timeout above the due time"
    ATTEMPTS_ABOVE_ENDPOINTS = "more attempts than endpoints"
    COLD_RATE_WITHOUT_TIME = "cold rate without cold time"
    COLD_TIME_WITHOUT_RATE = "cold time without cold rate"
    MIN_ABOVE_MAX_ENDPOINTS = "minimum of endpoints above the maximum"
    CONNECTIONS_BELOW_SLOTS = "fewer connections than slots"
    HEAD_TIMEOUT_ABOVE_IDLE = "timeout of the head above that of idleness"


@attrs.frozen
class Finding:
    """Something in a valid document that its author hardly wants."""

    kind: FindingKind
    """What was found."""
    place: Place
    """Where it was found."""
    other: str = ""
    """Service that it concerns besides, or the text that never matches."""
    values: tuple[float, ...] = ()
    """Numbers that contradict each other; times in seconds."""


@attrs.frozen
class DeclaredNames:
    """Names that a document states, including those that decoding drops."""

    services: tuple[str, ...] = ()
    """Names of services; one that is stated twice occurs twice."""
    accounts: tuple[str, ...] = ()
    """Names of client accounts, also of those without keys."""


class ChangeKind(enum.Enum):
    """How an entry differs between two documents."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen
class Change:
    """Difference between the document in force and the next one."""

    kind: ChangeKind
    """How the entry differs."""
    place: Place
    """The entry; for a route that moved, where it is now."""
    field: str = ""
    """Field that changed, with dots between nested fields; for an entry that
    was added or removed, the field that describes it, or empty."""
    before: typing.Any = None
    """Former value; None if there was none."""
    after: typing.Any = None
    """Next value; None if there is none."""
