"""The metrics of one instance."""

import collections.abc

import banyanbank_dispatch as dispatch
from banyanbank_web import metrics

from banyanbank_daemon import _figures


class Meters:
    """Counts and times what an instance does.

    Args:
        registry: Shows the metrics.
    """

    def __init__(self, registry: metrics.MetricsRegistry) -> None:
        self._requests = registry.counter(
            "banyanbank_requests_total",
            "Requests answered, by route and status.",
            "route",
            "status",
        )
        self._seconds = registry.histogram(
            "banyanbank_request_seconds",
            "Seconds from a request's whole arrival to its answer's end.",
            "route",
        )
        self._waiting = registry.gauge(
            "banyanbank_engine_waiting",
            "Jobs that wait for an engine owned here.",
            "endpoint",
        )
        self._running = registry.gauge(
            "banyanbank_engine_running",
            "Jobs that run on an engine owned here.",
            "endpoint",
        )
        self._shown: frozenset[str] = frozenset()
        self._figures = _FigureMeters(registry)

    def observe_request(self, route: str, status: int, seconds: float) -> None:
        """Counts one request.

        Args:
            route: Path of the route table, not of the request.
            status: HTTP status; 0 when the caller left before it.
            seconds: Time taken.
        """
        self._requests.add(1, route, str(status))
        self._seconds.record(seconds, route)

    def observe_queues(
        self, queues: collections.abc.Mapping[str, dispatch.EngineQueue]
    ) -> None:
        """Takes in the queues of all engines owned here; drops others."""
        for endpoint in self._shown - queues.keys():
            self._waiting.remove(endpoint)
            self._running.remove(endpoint)
        for endpoint, queue in queues.items():
            status = queue.status()
            self._waiting.set(status.waiting, endpoint)
            self._running.set(status.running, endpoint)
        self._shown = frozenset(queues)

    def observe_figures(self, figures: _figures.InstanceFigures) -> None:
        """Takes in the figures of this instance."""
        self._figures.observe(figures)


class _FigureMeters:
    """What users measure; counters add up over the instances."""

    def __init__(self, registry: metrics.MetricsRegistry) -> None:
        account = ("account", "kind")
        endpoint = ("failure_domain", "kind", "supply", "serves")
        self._idle = registry.counter(
            "banyanbank_trainer_idle_seconds_total",
            "Seconds in which a fetch waited here for a whole step.",
            "trainer",
        )
        self._waits = registry.counter(
            "banyanbank_account_wait_seconds_total",
            "Seconds waited for slots of engines owned here, and for services.",
            *account,
        )
        self._granted = registry.counter(
            "banyanbank_account_granted_total",
            "Requests that got a slot here, and answered calls of services.",
            *account,
        )
        self._longest = registry.gauge(
            "banyanbank_account_longest_wait_seconds",
            "Longest wait of the last one to two minutes.",
            *account,
        )
        self._tokens = registry.counter(
            "banyanbank_account_tokens_total",
            "Tokens served by the engines owned here.",
            *account,
        )
        self._refused = registry.counter(
            "banyanbank_account_refused_total",
            "Requests that the account's limits kept out here.",
            "account",
        )
        self._seconds = registry.counter(
            "banyanbank_endpoint_seconds_total",
            "Seconds that endpoints ran while this instance led.",
            *endpoint,
        )
        self._running = registry.gauge(
            "banyanbank_endpoints_running",
            "Endpoints that run; 0 unless this instance leads.",
            *endpoint,
        )
        self._steps = _StepMeters(registry)

    def observe(self, figures: _figures.InstanceFigures) -> None:
        for trainer in figures.trainers:
            self._idle.advance(trainer.idle_s, trainer.trainer)
        for row in figures.accounts:
            labels = (row.account, row.kind)
            self._waits.advance(row.wait_s, *labels)
            self._granted.advance(row.granted, *labels)
            self._longest.set(row.longest_s, *labels)
            self._tokens.advance(row.tokens, *labels)
        for refused in figures.refused:
            self._refused.advance(refused.requests, refused.account)
        for item in figures.endpoints:
            sort = (
                item.failure_domain,
                item.kind,
                item.supply,
                item.serves,
            )
            self._seconds.advance(item.seconds, *sort)
            self._running.set(item.running, *sort)
        self._steps.observe(figures.steps)


class _StepMeters:
    """The oldest open step of each trainer, shown by the leader alone."""

    def __init__(self, registry: metrics.MetricsRegistry) -> None:
        self._step = registry.gauge(
            "banyanbank_trainer_step", "Oldest open step.", "trainer"
        )
        self._recorded = registry.gauge(
            "banyanbank_trainer_samples_whole",
            "Samples recorded of the oldest open step.",
            "trainer",
        )
        self._open = registry.gauge(
            "banyanbank_trainer_samples_open",
            "Samples to come of the oldest open step.",
            "trainer",
        )
        self._age = registry.gauge(
            "banyanbank_trainer_oldest_age_versions",
            "Versions by which its oldest sample lags; 0 without samples.",
            "trainer",
        )
        self._shown: frozenset[str] = frozenset()

    def observe(
        self, steps: collections.abc.Iterable[_figures.StepFigures]
    ) -> None:
        oldest: dict[str, _figures.StepFigures] = {}
        for step in steps:
            oldest.setdefault(step.trainer, step)
        for gone in self._shown - oldest.keys():
            for gauge in (self._step, self._recorded, self._open, self._age):
                gauge.remove(gone)
        for trainer, step in oldest.items():
            self._step.set(step.step, trainer)
            self._recorded.set(step.recorded, trainer)
            self._open.set(step.open, trainer)
            self._age.set(step.oldest_age or 0, trainer)
        self._shown = frozenset(oldest)
