"""Runs jobs at another instance, over the mesh."""

import collections.abc

import banyanbank_base as base
import banyanbank_mesh as mesh
from returns import result

from banyanbank_daemon._jobs import _framing
from banyanbank_daemon._jobs import _messages

METHOD = "job.run"
MILLISECONDS = 1_000
GRACE_S = 1.0
"""Time for the owner's own refusal at the deadline to arrive."""


class RemoteJobRunner:
    """Runs jobs on the engines that one peer owns.

    Args:
        transport: Mesh of this instance.
        peer: The owner.
        clock: Clock that deadlines are told on.
    """

    def __init__(
        self, transport: mesh.Mesh, peer: base.InstanceId, clock: base.Clock
    ) -> None:
        self._mesh = transport
        self._peer = peer
        self._clock = clock

    async def run(
        self, job: _messages.ModelJob, sink: _messages.JobSink
    ) -> result.Result[_messages.JobEnded, _messages.JobFailed]:
        """Runs a job to its end; see `JobRunner.run`."""
        deadline = self._clock.now() + job.remaining_ms / MILLISECONDS
        stream = self._mesh.open_stream(
            self._peer,
            METHOD,
            _messages.JOB_CODEC.encode(job),
            deadline + GRACE_S,
        )
        sink.on_closed(stream.cancel)
        reader = _framing.EventReader()
        while True:
            received = await stream.read()
            if isinstance(received, result.Failure):
                return result.Failure(_failed_call(received.failure()))
            data = received.unwrap()
            if data is None:
                return result.Failure(_broken("The owner ended early."))
            try:
                events = reader.feed(data)
                ended = await _relay(events, sink)
            except (_framing.FramingError, base.CodecError) as exc:
                stream.cancel()
                return result.Failure(_broken(str(exc)))
            except _messages.SinkClosed:
                stream.cancel()
                return result.Failure(_broken("The caller is gone."))
            if ended is not None:
                return ended


async def _relay(
    events: list[_messages.JobEvent], sink: _messages.JobSink
) -> result.Result[_messages.JobEnded, _messages.JobFailed] | None:
    for event in events:
        match event:
            case _messages.JobChunk():
                await sink.emit(event)
            case _messages.JobEnded():
                return result.Success(event)
            case _messages.JobFailed():
                return result.Failure(event)
    return None


class JobServer:
    """Serves peers' jobs on the engines that this instance owns.

    Args:
        runner: Runs the jobs here.
    """

    def __init__(self, runner: _messages.JobRunner) -> None:
        self._runner = runner

    async def serve(
        self,
        sender: base.InstanceId,
        data: bytes,
        writer: mesh.StreamWriter,
    ) -> None:
        """Handles one stream of `METHOD`."""
        del sender
        job = _messages.JOB_CODEC.decode(data)
        sink = _WriterSink(writer)
        ended = await self._runner.run(job, sink)
        event: _messages.JobEvent
        if isinstance(ended, result.Success):
            event = ended.unwrap()
        else:
            event = ended.failure()
        await writer.write(_framing.frame_event(event))


class _WriterSink:
    """Sends a job's output to a peer."""

    def __init__(self, writer: mesh.StreamWriter) -> None:
        self._writer = writer

    async def emit(self, chunk: _messages.JobChunk) -> None:
        try:
            await self._writer.write(_framing.frame_event(chunk))
        except mesh.StreamClosedError as exc:
            raise _messages.SinkClosed from exc

    def on_closed(self, callback: collections.abc.Callable[[], None]) -> None:
        self._writer.on_closed(callback)


def _failed_call(error: mesh.CallError) -> _messages.JobFailed:
    reason = base.RefusalReason.NO_ENDPOINT
    if error.kind is mesh.CallErrorKind.DEADLINE:
        reason = base.RefusalReason.DEADLINE_EXCEEDED
    return _messages.JobFailed(
        reason.value,
        error.outcome.value,
        f"The engine's owner gave no whole answer: {error.detail}",
    )


def _broken(detail: str) -> _messages.JobFailed:
    return _messages.JobFailed(
        base.RefusalReason.NO_ENDPOINT.value,
        base.Outcome.MAY_HAVE_RUN.value,
        detail,
    )
