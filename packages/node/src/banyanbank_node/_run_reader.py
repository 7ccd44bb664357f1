"""Reads the answers of engines that run items."""

import enum
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
import banyanbank_web as web
from returns import result
from twisted.internet import defer

from banyanbank_node import _engine_table
from banyanbank_node import _meters
from banyanbank_node import _ports

OK = 200


@attrs.define(eq=False)
class Run:
    """One run of an item at an engine."""

    item: jobs.ItemProgress
    """The item."""
    announcement: gateway.Announcement
    """The engine."""
    began_at: float
    """When it was sent, on the process's steady clock."""
    last_received_at: float
    """When the newest event came."""
    events: int = 0
    """Events of this run so far."""
    task: defer.Deferred[typing.Any] | None = None
    """Sends and reads it."""


class RunEndKind(enum.Enum):
    """How a run ended."""

    GENERATED = "generated"
    """The item's text is whole."""
    LOST = "lost"
    """The rest of the text is to be had elsewhere."""
    REFUSED = "refused"
    """The engine did not run the item, or failed at it."""


@attrs.frozen
class RunEnd:
    """The end of a run."""

    kind: RunEndKind
    """How it ended."""
    detail: str = ""
    """Why a run was lost."""
    status: int = OK
    """HTTP status."""
    has_not_run: bool = False
    """Whether the engine says that it did not run the item."""


@attrs.define
class RunReader:
    """Takes the events of runs into the texts of their items."""

    clock: base.Clock
    """Clock of the gaps between events."""
    wire: _ports.Wire
    """Names of headers."""
    engines: _engine_table.EngineTable
    """Learns the weights that engines are seen to have."""
    health: jobs.EngineHealth
    """Learns how fast engines are."""
    meters: _meters.Meters
    """Metrics of the process."""

    async def read(self, run: Run, resp: web.UpstreamResponse) -> RunEnd:
        """Reads an answer to its end.

        Args:
            run: The run that it answers.
            resp: The answer; one that is not read to its end is cancelled.
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
        marks = self.wire.marks(resp)
        is_other_request = marks.request_id != item.spec.item
        if is_other_request and (marks.request_id or resp.status == OK):
            return _lost_end(f"the answer is for {marks.request_id!r}")
        if resp.status != OK or marks.has_not_run:
            return RunEnd(
                RunEndKind.REFUSED,
                status=resp.status,
                has_not_run=marks.has_not_run,
            )
        if not self._may_generate(run, marks):
            return _lost_end(f"version {marks.weight_version} is too old")
        item.refusals = 0
        try:
            await self._read_events(run, resp, marks)
        except jobs.EventStreamError as exc:
            return _lost_end(str(exc))
        return RunEnd(RunEndKind.GENERATED)

    def _may_generate(self, run: Run, marks: _ports.AnswerMarks) -> bool:
        """Whether an engine's weights may generate the text of an item."""
        job = run.item.job
        if not job.model or _may_be_complete(run.item, marks):
            return True
        version = marks.weight_version or 0
        self.engines.observe_version(run.announcement, job.model, version)
        return version >= job.least_version

    async def _read_events(
        self, run: Run, resp: web.UpstreamResponse, marks: _ports.AnswerMarks
    ) -> None:
        """Reads an answer to its end.

        Raises:
            EventStreamError: It was cut, or is not the rest of the text.
        """
        may_be_complete = _may_be_complete(run.item, marks)
        run.item.text.begin_run(marks.weight_version or 0)
        reader = jobs.EventStreamReader(self.wire.version_field)
        while True:
            chunk = await resp.next_chunk()
            if isinstance(chunk, result.Failure):
                raise jobs.EventStreamError(chunk.failure().detail)
            if not chunk.unwrap():
                break
            events = reader.feed(chunk.unwrap())
            if events and may_be_complete:
                raise jobs.EventStreamError("events without a version")
            self._record_events(run, events)
        if not reader.is_between_events or not (run.events or may_be_complete):
            raise jobs.EventStreamError("the stream ended in mid-event")

    def _record_events(self, run: Run, events: list[jobs.StreamEvent]) -> None:
        now = self.clock.now()
        for event in events:
            run.item.text.take(event)
        if events and run.events:
            gap_s = (now - run.last_received_at) / len(events)
            self.health.note_gap(run.announcement.endpoint, gap_s)
        if events and not run.events:
            self.meters.items.record(now - run.began_at, "first_event")
        run.events += len(events)
        run.last_received_at = now


def _lost_end(detail: str) -> RunEnd:
    return RunEnd(RunEndKind.LOST, detail)


def _may_be_complete(
    item: jobs.ItemProgress, marks: _ports.AnswerMarks
) -> bool:
    """Whether an engine seems to have nothing to add to a kept text.

    It then names no weight version, since it generates nothing.
    """
    return (
        marks.weight_version is None
        and bool(item.text.pieces)
        and marks.request_id == item.spec.item
    )
