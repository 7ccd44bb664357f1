"""Tests of the choice of an endpoint."""

import random
import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway

from tests.gateway import test_directory

NEAR = test_directory.FIRST
FAR = attrs.evolve(
    NEAR,
    endpoint=base.EndpointId("e2"),
    address="10.0.0.2:80",
    domain=base.FailureDomain("b"),
)


class EndpointPickerTest(unittest.TestCase):
    """Sound before suspect, idle before busy, near before far."""

    def setUp(self) -> None:
        self.picker = gateway.EndpointPicker(
            base.FailureDomain("a"), random.Random(1)
        )

    def pick(self, *tried: str) -> str | None:
        picked = self.picker.pick((NEAR, FAR), tried, now=10.0)
        return None if picked is None else picked.endpoint

    def test_near(self) -> None:
        self.assertEqual(self.pick(), "e1")

    def test_idle(self) -> None:
        self.picker.started(NEAR.endpoint)
        self.assertEqual(self.pick(), "e2")
        self.picker.ended(NEAR.endpoint)
        self.assertEqual(self.pick(), "e1")

    def test_suspect(self) -> None:
        self.picker.failed(NEAR.endpoint, 10.0)
        self.assertEqual(self.pick(), "e2")
        self.picker.succeeded(NEAR.endpoint)
        self.assertEqual(self.pick(), "e1")

    def test_tried(self) -> None:
        self.assertEqual(self.pick("e1"), "e2")
        self.assertIsNone(self.pick("e1", "e2"))

    def test_draining(self) -> None:
        leaving = attrs.evolve(NEAR, state=gateway.EndpointState.DRAINING)
        self.assertIsNone(self.picker.pick((leaving,), (), 10.0))
