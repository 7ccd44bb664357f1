"""Tests of the reactor's timers."""

import asyncio
import gc
import time
import unittest
from unittest import mock
import weakref

import banyanbank_mesh as mesh
from twisted import logger

from tests import support


class _Connection:
    """Logs what it meets, as Twisted's connections do."""

    log = logger.Logger()

    def __init__(self) -> None:
        self.log.info("Ignoring unexpected response")


class LoggingTest(unittest.TestCase):
    """Events of Twisted's logger hold nothing in memory.

    Guards against connections that are kept with the requests they sent, since
    an interim answer was logged.
    """

    def test_source_of_an_event(self) -> None:
        support.event_loop()
        source = weakref.ref(_Connection())
        gc.collect()
        self.assertIsNone(source())


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
