"""Tests of how the client finds the leader among the stores."""

import typing
import unittest

import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_mesh as mesh
from banyanbank_node import _messages
from banyanbank_node import _store_client
from returns import result
from twisted.internet import defer
from twisted.internet import task

STORES = tuple(
    base.InstanceId(f"127.0.1.{number}:7000") for number in (1, 2, 3)
)
FROZEN, FOLLOWER, SUCCESSOR = STORES
STEP_S = 0.05


class _FakeMesh:
    """Fake mesh; calls to the frozen store time out."""

    instance = base.InstanceId("127.0.2.1:7000")

    def __init__(self, clock: task.Clock) -> None:
        self._clock = clock
        self.called_stores: list[base.InstanceId] = []
        self.leader = FROZEN
        self.names: dict[base.InstanceId, base.InstanceId] = {}
        self.is_silent = True
        self.error_kind = mesh.CallErrorKind.DEADLINE

    def set_peer(self, *_: typing.Any) -> None:
        """Does nothing: all stores are reachable."""

    def call(
        self, peer: base.InstanceId, method: str, data: bytes, deadline: float
    ) -> defer.Deferred[typing.Any]:
        self.called_stores.append(peer)
        response: defer.Deferred[typing.Any] = defer.Deferred()
        if peer == FROZEN and self.is_silent:
            error = mesh.CallError(
                self.error_kind, base.Outcome.MAY_HAVE_RUN, "silent"
            )
            is_late = self.error_kind is mesh.CallErrorKind.DEADLINE
            wait_s = deadline - self._clock.seconds() if is_late else 0.0
            self._clock.callLater(
                wait_s, response.callback, result.Failure(error)
            )
            return response
        payload = None
        if peer == self.leader:
            payload = _messages.CODEC.encode(_messages.Accepted())
        named = self.names.get(peer, self.leader)
        answer = _messages.StoreAnswer(str(named), payload)
        response.callback(result.Success(_messages.CODEC.encode(answer)))
        return response


class StoreClientTest(unittest.TestCase):
    """An unresponsive leader delays a caller by one attempt at most."""

    def setUp(self) -> None:
        self.clock = task.Clock()
        self.stores = _FakeMesh(self.clock)
        monotonic_clock = base.ManualClock()
        monotonic_clock.now = self.clock.seconds  # type: ignore[method-assign]
        self.client = _store_client.StoreClient(
            self.clock,
            monotonic_clock,
            typing.cast(typing.Any, self.stores),
            STORES,
        )

    def call(self, limit_s: float) -> tuple[bool, float]:
        """Returns whether a leader answered, and the duration in seconds."""
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
        # Followers name the frozen leader until they elect another after 1.2 s.
        self.clock.callLater(1.2, setattr, self.stores, "leader", SUCCESSOR)
        answered, took_s = self.call(limit_s=3.0)
        self.assertTrue(answered)
        self.assertEqual(self.stores.called_stores.count(FROZEN), 1)
        self.assertLess(took_s, 1.5)

    def test_leader_that_stalled_is_asked_again(self) -> None:
        """Guards against polling followers for seconds that name a leader.

        They would name it no longer if they had not heard from it.
        """
        for name, kind, silent_s, most_s in (
            ("stall", mesh.CallErrorKind.DEADLINE, 0.9, 1.5),
            ("lost link", mesh.CallErrorKind.DISCONNECTED, 0.1, 0.5),
            ("refused connection", mesh.CallErrorKind.UNREACHABLE, 0.5, 1.0),
        ):
            with self.subTest(name):
                self.setUp()
                self.stores.error_kind = kind
                self.clock.callLater(
                    silent_s, setattr, self.stores, "is_silent", False
                )
                answered, took_s = self.call(limit_s=4.0)
                self.assertTrue(answered)
                self.assertLess(took_s, most_s)

    def test_followers_name_a_silent_leader_for_a_shorter_time(self) -> None:
        self.assertGreater(
            _store_client.SILENCE_AVOIDANCE_S, consensus.MAX_ELECTION_TIMEOUT_S
        )

    def test_leader_is_not_blamed_for_the_freeze_of_the_caller(self) -> None:
        running = defer.ensureDeferred(
            self.client.call("method", _messages.Accepted(), 0.8, 0.8)
        )
        self.clock.advance(STEP_S)
        self.assertEqual(self.stores.called_stores[-1], FROZEN)
        self.clock.advance(6.0)
        self.clock.advance(STEP_S)
        self.assertTrue(running.called)
        self.stores.called_stores.clear()
        self.stores.is_silent = False
        answered, took_s = self.call(limit_s=3.0)
        self.assertTrue(answered)
        self.assertLess(took_s, 0.3)
        self.assertEqual(self.stores.called_stores[-1], FROZEN)

    def test_hint_is_followed_at_once(self) -> None:
        """Guards against a delay of each entry's first configuration."""
        self.client.set_seeds((FOLLOWER,))
        self.stores.leader = SUCCESSOR
        running = defer.ensureDeferred(
            self.client.call("method", _messages.Accepted(), 3.0)
        )
        self.assertTrue(running.called)
        self.assertEqual(self.stores.called_stores, [FOLLOWER, SUCCESSOR])

    def test_stores_that_name_each_other(self) -> None:
        """Guards against calls without a pause while no store leads."""
        self.stores.names = {FOLLOWER: SUCCESSOR, SUCCESSOR: FOLLOWER}
        self.client.set_seeds((FOLLOWER, SUCCESSOR))
        self.assertFalse(self.call(limit_s=1.0)[0])
        most = 2 * round(1.0 / _store_client.RETRY_DELAY_S)
        self.assertLessEqual(len(self.stores.called_stores), most)

    def test_hint_is_followed(self) -> None:
        self.stores.leader = SUCCESSOR
        self.client.set_stores((FOLLOWER, SUCCESSOR))
        self.assertEqual(self.call(limit_s=3.0)[0], True)
        self.assertEqual(self.client.leader, SUCCESSOR)

    def test_store_is_not_blamed_for_an_attempt_that_had_less_time(
        self,
    ) -> None:
        answered, _ = self.call(limit_s=0.3)
        self.assertFalse(answered)
        self.stores.is_silent = False
        self.stores.called_stores.clear()
        answered, _ = self.call(limit_s=0.3)
        self.assertTrue(answered)
        self.assertEqual(self.stores.called_stores, [FROZEN])

    def test_relayed_call_blames_no_store(self) -> None:
        """Guards against entries that keep a store from its leader."""
        for name, is_relayed, asked_next in (
            ("own call", False, FOLLOWER),
            ("relayed call", True, FROZEN),
        ):
            with self.subTest(name):
                self.setUp()
                self.client.follow_leader(FROZEN)
                running = defer.ensureDeferred(
                    self.client.call_raw(
                        "method", b"", 0.8, 0.8, is_relayed=is_relayed
                    )
                )
                while not running.called:
                    self.clock.advance(STEP_S)
                # The store is blamed only if it had all of the time.
                self.assertEqual(self.stores.called_stores, [FROZEN])
                self.stores.is_silent = False
                self.stores.called_stores.clear()
                answered, _ = self.call(limit_s=0.8)
                self.assertTrue(answered)
                self.assertEqual(self.stores.called_stores[0], asked_next)

    def test_own_handler_that_takes_long(self) -> None:
        """Guards against a leader that answers an operator seconds late.

        The handler has no time limit of its own, or a longer one.
        """
        self.stores.instance = self.stores.leader = FOLLOWER
        self.client.follow_leader(FOLLOWER)
        sent: list[bytes] = []
        never: defer.Deferred[bytes] = defer.Deferred()

        async def hang(data: bytes) -> bytes:
            sent.append(data)
            return await never

        self.client.set_local_handler("method", hang)
        for attempt_timeout_s in (0.8, 2.0):
            for is_relayed in (False, True):
                with self.subTest(attempt_timeout_s, is_relayed=is_relayed):
                    sent.clear()
                    running = defer.ensureDeferred(
                        self.client.call_raw(
                            "method",
                            b"x",
                            self.clock.seconds() + 0.9,
                            attempt_timeout_s,
                            is_relayed=is_relayed,
                        )
                    )
                    self.clock.pump([STEP_S] * 20)
                    self.assertTrue(running.called)
                    error = typing.cast(typing.Any, running.result).failure()
                    self.assertTrue(error.may_have_run)
                    self.assertEqual(error.asked, {FOLLOWER: "deadline"})
                    # It is not proposed again, and this store still leads.
                    self.assertEqual(sent, [b"x"])
                    self.assertEqual(self.client.leader, FOLLOWER)
                    self.assertIn(FOLLOWER, self.client.responsive_stores)
        self.assertEqual(self.stores.called_stores, [])

    def test_error_has_the_last_reply_of_each_store(self) -> None:
        running = defer.ensureDeferred(
            self.client.call("method", _messages.Accepted(), 1.0, 0.8)
        )
        while not running.called:
            self.clock.advance(STEP_S)
        self.assertEqual(
            typing.cast(typing.Any, running.result).failure().asked,
            {
                FROZEN: "deadline",
                FOLLOWER: f"names {FROZEN}",
                SUCCESSOR: f"names {FROZEN}",
            },
        )

    def test_error_of_a_call_to_one_store(self) -> None:
        """Guards against callers that cannot tell why a store failed."""
        running = defer.ensureDeferred(
            self.client.call_store(FROZEN, "method", _messages.Accepted(), 0.5)
        )
        while not running.called:
            self.clock.advance(STEP_S)
        self.assertEqual(
            typing.cast(typing.Any, running.result).failure().asked,
            {FROZEN: "deadline"},
        )

    def test_no_leader(self) -> None:
        answered, took_s = self.call(limit_s=2.0)
        self.assertFalse(answered)
        self.assertLess(took_s, 2.2)
