"""Messages of a model job between an entry and an engine's owner."""

import json
import typing

import attrs
import banyanbank_base as base
from returns import result


class SinkClosed(Exception):  # noqa: N818
    """Nobody reads the job's output any more."""


@attrs.frozen
class ModelJob:
    """A request for one engine."""

    request_id: str
    """Id of the caller's request or of the rollout attempt."""
    account: str
    """Client account that the request runs for."""
    key_id: str
    """Key that came with the request; empty for rollout attempts."""
    revision: int
    """Configuration revision that the entry held when it admitted the job."""
    kind: str
    """Value of a `dispatch.WorkKind`."""
    endpoint: str
    """Engine that the request is for."""
    path: str
    """Path of the engine's call."""
    body: bytes
    """JSON body for the engine."""
    weight: float
    """Fair share of the client account, relative to others."""
    cost_tokens: int
    """Estimated cost in tokens."""
    blocks: tuple[str, ...]
    """Digests of the prompt's blocks, for cache affinity."""
    remaining_ms: int
    """Milliseconds left when the message was made; clocks are not compared
    between processes."""


@attrs.frozen
class VersionCount:
    """Tokens that one weight version made, in order of a stream."""

    version: int
    """Weight version as the engine reported it."""
    tokens: int
    """Tokens of this stretch."""


@attrs.frozen
class JobChunk:
    """One event of the engine's stream, as JSON without framing."""

    data: bytes
    """JSON text of the event."""
    document: dict[str, typing.Any]
    """The same, read."""

    @classmethod
    def of(cls, document: dict[str, typing.Any]) -> "JobChunk":
        """Makes an event of our own."""
        return cls(json.dumps(document).encode(), document)


@attrs.frozen
class QueueLoad:
    """Load of one engine's queue."""

    tokens: float
    """Estimated tokens that wait and run."""
    requests: int
    """Requests that wait and run."""
    tokens_per_s: float
    """Smoothed service rate."""
    token_s: float
    """Seconds between tokens of one stream; 0 when unknown."""


@attrs.frozen
class JobGranted:
    """The job may go to its engine now."""

    load: QueueLoad
    """Load of the engine's queue."""


@attrs.frozen
class JobReleased:
    """The job has ended; its slot is free."""

    request_id: str
    """Id of the job."""
    used_tokens: int
    """Tokens of prompt and answer; 0 when none were made."""


@attrs.frozen
class JobEnded:
    """The engine's answer is whole."""

    prompt_tokens: int
    """Tokens of the prompt."""
    completion_tokens: int
    """Tokens made."""
    cached_tokens: int
    """Prompt tokens found in the engine's cache."""
    engine_ms: int
    """Milliseconds that the engine worked on the request."""
    stretches: tuple[VersionCount, ...]
    """Weight versions that made the tokens, in order."""
    load: QueueLoad | None = None
    """Load of the engine's queue as its owner told; None when unknown."""

    def with_load(self, load: QueueLoad) -> "JobEnded":
        """Returns the same end with the load of the engine's queue."""
        return attrs.evolve(self, load=load)


@attrs.frozen
class JobFailed:
    """The job gave no whole answer."""

    reason: str
    """Value of a `base.RefusalReason`."""
    outcome: str
    """Value of a `base.Outcome`."""
    detail: str
    """What happened."""
    retry_after: float | None = None
    """Seconds after which a retry may succeed; None when unknown."""
    is_cut: bool = False
    """Whether the connection was lost in mid-stream, so that what came before
    is good and another engine may go on from it."""
    engine_ms: int = 0
    """Milliseconds that the engine had worked when the stream was cut."""

    def to_refusal(self) -> base.Refusal:
        """Returns the refusal that a caller is shown."""
        return base.Refusal(
            base.RefusalReason(self.reason),
            base.Outcome(self.outcome),
            self.detail,
            self.retry_after,
        )

    @classmethod
    def from_refusal(cls, refusal: base.Refusal) -> "JobFailed":
        """Makes the message of a refusal."""
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
    """Takes the output of a job."""

    async def emit(self, chunk: JobChunk) -> None:
        """Takes one event; waits while the reader is slow.

        Raises:
            SinkClosed: Nobody reads any more.
            EventStreamError: The event is malformed.
        """
        ...

    def on_closed(self, callback: typing.Callable[[], None]) -> None:
        """Calls back once when nobody reads any more."""
        ...


class JobRunner(typing.Protocol):
    """Runs jobs in slots granted here or by another instance."""

    async def run(
        self, job: ModelJob, sink: JobSink
    ) -> result.Result[JobEnded, JobFailed]:
        """Runs a job to its end.

        Args:
            job: What to run.
            sink: Takes the events in order; none comes after the result.
        """
        ...
