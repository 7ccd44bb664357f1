"""Counts the tokens of a response."""

import attrs

from banyanbank_daemon._jobs import _messages
from banyanbank_daemon._jobs import _sse

MILLISECONDS = 1_000


class TokenCounter:
    """Counts the tokens of a stream by weight version."""

    def __init__(self) -> None:
        self._stretches: list[_messages.VersionCount] = []
        self.tokens = 0
        self.usage: dict[str, int] | None = None

    @property
    def stretches(self) -> tuple[_messages.VersionCount, ...]:
        """Weight versions of the tokens so far, in stream order."""
        return tuple(self._stretches)

    def add(self, event: _sse.EngineEvent) -> None:
        """Adds the tokens and the usage of one event."""
        if event.usage is not None:
            self.usage = event.usage
        self.count(event.version, event.tokens)

    def count(self, version: int | None, tokens: int) -> None:
        """Adds tokens that continue the stream.

        Args:
            version: Weight version that generated them; None if unknown.
            tokens: Number of tokens.
        """
        if tokens <= 0:
            return
        self.tokens += tokens
        if version is None:
            return
        last = self._stretches[-1] if self._stretches else None
        if last is not None and last.version == version:
            self._stretches[-1] = attrs.evolve(
                last, tokens=last.tokens + tokens
            )
        else:
            self._stretches.append(_messages.VersionCount(version, tokens))

    def ended(self, engine_s: float) -> _messages.JobEnded:
        """Returns the counts of a complete response.

        Args:
            engine_s: Seconds for which the engine worked on it.
        """
        return self.ended_with_engine_ms(int(engine_s * MILLISECONDS))

    def ended_with_engine_ms(self, engine_ms: int) -> _messages.JobEnded:
        """Returns the counts of a complete response.

        Args:
            engine_ms: Milliseconds for which all engines worked on it.
        """
        usage = self.usage or {}
        return _messages.JobEnded(
            prompt_tokens=usage.get("prompt_tokens", 0),
            completion_tokens=usage.get("completion_tokens", 0),
            cached_tokens=usage.get("cached_tokens", 0),
            engine_ms=engine_ms,
            stretches=self.stretches,
        )
