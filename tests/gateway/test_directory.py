"""Tests of the directory of endpoints."""

import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway

from tests.gateway import samples

FIRST = samples.make_said("e1")
DRAINING = attrs.evolve(FIRST, state=gateway.EndpointState.DRAINING, sequence=5)


class DirectoryTest(unittest.TestCase):
    """The newest word of the newest life counts, whatever way it took."""

    def setUp(self) -> None:
        self.directory = gateway.Directory()

    def hear(self, *said: gateway.Announcement) -> None:
        for one in said:
            self.directory.announce(one, now=0.0)

    def known(self) -> list[gateway.Announcement]:
        return self.directory.all()

    def test_order_of_arrival(self) -> None:
        reborn = attrs.evolve(FIRST, born_ms=2_000, sequence=1)
        for name, said, want in (
            ("in order", (FIRST, DRAINING), DRAINING),
            ("late", (DRAINING, FIRST), DRAINING),
            ("new life counts anew", (DRAINING, reborn), reborn),
            ("late word of an earlier life", (reborn, DRAINING), reborn),
        ):
            with self.subTest(name):
                self.directory = gateway.Directory()
                self.hear(*said)
                self.assertEqual(self.known(), [want])

    def test_shared_address(self) -> None:
        successor = attrs.evolve(
            FIRST, endpoint=base.EndpointId("e2"), born_ms=9_000, sequence=1
        )
        for said in ((FIRST, successor), (successor, FIRST)):
            with self.subTest(said=said[0].endpoint):
                self.directory = gateway.Directory()
                self.hear(*said)
                self.assertEqual(self.known(), [successor])

    def test_withdrawn_stays_away(self) -> None:
        self.hear(FIRST)
        self.assertTrue(self.directory.withdraw(FIRST.endpoint, 1.0))
        self.hear(DRAINING)
        self.assertEqual(self.known(), [])
        reborn = attrs.evolve(FIRST, born_ms=2_000, sequence=1)
        self.hear(reborn)
        self.assertEqual(self.known(), [reborn])

    def test_silence(self) -> None:
        self.hear(FIRST)
        self.assertEqual(self.directory.expire(4.0), [])
        self.assertEqual(self.directory.expire(6.0), [FIRST])
        self.assertEqual(self.known(), [])

    def test_revision_rises_only_with_news(self) -> None:
        self.hear(FIRST)
        before = self.directory.revision
        self.hear(attrs.evolve(FIRST, sequence=6))
        self.assertEqual(self.directory.revision, before)
        self.hear(attrs.evolve(DRAINING, sequence=7))
        self.assertGreater(self.directory.revision, before)

    def test_following_a_leader(self) -> None:
        other = attrs.evolve(
            FIRST, endpoint=base.EndpointId("e2"), address="10.0.0.2:80"
        )
        for keep_others, want in ((True, 2), (False, 1)):
            with self.subTest(keep_others=keep_others):
                self.directory = gateway.Directory()
                self.hear(FIRST, other)
                self.directory.refresh({FIRST.endpoint}, keep_others, 3.0)
                self.assertEqual(len(self.directory), want)
                self.directory.expire(7.0)
                self.assertEqual(self.known(), [FIRST])

    def test_end_of_a_life_told_by_a_leader(self) -> None:
        self.hear(FIRST)
        self.directory.end_life(FIRST.endpoint, 1_000, 1.0)
        self.hear(DRAINING)
        self.assertEqual(self.known(), [])
        self.assertEqual(self.directory.ended(), [(FIRST.endpoint, 1_000)])

    def test_endpoints_are_kept_while_nobody_tells_of_them(self) -> None:
        self.hear(FIRST)
        self.directory.hold(20.0)
        self.assertEqual(self.directory.expire(24.0), [])
