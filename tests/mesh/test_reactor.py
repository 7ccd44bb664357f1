"""Tests of the reactor's timers."""

import asyncio
import time
import unittest
from unittest import mock

import banyanbank_mesh as mesh


class SteadyReactorTest(unittest.TestCase):
    """Timers go by the steady clock, whatever the time of day does."""

    def test_timers(self) -> None:
        loop = asyncio.new_event_loop()
        self.addCleanup(loop.close)
        reactor = mesh.SteadyReactor(loop)
        with mock.patch.object(time, "monotonic", lambda: 50.0):
            call = reactor.callLater(2.0, lambda: None)
            self.assertEqual(call.getTime(), 52.0)
            with mock.patch.object(time, "time", lambda: 9e9):
                self.assertEqual(reactor.seconds(), 50.0)
            call.cancel()
