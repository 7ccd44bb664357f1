"""Interface to the protocol of callers, endpoints and the platform.

An adapter implements `WireProtocol`: it defines headers and paths and parses
bodies, and contains no decisions.
"""

from __future__ import annotations

import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
import banyanbank_web as web


@attrs.frozen
class CallerRequest:
    """Complete request of a caller."""

    request_id: str
    """Request id set by the caller."""
    method: str
    """HTTP method."""
    host: str
    """Requested host."""
    path: str
    """Path without the query."""
    uri: str
    """Path and query, unchanged."""
    headers: tuple[tuple[str, str], ...]
    """All headers, with names in lower case."""
    body: bytes
    """Complete body."""
    key: str | None
    """Key sent by the caller; None if there is none."""
    deadline: float
    """Deadline of the caller, on the monotonic clock."""
    attempt_headers: frozenset[str] = frozenset()
    """Names of headers that change when the request is repeated."""

    def find_deadline(self, timeout_s: float, now: float) -> float:
        """Returns when the request must be answered if it has just arrived.

        Args:
            timeout_s: Timeout of its route.
            now: Present time, on the monotonic clock.
        """
        return min(self.deadline, now + timeout_s)


@attrs.frozen
class EndpointRequest:
    """Request to an endpoint, before it is decided which headers it gets.

    `_endpoint_requests.RequestComposer` decides that, for all requests.
    """

    method: str
    """HTTP method."""
    uri: str
    """Path and query."""
    stated: tuple[tuple[str, str | None], ...]
    """Headers that this system states, names in lower case; None states that
    the request has no such header."""
    deadline: float
    """When to give up, on the monotonic clock."""
    received: tuple[tuple[str, str], ...] = ()
    """Headers that a caller or a batch job brought along."""
    body: bytes = b""
    """Body to send."""
    request_id: str = ""
    """Id of the request, for the log; empty for calls of this system."""
    account: base.AccountId | None = None
    """Client account that the request is made for; None for none."""
    routine: frozenset[str] = frozenset()
    """Names of received headers whose removal is not logged, in lower case:
    each caller sends them."""
    is_repeatable: bool = True
    """False makes it use a connection of its own, never an idle one."""
    guard: typing.Callable[[], bool] | None = None
    """Asked immediately before the body is handed to the socket; False
    withholds it."""


@attrs.frozen
class StatedLimit:
    """Rate limit in an endpoint's response."""

    rate_per_s: float | None
    """Requests a second that it takes from all instances together; None if the
    value is unreadable."""


@attrs.frozen
class ResponseHeaders:
    """Parsed headers of an endpoint's response."""

    request_id: str
    """Id of the answered request; empty if the response has none."""
    has_not_run: bool
    """Whether the endpoint reports that the request did not run."""
    signature: str
    """Signature of the response; empty if it has none."""
    weight_version: int | None
    """Weight version at the start of the response; None if it has none."""
    rate_limit: StatedLimit | None = None
    """Rate limit of the endpoint; None if it states none."""
    is_leaving: bool = False
    """Whether the endpoint states that it leaves and takes no new requests."""


@attrs.frozen
class EngineReport:
    """State that an engine reports when polled."""

    models: tuple[gateway.LoadedModel, ...]
    """Models loaded by the engine."""
    is_busy: bool
    """Whether the engine is executing an order."""
    orders_accepted: int
    """Number of orders accepted since the engine started."""


@attrs.frozen
class Authority:
    """Identity and fencing token of the leader that sends a request."""

    holder: str
    """Instance name of the leader."""
    fence: int
    """Fencing token; increases when the leader changes."""


class WireProtocol(typing.Protocol):
    """Adapter for the protocol of callers, endpoints and the platform."""

    @property
    def reserved_headers(self) -> frozenset[str]:
        """Names, in lower case, of headers that only this system may state."""
        ...

    def read_document(self, content: bytes) -> gateway.Document:
        """Parses a configuration document.

        Raises:
            InvalidDocumentError: The document cannot be put in force.
        """
        ...

    def build_forward_request(
        self,
        req: CallerRequest,
        account: base.AccountId | None,
        target: gateway.Announcement,
        deadline: float,
        now: float,
        is_repeatable: bool,
    ) -> EndpointRequest:
        """Returns the request to an endpoint for a caller's request."""
        ...

    def build_item_request(
        self,
        item: jobs.ItemProgress,
        target: gateway.Announcement,
        deadline: float,
        now: float,
        states_priority: bool,
    ) -> EndpointRequest:
        """Returns the request that generates an item's text.

        Args:
            item: Item to run.
            target: Engine that runs it.
            deadline: Deadline of the run, on the monotonic clock.
            now: Current time.
            states_priority: Whether to tell the engine the priority of the job.
        """
        ...

    def grade(self, call: jobs.ScorerCall, deadline: float) -> CallerRequest:
        """Returns the request that grades an item's text."""
        ...

    def read_response_headers(
        self, resp: web.UpstreamResponse
    ) -> ResponseHeaders:
        """Parses the headers of an endpoint's response."""
        ...

    @property
    def weight_version_field(self) -> bytes:
        """Stream event field that reports a change of the weight version."""
        ...

    def build_report_request(
        self, target: gateway.Announcement, deadline: float
    ) -> EndpointRequest:
        """Returns the request for an engine's state."""
        ...

    def read_report(self, body: bytes) -> EngineReport:
        """Parses the state of an engine.

        Raises:
            ValueError: The body is not a valid report.
        """
        ...

    def build_load_request(
        self,
        order: jobs.LoadOrder,
        target: gateway.Announcement,
        authority: Authority,
        orders_accepted: int,
        may_send: typing.Callable[[], bool],
        deadline: float,
    ) -> EndpointRequest:
        """Returns the request that orders an engine to load weights."""
        ...

    def build_usage_request(
        self,
        window: int,
        counts: dict[base.AccountId, int],
        authority: Authority,
        may_send: typing.Callable[[], bool],
        deadline: float,
    ) -> web.UpstreamRequest | None:
        """Returns the report of a usage window; None without a receiver."""
        ...

    def build_capacity_request(
        self,
        order: jobs.CapacityOrder,
        authority: Authority,
        may_send: typing.Callable[[], bool],
        deadline: float,
    ) -> web.UpstreamRequest | None:
        """Returns an order of engines; None if none can be ordered."""
        ...
