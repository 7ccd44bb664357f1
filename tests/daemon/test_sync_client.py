"""Tests of when a stale configuration ends requests."""

import types
import typing
import unittest

import banyanbank_base as base
import banyanbank_control as control
from banyanbank_daemon._sync import _client
from returns import result
from twisted.internet import task

DEADLINE = 10.05
"""Freshness deadline; it lies between two polls."""


class _FakeMesh:
    """Fake mesh in which no call is answered."""

    instance = base.InstanceId("i5")

    async def call(self, *_: typing.Any) -> result.Result[bytes, typing.Any]:
        return result.Failure(types.SimpleNamespace(detail="no answer"))


class _FakePlane:
    """Fake plane that names a leader."""

    def next_target(self) -> base.InstanceId:
        return base.InstanceId("i1")

    def note_unreachable(self, instance: base.InstanceId) -> None:
        del instance


class SyncClientTest(unittest.TestCase):
    """Keyed requests end once the configuration is surely stale."""

    def setUp(self) -> None:
        self.reactor = task.Clock()
        self.ended_at: list[float] = []
        clock = base.ManualClock()
        clock.now = self.reactor.seconds  # type: ignore[method-assign]
        self.freshness = types.SimpleNamespace(deadline=DEADLINE)
        entry = types.SimpleNamespace(
            freshness=self.freshness,
            request=lambda now: control.SyncRefused(1, None),
            member=types.SimpleNamespace(instance=base.InstanceId("i5")),
        )
        client = _client.SyncClient(
            self.reactor,
            clock,
            typing.cast(typing.Any, _FakeMesh()),
            typing.cast(typing.Any, _FakePlane()),
            typing.cast(typing.Any, entry),
            typing.cast(typing.Any, self),
            None,
        )
        client.start()
        self.addCleanup(client.stop)

    def config_stale(self) -> None:
        """Notes when requests are ended."""
        self.ended_at.append(self.reactor.seconds())

    def run_until(self, at: float) -> None:
        """Lets the loop run, with a timer each 50 ms."""
        while self.reactor.seconds() < at:
            self.reactor.advance(min(0.05, at - self.reactor.seconds()))

    def test_requests_end_in_time(self) -> None:
        self.run_until(DEADLINE + _client.STALE_GRACE_S)
        self.assertEqual(self.ended_at, [])
        latest = DEADLINE + _client.STALE_GRACE_S + control.POLL_INTERVAL_S
        self.run_until(latest)
        self.assertEqual(len(self.ended_at), 1)

    def test_instance_that_was_held_up(self) -> None:
        """Requests do not end before what has arrived is read.

        Guards against requests that are ended when an instance runs again,
        whose answers, and those of its polls, have arrived meanwhile.
        """
        for name, is_answered, ended in (
            ("poll answered", True, 0),
            ("no answer", False, 1),
        ):
            with self.subTest(name):
                self.setUp()
                self.run_until(DEADLINE - 1.0)
                self.reactor.advance(1.0 + _client.STALE_GRACE_S + 1.0)
                self.assertEqual(self.ended_at, [])
                runs_again_at = self.reactor.seconds()
                self.run_until(runs_again_at + 0.1)
                self.assertEqual(self.ended_at, [])
                if is_answered:
                    self.freshness.deadline = runs_again_at + 2.0
                latest = _client.STALE_SEEN_S + control.POLL_INTERVAL_S
                self.run_until(runs_again_at + latest)
                self.assertEqual(len(self.ended_at), ended)
