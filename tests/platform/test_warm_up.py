"""Tests of the work that the start of a process puts off."""

import json
import os
import unittest

import banyanbank_base as base
import banyanbank_node as node
from banyanbank_node import _meters
from banyanbank_platform import _warm_up
from twisted.internet import task


class WarmUpTest(unittest.TestCase):
    """The work is done once, soon, and whatever fails of it."""

    def setUp(self) -> None:
        self.clock = task.Clock()
        reading, writing = os.pipe()
        self.addCleanup(os.close, writing)
        self.log = os.fdopen(reading)
        self.addCleanup(self.log.close)
        self.events = node.EventLog(
            "entry-1",
            self.clock.seconds,
            self.clock,
            writing,
            _meters.Meters(base.ManualClock()),
        )
        self.warm_up = _warm_up.WarmUp(self.clock, self.events)
        self.done: list[str] = []
        self.warm_up._steps = iter([self._fail, self._succeed])

    def _fail(self) -> None:
        self.done.append("failed")
        raise ImportError("no such module")

    def _succeed(self) -> None:
        self.done.append("succeeded")

    def _advance(self, seconds: float) -> None:
        steps = round(seconds / _warm_up.PAUSE_S)
        self.clock.pump([_warm_up.PAUSE_S] * steps)

    def test_when_it_begins(self) -> None:
        both = ["failed", "succeeded"]
        for name, status, seconds, expected in (
            ("after the first answer", 200, 0.1, both),
            ("not after a refusal", 503, 0.1, []),
            ("not after a lost caller", 0, 0.1, []),
            ("latest without an answer", 503, 2.0, both),
        ):
            with self.subTest(name):
                self.setUp()
                self.warm_up.schedule()
                self.warm_up.note_answer("/", status, 0.01)
                self.warm_up.note_answer("/", status, 0.01)
                self._advance(seconds)
                self.assertEqual(self.done, expected)

    def test_shutdown_ends_it(self) -> None:
        self.warm_up.schedule()
        self.warm_up.stop()
        self.warm_up.note_answer("/", 200, 0.01)
        self._advance(2.0)
        self.assertEqual(self.done, [])
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_failure_is_logged(self) -> None:
        """Guards against a deferred import that fails unnoticed."""
        self.warm_up.schedule()
        self._advance(2.0)
        self.events.flush()
        line = json.loads(self.log.readline())
        self.assertEqual(line["event"], "process.defect")
        self.assertIn("no such module", line["why"])


if __name__ == "__main__":
    unittest.main()
