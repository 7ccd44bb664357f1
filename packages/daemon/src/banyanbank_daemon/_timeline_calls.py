"""Asks all instances for their part of the time line."""

import collections.abc
import json
import typing

import attrs
import banyanbank_base as base
import banyanbank_mesh as mesh
from returns import result
from twisted.internet import task

from banyanbank_daemon import _ask_all
from banyanbank_daemon import _timeline

METHOD = "timeline.events"
"""Stream of the mesh that carries events as JSON lines."""

EVENTS_A_TURN = 200
"""Events written before the loop turns."""

MAX_GATHERED_EVENTS = 50_000
"""Events taken from one instance; the latest count."""


QUERY_FIELDS = (
    "request",
    "sample",
    "key",
    "endpoint",
    "kind",
    "instance",
    "epoch",
)
"""Fields by which events are chosen."""


@attrs.frozen
class Gathered:
    """Events of all instances that could be asked."""

    events: tuple[base.Event, ...]
    """Merged by hybrid time."""
    missing: tuple[base.InstanceId, ...]
    """Instances whose events are missing, wholly or in part."""

    def to_document(self) -> dict[str, typing.Any]:
        """Returns the answer of the operators' interface."""
        return {
            "events": [_timeline.event_to_document(e) for e in self.events],
            "missing": list(self.missing),
        }


def read_query(
    fields: collections.abc.Mapping[str, str],
) -> _timeline.EventQuery:
    """Reads a query from texts, such as parameters of a URL.

    Args:
        fields: Texts by field name; an epoch that is no number takes none.
    """
    epoch = fields.get("epoch") or "0"
    is_number = epoch.isascii() and epoch.isdigit() and len(epoch) <= 18
    texts = {
        name: fields.get(name, "") for name in QUERY_FIELDS if name != "epoch"
    }
    return _timeline.EventQuery(epoch=int(epoch) if is_number else -1, **texts)


class TimelineCalls:
    """Serves the events of this instance and gathers those of all.

    Args:
        transport: Way to the other instances; its handler is registered.
        recorder: Events of this instance.
        reactor: Turns the loop between pieces of a long answer.
    """

    def __init__(
        self,
        transport: mesh.Mesh,
        recorder: base.MemoryRecorder,
        reactor: typing.Any,
    ) -> None:
        self._mesh = transport
        self._recorder = recorder
        self._reactor = reactor
        transport.on_stream(METHOD, self._serve)

    async def gather(
        self,
        query: _timeline.EventQuery,
        peers: collections.abc.Iterable[base.InstanceId],
        deadline: float,
    ) -> Gathered:
        """Asks all instances at once.

        Args:
            query: Events wanted.
            peers: Other instances.
            deadline: Monotonic seconds after which an instance is missing.
        """
        answers = await _ask_all.ask_all(
            self._mesh.instance,
            peers,
            lambda peer: self._ask(peer, query, deadline),
        )
        own = query.choose(self._recorder.events)
        lists = [own, *(events for events, _ in answers.values())]
        missing = [
            peer
            for peer, (_, is_complete) in answers.items()
            if not is_complete
        ]
        merged = _timeline.merge_events(lists)
        return Gathered(tuple(merged), tuple(missing))

    async def _ask(
        self,
        peer: base.InstanceId,
        query: _timeline.EventQuery,
        deadline: float,
    ) -> tuple[list[base.Event], bool]:
        request = json.dumps(attrs.asdict(query)).encode()
        stream = self._mesh.open_stream(peer, METHOD, request, deadline)
        events: list[base.Event] = []
        rest = b""
        while True:
            read = await stream.read()
            if isinstance(read, result.Failure):
                return events, False
            chunk = read.unwrap()
            if chunk is None:
                return events, not rest
            *lines, rest = (rest + chunk).split(b"\n")
            try:
                events += [
                    _timeline.event_from_json(line.decode()) for line in lines
                ]
            except (UnicodeDecodeError, _timeline.TimelineError):
                stream.cancel()
                return events, False

    async def _serve(
        self, sender: base.InstanceId, data: bytes, writer: mesh.StreamWriter
    ) -> None:
        query = _decode_query(data)
        chosen = query.choose(self._recorder.events)[-MAX_GATHERED_EVENTS:]
        for start in range(0, len(chosen), EVENTS_A_TURN):
            piece = chosen[start : start + EVENTS_A_TURN]
            text = "".join(_timeline.event_to_json(e) + "\n" for e in piece)
            await writer.write(text.encode())
            await task.deferLater(self._reactor, 0)


def _decode_query(data: bytes) -> _timeline.EventQuery:
    try:
        fields = json.loads(data)
        return read_query({name: str(text) for name, text in fields.items()})
    except (ValueError, AttributeError, RecursionError) as exc:
        raise mesh.HandlerRefusalError(
            base.Outcome.NOT_RUN, "The query cannot be read."
        ) from exc
