"""Tests of finding the leader among the stores."""

import typing
import unittest

import banyanbank_base as base
import banyanbank_mesh as mesh
from banyanbank_node import _messages
from banyanbank_node import _store_client
from returns import result
from twisted.internet import defer
from twisted.internet import task

STORES = tuple(
    base.InstanceId(f"127.0.1.{number}:7000") for number in (1, 2, 3)
)
FROZEN, FOLLOWER, NEXT = STORES
STEP_S = 0.05


class _Stores:
    """Stores as the client reaches them; one never answers."""

    instance = base.InstanceId("127.0.2.1:7000")

    def __init__(self, clock: task.Clock) -> None:
        self._clock = clock
        self.asked: list[base.InstanceId] = []
        self.leader = FROZEN

    def set_peer(self, *_: typing.Any) -> None:
        """Knows every store already."""

    def call(
        self, peer: base.InstanceId, method: str, data: bytes, deadline: float
    ) -> defer.Deferred[typing.Any]:
        self.asked.append(peer)
        answered: defer.Deferred[typing.Any] = defer.Deferred()
        if peer == FROZEN:
            error = mesh.CallError(
                mesh.CallErrorKind.DEADLINE, base.Outcome.MAY_HAVE_RUN, "silent"
            )
            wait_s = deadline - self._clock.seconds()
            self._clock.callLater(
                wait_s, answered.callback, result.Failure(error)
            )
            return answered
        payload = None
        if peer == self.leader:
            payload = _messages.CODEC.encode(_messages.Accepted())
        answer = _messages.StoreAnswer(str(self.leader), payload)
        answered.callback(result.Success(_messages.CODEC.encode(answer)))
        return answered


class StoreClientTest(unittest.TestCase):
    """A leader that fell silent holds a caller up once."""

    def setUp(self) -> None:
        self.clock = task.Clock()
        self.stores = _Stores(self.clock)
        steady = base.ManualClock()
        steady.now = self.clock.seconds  # type: ignore[method-assign]
        self.client = _store_client.StoreClient(
            self.clock, steady, typing.cast(typing.Any, self.stores), STORES
        )

    def call(self, limit_s: float) -> tuple[bool, float]:
        """Returns whether a leader answered, and after how many seconds."""
        began_at = self.clock.seconds()
        running = defer.ensureDeferred(
            self.client.call(
                "method", _messages.Accepted(), began_at + limit_s, 0.8
            )
        )
        while not running.called:
            self.clock.advance(STEP_S)
        answered = isinstance(running.result, result.Success)
        return answered, self.clock.seconds() - began_at

    def test_frozen_leader_is_asked_once(self) -> None:
        # Its followers name it until they elect another one after 1.2 s.
        self.clock.callLater(1.2, setattr, self.stores, "leader", NEXT)
        answered, took_s = self.call(limit_s=3.0)
        self.assertTrue(answered)
        self.assertEqual(self.stores.asked.count(FROZEN), 1)
        self.assertLess(took_s, 1.5)

    def test_hint_is_followed(self) -> None:
        self.stores.leader = NEXT
        self.client.know_stores((FOLLOWER, NEXT))
        self.assertEqual(self.call(limit_s=3.0)[0], True)
        self.assertEqual(self.client.leader, NEXT)

    def test_no_leader(self) -> None:
        answered, took_s = self.call(limit_s=2.0)
        self.assertFalse(answered)
        self.assertLess(took_s, 2.2)
