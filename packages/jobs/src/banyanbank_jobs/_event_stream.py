"""Parses event streams of engines and joins the runs of an item."""

import collections.abc
import re

import attrs

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of one event."""

MAX_TEXT_BYTES = 960 * 1024
"""Maximum size of an item's text: its result is one command of the log."""

MAX_TEXT_EVENTS = 64 * 1024
"""Maximum number of events of a text."""

MAX_TEXT_VERSIONS = 1024
"""Maximum number of weight versions of a text."""


MAX_DIGITS = 18
"""Maximum digits of an event id or version: the log takes 64 bits."""

_NUMBER = re.compile(rb"[0-9]{1,%d}" % MAX_DIGITS)


class EventStreamError(Exception):
    """The event stream is malformed, or an event is out of order."""


class TextTooLongError(EventStreamError):
    """The text exceeds a maximum, so it cannot be completed."""


@attrs.frozen
class StreamEvent:
    """One event of an engine's stream."""

    number: int
    """Id of the event; consecutive within a stream."""
    data: str
    """Data of the event; data lines are joined by line feeds."""
    version: int | None
    """Weight version if it differs from that of the previous event."""


class EventStreamReader:
    """Incremental parser of event streams; buffers incomplete events.

    Args:
        weight_version_field: Name of the field that holds the weight version.
    """

    def __init__(self, weight_version_field: bytes) -> None:
        self._weight_version_field = weight_version_field.lower()
        self._buffer = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._buffer.strip()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Parses further bytes and returns the events that are complete.

        Raises:
            EventStreamError: An event is malformed or exceeds the maximum
                size.
        """
        blocks = (self._buffer + data).replace(b"\r\n", b"\n").split(b"\n\n")
        self._buffer = blocks.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventStreamError(
                f"Event has no end within {MAX_EVENT_BYTES} bytes."
            )
        return [
            self._read_event(block) for block in blocks if block.strip(b"\n")
        ]

    def _read_event(self, block: bytes) -> StreamEvent:
        number: int | None = None
        version: int | None = None
        lines: list[str] = []
        for line in block.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"id":
                number = _read_number(value)
            elif name == b"data":
                lines.append(_read_text(value))
            elif name.lower() == self._weight_version_field:
                version = _read_number(value)
        if number is None:
            raise EventStreamError(f"Event has no id field: {block[:80]!r}")
        return StreamEvent(number, "\n".join(lines), version)


def _read_number(value: bytes) -> int:
    if not _NUMBER.fullmatch(value.strip()):
        raise EventStreamError(
            f"Event id or version is not a number of at most {MAX_DIGITS}"
            f" digits: {value[:40]!r}"
        )
    return int(value)


def _read_text(value: bytes) -> str:
    try:
        return value.decode()
    except UnicodeDecodeError as exc:
        raise EventStreamError(f"Event data is not UTF-8: {exc}") from exc


class ItemText:
    """Text of one item, collected over one or more runs.

    Attributes:
        pieces: Data of the events received so far, in order.
        versions: Weight versions that generated the events.
    """

    def __init__(self) -> None:
        self.pieces: list[str] = []
        self.versions: set[int] = set()
        self._first_event: int | None = None
        self._weight_version = 0
        self._byte_count = 0

    @classmethod
    def resume(
        cls,
        first_event: int,
        pieces: collections.abc.Iterable[str],
        versions: collections.abc.Iterable[int],
    ) -> "ItemText":
        """Returns a text that continues after the given events."""
        text = cls()
        text._first_event = first_event
        text.pieces = list(pieces)
        text._byte_count = len(text.text.encode())
        text.versions = set(versions)
        return text

    @property
    def first_event(self) -> int | None:
        """Id of the first event; None if there is none yet."""
        return self._first_event

    @property
    def last_event(self) -> int | None:
        """Id of the newest event; None if there is none yet."""
        if self._first_event is None:
            return None
        return self._first_event + len(self.pieces) - 1

    @property
    def text(self) -> str:
        """Data of all events, separated by line feeds."""
        return "\n".join(self.pieces)

    def set_weight_version(self, version: int) -> None:
        """Sets the weight version of the events that follow."""
        self._weight_version = version

    def next_version(self, event: StreamEvent) -> int:
        """Returns the weight version that generated the next event."""
        if event.version is not None:
            return event.version
        return self._weight_version

    def append(self, event: StreamEvent) -> None:
        """Appends the next event.

        Raises:
            EventStreamError: The event is out of order.
            TextTooLongError: The text would exceed a maximum.
        """
        if self._first_event is None:
            self._first_event = event.number
        elif event.number != self._first_event + len(self.pieces):
            raise EventStreamError(
                f"Event {event.number} is out of order after event"
                f" {self.last_event}."
            )
        self._byte_count += len(event.data.encode()) + 1
        if self._byte_count > MAX_TEXT_BYTES:
            raise TextTooLongError(f"Text is over {MAX_TEXT_BYTES} bytes.")
        if len(self.pieces) >= MAX_TEXT_EVENTS:
            raise TextTooLongError(f"Text is over {MAX_TEXT_EVENTS} events.")
        self._weight_version = self.next_version(event)
        self.pieces.append(event.data)
        self.versions.add(self._weight_version)
        if len(self.versions) > MAX_TEXT_VERSIONS:
            raise TextTooLongError(
                f"Text is over {MAX_TEXT_VERSIONS} weight versions."
            )
