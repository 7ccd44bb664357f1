"""Metrics of an entry or store process."""

import typing

import banyanbank_base as base
from banyanbank_web import metrics


class Meters:
    """Counters, gauges and histograms of a process.

    Labels hold no ids, so the number of series is bounded.

    Args:
        clock: Clock of the histograms' windows.

    Attributes:
        registry: All metrics.
        lines_dropped: Dropped log lines, by event.
        requests: Latency of requests in seconds, by part.
        items: Latency of batch job items in seconds, by part.
        leader_contact_age: Seconds since the last answer of a leader.
        open_items: Batch job items without a result, by stage.
        evacuated_domains: Failure domains that this process holds evacuated.
        cold_endpoints: Endpoints that the leader takes for cold.
        cold_permits: Decisions about requests to cold endpoints, by outcome.
        waiting_scorer_calls: Scorer calls that wait for an endpoint.
        second_attempts: Second attempts of requests, by outcome.
        cancelled_seconds: Seconds of attempts that were cancelled as the other
            one was first, by attempt.
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
            "Seconds of requests, by part: attempt, backoff, whole.",
            "part",
        )
        self.items = self.registry.histogram(
            "banyanbank_item_seconds",
            "Seconds of items, by part: first_event, run, grade_wait, grade,"
            " commit.",
            "part",
        )
        self.leader_contact_age = self.registry.gauge(
            "banyanbank_belief_age_seconds",
            "Seconds since the leader was heard.",
        )
        self.open_items = self.registry.gauge(
            "banyanbank_open_items",
            "Items of batch jobs without a result, by stage.",
            "stage",
        )
        self.evacuated_domains = self.registry.gauge(
            "banyanbank_evacuated_domains",
            "Failure domains to whose endpoints nothing is sent.",
        )
        self.cold_endpoints = self.registry.gauge(
            "banyanbank_cold_endpoints",
            "Endpoints that this leader takes for cold.",
        )
        self.cold_permits = self.registry.counter(
            "banyanbank_cold_permits_total",
            "Decisions about requests to cold endpoints, by outcome:"
            " granted, refused.",
            "outcome",
        )
        self.waiting_scorer_calls = self.registry.gauge(
            "banyanbank_waiting_scorer_calls",
            "Scorer calls that wait for an endpoint with room.",
        )

        self.second_attempts = self.registry.counter(
            "banyanbank_second_attempts_total",
            "Second attempts, by outcome: started, then won, lost, failed or"
            " cancelled; or decisions against one: budget, overload,"
            " no-endpoint.",
            "outcome",
        )
        self.cancelled_seconds = self.registry.counter(
            "banyanbank_cancelled_attempt_seconds_total",
            "Seconds of attempts that were cancelled because the other one of"
            " the request was first, by attempt: first, second.",
            "attempt",
        )

    def count_event(
        self, event: str, fields: typing.Mapping[str, typing.Any]
    ) -> None:
        """Counts an event by its `reason`, or else its `outcome`."""
        # The value becomes a label, so texts that reach it keep their wording:
        # changing one, such as a detail of `StoreClient`, renames a series.
        outcome = fields.get("reason", fields.get("outcome", ""))
        self._events.add(1, event, str(outcome)[:40])
