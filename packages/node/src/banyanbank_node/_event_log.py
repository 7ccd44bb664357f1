"""Structured event log: JSON lines, rate-limited and written non-blocking."""

import collections
import json
import os
import typing

import banyanbank_base as base

from banyanbank_node import _meters

MAX_LINES_PER_S = 400
"""Rate limit; lines above it are dropped and counted."""

MAX_BACKLOG_BYTES = 256 * 1024
"""Size of the backlog above which new lines are dropped."""

FLUSH_DELAY_S = 0.1
"""Delay after which buffered lines are written."""

UNLIMITED_PREFIXES = (
    "process.",
    "log.",
    "members.",
    "leader.",
    "config.",
    "dep.",
)
"""Prefixes of events that are exempt from the rate limit."""


class EventLog:
    """Writes the events of one process to a file descriptor.

    Args:
        instance: Name of the process.
        now: Returns the Unix time synchronized among the processes, by which
            their lines can be merged.
        reactor: Twisted reactor for the flush timer.
        fd: File descriptor to write to; it is set to non-blocking mode.
        meters: Counts all events, including those whose lines are dropped.
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
        self._is_flush_scheduled = False
        self._current_second = 0
        self._lines_this_second = 0
        self.dropped: collections.Counter[str] = collections.Counter()
        """Lines dropped since the last `process.lines_dropped`, by event."""
        os.set_blocking(fd, False)

    def write(self, event: str, **fields: typing.Any) -> None:
        """Queues one line, or drops it if a limit is exceeded.

        Args:
            event: Name of the event, as `area.verb`.
            fields: Inputs of the decision and its outcome.
        """
        now = self._now()
        self._meters.count_event(event, fields)
        if not self._admit_line(event, int(now)):
            self.dropped[event] += 1
            self._meters.lines_dropped.add(1, event)
            return
        line = {"t": round(now, 4), "instance": self._instance, "event": event}
        line.update(fields)
        data = json.dumps(line, default=str).encode() + b"\n"
        self._backlog.append(data)
        self._backlog_bytes += len(data)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._reactor.callLater(FLUSH_DELAY_S, self.flush)

    def flush(self) -> None:
        """Writes as much of the backlog as the output accepts now."""
        self._is_flush_scheduled = False
        while self._backlog:
            data = self._backlog[0]
            try:
                written = os.write(self._fd, data)
            except BlockingIOError:
                break
            except OSError:
                # The reader closed the output: the backlog cannot be written.
                self._backlog.clear()
                self._backlog_bytes = 0
                return
            self._backlog_bytes -= written
            if written < len(data):
                self._backlog[0] = data[written:]
                break
            self._backlog.popleft()
        if self._backlog and not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._reactor.callLater(FLUSH_DELAY_S, self.flush)

    def _admit_line(self, event: str, second: int) -> bool:
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
            if self.dropped:
                counts = dict(self.dropped)
                self.dropped.clear()
                self.write("process.lines_dropped", counts=counts)
        if self._backlog_bytes > MAX_BACKLOG_BYTES:
            return False
        self._lines_this_second += 1
        return self._lines_this_second <= MAX_LINES_PER_S or event.startswith(
            UNLIMITED_PREFIXES
        )


class LoggedRecorder(base.MemoryRecorder):
    """Recorder that also writes its events to the event log.

    Args:
        instance: Name of the process.
        clock: Source of Unix time.
        events: Event log to write to.
    """

    MAX_EVENTS = 200

    def __init__(
        self, instance: base.InstanceId, clock: base.Clock, events: EventLog
    ) -> None:
        super().__init__(instance, clock, self.MAX_EVENTS)
        self._events = events

    def _keep(self, event: base.Event) -> None:
        super()._keep(event)
        self._events.write(event.kind, epoch=event.epoch, detail=event.detail)
