"""What the processes ask of the protocol that their surroundings speak.

An adapter implements `Wire`. It names headers and paths and reads bodies; it
decides nothing.
"""

import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
import banyanbank_web as web


@attrs.frozen
class CallerRequest:
    """A request of a caller, read whole."""

    request_id: str
    """Id that the caller gave it."""
    method: str
    """HTTP method."""
    host: str
    """Host that it names."""
    path: str
    """Path without the query."""
    uri: str
    """Path and query, unchanged."""
    headers: tuple[tuple[str, str], ...]
    """All headers, names in lower case."""
    body: bytes
    """Body."""
    key: str | None
    """Key that came with it; None without one."""
    deadline: float
    """When the caller gives up, on the process's steady clock."""


@attrs.frozen
class AnswerMarks:
    """What the headers of an endpoint's answer say."""

    request_id: str
    """Id of the request that it answers; empty when it names none."""
    has_not_run: bool
    """Whether the endpoint says that it did not run the request."""
    signature: str
    """Signature of the answer; empty without one."""
    weight_version: int | None
    """Weight version that the answer begins with."""


@attrs.frozen
class EngineReport:
    """What an engine tells when it is asked."""

    models: tuple[gateway.LoadedModel, ...]
    """Models that it holds."""
    is_busy: bool
    """Whether it carries out an order."""
    orders_accepted: int
    """Number of orders that it has accepted since its start."""


@attrs.frozen
class Authority:
    """Who acts outwards, and since when."""

    holder: str
    """Name of the instance that leads."""
    fence: int
    """Fencing token; rises when the leader changes."""


class Wire(typing.Protocol):
    """The protocol of callers, endpoints and the platform."""

    def read_document(self, content: bytes) -> gateway.Document:
        """Reads a configuration document.

        Raises:
            InvalidDocumentError: It cannot be put in force.
        """
        ...

    def forward(
        self,
        req: CallerRequest,
        account: base.AccountId | None,
        to: gateway.Announcement,
        deadline: float,
        now: float,
        is_repeatable: bool,
    ) -> web.UpstreamRequest:
        """Returns a caller's request as an endpoint gets it."""
        ...

    def run_item(
        self,
        item: jobs.ItemProgress,
        to: gateway.Announcement,
        deadline: float,
        now: float,
    ) -> web.UpstreamRequest:
        """Returns the request that generates an item's text."""
        ...

    def grade(self, call: jobs.ScorerCall, deadline: float) -> CallerRequest:
        """Returns the request that grades an item's text."""
        ...

    def marks(self, resp: web.UpstreamResponse) -> AnswerMarks:
        """Reads the headers of an endpoint's answer."""
        ...

    @property
    def version_field(self) -> bytes:
        """Field of an event that tells a change of the weight version."""
        ...

    def ask_report(
        self, to: gateway.Announcement, deadline: float
    ) -> web.UpstreamRequest:
        """Returns the question for an engine's state."""
        ...

    def read_report(self, body: bytes) -> EngineReport:
        """Reads an engine's state.

        Raises:
            ValueError: The body is none.
        """
        ...

    def order_load(
        self,
        order: jobs.LoadOrder,
        to: gateway.Announcement,
        by: Authority,
        orders_accepted: int,
        guard: typing.Callable[[], bool],
        deadline: float,
    ) -> web.UpstreamRequest:
        """Returns the order to load weights."""
        ...

    def report_usage(
        self,
        window: int,
        counts: dict[base.AccountId, int],
        by: Authority,
        guard: typing.Callable[[], bool],
        deadline: float,
    ) -> web.UpstreamRequest | None:
        """Returns the report of a usage window; None where nobody takes it."""
        ...
