"""Messages of model jobs between an entry and an engine's owner."""

import json
import typing

import attrs
import banyanbank_base as base
from returns import result


class SinkClosed(Exception):  # noqa: N818
    """The reader of the job's output has closed it."""


@attrs.frozen
class ModelJob:
    """A request for one engine."""

    request_id: str
    """Id of the caller's request or of the rollout attempt."""
    account: str
    """Client account that the request runs for."""
    key_id: str
    """Id of the request's API key; empty for rollout attempts."""
    revision: int
    """Configuration revision at which the entry admitted the job."""
    kind: str
    """Value of a `dispatch.WorkKind`."""
    endpoint: str
    """Id of the engine that runs the request."""
    path: str
    """URL path of the call to the engine."""
    body: bytes
    """JSON body for the engine."""
    weight: float
    """Weight of the client account in fair queueing."""
    cost_tokens: int
    """Estimated cost in tokens."""
    blocks: tuple[str, ...]
    """Digests of the prompt's blocks, for cache affinity."""
    remaining_ms: int
    """Milliseconds to the deadline when the message was created; a duration,
    since monotonic clocks can't be compared between processes."""


@attrs.frozen
class VersionCount:
    """Consecutive tokens of a stream that one weight version generated."""

    version: int
    """Weight version as the engine reported it."""
    tokens: int
    """Number of consecutive tokens."""


@attrs.frozen
class JobChunk:
    """One event of the engine's stream, as JSON without framing."""

    data: bytes
    """JSON text of the event."""
    document: dict[str, typing.Any]
    """The event, parsed."""

    @classmethod
    def of(cls, document: dict[str, typing.Any]) -> "JobChunk":
        """Builds an event from its parsed form."""
        return cls(json.dumps(document).encode(), document)


@attrs.frozen
class QueueLoad:
    """Load of one engine's queue."""

    tokens: float
    """Estimated tokens of queued and running requests."""
    requests: int
    """Queued and running requests."""
    tokens_per_s: float
    """Smoothed throughput of the engine."""
    token_s: float
    """Seconds between tokens of one stream; 0 if unknown."""


@attrs.frozen
class JobGranted:
    """Grants the job a slot; it may be sent to its engine."""

    load: QueueLoad
    """Load of the engine's queue."""


@attrs.frozen
class JobReleased:
    """Releases the slot of a job that has ended."""

    request_id: str
    """Id of the job."""
    used_tokens: int
    """Prompt and completion tokens; 0 for a failed job."""


@attrs.frozen
class JobEnded:
    """Counts of a job whose response is complete."""

    prompt_tokens: int
    """Tokens of the prompt."""
    completion_tokens: int
    """Tokens generated."""
    cached_tokens: int
    """Prompt tokens found in the engine's prefix cache."""
    engine_ms: int
    """Milliseconds for which engines worked on the request."""
    stretches: tuple[VersionCount, ...]
    """Weight versions that generated the tokens, in stream order."""
    load: QueueLoad | None = None
    """Load of the engine's queue, reported by its owner; None if unknown."""

    def with_load(self, load: QueueLoad) -> "JobEnded":
        """Returns a copy with the load of the engine's queue."""
        return attrs.evolve(self, load=load)


@attrs.frozen
class JobFailed:
    """Describes why a job has no complete response."""

    reason: str
    """Value of a `base.RefusalReason`."""
    outcome: str
    """Value of a `base.Outcome`."""
    detail: str
    """Message for the caller and the log."""
    retry_after: float | None = None
    """Seconds after which a retry may succeed; None if unknown."""
    is_cut: bool = False
    """Whether the connection broke in mid-stream: the events received are valid
    and another engine may continue from them."""
    engine_ms: int = 0
    """Milliseconds for which the engine had worked when the stream broke."""

    def to_refusal(self) -> base.Refusal:
        """Converts the failure into the refusal shown to the caller."""
        return base.Refusal(
            base.RefusalReason(self.reason),
            base.Outcome(self.outcome),
            self.detail,
            self.retry_after,
        )

    @classmethod
    def from_refusal(cls, refusal: base.Refusal) -> "JobFailed":
        """Converts a refusal into its message."""
        return cls(
            refusal.reason.value,
            refusal.outcome.value,
            refusal.detail,
            refusal.retry_after,
        )


Grant = JobGranted | JobFailed
JOB_CODEC: base.Codec[ModelJob] = base.Codec(ModelJob)
GRANT_CODEC: base.Codec[Grant] = base.Codec(JobGranted, JobFailed)
RELEASE_CODEC: base.Codec[JobReleased] = base.Codec(JobReleased)


class JobSink(typing.Protocol):
    """Receives the output of a job."""

    async def emit(self, chunk: JobChunk) -> None:
        """Receives one event; waits while the reader is slow.

        Raises:
            SinkClosed: The reader has closed the sink.
            EventStreamError: The event is malformed.
        """
        ...

    def on_closed(self, callback: typing.Callable[[], None]) -> None:
        """Registers a callback that is called once when the sink closes."""
        ...


class JobRunner(typing.Protocol):
    """Runs jobs in slots that this or another instance grants."""

    async def run(
        self, job: ModelJob, sink: JobSink
    ) -> result.Result[JobEnded, JobFailed]:
        """Runs a job and returns its token counts or its failure.

        Args:
            job: Job to run.
            sink: Receives the events in order, none after the result.
        """
        ...
