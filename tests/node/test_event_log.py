"""Tests of the structured log."""

import json
import os
import unittest

import banyanbank_base as base
from banyanbank_node import _event_log
from banyanbank_node import _meters


class _IdleReactor:
    def callLater(self, *_: object) -> None:  # noqa: N802
        """Ignores the timer; tests call `flush`."""


class EventLogTest(unittest.TestCase):
    """Lines are rate-limited, and a stalled reader does not block writes."""

    def setUp(self) -> None:
        self.read_fd, self.write_fd = os.pipe()
        self.addCleanup(os.close, self.read_fd)
        self.addCleanup(os.close, self.write_fd)
        self.clock = base.ManualClock(100.0)
        self.meters = _meters.Meters(self.clock)
        self.events = _event_log.EventLog(
            "i1", self.clock.now, _IdleReactor(), self.write_fd, self.meters
        )

    def read_lines(self) -> list[dict[str, object]]:
        self.events.flush()
        os.set_blocking(self.read_fd, False)
        try:
            data = os.read(self.read_fd, 1 << 20)
        except BlockingIOError:
            data = b""
        return [json.loads(line) for line in data.splitlines()]

    def test_line(self) -> None:
        self.events.write("area.verb", request="r1", age_ms=3)
        (line,) = self.read_lines()
        self.assertEqual(
            line,
            {
                "t": 100.0,
                "instance": "i1",
                "event": "area.verb",
                "request": "r1",
                "age_ms": 3,
            },
        )

    def test_many_lines_are_counted(self) -> None:
        for _ in range(_event_log.MAX_LINES_PER_S + 50):
            self.events.write("request.answered")
        self.events.write("process.stopping")
        lines = self.read_lines()
        self.assertEqual(len(lines), _event_log.MAX_LINES_PER_S + 1)
        self.assertEqual(lines[-1]["event"], "process.stopping")
        self.clock.advance(1.0)
        self.events.write("request.answered")
        dropped, _ = self.read_lines()
        self.assertEqual(dropped["event"], "process.lines_dropped")
        self.assertEqual(dropped["counts"], {"request.answered": 50})
        self.assertEqual(
            self.meters.lines_dropped.value("request.answered"), 50
        )

    def test_reader_that_stops(self) -> None:
        for _ in range(40):
            self.clock.advance(1.0)
            for _ in range(100):
                self.events.write("request.answered", detail="x" * 200)
            self.events.flush()
        self.assertGreater(sum(self.events.dropped.values()), 0)

    def test_events_are_counted_by_outcome(self) -> None:
        self.events.write("item.run", outcome="lost")
        self.events.write("request.refused", reason="overloaded")
        text = self.meters.registry.render()
        for series in (
            'banyanbank_events_total{event="item.run",outcome="lost"} 1',
            'banyanbank_events_total{event="request.refused",'
            'outcome="overloaded"} 1',
        ):
            self.assertIn(series, text)
