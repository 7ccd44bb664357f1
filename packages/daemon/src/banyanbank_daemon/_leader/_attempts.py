"""One rollout attempt that runs: its output so far and its ending."""

import json
import typing

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

from banyanbank_daemon import _jobs


@attrs.define
class Attempt:
    """An attempt that the scheduler has started and that has not ended."""

    start: rollout.StartAttempt
    """The scheduler's effect."""
    account: base.AccountId
    """Client account of the trainer."""
    started_at: float
    """Monotonic seconds."""
    max_tokens: int = 0
    """Most tokens by the step's declaration; 0 for no bound."""
    text: str = ""
    """Text so far, that of the resumed attempt included."""
    stretches: list[rollout.VersionStretch] = attrs.field(factory=list)
    """Versions of the tokens so far, as the engine reported them."""
    resumed_tokens: int = 0
    """Tokens taken over from an earlier attempt."""
    reported_tokens: int = 0
    """Tokens of the whole answer by the engine's own final count."""
    phase: rollout.AttemptPhase = rollout.AttemptPhase.RUNNING
    """How far it has come."""
    engine: base.EndpointId | None = None
    """Engine that runs it; None before one was chosen."""
    is_cancelled: bool = False
    """Whether the scheduler has stopped it."""

    @property
    def token_count(self) -> int:
        """Tokens so far."""
        return sum(stretch.token_count for stretch in self.stretches)

    def view(self) -> rollout.AttemptView:
        """Returns what the scheduler is told."""
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

    def _limit(self, asked: int) -> int:
        """Returns the most tokens of the sample; 0 for no bound."""
        if not (asked and self.max_tokens):
            return asked or self.max_tokens
        return min(asked, self.max_tokens)

    def engine_body(self) -> bytes:
        """Returns the engine's call; a resumed one goes on at its text."""
        document = json.loads(self.start.prompt)
        document["model"] = self.start.model
        document["stream"] = True
        document["seed"] = self.start.seed
        limit = self._limit(int(document.get("max_tokens", 0)))
        if limit:
            document["max_tokens"] = limit
        return _jobs.continued_body(document, self.text, self.token_count)


class AttemptSink:
    """Takes the output of an attempt.

    Args:
        attempt: Where text and versions are gathered.
    """

    def __init__(self, attempt: Attempt) -> None:
        self._attempt = attempt
        self._callbacks: list[typing.Callable[[], None]] = []

    async def emit(self, chunk: _jobs.JobChunk) -> None:
        """Takes one event."""
        if self._attempt.is_cancelled:
            raise _jobs.SinkClosed
        document = chunk.document
        for choice in document.get("choices", ()):
            self._attempt.text += choice.get("text") or ""
        version = document.get("weight_version")
        tokens = int(document.get("tokens", 0))
        if version is not None and tokens > 0:
            self._add(base.WeightVersion(int(version)), tokens)

    def on_closed(self, callback: typing.Callable[[], None]) -> None:
        """Calls back once the attempt is cancelled."""
        if self._attempt.is_cancelled:
            callback()
        else:
            self._callbacks.append(callback)

    def close(self) -> None:
        """Cancels the attempt."""
        self._attempt.is_cancelled = True
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()

    def _add(self, version: base.WeightVersion, tokens: int) -> None:
        stretches = self._attempt.stretches
        if stretches and stretches[-1].version == version:
            tokens += stretches.pop().token_count
        stretches.append(rollout.VersionStretch(version, tokens))
