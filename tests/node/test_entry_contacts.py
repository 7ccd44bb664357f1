"""Tests of when the entries in contact with a leader have a document."""

import random
import typing
import unittest

import attrs
from banyanbank_node import _entry_contacts

WINDOW_S = _entry_contacts.CONTACT_WINDOW_S
LEADER = "store-1/1"


def make_contacts(began_at: float = 0.0) -> _entry_contacts.EntryContacts:
    """Returns the contacts of a leader whose epoch begins at a given time."""
    contacts = _entry_contacts.EntryContacts()
    contacts.begin_epoch(LEADER, began_at)
    return contacts


class EntryContactsTest(unittest.TestCase):
    """An entry counts until it has a document or is out of contact."""

    def test_entries_that_hold_up_a_document(self) -> None:
        # Document 5 is applied at 10 s, document 7 at 11 s.
        for name, issued_at, received, number, now, expected in (
            ("answered before the change", 9.9, 9.9, 5, 10.1, ["e"]),
            ("first answer may be lost", 9.9, None, 5, 10.1, ["e"]),
            ("answered after the change", 10.1, 10.1, 5, 10.2, []),
            ("answer after the change may be lost", 10.1, 9.0, 5, 10.2, ["e"]),
            ("between two changes", 10.5, 10.5, 7, 11.1, ["e"]),
            ("asked for the former change", 10.5, 10.5, 5, 11.1, []),
            ("asked for a number in between", 10.5, 10.5, 6, 11.1, ["e"]),
            ("in contact", 9.9, 9.9, 5, 9.8 + WINDOW_S, ["e"]),
            ("out of contact", 9.9, 9.9, 5, 9.9 + WINDOW_S, []),
            ("answers are lost", 11.9, 9.0, 5, 10.0 + WINDOW_S, []),
            ("no answer", None, None, 5, 10.1, []),
            ("applied before this epoch", 9.9, 9.9, 8, 11.1, []),
        ):
            with self.subTest(name):
                contacts = make_contacts()
                contacts.record_document(5, 10.0)
                contacts.record_document(7, 11.0)
                if issued_at is not None:
                    contacts.record_answer("e", issued_at)
                if received is not None:
                    contacts.record_poll("e", LEADER, received)
                self.assertEqual(contacts.find_outdated(number, now), expected)

    def test_entries_that_hold_up_an_evacuation(self) -> None:
        # Document 5 is applied at 10 s, revision 3 of evacuations at 11 s.
        for name, received, number, revision, expected in (
            ("before both", 9.9, 0, 3, ["e"]),
            ("between them", 10.5, 0, 3, ["e"]),
            ("between them, asked for the document", 10.5, 5, 0, []),
            ("between them, asked for both", 10.5, 5, 3, ["e"]),
            ("after both", 11.1, 5, 3, []),
            ("asked for an earlier revision", 10.5, 0, 2, ["e"]),
            ("asked for neither", 9.9, 0, 0, []),
            ("applied before this epoch", 9.9, 0, 4, []),
        ):
            with self.subTest(name):
                contacts = make_contacts()
                contacts.record_document(5, 10.0)
                contacts.record_evacuations(3, 11.0)
                contacts.record_answer("e", received)
                contacts.record_poll("e", LEADER, received)
                self.assertEqual(
                    contacts.find_outdated(number, 11.2, revision), expected
                )

    def test_answer_of_a_former_leader_proves_nothing(self) -> None:
        contacts = make_contacts()
        contacts.record_document(5, 10.0)
        contacts.record_answer("e", 9.9)
        contacts.record_poll("e", "store-2/1", 10.1)
        self.assertEqual(contacts.find_outdated(5, 10.2), ["e"])

    def test_late_poll_does_not_take_back_an_answer(self) -> None:
        contacts = make_contacts()
        contacts.record_document(5, 10.0)
        contacts.record_answer("e", 10.1)
        contacts.record_poll("e", LEADER, 10.1)
        contacts.record_poll("e", LEADER, 9.0)
        self.assertEqual(contacts.find_outdated(5, 10.2), [])

    def test_new_leader_waits_for_entries_of_the_former_one(self) -> None:
        contacts = make_contacts(began_at=10.0)
        self.assertFalse(contacts.is_complete(9.9 + WINDOW_S))
        self.assertTrue(contacts.is_complete(10.0 + WINDOW_S))

    def test_new_epoch_of_the_same_store_begins_anew(self) -> None:
        contacts = make_contacts()
        contacts.record_answer("e", 9.9)
        contacts.begin_epoch("store-1/3", 10.0)
        self.assertFalse(contacts.is_complete(10.1))
        contacts.record_document(5, 10.1)
        self.assertEqual(contacts.find_outdated(5, 10.2), [])

    def test_waiting_ends_when_an_entry_is_lost(self) -> None:
        contacts = make_contacts()
        contacts.record_document(5, 10.0)
        contacts.record_answer("e", 9.0)
        lost_at = contacts.find_next_loss(5, 10.0)
        self.assertEqual(contacts.find_outdated(5, lost_at), [])
        self.assertEqual(lost_at, 9.0 + WINDOW_S)


@attrs.define
class _Answer:
    source: str
    issued_at: float
    number: int
    revision: int


@attrs.define
class _Entry:
    name: str
    number: int = 0
    revision: int = 0
    last: _Answer | None = None
    last_issued_at: float = float("-inf")
    """Issue of the last answer that it received, on the model's clock."""
    is_cut: bool = False
    polls_at: float = 0.0


class _Model:
    """Entries that poll leaders over lossy paths while documents change.

    Args:
        seed: Seed of all choices.
        entry_count: Number of entries.
    """

    def __init__(self, seed: int, entry_count: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.number = 1
        self.revision = 0
        self.entries = [_Entry(f"entry-{n}") for n in range(entry_count)]
        self.acked: set[int] = set()
        self.waiting: set[tuple[int, int]] = set()
        self.slowest_ack_s = 0.0
        self._sent_at: dict[tuple[int, int], float] = {}
        # Stores have clocks of their own.
        self._stores = [
            (_entry_contacts.EntryContacts(), self.rng.uniform(-50.0, 50.0))
            for _ in range(3)
        ]
        self._epoch = 0
        self.elect()

    def elect(self) -> None:
        """Lets some store lead in a new epoch."""
        self._epoch += 1
        self._leader = self.rng.randrange(len(self._stores))
        self._source = f"store-{self._leader}/{self._epoch}"
        self._contacts.begin_epoch(self._source, self._local_now)

    @property
    def _contacts(self) -> _entry_contacts.EntryContacts:
        return self._stores[self._leader][0]

    @property
    def _local_now(self) -> float:
        return self.now + self._stores[self._leader][1]

    def change(self) -> None:
        """Commits a document or an order to evacuate at all stores."""
        is_document = self.rng.random() < 0.5
        if is_document:
            self.number += self.rng.randint(1, 3)
        else:
            self.revision += 1
        for contacts, offset in self._stores:
            if is_document:
                contacts.record_document(self.number, self.now + offset)
            else:
                contacts.record_evacuations(self.revision, self.now + offset)
        change = (self.number, 0) if is_document else (0, self.revision)
        self.waiting.add(change)
        self._sent_at[change] = self.now

    def poll(self, entry: _Entry) -> None:
        """Lets an entry poll; its path may lose the poll or the answer."""
        entry.polls_at = self.now + self.rng.choice((0.01, 0.1, 0.5, 1.2))
        if entry.is_cut and self.rng.random() < 0.7:
            return
        if entry.last is not None:
            self._contacts.record_poll(
                entry.name, entry.last.source, entry.last.issued_at
            )
        self._contacts.record_answer(entry.name, self._local_now)
        if entry.is_cut:
            return
        entry.last = _Answer(
            self._source, self._local_now, self.number, self.revision
        )
        entry.last_issued_at = self.now
        entry.number = self.number
        entry.revision = self.revision

    def acknowledge(self) -> list[str]:
        """Acknowledges what may be; returns broken promises."""
        broken = []
        for change in sorted(self.waiting):
            number, revision = change
            if not self._contacts.is_complete(self._local_now) or (
                self._contacts.find_outdated(number, self._local_now, revision)
            ):
                continue
            self.waiting.discard(change)
            took_s = self.now - self._sent_at[change]
            self.slowest_ack_s = max(self.slowest_ack_s, took_s)
            broken += [
                f"{entry.name} acts on {entry.number}, not {change}"
                for entry in self.entries
                if (entry.number < number or entry.revision < revision)
                and self.now < entry.last_issued_at + WINDOW_S - 1e-6
            ]
        return broken

    def run(self, steps: int, elections: bool) -> list[str]:
        """Plays steps; returns broken promises."""
        broken: list[str] = []
        for _ in range(steps):
            self.now += self.rng.uniform(0.005, 0.05)
            draw = self.rng.random()
            if draw < 0.05:
                self.change()
            elif draw < 0.06 and elections:
                self.elect()
            elif draw < 0.15:
                entry = self.rng.choice(self.entries)
                entry.is_cut = not entry.is_cut
            # A change ends the polls that wait, so that many come at once.
            for entry in self.entries:
                if entry.polls_at <= self.now or draw < 0.05:
                    self.poll(entry)
            broken += self.acknowledge()
        return broken


class AcknowledgementModelTest(unittest.TestCase):
    """No entry in contact acts on less than what was acknowledged."""

    def check(self, entry_count: int, seeds: int, steps: int) -> None:
        for seed in range(seeds):
            with self.subTest(entries=entry_count, seed=seed):
                model = _Model(seed, entry_count)
                self.assertEqual(model.run(steps, elections=True), [])

    def test_seven_entries(self) -> None:
        self.check(7, seeds=40, steps=600)

    def test_hundreds_of_entries(self) -> None:
        self.check(360, seeds=2, steps=300)

    def test_lost_entries_hold_up_no_acknowledgement_for_longer_than_the_window(
        self,
    ) -> None:
        for entry_count in (7, 360):
            with self.subTest(entries=entry_count):
                model = _Model(1, entry_count)
                model.run(300, elections=False)
                self.assertLess(model.slowest_ack_s, WINDOW_S + 0.1)

    def test_acknowledgement_of_a_majority_alone_breaks_the_promise(
        self,
    ) -> None:
        model = _Model(1, 7)
        unaware: typing.Any = model
        unaware.acknowledge = lambda: [
            entry.name
            for entry in model.entries
            if entry.number < model.number
            and model.now < entry.last_issued_at + WINDOW_S
        ]
        self.assertNotEqual(model.run(300, elections=True), [])


if __name__ == "__main__":
    unittest.main()
