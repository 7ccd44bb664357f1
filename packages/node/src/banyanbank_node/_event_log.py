"""Structured log: one JSON line for each decision, bounded and non-blocking."""

import collections
import json
import os
import typing

import banyanbank_base as base

from banyanbank_node import _meters

LINES_PER_S = 400
"""Lines that a process may write each second; the rest is counted."""

BACKLOG_BYTES = 256 * 1024
"""Bytes that may wait for the reader of the output."""

FLUSH_S = 0.1
"""Seconds that a line may wait before it is written."""

ALWAYS_KEPT = ("process.", "log.", "members.", "leader.", "config.", "dep.")
"""Beginnings of events that are written before others when lines are many."""


class EventLog:
    """Writes events of one process.

    Args:
        instance: Name of the process.
        now: Returns the Unix time that processes agree on, so that their
            lines can be merged.
        reactor: Carries the timer of the writer.
        fd: File descriptor to write to.
        meters: Counts events, also those whose lines are dropped.
    """

    def __init__(
        self,
        instance: str,
        now: typing.Callable[[], float],
        reactor: typing.Any,
        fd: int,
        meters: _meters.Meters,
    ) -> None:
        self._instance = instance
        self._now = now
        self._meters = meters
        self._reactor = reactor
        self._fd = fd
        self._backlog: collections.deque[bytes] = collections.deque()
        self._backlog_bytes = 0
        self._is_due = False
        self._second = 0
        self._lines = 0
        self.dropped: collections.Counter[str] = collections.Counter()
        """Lines that were not written, by event."""
        os.set_blocking(fd, False)

    def write(self, event: str, **fields: typing.Any) -> None:
        """Writes one line.

        Args:
            event: What happened, as `area.verb`.
            fields: The inputs that decided it, and the outcome.
        """
        now = self._now()
        self._meters.count_event(event, fields)
        if not self._has_room(event, int(now)):
            self.dropped[event] += 1
            self._meters.lines_dropped.add(1, event)
            return
        line = {"t": round(now, 4), "instance": self._instance, "event": event}
        line.update(fields)
        data = json.dumps(line, default=str).encode() + b"\n"
        self._backlog.append(data)
        self._backlog_bytes += len(data)
        if not self._is_due:
            self._is_due = True
            self._reactor.callLater(FLUSH_S, self.flush)

    def flush(self) -> None:
        """Writes what the output takes now."""
        self._is_due = False
        while self._backlog:
            data = self._backlog[0]
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                break
            except OSError:
                # Nobody reads the output any more, and nothing can be said.
                self._backlog.clear()
                self._backlog_bytes = 0
                return
            self._backlog_bytes -= written
            if written < len(data):
                self._backlog[0] = data[written:]
                break
            self._backlog.popleft()
        if self._backlog and not self._is_due:
            self._is_due = True
            self._reactor.callLater(FLUSH_S, self.flush)

    def _has_room(self, event: str, second: int) -> bool:
        if second != self._second:
            self._second = second
            self._lines = 0
            if self.dropped:
                counts = dict(self.dropped)
                self.dropped.clear()
                self.write("process.lines_dropped", counts=counts)
        if self._backlog_bytes > BACKLOG_BYTES:
            return False
        self._lines += 1
        return self._lines <= LINES_PER_S or event.startswith(ALWAYS_KEPT)


class LoggedRecorder(base.MemoryRecorder):
    """Time line that also writes changes of the log to the event log.

    Args:
        instance: Name of the process.
        clock: Source of wall time.
        events: Where changes are written.
    """

    CAPACITY = 200

    def __init__(
        self, instance: base.InstanceId, clock: base.Clock, events: EventLog
    ) -> None:
        super().__init__(instance, clock, self.CAPACITY)
        self._events = events

    def _keep(self, event: base.Event) -> None:
        super()._keep(event)
        self._events.write(event.kind, epoch=event.epoch, detail=event.detail)
