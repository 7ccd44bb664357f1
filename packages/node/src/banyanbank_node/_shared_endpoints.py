"""What one process knows of the plain endpoints that several loads share."""

import collections.abc
import math
import random
import typing

import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_web as web

MIN_SUCCESS_STATUS = 200
MIN_REDIRECT_STATUS = 300
MIN_SERVER_ERROR_STATUS = 500

MAX_LATENCIES_AGE_S = 60.0
"""Time for which usual times hold after contact to the leader that gave them,
such as until a new leader has seen enough requests."""

TableLookup = collections.abc.Callable[[], gateway.RouteTable | None]
"""Returns the routes in force, or None."""


class SharedEndpoints:
    """Figures, samples and times of requests to shared endpoints.

    Where the configuration has no shared services, it changes nothing.

    Args:
        clock: Monotonic clock.
        find_table: Returns the routes in force.
        is_connected: Whether an idle connection to an address is kept.
        sleep: Waits for some seconds.
        rng: Source of jitter.

    Attributes:
        figures: Figures of the leader.
        samples: What this process observed and the leader has not received.
        latencies: Latencies by service and route over all instances; empty
            unless the leader is set to send them.
        is_collecting: Whether a leader takes samples.
        refresh: Called before each choice; the leader updates its own figures.
    """

    def __init__(
        self,
        clock: base.Clock,
        find_table: TableLookup,
        is_connected: collections.abc.Callable[[str], bool],
        sleep: collections.abc.Callable[
            [float], collections.abc.Awaitable[None]
        ],
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._find_table = find_table
        self._is_connected = is_connected
        self._rng = rng
        self._table: gateway.RouteTable | None = None
        self._services: frozenset[str] = frozenset()
        self._times = gateway.ServiceTimes()
        self._view = gateway.SharedView(
            gateway.KnownFigures(),
            lambda target: self._is_connected(target.address),
        )
        self.sleep = sleep
        self.figures = self._view.figures
        self.samples = gateway.SampleLog()
        self.latencies: dict[tuple[str, str], gateway.RouteLatency] = {}
        self._latencies_of = ""
        self._latencies_until = math.inf
        self.is_collecting = False
        self.refresh: collections.abc.Callable[[], None] = lambda: None

    @property
    def services(self) -> frozenset[str]:
        """Services whose endpoints are shared by the routes in force.

        While the document cannot be read, those of the former one.
        """
        try:
            table = self._find_table()
        except gateway.InvalidDocumentError:
            return self._services
        if table is not self._table:
            self._table = table
            self._services = (
                frozenset()
                if table is None
                else gateway.find_shared_services(table.document)
            )
        return self._services

    def find_view(self, service: str) -> gateway.SharedView | None:
        """Returns what is known of a service's endpoints if it is shared."""
        if service not in self.services:
            return None
        self.refresh()
        return self._view

    def record_answer(
        self,
        target: gateway.Announcement,
        route: gateway.Route,
        status: int,
        took_s: float,
    ) -> None:
        """Records the whole answer of an endpoint that ran a request."""
        if target.service not in self.services:
            return
        if status >= MIN_SERVER_ERROR_STATUS:
            self._record_failure(target, route)
        elif MIN_SUCCESS_STATUS <= status < MIN_REDIRECT_STATUS:
            self._times.add(route.name, took_s)
            if self.is_collecting:
                self.samples.record_success(target, route.name, took_s)

    def record_loss(
        self,
        target: gateway.Announcement,
        route: gateway.Route,
        error: web.UpstreamError,
        took_s: float,
    ) -> None:
        """Records an attempt without an answer, if the endpoint is to blame.

        It is not where a kept connection had ended, or where the caller left it
        less time than the route promises.
        """
        if target.service not in self.services or error.is_stale_connection:
            return
        if not error.is_timeout or took_s >= max(route.objective_s, 0.001):
            self._record_failure(target, route)

    def record_cut(
        self, target: gateway.Announcement, route: gateway.Route, took_s: float
    ) -> None:
        """Records an attempt that was cancelled as another one was first."""
        if self.is_collecting and target.service in self.services:
            self.samples.record_cut(target, route.name, took_s)

    def record_rejection(
        self, target: gateway.Announcement, route: gateway.Route
    ) -> None:
        """Records that an endpoint had no room for a request."""
        if self.is_collecting and target.service in self.services:
            self.samples.record_rejection(target, route.name)

    def find_latency(
        self, service: str, route: str
    ) -> gateway.RouteLatency | None:
        """Returns the usual times of a route at a service, if known."""
        if self._clock.now() > self._latencies_until:
            return None
        return self.latencies.get((service, route))

    def hold_latencies(
        self, latencies: tuple[gateway.RouteLatency, ...]
    ) -> None:
        """Replaces the usual times of all routes."""
        self.latencies = {(one.service, one.route): one for one in latencies}

    def draw_retry_after(self, route: gateway.Route) -> float | None:
        """Returns the Retry-After of a request that was rejected everywhere.

        None if no service of its route is shared.
        """
        if not any(target.service in self.services for target in route.targets):
            return None
        return gateway.draw_retry_after(self._times.get(route.name), self._rng)

    def take_samples(self) -> tuple[gateway.AttemptSample, ...]:
        """Returns what the leader has not received yet."""
        return self.samples.take() if self.is_collecting else ()

    def apply_answer(
        self,
        source: str,
        revision: int,
        endpoints: tuple[gateway.EndpointFigure, ...] | None,
        latencies: tuple[gateway.RouteLatency, ...],
    ) -> None:
        """Applies the answer of a leader to a poll.

        Args:
            source: Leader and epoch.
            revision: Revision of its figures; 0 if it collects none.
            endpoints: Figures; None if they are unchanged.
            latencies: Latencies, if it sends them.
        """
        now = self._clock.now()
        self.samples.confirm()
        self.is_collecting = revision > 0
        if not self.is_collecting:
            self.samples.clear()
        if endpoints is not None:
            self.figures.replace(source, endpoints, now)
            # A new leader knows no usual times yet.
            if latencies or source == self._latencies_of:
                self.hold_latencies(latencies)
                self._latencies_of = source
        else:
            self.figures.renew(source, now)
        if source == self._latencies_of:
            self._latencies_until = now + MAX_LATENCIES_AGE_S

    def note_lost_contact(self, contact_age_s: float) -> None:
        """Drops samples that are too old to tell anything of the present."""
        if contact_age_s > gateway.MAX_FIGURES_AGE_S:
            self.samples.clear()

    def _record_failure(
        self, target: gateway.Announcement, route: gateway.Route
    ) -> None:
        if self.is_collecting:
            self.samples.record_failure(target, route.name)


def make_unshared(clock: base.Clock) -> SharedEndpoints:
    """Returns an object for a process that knows no shared services."""
    unused: typing.Any = None
    return SharedEndpoints(
        clock, lambda: None, unused, unused, random.Random(0)
    )
