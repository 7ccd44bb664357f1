"""Messages between entries and stores."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs

from banyanbank_node import _permit_messages

SYNC = "store.sync"
RELAY_SYNC = "store.relay_sync"
AWAIT_ENTRIES = "store.await_entries"
ANNOUNCE = "store.announce"
WITHDRAW = "store.withdraw"
PROPOSE = "store.propose"
ORDER_EVACUATION = "store.evacuation"
READ_DOCUMENT = "store.document"
READ_RESULTS = "store.results"
READ_BODY = "store.body"
READ_LOG_POSITION = "store.log_position"
READ_DOMAIN = "store.domain"
REPORT_CONDEMNED = "store.condemned"
JOIN = "store.join"
LEAVE = "store.leave"
RETIRE = "store.retire"
RETIRED = "store.retired"
HEARD = "store.heard"
"""Channel on which a store relays announcements to the other stores."""


@attrs.frozen
class StoreAnswer:
    """Envelope of a store's answer to any call."""

    leader: str
    """Instance that the store considers leader; empty if it knows none."""
    payload: bytes | None
    """Encoded answer of the leader; None from a store that does not lead."""


@attrs.frozen
class SyncRequest:
    """Long poll of an entry with the versions that it holds.

    The leader holds the answer until something is newer or the poll times out.
    """

    entry: str
    """Instance name and incarnation of the entry."""
    document_number: int
    """Number of the document in force at the entry; 0 for none."""
    directory_of: str
    """Source of the directory that it received last."""
    directory_revision: int
    """Revision of that directory."""
    usage: tuple[gateway.WindowCounts, ...]
    """Usage counts of the entry in the latest windows."""
    limits_revision: int = 0
    """Revision of the rate limits that it received last, from the same source
    as the directory."""
    condemned_revision: int = 0
    """Revision of the condemned requests that it received last, likewise."""
    answer_issued_at: float = 0.0
    """`SyncAnswer.issued_at` of the last answer that it received, likewise; 0
    for none."""
    evacuation_revision: int = 0
    """Revision of the evacuations that it acts on; that of the leader if the
    entry has decided not to adopt it."""
    figures_revision: int = 0
    """Revision of the figures of endpoints that it received last, likewise."""
    samples: tuple[gateway.AttemptSample, ...] = ()
    """What it observed of shared endpoints since its last answered poll; empty
    unless the last answer had a revision of figures."""


@attrs.frozen
class DirectoryPart:
    """Directory of a leader: live endpoints and ended incarnations."""

    announcements: tuple[gateway.Announcement, ...]
    """Latest announcement of each endpoint considered alive."""
    ended: tuple[gateway.EndedIncarnation, ...]
    """Incarnations whose announcements are stale."""


@attrs.frozen
class SyncAnswer:
    """Answer to `SyncRequest` with the state that is new to the entry.

    The large parts are the same for all entries and come as bytes, so that a
    leader encodes them only once.
    """

    document_number: int
    """Number of the document in force."""
    document: bytes | None
    """Compressed document; None if the entry already has it."""
    directory_of: str
    """Source of the directory: leader and epoch."""
    directory_revision: int
    """Revision of the directory."""
    directory: bytes | None
    """Encoded `DirectoryPart`; None if the entry already has this revision."""
    is_settled: bool
    """Whether the leader has led long enough to know every running endpoint."""
    stores: tuple[base.InstanceId, ...]
    """Voters of the replicated log."""
    true_time: float
    """Unix time of the leader, to which entries synchronize."""
    limits_revision: int = 0
    """Revision of the rate limits."""
    limits: bytes | None = None
    """Encoded `_permit_messages.LimitsPart`; None if the entry already has this
    revision."""
    condemned_revision: int = 0
    """Revision of the condemned requests."""
    condemned: tuple[gateway.CondemnedRequest, ...] = ()
    """Condemned requests; empty if the entry already has this revision."""
    issued_at: float = 0.0
    """When the leader made the answer, on its monotonic clock. The entry
    returns it with its next poll, which proves that the answer arrived."""
    evacuations: gateway.Evacuations = attrs.Factory(gateway.Evacuations)
    """Evacuated failure domains and their revision."""
    cluster: str = ""
    """Identity of the replicated log that counts this revision; empty if both
    the log and the entry know no evacuations."""
    figures_revision: int = 0
    """Revision of the figures of endpoints; 0 if the configuration has no
    shared services."""
    figures: bytes | None = None
    """Encoded `FiguresPart`; None if the entry already has this revision."""


@attrs.frozen
class FiguresPart:
    """Figures of shared endpoints."""

    endpoints: tuple[gateway.EndpointFigure, ...]
    """Endpoints that differ from others of their service."""
    latencies: tuple[gateway.RouteLatency, ...] = ()
    """Latencies over all instances; empty unless a setting asks for them."""


@attrs.frozen
class RelayedSync:
    """Answer of any store to a poll that it passes on to the leader."""

    answer: bytes | None
    """Encoded `SyncAnswer` of the leader; None if it did not answer."""
    document: bytes | None
    """Compressed document that this store has applied, which is committed but
    need not be the newest; None unless it is newer than the entry's."""


@attrs.frozen
class AwaitEntries:
    """Asks the leader whether the entries in contact act on a change."""

    document_number: int
    """Number of the document; 0 to wait for no document."""
    wait_s: float
    """Time for which the leader may hold the answer until they do."""
    evacuation_revision: int = 0
    """Revision of the evacuations; 0 to wait for none."""


@attrs.frozen
class EntriesStatus:
    """Entries in contact that may still act on an earlier state."""

    waiting_for: tuple[str, ...]
    """Their names and incarnations; empty once all act on the change."""
    is_counting: bool
    """Whether the leader may not know all entries in contact yet."""

    @property
    def is_settled(self) -> bool:
        """Whether no entry in contact acts on an earlier state."""
        return not self.waiting_for and not self.is_counting


@attrs.frozen
class EvacuationOrder:
    """Asks the leader to commit an operator's order."""

    domain: base.FailureDomain
    """The failure domain."""
    is_evacuated: bool
    """Whether to evacuate the domain; false to readmit it."""
    is_configured: bool
    """Whether the settings of the asking store name the domain."""


@attrs.frozen
class EvacuationState:
    """Confirms that an order is committed."""

    revision: int
    """Revision of the evacuations that follows from it, or a later one."""


@attrs.frozen
class CondemnedPart:
    """Requests that are taken to end their endpoints."""

    requests: tuple[gateway.CondemnedRequest, ...]
    """The requests."""


@attrs.frozen
class Withdrawal:
    """Announces that an endpoint leaves immediately."""

    endpoint: base.EndpointId
    """Name of the endpoint."""
    born_ms: int | None = None
    """Start of the incarnation that ends, as Unix time in milliseconds; None if
    the endpoint does not state it."""
    sequence: int | None = None
    """Number of the removal in it; None if it is not stated."""


@attrs.frozen
class Accepted:
    """Confirms that a call took effect."""


@attrs.frozen
class DocumentAnswer:
    """Configuration document in force."""

    number: int
    """Number of the document; 0 if there is none."""
    content: bytes
    """Document as submitted."""


@attrs.frozen
class ResultsRequest:
    """Requests results of a batch job."""

    job: str
    """Id of the job."""
    account: base.AccountId
    """Client account that requests it."""
    after: int
    """Position of the first result to return."""
    wait_s: float
    """Time to wait if there is no result at this position yet."""


@attrs.frozen
class ResultsPage:
    """Results of a batch job from the requested position onward."""

    total: int
    """Number of items in the job."""
    results: "tuple[jobs.ItemResult, ...]"
    """Results in order of their positions."""


@attrs.frozen
class BodyRequest:
    """Requests the body of an item whose result is not listed yet."""

    job: str
    """Id of the job."""
    account: base.AccountId
    """Client account that requests it."""
    item: str
    """Id of the item."""


@attrs.frozen
class Body:
    """Submitted body of an item."""

    data: bytes
    """Body, unchanged."""


@attrs.frozen
class NotThere:
    """Reports that the requested object does not exist."""


@attrs.frozen
class LogPosition:
    """Tells a follower how far it has to apply the log before it answers."""

    index: int
    """Last index that the leader has applied."""


@attrs.frozen
class StoreDomain:
    """Tells an entry where a store is."""

    domain: base.FailureDomain
    """Failure domain of the store."""


@attrs.frozen
class Join:
    """Reports to the leader that a store is running."""

    node: str
    """Name of the store's machine."""


@attrs.frozen
class Leave:
    """Tells the leader that a store ends, and asks it to hand over its vote."""


@attrs.frozen
class VoteHandover:
    """Progress of the handover of a leaving store's vote."""

    is_over: bool
    """Whether the log no longer counts on the store."""
    refusal: str = ""
    """Why no other store can take the vote; empty if one can."""


@attrs.frozen
class Retire:
    """Requests the removal of a store from the log, or its progress."""

    node: str
    """Name of the store's machine."""


@attrs.frozen
class TooFew:
    """Rejects a removal that would leave too few stores."""


@attrs.frozen
class Retiring:
    """Progress of the removal of a store."""

    is_over: bool
    """Whether the log no longer depends on the store."""


CODEC: base.Codec[typing.Any] = base.Codec(
    StoreAnswer,
    SyncRequest,
    SyncAnswer,
    DirectoryPart,
    _permit_messages.LimitsPart,
    RelayedSync,
    AwaitEntries,
    EntriesStatus,
    EvacuationOrder,
    EvacuationState,
    CondemnedPart,
    FiguresPart,
    _permit_messages.PermitRequest,
    _permit_messages.PermitAnswer,
    gateway.Announcement,
    Withdrawal,
    Accepted,
    DocumentAnswer,
    ResultsRequest,
    ResultsPage,
    BodyRequest,
    Body,
    NotThere,
    LogPosition,
    StoreDomain,
    Join,
    Leave,
    VoteHandover,
    Retire,
    TooFew,
    Retiring,
    sparse=(
        # Members come before those that contain them, which are else written
        # with all fields of these.
        gateway.AttemptSample,
        gateway.EndpointFigure,
        SyncRequest,
        SyncAnswer,
        AwaitEntries,
        gateway.Announcement,
        gateway.EndedIncarnation,
        Withdrawal,
        FiguresPart,
        _permit_messages.PermitRequest,
        _permit_messages.PermitAnswer,
    ),
)
"""Codec of all messages between entries and stores."""
