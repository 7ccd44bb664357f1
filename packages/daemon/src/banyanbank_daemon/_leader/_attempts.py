"""State and output of a running rollout attempt."""

import json
import typing

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

from banyanbank_daemon import _jobs


@attrs.define
class Attempt:
    """A rollout attempt that was started and has not ended."""

    start: rollout.StartAttempt
    """Scheduler effect that started the attempt."""
    account: base.AccountId
    """Client account of the trainer."""
    started_at: float
    """Start time, in seconds of the monotonic clock."""
    max_tokens: int = 0
    """Maximum tokens declared for the step; 0 for no limit."""
    text: str = ""
    """Text so far, including that of the resumed attempt."""
    stretches: list[rollout.VersionStretch] = attrs.field(factory=list)
    """Weight versions of the tokens so far, as reported by the engine."""
    resumed_tokens: int = 0
    """Tokens reused from an earlier attempt."""
    reported_tokens: int = 0
    """Tokens of the complete response, by the engine's final count."""
    phase: rollout.AttemptPhase = rollout.AttemptPhase.RUNNING
    """Current phase."""
    engine: base.EndpointId | None = None
    """Engine that runs the attempt; None until one is assigned."""
    is_cancelled: bool = False
    """Whether the attempt was cancelled."""

    @property
    def token_count(self) -> int:
        """Number of tokens so far, including resumed ones."""
        return sum(stretch.token_count for stretch in self.stretches)

    def build_view(self) -> rollout.AttemptView:
        """Builds the view of this attempt that the scheduler takes."""
        progress = None
        if self.stretches:
            progress = rollout.ResumePoint(tuple(self.stretches))
        return rollout.AttemptView(
            slot=self.start.slot,
            attempt_id=self.start.attempt_id,
            started_at=self.started_at,
            phase=self.phase,
            engine=self.engine,
            progress=progress,
            supersedes=self.start.supersedes,
        )

    def _min_token_limit(self, requested: int) -> int:
        """Returns the lower of both token limits; 0 means no limit."""
        if not (requested and self.max_tokens):
            return requested or self.max_tokens
        return min(requested, self.max_tokens)

    def build_engine_body(self) -> bytes:
        """Builds the engine request body, continuing after existing text."""
        document = json.loads(self.start.prompt)
        document["model"] = self.start.model
        document["stream"] = True
        document["seed"] = self.start.seed
        limit = self._min_token_limit(int(document.get("max_tokens", 0)))
        if limit:
            document["max_tokens"] = limit
        return _jobs.continued_body(document, self.text, self.token_count)


class AttemptSink:
    """Collects the output of an attempt.

    Args:
        attempt: Attempt that text and weight versions are added to.
    """

    def __init__(self, attempt: Attempt) -> None:
        self._attempt = attempt
        self._callbacks: list[typing.Callable[[], None]] = []

    async def emit(self, chunk: _jobs.JobChunk) -> None:
        """Adds the text and tokens of one chunk.

        Raises:
            SinkClosed: The attempt was cancelled.
        """
        if self._attempt.is_cancelled:
            raise _jobs.SinkClosed
        document = chunk.document
        for choice in document.get("choices", ()):
            self._attempt.text += choice.get("text") or ""
        version = document.get("weight_version")
        tokens = int(document.get("tokens", 0))
        if version is not None and tokens > 0:
            self._add_tokens(base.WeightVersion(int(version)), tokens)

    def on_closed(self, callback: typing.Callable[[], None]) -> None:
        """Registers a cancellation callback; calls it at once if cancelled."""
        if self._attempt.is_cancelled:
            callback()
        else:
            self._callbacks.append(callback)

    def close(self) -> None:
        """Cancels the attempt and runs the registered callbacks."""
        self._attempt.is_cancelled = True
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()

    def _add_tokens(self, version: base.WeightVersion, tokens: int) -> None:
        stretches = self._attempt.stretches
        if stretches and stretches[-1].version == version:
            tokens += stretches.pop().token_count
        stretches.append(rollout.VersionStretch(version, tokens))
