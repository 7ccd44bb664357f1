"""Runs a job on its engine once a slot is granted."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_web as web
from returns import result
from twisted.internet import defer

from banyanbank_daemon._jobs import _failures
from banyanbank_daemon._jobs import _messages
from banyanbank_daemon._jobs import _sse
from banyanbank_daemon._jobs import _token_counter

EngineUrl = typing.Callable[[str], str | None]


class EngineClient:
    """Sends jobs to engines and forwards their events.

    Args:
        clock: Clock of the deadlines.
        upstream: HTTP client.
        recorder: Records timeline events.
        engine_url: Returns an engine's base URL, or None if it is unknown.
    """

    def __init__(
        self,
        clock: base.Clock,
        upstream: web.Upstream,
        recorder: base.Recorder,
        engine_url: EngineUrl,
    ) -> None:
        self._clock = clock
        self._upstream = upstream
        self._recorder = recorder
        self._engine_url = engine_url

    async def run(
        self,
        job: _messages.ModelJob,
        deadline: float,
        sink: _messages.JobSink,
    ) -> _failures.JobResult:
        """Runs a job and returns its token counts or its failure.

        Args:
            job: Job to run.
            deadline: Monotonic time at which the job times out.
            sink: Receives the events; closing it cancels the job.
        """
        url = self._engine_url(job.endpoint)
        if url is None:
            return _failures.make_failure(
                base.RefusalReason.NO_ENDPOINT,
                base.Outcome.NOT_RUN,
                "The engine is not registered with this instance.",
            )
        self._recorder.record(
            "job.sent", request=job.request_id, endpoint=job.endpoint
        )
        req = web.UpstreamRequest(
            method="POST",
            url=url + job.path,
            headers=_engine_headers(job),
            body=job.body,
            deadline=deadline,
        )
        started_at = self._clock.now()
        sending = defer.ensureDeferred(self._upstream.send(req))
        running = _RunningJob(sending.cancel)
        sink.on_closed(running.end)
        sent = await sending
        if isinstance(sent, result.Failure):
            return _failures.make_upstream_failure(sent.failure())
        response = sent.unwrap()
        running.cancel = response.cancel
        try:
            return await self._relay(job, response, sink, started_at)
        except _messages.SinkClosed:
            return _failures.make_engine_failure(
                "The caller stopped reading before the job ended."
            )
        finally:
            response.cancel()

    async def _relay(
        self,
        job: _messages.ModelJob,
        response: web.UpstreamResponse,
        sink: _messages.JobSink,
        started_at: float,
    ) -> _failures.JobResult:
        problem = _failures.check_response_head(job, response)
        if problem is not None:
            return problem
        parser = _sse.EventStreamParser()
        counter = _token_counter.TokenCounter()
        while True:
            chunk = await response.next_chunk()
            if isinstance(chunk, result.Failure):
                self._recorder.record(
                    "job.cut", request=job.request_id, endpoint=job.endpoint
                )
                engine_s = self._clock.now() - started_at
                return _failures.make_stream_failure(chunk.failure(), engine_s)
            data = chunk.unwrap()
            if not data:
                break
            try:
                for event in parser.feed(data):
                    counter.add(event)
                    emitted = _messages.JobChunk(event.data, event.document)
                    await sink.emit(emitted)
            except _sse.EventStreamError as exc:
                return _failures.make_engine_failure(str(exc))
        if not parser.is_done or counter.usage is None:
            return _failures.make_engine_failure(
                "The engine's stream ended without [DONE] or token usage."
            )
        self._recorder.record(
            "job.ended", request=job.request_id, endpoint=job.endpoint
        )
        return result.Success(counter.ended(self._clock.now() - started_at))


@attrs.define
class _RunningJob:
    """Cancels a job's pending request or, later, its open response."""

    cancel: typing.Callable[[], None]

    def end(self) -> None:
        self.cancel()


def _engine_headers(job: _messages.ModelJob) -> tuple[tuple[str, str], ...]:
    return (
        ("content-type", "application/json"),
        ("accept", "text/event-stream"),
        ("x-request-id", job.request_id),
        ("x-priority", job.kind),
    )
