"""Counts the tokens of one engine's answer."""

import attrs

from banyanbank_daemon._jobs import _messages
from banyanbank_daemon._jobs import _sse

MILLISECONDS = 1_000


class Tally:
    """Counts tokens by weight version as a stream goes on."""

    def __init__(self) -> None:
        self._stretches: list[_messages.VersionCount] = []
        self.usage: dict[str, int] | None = None

    def add(self, event: _sse.EngineEvent) -> None:
        """Takes in one event."""
        if event.usage is not None:
            self.usage = event.usage
        if event.version is None or event.tokens <= 0:
            return
        last = self._stretches[-1] if self._stretches else None
        if last is not None and last.version == event.version:
            count = last.tokens + event.tokens
            self._stretches[-1] = attrs.evolve(last, tokens=count)
        else:
            stretch = _messages.VersionCount(event.version, event.tokens)
            self._stretches.append(stretch)

    def ended(self, engine_s: float) -> _messages.JobEnded:
        """Returns the counts of a whole answer.

        Args:
            engine_s: Seconds that the engine worked on it.
        """
        usage = self.usage or {}
        return _messages.JobEnded(
            prompt_tokens=usage.get("prompt_tokens", 0),
            completion_tokens=usage.get("completion_tokens", 0),
            cached_tokens=usage.get("cached_tokens", 0),
            engine_ms=int(engine_s * MILLISECONDS),
            stretches=tuple(self._stretches),
        )
