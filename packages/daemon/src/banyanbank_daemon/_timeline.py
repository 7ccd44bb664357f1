"""Time line of one instance, and the merged time line of all.

Events are kept in a bounded ring in memory and, when a folder is given, in a
bounded set of files with one JSON event a line.
"""

import collections.abc
import io
import itertools
import json
import pathlib
import typing

import attrs
import banyanbank_base as base
import cattrs
import cattrs.preconf.json

RING_EVENTS = 20_000
"""Events kept in memory."""

MAX_FILE_BYTES = 8 * 1024 * 1024
"""Size at which a new file is begun."""

MAX_FILES = 4
"""Files kept, the one being written included."""

FILE_NAME = "timeline.jsonl"
"""File being written; older ones are `timeline.jsonl.1` and so on."""


class TimelineError(Exception):
    """A text is no event."""


def event_to_document(event: base.Event) -> dict[str, typing.Any]:
    """Returns one event as a JSON object; empty fields are left out."""
    fields = {
        name: value
        for name, value in attrs.asdict(event, recurse=False).items()
        if value
    }
    fields["time"] = [event.time.wall_us, event.time.tick]
    return fields


def event_from_document(document: typing.Any) -> base.Event:
    """Reads one event from a JSON object.

    Raises:
        TimelineError: It is no event.
    """
    try:
        fields = dict(document)
        if isinstance(fields["time"], list):
            wall_us, tick = fields["time"]
            fields["time"] = {"wall_us": wall_us, "tick": tick}
        return _CONVERTER.structure(fields, base.Event)
    except (
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
        cattrs.BaseValidationError,
    ) as exc:
        raise TimelineError(f"No event: {str(document)[:80]!r}") from exc


def event_to_json(event: base.Event) -> str:
    """Returns one event as one line of JSON; empty fields are left out."""
    return json.dumps(event_to_document(event), ensure_ascii=False)


def event_from_json(text: str) -> base.Event:
    """Reads one line of JSON.

    Raises:
        TimelineError: It is no event.
    """
    try:
        return event_from_document(json.loads(text))
    except (ValueError, RecursionError) as exc:
        raise TimelineError(f"No event: {text[:80]!r}") from exc


def _make_converter() -> cattrs.Converter:
    converter = cattrs.preconf.json.make_converter(forbid_extra_keys=True)
    for kind in (int, str):
        converter.register_structure_hook(kind, _structure_exactly)
    return converter


def _structure_exactly(value: typing.Any, kind: type) -> typing.Any:
    if type(value) is not kind:
        raise TypeError(f"{value!r} is not of {kind.__name__}.")
    return value


_CONVERTER = _make_converter()


class EventFiles:
    """Bounded set of files in one folder.

    A file that cannot be written is given up until the process starts again:
    the time line must never stop the instance.

    Args:
        folder: Where the files live; made if missing.
        max_file_bytes: Size at which a new file is begun.
        max_files: Files kept.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        max_file_bytes: int = MAX_FILE_BYTES,
        max_files: int = MAX_FILES,
    ) -> None:
        self._folder = folder
        self._max_file_bytes = max_file_bytes
        self._max_files = max_files
        self._size = 0
        self._file: io.BufferedIOBase | io.RawIOBase | None = None
        self.error: OSError | None = None
        """Why nothing is written any more; None while all is well."""
        self._guard(self._open)

    def append(self, event: base.Event) -> None:
        """Writes one event; it reaches the file at once, unsynced."""
        line = event_to_json(event).encode() + b"\n"
        self._guard(lambda: self._write(line))

    def close(self) -> None:
        """Closes the file."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _guard(self, action: collections.abc.Callable[[], None]) -> None:
        if self.error is not None:
            return
        try:
            action()
        except OSError as exc:
            self.error = exc
            self._file = None

    def _open(self) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        path = self._folder / FILE_NAME
        self._file = path.open("ab", buffering=0)
        self._size = path.stat().st_size
        if self._size and not _ends_in_newline(path):
            # A crash has torn the last line; the next must stand alone.
            self._file.write(b"\n")

    def _write(self, line: bytes) -> None:
        if self._file is None:
            return
        if self._size + len(line) > self._max_file_bytes and self._size:
            self._rotate()
        self._file.write(line)
        self._size += len(line)

    def _rotate(self) -> None:
        self.close()
        path = self._folder / FILE_NAME
        for number in range(self._max_files - 1, 0, -1):
            older = self._folder / f"{FILE_NAME}.{number}"
            newer = self._folder / f"{FILE_NAME}.{number - 1}"
            if number == 1:
                newer = path
            if newer.exists():
                newer.replace(older)
        if self._max_files == 1:
            path.unlink()
        self._open()


def _ends_in_newline(path: pathlib.Path) -> bool:
    with path.open("rb") as file:
        file.seek(-1, io.SEEK_END)
        return file.read(1) == b"\n"


def read_files(folder: pathlib.Path) -> list[base.Event]:
    """Reads the events of all files; lines that are no event are left out.

    Raises:
        OSError: A file cannot be read.
    """
    paths = sorted(folder.glob(f"{FILE_NAME}*"), key=_age, reverse=True)
    events: list[base.Event] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    events.append(event_from_json(line))
                except TimelineError:
                    continue  # A line torn by a crash.
    return events


def _age(path: pathlib.Path) -> int:
    number = path.name.removeprefix(FILE_NAME).removeprefix(".")
    return int(number) if number.isdigit() else 0


class Timeline(base.MemoryRecorder):
    """Recorder of one instance, in memory and in files.

    Args:
        instance: Where events are recorded.
        clock: Source of wall time.
        capacity: Events kept in memory.
        files: Where they are written too; None for memory only.
    """

    def __init__(
        self,
        instance: base.InstanceId,
        clock: base.Clock,
        capacity: int = RING_EVENTS,
        files: EventFiles | None = None,
    ) -> None:
        super().__init__(instance, clock, capacity)
        self._files = files

    def _keep(self, event: base.Event) -> None:
        super()._keep(event)
        if self._files is not None:
            self._files.append(event)

    def find(self, query: "EventQuery") -> list[base.Event]:
        """Returns the events in memory that are wanted, oldest first."""
        return query.choose(self.events)


@attrs.frozen
class EventQuery:
    """Which events are wanted; an empty field takes all."""

    request: str = ""
    """Request concerned."""
    sample: str = ""
    """Sample slot concerned; a prefix such as `trainer/step/` will do."""
    key: str = ""
    """Key id concerned."""
    endpoint: str = ""
    """Endpoint concerned."""
    epoch: int = 0
    """Control epoch concerned; 0 takes all."""
    kind: str = ""
    """Kind, or an area such as `lease.`."""
    instance: str = ""
    """Where it was recorded."""

    def matches(self, event: base.Event) -> bool:
        """Tells whether an event is wanted."""
        return bool(self.choose([event]))

    def choose(
        self, events: collections.abc.Iterable[base.Event]
    ) -> list[base.Event]:
        """Returns the events that are wanted, in their order."""
        chosen = list(events)
        # One plain pass a field that is set: the ring holds many events.
        if self.request:
            chosen = [e for e in chosen if e.request == self.request]
        if self.key:
            chosen = [e for e in chosen if e.key == self.key]
        if self.endpoint:
            chosen = [e for e in chosen if e.endpoint == self.endpoint]
        if self.instance:
            chosen = [e for e in chosen if e.instance == self.instance]
        if self.epoch:
            chosen = [e for e in chosen if e.epoch == self.epoch]
        if self.sample:
            chosen = [e for e in chosen if e.sample.startswith(self.sample)]
        if self.kind:
            chosen = [e for e in chosen if e.kind.startswith(self.kind)]
        return chosen


def merge_events(
    lists: collections.abc.Iterable[collections.abc.Iterable[base.Event]],
) -> list[base.Event]:
    """Merges the events of several instances by hybrid time.

    An event that comes twice, say from memory and from a file, is kept once.
    """
    unique = dict.fromkeys(itertools.chain.from_iterable(lists))
    return sorted(unique, key=lambda event: (event.time, event.instance))
