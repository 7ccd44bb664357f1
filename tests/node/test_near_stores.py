"""Tests which store an entry reads results from."""

import random
import typing
import unittest

import banyanbank_base as base
from banyanbank_node import _messages
from banyanbank_node import _near_stores
from returns import result
from twisted.internet import defer

HERE = base.FailureDomain("here")
THERE = base.FailureDomain("there")
A, B, C = (base.InstanceId(f"127.0.1.{n}:7000") for n in (1, 2, 3))


class _FakeClient:
    """Fake client; stores without a domain do not answer."""

    def __init__(self) -> None:
        self.domains: dict[base.InstanceId, base.FailureDomain] = {}
        self.asked: list[base.InstanceId] = []

    async def call_store(
        self, store: base.InstanceId, *_: typing.Any
    ) -> result.Result[_messages.StoreDomain, str]:
        self.asked.append(store)
        if store not in self.domains:
            return result.Failure("silent")
        return result.Success(_messages.StoreDomain(self.domains[store]))


class NearStoresTest(unittest.TestCase):
    """Reads stay in the entry's failure domain where they can."""

    def setUp(self) -> None:
        self.clock = base.ManualClock()
        self.client = _FakeClient()
        self.near_stores = _near_stores.NearStores(
            self.clock,
            typing.cast(typing.Any, self.client),
            HERE,
            random.Random(1),
        )

    def learn(self, *stores: base.InstanceId) -> None:
        defer.ensureDeferred(self.near_stores.learn(stores))

    def test_choice(self) -> None:
        cases = (
            ("nothing known", {}, A, None),
            ("follower here", {A: THERE, B: HERE}, A, B),
            ("leader here", {A: HERE, B: HERE}, A, None),
            ("no leader known", {A: THERE, B: HERE}, None, B),
            ("none here", {A: THERE, B: THERE}, A, None),
        )
        for name, domains, leader, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.client.domains = domains
                self.learn(A, B)
                self.assertEqual(self.near_stores.choose(leader), expected)

    def test_store_that_left_is_forgotten(self) -> None:
        self.client.domains = {A: THERE, B: HERE}
        self.learn(A, B)
        self.learn(A, C)
        self.assertIsNone(self.near_stores.choose(A))

    def test_silent_store_is_asked_again_later(self) -> None:
        self.learn(A)
        self.learn(A)
        self.assertEqual(self.client.asked, [A])
        self.clock.advance(_near_stores.ASK_INTERVAL_S)
        self.client.domains = {A: HERE}
        self.learn(A)
        self.learn(A)
        self.assertEqual(self.client.asked, [A, A])
        self.assertEqual(self.near_stores.choose(B), A)


if __name__ == "__main__":
    unittest.main()
