"""Commits changes of operators and confirms that entries act on them."""

import attrs
import banyanbank_base as base
import banyanbank_jobs as jobs
from returns import result

from banyanbank_node import _event_log
from banyanbank_node import _messages
from banyanbank_node import _store_client

ENTRIES_HOLD_S = 0.4
"""Time for which the leader may hold the answer to `AwaitEntries`."""

ENTRIES_MARGIN_S = 0.1
"""Time that the answer to `AwaitEntries` may take in addition."""

MAX_LOGGED_ENTRIES = 8
"""Number of entries that a line of the log names."""


@attrs.frozen
class OperatorChanges:
    """Commits changes at the leader and asks it which entries act on them."""

    clock: base.Clock
    """Monotonic clock for deadlines."""
    client: _store_client.StoreClient
    """Calls the leader."""
    events: _event_log.EventLog
    """Event log."""

    async def commit(
        self, command: jobs.Command, deadline: float
    ) -> base.Outcome:
        """Lets the leader commit a change.

        Args:
            command: The change.
            deadline: When to give up.

        Returns:
            Whether it is confirmed that the change is committed.
        """
        replied = await self.client.call_raw(
            _messages.PROPOSE, jobs.COMMAND_CODEC.encode(command), deadline
        )
        self.events.write(
            "operator.command",
            command=type(command).__name__,
            number=getattr(command, "number", getattr(command, "version", 0)),
            outcome="committed"
            if isinstance(replied, result.Success)
            else replied.failure().detail,
        )
        if isinstance(replied, result.Success):
            return base.Outcome.RAN
        return _store_client.find_outcome(replied.failure())

    async def await_entries(
        self, number: int, deadline: float, evacuation_revision: int = 0
    ) -> bool:
        """Waits until all entries in contact act on a change.

        Args:
            number: Number of the document; 0 for a change of the evacuations.
            deadline: When to give up.
            evacuation_revision: Revision of the evacuations; 0 for a document.

        Returns:
            Whether the leader confirms it.
        """
        started_at = now = self.clock.now()
        waiting_for: tuple[str, ...] = ()
        outcome = "no time left"
        while now + ENTRIES_MARGIN_S < deadline:
            wait_s = min(ENTRIES_HOLD_S, deadline - now - ENTRIES_MARGIN_S)
            answered = await self.client.call(
                _messages.AWAIT_ENTRIES,
                _messages.AwaitEntries(number, wait_s, evacuation_revision),
                deadline,
            )
            now = self.clock.now()
            if isinstance(answered, result.Failure):
                outcome = "no leader answered"
                break
            status: _messages.EntriesStatus = answered.unwrap()
            waiting_for = status.waiting_for
            if status.is_settled:
                outcome = "confirmed"
                break
            outcome = "entries are behind" if waiting_for else "new leader"
        self.events.write(
            "config.awaited",
            number=number,
            evacuations=evacuation_revision,
            outcome=outcome,
            waiting_for=waiting_for[:MAX_LOGGED_ENTRIES],
            took_ms=round(1000 * (now - started_at)),
        )
        return outcome == "confirmed"
