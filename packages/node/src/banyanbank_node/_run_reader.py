"""Reads the streamed answers of engines to item runs."""

import enum
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
import banyanbank_web as web
from returns import result
from twisted.internet import defer

from banyanbank_node import _departures
from banyanbank_node import _endpoint_limits
from banyanbank_node import _engine_table
from banyanbank_node import _meters
from banyanbank_node import _ports

OK = 200

MAX_EVENTS_PER_TOKEN = 2
"""Maximum events for each token that an item may have; an event has one or
more."""

MAX_OTHER_EVENTS = 64
"""Maximum events of a text beyond those."""


@attrs.define(eq=False)
class Run:
    """One run of an item on an engine."""

    item: jobs.ItemProgress
    """The item."""
    announcement: gateway.Announcement
    """Announcement of the engine."""
    began_at: float
    """When the request was sent, on the monotonic clock."""
    last_received_at: float
    """When data last arrived; at first, when the request was sent."""
    events: int = 0
    """Number of events received in this run."""
    task: defer.Deferred[typing.Any] | None = None
    """Sends the request and reads the answer."""


class _OtherVersionError(Exception):
    """An event of a single-version text has another weight version."""


class RunEndKind(enum.Enum):
    """How a run ended."""

    GENERATED = "generated"
    """The item's text is complete."""
    LOST = "lost"
    """The run broke off; a later run continues the text."""
    OTHER_VERSION = "other version"
    """The engine generates under another weight version than the text's; an
    engine with that version continues the text, or it is begun anew."""
    REFUSED = "refused"
    """The engine did not run the item, or answered with an error."""


@attrs.frozen
class RunEnd:
    """How and why a run ended."""

    kind: RunEndKind
    """Kind of the end."""
    detail: str = ""
    """Why the run was lost; empty for other kinds."""
    status: int = OK
    """HTTP status of the answer."""
    has_not_run: bool = False
    """Whether the engine states that it did not run the item."""


@attrs.define
class RunReader:
    """Appends the events of runs to the texts of their items."""

    clock: base.Clock
    """Monotonic clock for the intervals between events."""
    wire: _ports.WireProtocol
    """Reads the headers of answers."""
    engines: _engine_table.EngineTable
    """Records the weight versions seen in answers."""
    health: jobs.EngineHealth
    """Records the intervals between events, per engine."""
    meters: _meters.Meters
    """Metrics of the process."""
    limits: _endpoint_limits.EndpointLimits
    """Records the rate limits that engines state."""
    departures: _departures.Departures
    """Records which engines state that they leave."""

    async def read(self, run: Run, resp: web.UpstreamResponse) -> RunEnd:
        """Reads an answer to its end.

        Args:
            run: Run that the answer belongs to.
            resp: Answer; cancelled unless it is read to its end.
        """
        try:
            end = await self._read_answer(run, resp)
        except BaseException:
            resp.cancel()
            raise
        if end.kind is not RunEndKind.GENERATED:
            resp.cancel()
        return end

    async def _read_answer(
        self, run: Run, resp: web.UpstreamResponse
    ) -> RunEnd:
        item = run.item
        response_headers = self.wire.read_response_headers(resp)
        is_other_request = response_headers.request_id != item.spec.item
        if is_other_request and (
            response_headers.request_id or resp.status == OK
        ):
            return _lost_end(
                f"answer names another request: {response_headers.request_id!r}"
            )
        self.departures.observe(run.announcement, resp.status, response_headers)
        self.limits.observe(
            run.announcement, resp.status, response_headers, run.began_at
        )
        if resp.status != OK or response_headers.has_not_run:
            return RunEnd(
                RunEndKind.REFUSED,
                status=resp.status,
                has_not_run=response_headers.has_not_run,
            )
        if not response_headers.signature:
            # Also proves that an answer without events found the text complete.
            return _lost_end("answer is not signed")
        if not self._may_generate(run, response_headers):
            return _lost_end(
                f"weight version {response_headers.weight_version} is too old"
            )
        item.consecutive_rejections = 0
        try:
            await self._read_events(run, resp, response_headers)
        except jobs.TextTooLongError as exc:
            # It fits no result, whichever engine would continue it.
            item.discard_text()
            return _lost_end(str(exc))
        except jobs.EventStreamError as exc:
            return _lost_end(str(exc))
        except _OtherVersionError as exc:
            return RunEnd(RunEndKind.OTHER_VERSION, str(exc))
        return RunEnd(RunEndKind.GENERATED)

    def _may_generate(
        self, run: Run, response_headers: _ports.ResponseHeaders
    ) -> bool:
        """Records the engine's version; returns whether the job accepts it."""
        job = run.item.job
        if not job.model or _may_be_complete(run.item, response_headers):
            return True
        version = response_headers.weight_version or 0
        self.engines.observe_version(run.announcement, job.model, version)
        return version >= job.least_version

    async def _read_events(
        self,
        run: Run,
        resp: web.UpstreamResponse,
        response_headers: _ports.ResponseHeaders,
    ) -> None:
        """Appends the events of an answer to the text.

        Raises:
            EventStreamError: The stream broke off, or does not continue the
                text.
        """
        may_be_complete = _may_be_complete(run.item, response_headers)
        run.item.text.set_weight_version(response_headers.weight_version or 0)
        reader = jobs.EventStreamReader(self.wire.weight_version_field)
        while True:
            chunk = await resp.next_chunk()
            if isinstance(chunk, result.Failure):
                raise jobs.EventStreamError(chunk.failure().detail)
            if not chunk.unwrap():
                break
            events = reader.feed(chunk.unwrap())
            if events and may_be_complete:
                raise jobs.EventStreamError(
                    "stream has events but names no weight version"
                )
            self._record_events(run, events)
        # A signed answer without events to a resumed run confirms its text.
        has_text = bool(run.events or run.item.text.pieces)
        if not (reader.is_between_events and has_text):
            raise jobs.EventStreamError(
                "stream ended within an event or without any event"
            )

    def _check_version(self, run: Run, event: jobs.StreamEvent) -> None:
        """Ends a run before a second version enters a single-version text.

        Raises:
            _OtherVersionError: The event would be of a second version.
        """
        text = run.item.text
        version = text.next_version(event)
        if run.item.job.is_single_version and not text.versions <= {version}:
            self.engines.record_reported_version(
                run.announcement, run.item.job.model, version
            )
            raise _OtherVersionError(
                f"event {event.number} has weight version {version}, the text"
                f" has {sorted(text.versions)}"
            )

    def _record_events(self, run: Run, events: list[jobs.StreamEvent]) -> None:
        now = self.clock.now()
        max_events = _max_events(run.item)
        for event in events:
            self._check_version(run, event)
            if len(run.item.text.pieces) >= max_events:
                raise jobs.TextTooLongError(
                    f"Text is over {max_events} events, with at most"
                    f" {run.item.spec.tokens} tokens."
                )
            run.item.text.append(event)
        if events and run.events:
            interval_s = (now - run.last_received_at) / len(events)
            self.health.record_event_interval(
                run.announcement.endpoint, interval_s
            )
        if events and not run.events:
            self.meters.items.record(now - run.began_at, "first_event")
            self.health.record_first_event(
                run.announcement.endpoint, run.began_at
            )
        run.events += len(events)
        run.last_received_at = now


def _lost_end(detail: str) -> RunEnd:
    return RunEnd(RunEndKind.LOST, detail)


def _max_events(item: jobs.ItemProgress) -> int:
    tokens = item.spec.tokens
    if not tokens:
        return jobs.MAX_TEXT_EVENTS
    return MAX_EVENTS_PER_TOKEN * tokens + MAX_OTHER_EVENTS


def _may_be_complete(
    item: jobs.ItemProgress, response_headers: _ports.ResponseHeaders
) -> bool:
    """Whether the engine may find a resumed text to be complete.

    Such an answer names no weight version, since nothing is generated.
    """
    return (
        response_headers.weight_version is None
        and bool(item.text.pieces)
        and response_headers.request_id == item.spec.item
    )
