"""Reads the event stream of an engine and joins the runs of one item."""

import collections.abc

import attrs

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event of a stream."""

MAX_TEXT_CHARS = 8 * 1024 * 1024
"""Largest text of an item; as much as an answer may have."""


class EventStreamError(Exception):
    """The bytes are no event stream, or an event is out of order."""


@attrs.frozen
class StreamEvent:
    """One event of an engine's stream."""

    number: int
    """Id of the event; they rise by one."""
    data: str
    """Its data; several lines are joined by line feeds."""
    version: int | None
    """Weight version, where it differs from the event before."""


class EventStreamReader:
    """Cuts bytes into events; an event that is not whole is kept back."""

    def __init__(self, version_field: bytes) -> None:
        self._version_field = version_field.lower()
        self._rest = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event has been read."""
        return not self._rest.strip()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Takes bytes in and returns the events that are whole.

        Raises:
            EventStreamError: An event has no usable id, or no end.
        """
        blocks = (self._rest + data).replace(b"\r\n", b"\n").split(b"\n\n")
        self._rest = blocks.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventStreamError(
                f"An event has no end in {MAX_EVENT_BYTES} bytes."
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
            elif name.lower() == self._version_field:
                version = _read_number(value)
        if number is None:
            raise EventStreamError(f"An event has no id: {block[:80]!r}")
        return StreamEvent(number, "\n".join(lines), version)


def _read_number(value: bytes) -> int:
    try:
        return int(value)
    except ValueError as exc:
        raise EventStreamError(f"{value[:40]!r} is no number.") from exc


def _read_text(value: bytes) -> str:
    try:
        return value.decode()
    except UnicodeDecodeError as exc:
        raise EventStreamError(f"Data is no UTF-8: {exc}") from exc


class ItemText:
    """Text of one item, gathered over one or more runs.

    Attributes:
        pieces: Data of the events so far, in order.
        versions: Weight versions that generated them.
    """

    def __init__(self) -> None:
        self.pieces: list[str] = []
        self.versions: set[int] = set()
        self._first: int | None = None
        self._version = 0
        self._chars = 0

    @classmethod
    def resume(
        cls,
        first_event: int,
        pieces: collections.abc.Iterable[str],
        versions: collections.abc.Iterable[int],
    ) -> "ItemText":
        """Returns a text of which the beginning was kept."""
        text = cls()
        text._first = first_event
        text.pieces = list(pieces)
        text._chars = len(text.text)
        text.versions = set(versions)
        return text

    @property
    def first_event(self) -> int | None:
        """Id of the first event; None before it."""
        return self._first

    @property
    def last_event(self) -> int | None:
        """Id of the newest event; None before the first."""
        if self._first is None:
            return None
        return self._first + len(self.pieces) - 1

    @property
    def text(self) -> str:
        """Data of all events, separated by line feeds."""
        return "\n".join(self.pieces)

    def begin_run(self, version: int) -> None:
        """Notes the weight version with which a run goes on."""
        self._version = version

    def take(self, event: StreamEvent) -> None:
        """Adds the next event.

        Raises:
            EventStreamError: It is not the next one, or the text has no end.
        """
        if self._first is None:
            self._first = event.number
        elif event.number != self._first + len(self.pieces):
            raise EventStreamError(
                f"Event {event.number} follows event {self.last_event}."
            )
        self._chars += len(event.data) + 1
        if self._chars > MAX_TEXT_CHARS:
            raise EventStreamError(
                f"The text is over {MAX_TEXT_CHARS} characters."
            )
        if event.version is not None:
            self._version = event.version
        self.pieces.append(event.data)
        self.versions.add(self._version)
