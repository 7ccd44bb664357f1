"""Tests of incarnations that end while their endpoints start again."""

import itertools
import typing
import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
from banyanbank_gateway import _ended_incarnations

from tests.gateway import samples

BEAT_S = 1.2
"""Interval between the announcements of an endpoint."""

FORMER = samples.make_announcement("e1", born_ms=40_000, sequence=50)
"""Last announcement of an incarnation that is removed 60 s after its start."""

PRESENT = attrs.evolve(FORMER, born_ms=101_000, sequence=1)
"""First announcement of the incarnation that began 1 s after that removal."""

FORMER_END = {"born_ms": FORMER.born_ms, "sequence": 51}
PRESENT_END = {"born_ms": PRESENT.born_ms, "sequence": 4}


class _Stated(typing.NamedTuple):
    """Fields of the body of a removal that tell its incarnation."""

    name: str
    names: tuple[str, ...]


STATED = (
    _Stated("with both fields", ("born_ms", "sequence")),
    _Stated("with the start alone", ("born_ms",)),
    _Stated("with the number alone", ("sequence",)),
    _Stated("with neither", ()),
)


def announce_present(count: int) -> list[gateway.Announcement]:
    """Returns the first announcements of the present incarnation."""
    return [
        attrs.evolve(PRESENT, sequence=number) for number in range(1, count + 1)
    ]


class Store:
    """One store's directory, and the time at which calls arrive."""

    def __init__(self) -> None:
        self.directory = gateway.Directory()
        self.now = 100.0

    def hear(self, *announcements: gateway.Announcement) -> None:
        """Applies announcements."""
        for announcement in announcements:
            self.directory.apply(announcement, self.now)

    def remove(
        self, stated: _Stated, end: dict[str, int], after_s: float = 0.0
    ) -> None:
        """Applies a removal that arrives some seconds later."""
        self.now += after_s
        fields = {name: end[name] for name in stated.names}
        self.directory.withdraw(
            FORMER.endpoint, self.now, round(1000 * self.now), **fields
        )

    @property
    def known(self) -> gateway.Announcement | None:
        """What the directory lists."""
        return self.directory.get(FORMER.endpoint)


class LateRemovalTest(unittest.TestCase):
    """A removal of a former incarnation does not end the present one.

    Guards against an endpoint that starts again under its name and is not used
    for two minutes (LOST).
    """

    def check_goes_on(self, store: Store, is_at_once: bool) -> None:
        """Checks that the present incarnation is listed, or soon is."""
        if is_at_once:
            self.assertIsNotNone(store.known)
        for announcement in announce_present(9)[4:]:
            store.now += BEAT_S
            store.hear(announcement)
        assert store.known is not None
        self.assertEqual(store.known.born_ms, PRESENT.born_ms)
        self.assertIs(store.known.state, gateway.EndpointState.READY)

    def test_late(self) -> None:
        for stated, times, late_s in itertools.product(
            STATED, (1, 2, 3), (0.0, 4.0, 8.0)
        ):
            with self.subTest(stated.name, times=times, late_s=late_s):
                store = Store()
                store.hear(FORMER)
                store.remove(stated, FORMER_END)
                store.now += 1.5
                store.hear(*announce_present(4))
                store.remove(stated, FORMER_END, late_s)
                for _ in range(times - 1):
                    store.remove(stated, FORMER_END, 0.1)
                self.check_goes_on(store, "born_ms" in stated.names)

    def test_orders_of_arrival(self) -> None:
        """Also at a store that heard only some of it, in another order."""
        for stated in STATED:
            steps: dict[str, typing.Callable[[Store], None]] = {
                "former incarnation": lambda store: store.hear(FORMER),
                "removal": lambda store, stated=stated: store.remove(
                    stated, FORMER_END
                ),
                "its repetition": lambda store, stated=stated: store.remove(
                    stated, FORMER_END, 1.0
                ),
                "present incarnation": lambda store: store.hear(
                    *announce_present(4)
                ),
            }
            for count in range(1, len(steps) + 1):
                for names in itertools.permutations(steps, count):
                    with self.subTest(stated.name, steps=names):
                        store = Store()
                        store.now += 1.5
                        for name in names:
                            steps[name](store)
                        self.check_goes_on(store, is_at_once=False)

    def test_store_that_knows_neither(self) -> None:
        """Guards against a store that has just started, or a new leader."""
        for stated in STATED:
            with self.subTest(stated.name):
                store = Store()
                store.remove(stated, FORMER_END, after_s=5.0)
                self.check_goes_on(store, is_at_once=False)

    def test_entry_and_leaders(self) -> None:
        """Guards against an entry that keeps what a former leader told it."""
        for stated, former_heard, later_heard in itertools.product(
            STATED, (True, False), (True, False)
        ):
            with self.subTest(
                stated.name, former=former_heard, later=later_heard
            ):
                entry = Store()
                leaders = []
                for is_heard in (former_heard, later_heard):
                    leader = Store()
                    leader.hear(FORMER)
                    leader.remove(stated, FORMER_END)
                    leader.now += 1.5
                    leader.hear(*announce_present(4))
                    if is_heard:
                        leader.remove(stated, FORMER_END, 4.0)
                    leaders.append(leader)
                follow(entry, leaders[0])
                for announcement in announce_present(9)[4:]:
                    leaders[1].now += BEAT_S
                    leaders[1].hear(announcement)
                follow(entry, leaders[1])
                assert entry.known is not None
                self.assertEqual(entry.known.born_ms, PRESENT.born_ms)


class DepartureTest(unittest.TestCase):
    """A removal of the present incarnation ends it, whatever arrives later.

    Guards against requests to an endpoint that has left (DRAIN).
    """

    def check_stays_away(
        self, store: Store, late: list[gateway.Announcement], name: str
    ) -> None:
        """Checks that late announcements do not bring the endpoint back."""
        self.assertIsNone(store.known, name)
        for announcement in late:
            for _ in range(2):
                store.now += 0.3
                store.hear(announcement)
                self.assertIsNone(store.known, name)

    def test_late_announcements(self) -> None:
        incarnation = announce_present(3)
        draining = attrs.evolve(
            incarnation[2], state=gateway.EndpointState.DRAINING
        )
        for stated, age_s, heard, late in itertools.product(
            STATED,
            (3.0, 60.0),
            (1, 3),
            (incarnation, incarnation[::-1], [draining]),
        ):
            name = f"{stated.name}, {age_s} s, {heard} heard, {len(late)} late"
            with self.subTest(name):
                store = Store()
                store.hear(*incarnation[:heard])
                store.remove(stated, PRESENT_END, 1.0 + age_s)
                self.check_stays_away(store, late, name)
                # The removal is sent to the next store, too, and passed on.
                store.remove(stated, PRESENT_END, 0.5)
                self.check_stays_away(store, late, name)

    def test_planned_stop_of_a_young_endpoint(self) -> None:
        """Guards against doubt where the endpoint has said that it leaves."""
        for how in ("announced", "stated in an answer"):
            for stated in STATED:
                with self.subTest(how, body=stated.name):
                    store = Store()
                    *first, last = announce_present(3)
                    if how == "announced":
                        draining = gateway.EndpointState.DRAINING
                        last = attrs.evolve(last, state=draining)
                    store.hear(*first, last)
                    if how != "announced":
                        store.directory.mark_leaving(
                            last.endpoint, last.born_ms, store.now
                        )
                    store.remove(stated, PRESENT_END, 3.0)
                    self.check_stays_away(store, announce_present(9), how)

    def test_store_that_did_not_know_it(self) -> None:
        for stated, age_s in itertools.product(STATED, (3.0, 60.0)):
            with self.subTest(stated.name, age_s=age_s):
                store = Store()
                store.remove(stated, PRESENT_END, 1.0 + age_s)
                self.check_stays_away(store, announce_present(3), stated.name)

    def test_former_endpoint_at_an_entry(self) -> None:
        """Guards against an end in doubt that entries never hear of."""
        for stated in STATED:
            with self.subTest(stated.name):
                leader, entry = Store(), Store()
                leader.hear(*announce_present(3))
                follow(entry, leader)
                self.assertIsNotNone(entry.known)
                leader.remove(stated, PRESENT_END, 4.0)
                follow(entry, leader)
                self.check_stays_away(entry, announce_present(3), stated.name)

    def test_statement_of_a_former_incarnation(self) -> None:
        """Guards against a late answer that marks the present incarnation."""
        store = Store()
        store.hear(FORMER, *announce_present(2))
        store.directory.mark_leaving(FORMER.endpoint, FORMER.born_ms, 101.0)
        assert store.known is not None
        self.assertIs(store.known.state, gateway.EndpointState.READY)


class EndedIncarnationsTest(unittest.TestCase):
    """Ends are forgotten in time, and bounded in number."""

    def test_expiry(self) -> None:
        for stated in STATED:
            with self.subTest(stated.name):
                store = Store()
                store.remove(stated, PRESENT_END, 3.0)
                last = store.now + _ended_incarnations.TOMBSTONE_TTL_S
                store.directory.expire(last)
                store.hear(PRESENT)
                self.assertIsNone(store.known)
                store.directory.expire(last + 125.0)
                store.hear(PRESENT)
                self.assertIsNotNone(store.known)

    def test_bound(self) -> None:
        ended = _ended_incarnations.EndedIncarnations()
        count = _ended_incarnations.MAX_REMEMBERED + 1
        for number in range(count):
            name = base.EndpointId(f"e{number}")
            ended.add(gateway.EndedIncarnation(name, 1), 0.001 * number)
            ended.add_unknown(base.EndpointId(f"u{number}"), 60.0, 1)
        self.assertLessEqual(len(ended.all()), count - 1)


def follow(entry: Store, leader: Store) -> None:
    """Has an entry apply a leader's directory."""
    entry.now = max(entry.now, leader.now)
    for end in leader.directory.ended():
        entry.directory.end_incarnation(
            end.endpoint, end.born_ms, entry.now, end.last_sequence
        )
    entry.hear(*leader.directory.all())


if __name__ == "__main__":
    unittest.main()
