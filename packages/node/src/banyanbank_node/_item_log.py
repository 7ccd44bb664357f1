"""Logs what becomes of the items of batch jobs."""

import attrs
import banyanbank_base as base
import banyanbank_jobs as jobs

from banyanbank_node import _event_log
from banyanbank_node import _run_reader


@attrs.frozen
class ItemLog:
    """Writes the events of items and of their runs."""

    clock: base.Clock
    """Monotonic clock, for the age of runs."""
    events: _event_log.EventLog
    """Event log."""

    def write_end(
        self, run: _run_reader.Run, outcome: str, detail: str
    ) -> None:
        """Logs how a run ended."""
        self.events.write(
            "item.run",
            job=run.item.job.job,
            item=run.item.spec.item,
            endpoint=run.announcement.endpoint,
            outcome=outcome,
            detail=detail,
            last_event=run.item.text.last_event,
            age_ms=round(1000 * (self.clock.now() - run.began_at)),
        )

    def write_restart(self, item: jobs.ItemProgress) -> None:
        """Logs that the text of an item is discarded and begun anew."""
        self.events.write(
            "item.restarted",
            job=item.job.job,
            item=item.spec.item,
            versions=sorted(item.text.versions),
            last_event=item.text.last_event,
        )

    def write_unrouted(self, item: jobs.ItemProgress) -> None:
        """Logs that an item is given up as its route is gone."""
        self.events.write(
            "item.unrouted",
            job=item.job.job,
            item=item.spec.item,
            host=item.job.host,
            route=item.job.route,
        )
