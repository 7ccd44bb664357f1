"""Messages between entries and stores."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs

SYNC = "store.sync"
ANNOUNCE = "store.announce"
WITHDRAW = "store.withdraw"
PROPOSE = "store.propose"
READ_DOCUMENT = "store.document"
READ_RESULTS = "store.results"
READ_BODY = "store.body"
JOIN = "store.join"
RETIRE = "store.retire"
RETIRED = "store.retired"
HEARD = "store.heard"
"""Channel on which stores tell each other what endpoints announced."""


@attrs.frozen
class StoreAnswer:
    """Answer of a store to any call."""

    leader: str
    """Leader that it knows; empty when it knows none."""
    payload: bytes | None
    """Answer of the leader; None from a store that does not lead."""


@attrs.frozen
class SyncRequest:
    """What an entry knows; the answer waits until there is something new."""

    entry: str
    """Name and life of the entry."""
    document_number: int
    """Number of the document that it holds; 0 for none."""
    directory_of: str
    """Store whose directory it has seen last."""
    directory_revision: int
    """Revision of that directory."""
    usage: tuple[gateway.WindowCounts, ...]
    """Its counts of the newest usage windows."""


@attrs.frozen
class EndedLife:
    """A life of an endpoint that is over."""

    endpoint: base.EndpointId
    """Name of the endpoint."""
    born_ms: int
    """Start of the newest life that is over."""


@attrs.frozen
class DirectoryPart:
    """Endpoints that a leader believes in."""

    announcements: tuple[gateway.Announcement, ...]
    """All endpoints."""
    ended: tuple[EndedLife, ...]
    """Lives that are over."""


@attrs.frozen
class SyncAnswer:
    """What is new to an entry.

    Its large parts are the same for all entries and come as bytes, so that a
    leader encodes them once.
    """

    document_number: int
    """Number of the document in force."""
    document: bytes | None
    """The document, compressed; None when the entry holds it."""
    directory_of: str
    """Store whose directory this is."""
    directory_revision: int
    """Its revision."""
    directory: bytes | None
    """A `DirectoryPart`; None when the entry has seen this revision."""
    is_settled: bool
    """Whether every running endpoint must have reached this leader by now."""
    stores: tuple[base.InstanceId, ...]
    """Members of the log."""
    true_time: float
    """Unix time that the leader goes by."""


@attrs.frozen
class Withdrawal:
    """An endpoint says that it leaves at once."""

    endpoint: base.EndpointId
    """Name of the endpoint."""


@attrs.frozen
class Accepted:
    """The call had its effect."""


@attrs.frozen
class DocumentAnswer:
    """The document in force."""

    number: int
    """Its number; 0 when there is none."""
    content: bytes
    """The document as it was sent."""


@attrs.frozen
class ResultsRequest:
    """Asks for results of a batch job."""

    job: str
    """Id of the job."""
    account: base.AccountId
    """Client account that asks."""
    after: int
    """First position that is wanted."""
    wait_s: float
    """Seconds to wait for a result that is not there yet."""


@attrs.frozen
class ResultsPage:
    """Results of a batch job from a position onward."""

    total: int
    """Number of items of the job."""
    results: tuple[jobs.ItemResult, ...]
    """Results."""


@attrs.frozen
class BodyRequest:
    """Asks for the body of an item that is not listed."""

    job: str
    """Id of the job."""
    account: base.AccountId
    """Client account that asks."""
    item: str
    """Id of the item."""


@attrs.frozen
class Body:
    """The body of an item."""

    data: bytes
    """The bytes as they were submitted."""


@attrs.frozen
class NotThere:
    """What was asked for does not exist."""


@attrs.frozen
class Join:
    """A store tells the leader that it runs."""

    node: str
    """Name of its machine."""


@attrs.frozen
class Retire:
    """Asks for a store to be taken out of the log, or how far that is."""

    node: str
    """Name of its machine."""


@attrs.frozen
class TooFew:
    """Too few stores would remain."""


@attrs.frozen
class Retiring:
    """How far the removal of a store is."""

    is_over: bool
    """Whether the log does not need it any more."""


CODEC: base.Codec[typing.Any] = base.Codec(
    StoreAnswer,
    SyncRequest,
    SyncAnswer,
    DirectoryPart,
    gateway.Announcement,
    Withdrawal,
    Accepted,
    DocumentAnswer,
    ResultsRequest,
    ResultsPage,
    BodyRequest,
    Body,
    NotThere,
    Join,
    Retire,
    TooFew,
    Retiring,
)
"""Bytes of all messages."""
