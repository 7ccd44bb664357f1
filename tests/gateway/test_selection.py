"""Tests of endpoint selection."""

import random
import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway

from tests.gateway import test_directory

OWN_DOMAIN = test_directory.FIRST
OTHER_DOMAIN = attrs.evolve(
    OWN_DOMAIN,
    endpoint=base.EndpointId("e2"),
    address="10.0.0.2:80",
    domain=base.FailureDomain("b"),
)


class EndpointPickerTest(unittest.TestCase):
    """Order: no recent failure, then low load, then the own failure domain."""

    def setUp(self) -> None:
        self.picker = gateway.EndpointPicker(
            base.FailureDomain("a"), random.Random(1)
        )

    def pick(self, *tried: str) -> str | None:
        ranked = self.picker.rank((OWN_DOMAIN, OTHER_DOMAIN), tried, now=10.0)
        return ranked[0].endpoint if ranked else None

    def test_own_domain_first(self) -> None:
        self.assertEqual(self.pick(), "e1")

    def test_least_loaded_first(self) -> None:
        self.picker.started(OWN_DOMAIN.endpoint)
        self.assertEqual(self.pick(), "e2")
        self.picker.ended(OWN_DOMAIN.endpoint)
        self.assertEqual(self.pick(), "e1")

    def test_failed_endpoint_last(self) -> None:
        self.picker.failed(OWN_DOMAIN.endpoint, 9.0, 10.0)
        self.assertEqual(self.pick(), "e2")
        self.picker.succeeded(OWN_DOMAIN.endpoint)
        self.assertEqual(self.pick(), "e1")

    def test_one_event_counts_as_one_failure(self) -> None:
        """Guards against a backoff that grows with each request of a reset."""
        for number in range(4):
            self.picker.failed(OWN_DOMAIN.endpoint, 9.0 + 0.1 * number, 10.0)
        candidates = [OWN_DOMAIN, OTHER_DOMAIN]
        for now, first in ((11.4, OTHER_DOMAIN), (11.6, OWN_DOMAIN)):
            ranked = self.picker.rank(candidates, set(), now)
            self.assertEqual(ranked[0].endpoint, first.endpoint)

    def test_tried_endpoints_are_excluded(self) -> None:
        self.assertEqual(self.pick("e1"), "e2")
        self.assertIsNone(self.pick("e1", "e2"))

    def test_draining_endpoint_is_excluded(self) -> None:
        leaving = attrs.evolve(OWN_DOMAIN, state=gateway.EndpointState.DRAINING)
        self.assertEqual(self.picker.rank((leaving,), (), 10.0), [])
