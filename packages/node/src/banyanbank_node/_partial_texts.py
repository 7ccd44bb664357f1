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
        for item in items:
            part = self._make_part(item)
            if part is not None:
                parts.setdefault(item.job.job, []).append(part)
        for job, new_parts in parts.items():
            self._proposing.add(job)
            _background.run(
                self._propose(jobs.KeepParts(job, tuple(new_parts))),
                "partial text commit",
                self.events,
            )

    def _make_part(self, item: jobs.ItemProgress) -> jobs.TextPart | None:
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
        assert text.first_event is not None
        return jobs.TextPart(
            item=item.spec.item,
            first_event=text.first_event,
            begins_at=begins_at,
            pieces=tuple(text.pieces[begins_at:]),
            versions=tuple(sorted(text.versions)),
        )

    async def _propose(self, command: jobs.KeepParts) -> typing.Any:
        try:
            return await self.stored.propose(command)
        finally:
            self._proposing.discard(command.job)
