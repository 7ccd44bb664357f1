"""Runs jobs in slots that this instance or a peer grants.

An engine's owner grants the slot; the entry that requested it sends the job to
the engine itself. Thus the loss of an owner breaks no response in flight.
"""

import banyanbank_base as base
import banyanbank_mesh as mesh
from returns import result
from twisted.internet import defer

from banyanbank_daemon._jobs import _engine
from banyanbank_daemon._jobs import _failures
from banyanbank_daemon._jobs import _messages
from banyanbank_daemon._jobs import _queues

GRANT_METHOD = "job.grant"
RELEASE_METHOD = "job.release"
MILLISECONDS = 1_000
RELEASE_TIMEOUT_S = 5.0
MAX_GRANT_BYTES = 64 * 1024
OWNER_REFUSAL_GRACE_S = 1.0
"""Time allowed for the owner's refusal at the deadline to arrive."""


class LocalJobRunner:
    """Runs jobs on the engines that this instance owns.

    Args:
        clock: Clock of the deadlines.
        queues: Grants the slots.
        engines: Sends the jobs.
    """

    def __init__(
        self,
        clock: base.Clock,
        queues: _queues.EngineQueues,
        engines: _engine.EngineClient,
    ) -> None:
        self._clock = clock
        self._queues = queues
        self._engines = engines

    async def run(
        self, job: _messages.ModelJob, sink: _messages.JobSink
    ) -> _failures.JobResult:
        """Runs a job to its end; see `JobRunner.run`."""
        deadline = self._clock.now() + job.remaining_ms / MILLISECONDS
        acquired = await self._queues.acquire(job, sink.on_closed)
        if isinstance(acquired, result.Failure):
            return acquired
        slot = acquired.unwrap()
        used_tokens = 0
        try:
            ended = await self._engines.run(job, deadline, sink)
            used_tokens = used_tokens_of(ended)
        finally:
            slot.release(used_tokens)
        return ended.map(lambda end: end.with_load(slot.load()))


class RemoteJobRunner:
    """Runs jobs on the engines that one peer owns.

    Args:
        transport: Mesh of this instance.
        peer: Owner of the engines.
        clock: Clock of the deadlines.
        engines: Sends the jobs.
    """

    def __init__(
        self,
        transport: mesh.Mesh,
        peer: base.InstanceId,
        clock: base.Clock,
        engines: _engine.EngineClient,
    ) -> None:
        self._mesh = transport
        self._peer = peer
        self._clock = clock
        self._engines = engines

    async def run(
        self, job: _messages.ModelJob, sink: _messages.JobSink
    ) -> _failures.JobResult:
        """Runs a job to its end; see `JobRunner.run`."""
        deadline = self._clock.now() + job.remaining_ms / MILLISECONDS
        stream = self._mesh.open_stream(
            self._peer,
            GRANT_METHOD,
            _messages.JOB_CODEC.encode(job),
            deadline + OWNER_REFUSAL_GRACE_S,
        )
        sink.on_closed(stream.cancel)
        granted = await _read_grant(stream)
        if isinstance(granted, _messages.JobFailed):
            stream.cancel()
            return result.Failure(granted)
        used_tokens = 0
        try:
            ended = await self._engines.run(job, deadline, sink)
            used_tokens = used_tokens_of(ended)
        finally:
            self._release(job, used_tokens, stream)
        return ended.map(lambda end: end.with_load(granted.load))

    def _release(
        self, job: _messages.ModelJob, used_tokens: int, stream: mesh.Stream
    ) -> None:
        released = _messages.JobReleased(job.request_id, used_tokens)
        release_call = self._mesh.call(
            self._peer,
            RELEASE_METHOD,
            _messages.RELEASE_CODEC.encode(released),
            self._clock.now() + RELEASE_TIMEOUT_S,
        )
        # The end of the stream releases the slot if the call is lost.
        release_call.addBoth(lambda _result: stream.cancel())


async def _read_grant(stream: mesh.Stream) -> _messages.Grant:
    data = b""
    while True:
        received = await stream.read()
        if isinstance(received, result.Failure):
            return _from_call_error(received.failure())
        chunk = received.unwrap()
        if chunk is None:
            return _make_no_endpoint_failure(
                "The engine's owner ended the stream before a grant."
            )
        data += chunk
        try:
            return _messages.GRANT_CODEC.decode(data)
        except base.CodecError:
            if len(data) > MAX_GRANT_BYTES:
                return _make_no_endpoint_failure(
                    "The engine owner's grant can't be decoded."
                )


class GrantServer:
    """Grants slots of the engines that this instance owns to peers.

    Args:
        queues: Grants the slots.
    """

    def __init__(self, queues: _queues.EngineQueues) -> None:
        self._queues = queues
        self._pending_releases: dict[str, defer.Deferred[int]] = {}

    async def serve_grant(
        self,
        sender: base.InstanceId,
        data: bytes,
        writer: mesh.StreamWriter,
    ) -> None:
        """Serves one stream of `GRANT_METHOD` until the slot is released."""
        del sender
        job = _messages.JOB_CODEC.decode(data)
        acquired = await self._queues.acquire(job, writer.on_closed)
        if isinstance(acquired, result.Failure):
            refused = acquired.failure()
            await writer.write(_messages.GRANT_CODEC.encode(refused))
            return
        slot = acquired.unwrap()
        released: defer.Deferred[int] = defer.Deferred()
        self._pending_releases[job.request_id] = released
        used_tokens = 0
        try:
            granted = _messages.JobGranted(slot.load())
            await writer.write(_messages.GRANT_CODEC.encode(granted))
            # The loss of the entry ends the stream, which cancels this wait.
            used_tokens = await released
        finally:
            self._pending_releases.pop(job.request_id, None)
            slot.release(used_tokens)

    async def serve_release(
        self, sender: base.InstanceId, data: bytes
    ) -> bytes:
        """Handles one call of `RELEASE_METHOD`."""
        del sender
        message = _messages.RELEASE_CODEC.decode(data)
        released = self._pending_releases.pop(message.request_id, None)
        if released is not None:
            released.callback(message.used_tokens)
        return b""


def used_tokens_of(ended: _failures.JobResult) -> int:
    """Returns the prompt and completion tokens; 0 for a failure."""
    if isinstance(ended, result.Failure):
        return 0
    value = ended.unwrap()
    return value.prompt_tokens + value.completion_tokens


def _from_call_error(error: mesh.CallError) -> _messages.JobFailed:
    # Nothing is sent to the engine before a grant.
    reason = base.RefusalReason.NO_ENDPOINT
    if error.kind is mesh.CallErrorKind.DEADLINE:
        reason = base.RefusalReason.DEADLINE_EXCEEDED
    return _messages.JobFailed(
        reason.value,
        base.Outcome.NOT_RUN.value,
        f"The engine's owner granted no slot: {error.detail}",
    )


def _make_no_endpoint_failure(detail: str) -> _messages.JobFailed:
    return _messages.JobFailed(
        base.RefusalReason.NO_ENDPOINT.value, base.Outcome.NOT_RUN.value, detail
    )
