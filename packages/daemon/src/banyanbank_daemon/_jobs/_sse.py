"""Parses an engine's server-sent events."""

import json
import typing

import attrs

MAX_EVENT_BYTES = 1024 * 1024
DONE_DATA = b"[DONE]"


class EventStreamError(Exception):
    """The engine's stream violates the event stream protocol."""


@attrs.frozen
class EngineEvent:
    """One event of an engine's stream."""

    data: bytes
    """JSON text."""
    document: dict[str, typing.Any]
    """The event, parsed."""
    tokens: int
    """Tokens generated since the previous event."""
    version: int | None
    """Weight version that generated them; None if the event has none."""
    usage: dict[str, int] | None
    """Token counts of the whole request; only in the final event."""


class EventStreamParser:
    """Splits a byte stream into events."""

    def __init__(self) -> None:
        self._buffer = b""
        self.is_done = False

    def feed(self, data: bytes) -> list[EngineEvent]:
        """Appends bytes and returns the events they complete.

        Raises:
            EventStreamError: The stream is malformed or continues after [DONE].
        """
        self._buffer += data.replace(b"\r\n", b"\n")
        events = []
        while b"\n\n" in self._buffer:
            block, self._buffer = self._buffer.split(b"\n\n", 1)
            event = self._parse_block(block)
            if event is not None:
                events.append(event)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventStreamError(
                f"An event of the engine's stream exceeds {MAX_EVENT_BYTES} "
                "bytes."
            )
        return events

    def _parse_block(self, block: bytes) -> EngineEvent | None:
        lines = [
            line[len(b"data:") :].strip()
            for line in block.split(b"\n")
            if line.startswith(b"data:")
        ]
        if not lines:
            return None
        data = b"\n".join(lines)
        if self.is_done:
            raise EventStreamError(
                "The engine's stream continues after [DONE]."
            )
        if data == DONE_DATA:
            self.is_done = True
            return None
        return _parse_event(data)


def _parse_event(data: bytes) -> EngineEvent:
    try:
        document: typing.Any = json.loads(data)
        version = document.get("weight_version")
        return EngineEvent(
            data=data,
            document=document,
            tokens=int(document.get("tokens", 0)),
            version=None if version is None else int(version),
            usage=parse_usage(document.get("usage")),
        )
    except (ValueError, TypeError, AttributeError) as exc:
        raise EventStreamError(
            f"An event of the engine's stream is malformed: {exc}"
        ) from exc


def parse_usage(usage: typing.Any) -> dict[str, int] | None:
    """Returns the token counts of an event, or None if it has none."""
    if usage is None:
        return None
    counts = {
        name: int(value)
        for name, value in usage.items()
        if isinstance(value, int | float)
    }
    details = usage.get("prompt_tokens_details")
    if isinstance(details, dict):
        counts.setdefault(
            "cached_tokens", int(details.get("cached_tokens") or 0)
        )
    return counts
