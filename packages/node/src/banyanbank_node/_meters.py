"""Metrics of one process."""

import typing

import banyanbank_base as base
from banyanbank_web import metrics


class Meters:
    """Counters and histograms; no series is named by an id.

    Args:
        clock: Clock of the histograms' windows.

    Attributes:
        registry: All metrics.
        lines_dropped: Log lines that were not written, by event.
        requests: Seconds of requests, by part of the way.
        items: Seconds of items of batch jobs, by part of the way.
        ages: Seconds since the leader was heard.
        open_items: Items without a result, by stage.
    """

    def __init__(self, clock: base.Clock) -> None:
        self.registry = metrics.MetricsRegistry(clock)
        self._events = self.registry.counter(
            "banyanbank_events_total",
            "Decisions and changes of belief, by event and outcome.",
            "event",
            "outcome",
        )
        self.lines_dropped = self.registry.counter(
            "banyanbank_log_lines_dropped_total",
            "Log lines that were not written, by event.",
            "event",
        )
        self.requests = self.registry.histogram(
            "banyanbank_request_seconds",
            "Seconds of requests, by part: attempt, whole.",
            "part",
        )
        self.items = self.registry.histogram(
            "banyanbank_item_seconds",
            "Seconds of items, by part: first_event, run, grade, commit.",
            "part",
        )
        self.ages = self.registry.gauge(
            "banyanbank_belief_age_seconds",
            "Seconds since the leader was heard.",
        )
        self.open_items = self.registry.gauge(
            "banyanbank_open_items",
            "Items of batch jobs without a result, by stage.",
            "stage",
        )

    def count_event(
        self, event: str, fields: typing.Mapping[str, typing.Any]
    ) -> None:
        """Counts an event by its outcome."""
        outcome = fields.get("reason", fields.get("outcome", ""))
        self._events.add(1, event, str(outcome)[:40])
