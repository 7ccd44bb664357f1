"""Runs jobs on the engines that this instance owns."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_control as control
import banyanbank_dispatch as dispatch
from returns import result
from twisted.internet import defer

from banyanbank_daemon import _upstream
from banyanbank_daemon._jobs import _failures
from banyanbank_daemon._jobs import _messages
from banyanbank_daemon._jobs import _sse
from banyanbank_daemon._jobs import _tally

MILLISECONDS = 1_000
POLL_AGAIN_S = 0.2

EngineUrl = typing.Callable[[str], str | None]


@attrs.define
class _Waiting:
    """A job that has not been given an engine slot yet."""

    granted: defer.Deferred[base.Refusal | None]
    timer: typing.Any


class EngineHost:
    """Queues and runs jobs on engines.

    Args:
        reactor: Reactor that carries timers.
        clock: Clock that deadlines are told on.
        upstream: Client towards engines.
        recorder: Takes time line events.
        engine_url: Gives an engine's base URL; None once it is gone.
        new_queue: Makes the queue of an engine seen for the first time.
        authenticator: Checks keys again when queued work goes out.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        upstream: _upstream.Upstream,
        recorder: base.Recorder,
        engine_url: EngineUrl,
        new_queue: typing.Callable[[str], dispatch.EngineQueue],
        authenticator: control.Authenticator,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._upstream = upstream
        self._recorder = recorder
        self._engine_url = engine_url
        self._new_queue = new_queue
        self._authenticator = authenticator
        self._waiting: dict[str, _Waiting] = {}
        self._cancels: dict[str, typing.Callable[[], None]] = {}
        self.queues: dict[str, dispatch.EngineQueue] = {}

    async def run(
        self, job: _messages.ModelJob, sink: _messages.JobSink
    ) -> result.Result[_messages.JobEnded, _messages.JobFailed]:
        """Runs a job to its end; see `JobRunner.run`."""
        deadline = self._clock.now() + job.remaining_ms / MILLISECONDS
        queue = self._queue(job.endpoint)
        refusal = await self._wait_for_slot(queue, job, deadline, sink)
        if refusal is not None:
            return result.Failure(_messages.JobFailed.from_refusal(refusal))
        used_tokens = 0
        try:
            # The key may have been withdrawn while the job was queued.
            refusal = self._recheck_key(job)
            if refusal is not None:
                return result.Failure(_messages.JobFailed.from_refusal(refusal))
            ended = await self._run_on_engine(job, deadline, sink)
            used_tokens = _tokens_of(ended)
            return ended.map(lambda end: _with_load(end, queue))
        finally:
            queue.finish(
                base.RequestId(job.request_id), used_tokens, self._clock.now()
            )
            self.pump(job.endpoint)

    def pump(self, endpoint: str) -> None:
        """Gives free slots of an engine to waiting jobs."""
        queue = self._queue(endpoint)
        for expired in queue.expire(self._clock.now()):
            self._settle(expired.request_id, dispatch.expired_refusal())
        while (work := queue.next(self._clock.now())) is not None:
            self._settle(work.request_id, None)

    def withdraw_key(self, key_id: base.KeyId) -> None:
        """Refuses queued jobs of a withdrawn key and ends running ones."""
        for queue in self.queues.values():
            withdrawn = queue.withdraw_key(key_id)
            for work in withdrawn.dropped:
                refusal = base.Refusal(
                    base.RefusalReason.KEY_WITHDRAWN,
                    base.Outcome.NOT_RUN,
                    "The key was withdrawn while the request was queued.",
                )
                self._settle(work.request_id, refusal)
            for work in withdrawn.running:
                self._cancel_running(work.request_id)

    def retire(self, endpoint: base.EndpointId) -> None:
        """Hands back the queued jobs of an engine that leaves."""
        queue = self.queues.get(endpoint)
        if queue is None:
            return
        for work in queue.retire():
            refusal = base.Refusal(
                base.RefusalReason.NO_ENDPOINT,
                base.Outcome.NOT_RUN,
                "The engine leaves; the request goes to another one.",
            )
            self._settle(work.request_id, refusal)

    def forget(self, endpoint: base.EndpointId) -> None:
        """Drops the queue of an engine that is gone, once it is idle."""
        queue = self.queues.get(endpoint)
        if queue is not None and not _is_busy(queue):
            del self.queues[endpoint]

    def _queue(self, endpoint: str) -> dispatch.EngineQueue:
        if endpoint not in self.queues:
            self.queues[endpoint] = self._new_queue(endpoint)
        return self.queues[endpoint]

    async def _wait_for_slot(
        self,
        queue: dispatch.EngineQueue,
        job: _messages.ModelJob,
        deadline: float,
        sink: _messages.JobSink,
    ) -> base.Refusal | None:
        now = self._clock.now()
        offered = queue.offer(_work_of(job, deadline), now)
        if isinstance(offered, result.Failure):
            return offered.failure()
        granted: defer.Deferred[base.Refusal | None] = defer.Deferred()
        timer = self._reactor.callLater(
            max(0.0, deadline - now), self._expire, job.request_id, queue
        )
        self._waiting[job.request_id] = _Waiting(granted, timer)
        sink.on_closed(lambda: self._abandon(job.request_id, queue))
        self.pump(job.endpoint)
        return await granted

    def _recheck_key(self, job: _messages.ModelJob) -> base.Refusal | None:
        if not job.key_id:
            return None
        if self._authenticator.view.revision < job.revision:
            return base.Refusal(
                base.RefusalReason.CONFIGURATION_STALE,
                base.Outcome.NOT_RUN,
                "The engine's owner has yet to learn the configuration.",
                retry_after=POLL_AGAIN_S,
            )
        principal = control.Principal(
            base.AccountId(job.account), base.KeyId(job.key_id)
        )
        return self._authenticator.recheck(principal, self._clock.now())

    def _expire(self, request_id: str, queue: dispatch.EngineQueue) -> None:
        queue.cancel(base.RequestId(request_id))
        self._settle(request_id, dispatch.expired_refusal())

    def _abandon(self, request_id: str, queue: dispatch.EngineQueue) -> None:
        if request_id in self._waiting:
            queue.cancel(base.RequestId(request_id))
            refusal = base.Refusal(
                base.RefusalReason.DEADLINE_EXCEEDED,
                base.Outcome.NOT_RUN,
                "The caller is gone.",
            )
            self._settle(request_id, refusal)
        else:
            self._cancel_running(request_id)

    def _settle(self, request_id: str, refusal: base.Refusal | None) -> None:
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:
            return
        if waiting.timer.active():
            waiting.timer.cancel()
        waiting.granted.callback(refusal)

    def _cancel_running(self, request_id: str) -> None:
        cancel = self._cancels.pop(request_id, None)
        if cancel is not None:
            cancel()

    async def _run_on_engine(
        self,
        job: _messages.ModelJob,
        deadline: float,
        sink: _messages.JobSink,
    ) -> result.Result[_messages.JobEnded, _messages.JobFailed]:
        url = self._engine_url(job.endpoint)
        if url is None:
            return _failures.failed(
                base.RefusalReason.NO_ENDPOINT,
                base.Outcome.NOT_RUN,
                "The engine has left.",
            )
        self._recorder.record(
            "job.sent", request=job.request_id, endpoint=job.endpoint
        )
        started_at = self._clock.now()
        req = _upstream.UpstreamRequest(
            method="POST",
            url=url + job.path,
            headers=_engine_headers(job),
            body=job.body,
            deadline=deadline,
        )
        sending = defer.ensureDeferred(self._upstream.send(req))
        self._cancels[job.request_id] = sending.cancel
        sent = await sending
        if isinstance(sent, result.Failure):
            self._cancels.pop(job.request_id, None)
            return _failures.from_upstream(sent.failure())
        response = sent.unwrap()
        self._cancels[job.request_id] = response.cancel
        try:
            return await self._relay(job, response, sink, started_at)
        except _messages.SinkClosed:
            return _failures.failed(
                base.RefusalReason.DEADLINE_EXCEEDED,
                base.Outcome.MAY_HAVE_RUN,
                "The caller is gone.",
            )
        finally:
            self._cancels.pop(job.request_id, None)
            response.cancel()

    async def _relay(
        self,
        job: _messages.ModelJob,
        response: _upstream.UpstreamResponse,
        sink: _messages.JobSink,
        started_at: float,
    ) -> result.Result[_messages.JobEnded, _messages.JobFailed]:
        problem = _failures.check_head(job, response)
        if problem is not None:
            return problem
        parser = _sse.EventStreamParser()
        tally = _tally.Tally()
        while True:
            chunk = await response.next_chunk()
            if isinstance(chunk, result.Failure):
                return _failures.from_upstream(chunk.failure())
            data = chunk.unwrap()
            if not data:
                break
            try:
                events = parser.feed(data)
            except _sse.EventStreamError as exc:
                return _failures.broken(str(exc))
            for event in events:
                tally.add(event)
                await sink.emit(_messages.JobChunk(event.data))
        if not parser.is_done or tally.usage is None:
            return _failures.broken("The stream ended before its end mark.")
        engine_s = self._clock.now() - started_at
        self._recorder.record(
            "job.ended", request=job.request_id, endpoint=job.endpoint
        )
        return result.Success(tally.ended(engine_s))


def _is_busy(queue: dispatch.EngineQueue) -> bool:
    status = queue.status()
    return status.waiting + status.running > 0


def _work_of(job: _messages.ModelJob, deadline: float) -> dispatch.Work:
    return dispatch.Work(
        request_id=base.RequestId(job.request_id),
        account=base.AccountId(job.account),
        key_id=base.KeyId(job.key_id),
        kind=dispatch.WorkKind(job.kind),
        cost_tokens=job.cost_tokens,
        prefix=job.prefix,
        deadline=deadline,
        idempotent=True,
        weight=job.weight,
    )


def _with_load(
    ended: _messages.JobEnded, queue: dispatch.EngineQueue
) -> _messages.JobEnded:
    status = queue.status()
    return attrs.evolve(
        ended,
        queue_tokens=status.waiting_tokens + status.running_tokens,
        queue_requests=status.waiting + status.running,
        tokens_per_s=status.tokens_per_s,
        token_s=status.token_s,
    )


def _engine_headers(job: _messages.ModelJob) -> tuple[tuple[str, str], ...]:
    return (
        ("content-type", "application/json"),
        ("accept", "text/event-stream"),
        ("x-request-id", job.request_id),
        ("x-priority", job.kind),
    )


def _tokens_of(
    ended: result.Result[_messages.JobEnded, _messages.JobFailed],
) -> int:
    if isinstance(ended, result.Failure):
        return 0
    value = ended.unwrap()
    return value.prompt_tokens + value.completion_tokens
