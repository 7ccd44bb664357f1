"""Commits the texts of long items while they are generated.

After a change of leader, the next one continues from what is committed.
"""

import collections.abc
import typing

import attrs
import banyanbank_base as base
import banyanbank_jobs as jobs

from banyanbank_node import _background
from banyanbank_node import _event_log
from banyanbank_node import _ledger_replica

COMMIT_INTERVAL_S = 0.8
"""Interval between commits of incomplete texts."""

MIN_NEW_EVENTS = 10
"""Minimum number of new events of a text: a third of a second of output."""

MAX_PART_BYTES = 64 * 1024
"""Maximum size of the events of one text in a proposal."""

MAX_PARTS_BYTES = 512 * 1024
"""Maximum size of all events of a proposal; later ones wait for the next."""

EVENT_HEAD_BYTES = 5
"""What an event takes in a proposal besides its text, at most."""


@attrs.define
class PartialTexts:
    """Proposes the new events of texts; one proposal per job at a time."""

    clock: base.Clock
    """Monotonic clock of the interval."""
    stored: _ledger_replica.LedgerReplica
    """Replicated ledger; it tells which events are committed."""
    events: _event_log.EventLog
    """Event log."""
    _next_at: float = attrs.field(default=0.0, init=False)
    _proposing: set[str] = attrs.field(factory=set, init=False)

    def commit(
        self, items: collections.abc.Iterable[jobs.ItemProgress]
    ) -> None:
        """Proposes the new events of long texts, once per interval."""
        now = self.clock.now()
        if now < self._next_at:
            return
        self._next_at = now + COMMIT_INTERVAL_S
        parts: dict[str, list[jobs.TextPart]] = {}
        room: dict[str, int] = {}
        for item in items:
            job = item.job.job
            job_room = room.setdefault(job, MAX_PARTS_BYTES)
            part = self._make_part(item, min(job_room, MAX_PART_BYTES))
            if part is not None:
                parts.setdefault(job, []).append(part)
                room[job] -= _measure(part.pieces)
        for job, new_parts in parts.items():
            self._proposing.add(job)
            _background.run(
                self._propose(jobs.KeepParts(job, tuple(new_parts))),
                "partial text commit",
                self.events,
            )

    def _make_part(
        self, item: jobs.ItemProgress, room: int
    ) -> jobs.TextPart | None:
        text = item.text
        state = self.stored.ledger.jobs.get(item.job.job)
        if state is None or item.job.job in self._proposing:
            return None
        if item.has_restarted:
            # What is stored may be of the discarded text.
            return None
        kept = state.kept.get(item.spec.item)
        if kept is not None and kept.first_event != text.first_event:
            # The ledger ignores parts that do not continue what it has.
            return None
        begins_at = 0 if kept is None else len(kept.pieces)
        if len(text.pieces) - begins_at < MIN_NEW_EVENTS:
            return None
        pieces = _take(text.pieces, begins_at, room)
        if not pieces:
            return None
        assert text.first_event is not None
        return jobs.TextPart(
            item=item.spec.item,
            first_event=text.first_event,
            begins_at=begins_at,
            pieces=pieces,
            versions=tuple(sorted(text.versions)),
        )

    async def _propose(self, command: jobs.KeepParts) -> typing.Any:
        try:
            return await self.stored.propose(command)
        finally:
            self._proposing.discard(command.job)


def _take(
    pieces: collections.abc.Sequence[str], begins_at: int, room: int
) -> tuple[str, ...]:
    """Returns the events from `begins_at` that fit the room."""
    ends_at = begins_at
    while ends_at < len(pieces):
        room -= _measure((pieces[ends_at],))
        if room < 0:
            break
        ends_at += 1
    return tuple(pieces[begins_at:ends_at])


def _measure(pieces: collections.abc.Iterable[str]) -> int:
    return sum(len(piece.encode()) + EVENT_HEAD_BYTES for piece in pieces)
