"""Tests of the directory of endpoints."""

import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
from banyanbank_gateway import _ended_incarnations

from tests.gateway import samples

FIRST = samples.make_announcement("e1")
DRAINING = attrs.evolve(FIRST, state=gateway.EndpointState.DRAINING, sequence=5)


class DirectoryTest(unittest.TestCase):
    """Delayed and reordered announcements do not replace newer ones."""

    def setUp(self) -> None:
        self.directory = gateway.Directory()

    def apply(self, *announcements: gateway.Announcement) -> None:
        for one in announcements:
            self.directory.apply(one, now=0.0)

    def list_announcements(self) -> list[gateway.Announcement]:
        return self.directory.all()

    def test_order_of_arrival(self) -> None:
        restarted = attrs.evolve(FIRST, born_ms=2_000, sequence=1)
        for name, announcements, want in (
            ("in order", (FIRST, DRAINING), DRAINING),
            ("late", (DRAINING, FIRST), DRAINING),
            ("restart resets the sequence", (DRAINING, restarted), restarted),
            ("late, earlier incarnation", (restarted, DRAINING), restarted),
        ):
            with self.subTest(name):
                self.directory = gateway.Directory()
                self.apply(*announcements)
                self.assertEqual(self.list_announcements(), [want])

    def test_shared_address(self) -> None:
        successor = attrs.evolve(
            FIRST, endpoint=base.EndpointId("e2"), born_ms=9_000, sequence=1
        )
        for announcements in ((FIRST, successor), (successor, FIRST)):
            with self.subTest(first=announcements[0].endpoint):
                self.directory = gateway.Directory()
                self.apply(*announcements)
                self.assertEqual(self.list_announcements(), [successor])

    def test_withdrawn_endpoint_is_not_listed_again(self) -> None:
        self.apply(FIRST)
        self.assertTrue(self.directory.withdraw(FIRST.endpoint, 1.0, 5_000))
        self.apply(DRAINING)
        self.assertEqual(self.list_announcements(), [])
        restarted = attrs.evolve(FIRST, born_ms=2_000, sequence=1)
        self.apply(restarted)
        self.assertEqual(self.list_announcements(), [restarted])

    def test_endpoint_withdrawn_while_unknown_is_not_listed(self) -> None:
        """Guards against a late heartbeat that brings an endpoint back."""
        for name, is_expired in (("never known", False), ("expired", True)):
            with self.subTest(name):
                self.directory = gateway.Directory()
                if is_expired:
                    self.apply(FIRST)
                    self.directory.expire(now=9.0)
                withdrawn_ms = FIRST.born_ms + 500
                known = self.directory.withdraw(
                    FIRST.endpoint, 10.0, withdrawn_ms
                )
                self.assertFalse(known)
                self.apply(DRAINING)
                self.assertEqual(self.list_announcements(), [])
                born_ms = withdrawn_ms + 1
                restarted = attrs.evolve(FIRST, born_ms=born_ms, sequence=1)
                self.apply(restarted)
                self.assertEqual(self.list_announcements(), [restarted])

    def test_endpoint_that_states_its_departure(self) -> None:
        """Guards against requests to an endpoint that says it leaves."""
        draining = gateway.EndpointState.DRAINING
        ready = gateway.EndpointState.READY
        later = attrs.evolve(FIRST, sequence=9)
        restarted = attrs.evolve(FIRST, born_ms=FIRST.born_ms + 1, sequence=1)
        renamed = attrs.evolve(FIRST, endpoint=base.EndpointId("e9"))
        for name, before, after, want in (
            ("known", (FIRST,), (), draining),
            ("late heartbeat", (FIRST,), (later,), draining),
            ("snapshot of another instance", (), (FIRST,), draining),
            ("restart under its name", (FIRST,), (restarted,), ready),
            ("late, earlier incarnation", (restarted,), (later,), ready),
            ("another name at its address", (), (renamed,), ready),
        ):
            with self.subTest(name):
                self.directory = gateway.Directory()
                self.apply(*before)
                marked = self.directory.mark_leaving(
                    FIRST.endpoint, FIRST.born_ms, 0.0
                )
                self.assertTrue(marked)
                self.apply(*after)
                (found,) = self.list_announcements()
                self.assertIs(found.state, want)
                again = self.directory.mark_leaving(
                    FIRST.endpoint, FIRST.born_ms, 0.0
                )
                self.assertFalse(again)

    def test_how_long_departures_are_remembered(self) -> None:
        for name, seconds, is_known, want in (
            ("a short time", 100.0, False, gateway.EndpointState.DRAINING),
            ("a long time", 130.0, False, gateway.EndpointState.READY),
            ("while it is known", 130.0, True, gateway.EndpointState.DRAINING),
        ):
            with self.subTest(name):
                self.directory = gateway.Directory()
                self.directory.mark_leaving(FIRST.endpoint, FIRST.born_ms, 0.0)
                for second in range(int(seconds)):
                    if is_known:
                        heard = attrs.evolve(FIRST, sequence=second)
                        self.directory.apply(heard, float(second))
                    self.directory.expire(float(second))
                self.directory.expire(seconds)
                last = attrs.evolve(FIRST, sequence=1000)
                self.directory.apply(last, seconds)
                self.assertIs(self.list_announcements()[0].state, want)

    def test_number_of_remembered_departures(self) -> None:
        count = _ended_incarnations.MAX_REMEMBERED + 1
        for number in range(count):
            name = base.EndpointId(f"e{number}")
            self.directory.mark_leaving(name, FIRST.born_ms, 0.001 * number)
        for name, want in (
            ("e0", gateway.EndpointState.READY),
            ("e1", gateway.EndpointState.DRAINING),
            (f"e{count - 1}", gateway.EndpointState.DRAINING),
        ):
            endpoint = base.EndpointId(name)
            address = f"10.0.0.9:{name[1:]}"
            self.apply(attrs.evolve(FIRST, endpoint=endpoint, address=address))
            found = self.directory.get(endpoint)
            assert found is not None
            self.assertIs(found.state, want, name)

    def test_expiry(self) -> None:
        self.apply(FIRST)
        self.assertEqual(self.directory.expire(4.0), [])
        self.assertEqual(self.directory.expire(6.0), [FIRST])
        self.assertEqual(self.list_announcements(), [])

    def test_revision_increases_only_with_routing_changes(self) -> None:
        self.apply(FIRST)
        before = self.directory.revision
        self.apply(attrs.evolve(FIRST, sequence=6))
        self.assertEqual(self.directory.revision, before)
        self.apply(attrs.evolve(DRAINING, sequence=7))
        self.assertGreater(self.directory.revision, before)

    def test_refresh_from_a_leader(self) -> None:
        other = attrs.evolve(
            FIRST, endpoint=base.EndpointId("e2"), address="10.0.0.2:80"
        )
        for keep_unlisted, want in ((True, 2), (False, 1)):
            with self.subTest(keep_unlisted=keep_unlisted):
                self.directory = gateway.Directory()
                self.apply(FIRST, other)
                self.directory.renew({FIRST.endpoint}, keep_unlisted, 3.0)
                self.assertEqual(len(self.directory), want)
                self.directory.expire(7.0)
                self.assertEqual(self.list_announcements(), [FIRST])

    def test_incarnation_ended_by_a_leader(self) -> None:
        self.apply(FIRST)
        self.directory.end_incarnation(FIRST.endpoint, 1_000, 1.0)
        self.apply(DRAINING)
        self.assertEqual(self.list_announcements(), [])
        self.assertEqual(
            self.directory.ended(),
            [gateway.EndedIncarnation(FIRST.endpoint, 1_000)],
        )

    def test_renewal_postpones_expiry(self) -> None:
        self.apply(FIRST)
        self.directory.renew_all(20.0)
        self.assertEqual(self.directory.expire(24.0), [])
