"""The metrics of one instance."""

import collections.abc

import banyanbank_dispatch as dispatch

from banyanbank_daemon import _metrics


class Meters:
    """Counts and times what an instance does.

    Args:
        registry: Shows the metrics.
    """

    def __init__(self, registry: _metrics.MetricsRegistry) -> None:
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
