"""Knows which entries may still act on state that the leader has replaced."""

import bisect
import collections
import math

import attrs

CONTACT_WINDOW_S = 2.0
"""Time since the issue of the last answer that an entry may have received
after which it is out of contact. It exceeds the time in which an entry finds
another path to the leader while one of its paths is silent."""

MAX_CHANGES = 256
"""Number of changes whose times are kept; for older ones, the next time is
taken."""


class _ChangeTimes:
    """When this store applied the changes of one kind of state."""

    def __init__(self) -> None:
        self._changes: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=MAX_CHANGES
        )

    def record(self, number: int, now: float) -> None:
        self._changes.append((number, now))

    def find(self, number: int) -> float:
        """Returns when a change was applied.

        Minus infinity for 0, which stands for no change, and for a change that
        was not applied by a command, such as one that came with a snapshot.
        """
        index = bisect.bisect_left(self._changes, (number, 0.0))
        if not number or index == len(self._changes):
            return -math.inf
        return self._changes[index][1]


@attrs.define
class _Contact:
    last_issued_at: float
    """Issue of the last answer to the entry, which may be lost."""
    received_issued_at: float = 0.0
    """Issue of the newest answer that is known to have arrived."""


class EntryContacts:
    """Entries of a leader, and the answers that were issued to each.

    Every answer contains all that the leader had applied when it issued it. An
    entry that has received an answer issued after a change therefore acts on
    that change or on a later one. All times are on the leader's clock.
    """

    def __init__(self) -> None:
        self._source = ""
        self._complete_at = 0.0
        self._contacts: dict[str, _Contact] = {}
        self._documents = _ChangeTimes()
        self._evacuations = _ChangeTimes()

    def begin_epoch(self, source: str, now: float) -> None:
        """Forgets the contacts of an earlier epoch of this store.

        Args:
            source: Leader and epoch that issue answers from now on.
            now: Current time.
        """
        if source != self._source:
            self._source = source
            self._complete_at = now + CONTACT_WINDOW_S
            self._contacts.clear()

    def record_poll(
        self, entry: str, source: str, answer_issued_at: float
    ) -> None:
        """Records the answer that a poll proves to have arrived.

        Args:
            entry: Name and incarnation of the entry.
            source: Leader and epoch that issued the answer.
            answer_issued_at: When the answer was issued; 0 for none.
        """
        contact = self._contacts.get(entry)
        if contact is not None and source == self._source:
            contact.received_issued_at = max(
                contact.received_issued_at, answer_issued_at
            )

    def record_answer(self, entry: str, now: float) -> None:
        """Records that an answer is issued to an entry.

        Args:
            entry: Name and incarnation of the entry.
            now: Current time, which is when the answer is issued.
        """
        contact = self._contacts.get(entry)
        if contact is None:
            self._contacts[entry] = _Contact(now)
        else:
            contact.last_issued_at = now

    def record_document(self, number: int, now: float) -> None:
        """Records that this store applied a document.

        Args:
            number: Number of the document, higher than any before.
            now: Current time.
        """
        self._documents.record(number, now)

    def record_evacuations(self, revision: int, now: float) -> None:
        """Records that this store applied a change of the evacuations.

        Args:
            revision: Revision after the change, higher than any before.
            now: Current time.
        """
        self._evacuations.record(revision, now)

    def find_outdated(
        self, document_number: int, now: float, evacuation_revision: int = 0
    ) -> list[str]:
        """Returns the entries in contact that may act on an earlier state.

        Args:
            document_number: Number of a document that this store has applied;
                0 for none.
            now: Current time.
            evacuation_revision: Revision of the evacuations that this store has
                applied; 0 for none.
        """
        applied_at = self._find_time_of(document_number, evacuation_revision)
        self._forget_lost(now)
        return [
            entry
            for entry, contact in self._contacts.items()
            if contact.received_issued_at <= applied_at
            and now < _find_loss(contact, applied_at)
        ]

    def find_next_loss(
        self, document_number: int, now: float, evacuation_revision: int = 0
    ) -> float:
        """Returns when fewer entries are outdated although none polls."""
        if not self.is_complete(now):
            return self._complete_at
        applied_at = self._find_time_of(document_number, evacuation_revision)
        outdated = self.find_outdated(document_number, now, evacuation_revision)
        return min(
            (
                _find_loss(self._contacts[entry], applied_at)
                for entry in outdated
            ),
            default=now,
        )

    def is_complete(self, now: float) -> bool:
        """Whether entries that were in contact with a former leader are known.

        Those that have not polled this leader since are out of contact.
        """
        return now >= self._complete_at

    def _find_time_of(
        self, document_number: int, evacuation_revision: int
    ) -> float:
        """Returns when both changes were applied."""
        return max(
            self._documents.find(document_number),
            self._evacuations.find(evacuation_revision),
        )

    def _forget_lost(self, now: float) -> None:
        for entry, contact in list(self._contacts.items()):
            if contact.last_issued_at + CONTACT_WINDOW_S <= now:
                del self._contacts[entry]


def _find_loss(contact: _Contact, applied_at: float) -> float:
    """Returns when an entry is lost that got no answer after a change."""
    # Answers issued after the change do not renew a right to act without it.
    return min(contact.last_issued_at, applied_at) + CONTACT_WINDOW_S
