"""Collects figures of shared endpoints at the leader and encodes them."""

import typing

import banyanbank_base as base
import banyanbank_gateway as gateway

from banyanbank_node import _event_log
from banyanbank_node import _ledger_replica
from banyanbank_node import _messages
from banyanbank_node import _shared_endpoints

TICK_INTERVAL_S = 0.25
"""Least time between two updates; entries poll twice a second."""

LATENCY_INTERVAL_S = 5.0
"""Least time between two changes of the latencies that are sent."""


class FigureSource:
    """Figures that the leader sends with its answers to polls.

    Implements `consensus.Duty`. A change does not wake polls: it goes with the
    next answer, at most 0.5 s later, so that it costs no additional message.
    Each epoch starts anew.

    Args:
        clock: Monotonic clock.
        stored: Replicated ledger, for the epoch.
        shared: What this process observes itself.
        events: Event log.
        sends_latencies: Whether entries are sent latencies of routes, which
            second attempts need.
    """

    def __init__(
        self,
        clock: base.Clock,
        stored: _ledger_replica.LedgerReplica,
        shared: _shared_endpoints.SharedEndpoints,
        events: _event_log.EventLog,
        sends_latencies: bool = False,
    ) -> None:
        self._clock = clock
        self._stored = stored
        self._shared = shared
        self._events = events
        self._sends_latencies = sends_latencies
        self._epoch = -1
        self._collector = gateway.FigureCollector()
        self._logged: dict[base.EndpointId, gateway.EndpointFigure] = {}
        self._latencies: tuple[gateway.RouteLatency, ...] = ()
        self._latencies_at = 0.0
        self._part = _messages.FiguresPart(())
        self._encoded = b""
        self._revision = 1
        self._is_in_use = False
        self._next_tick_at = 0.0
        self._part_epoch = -1
        shared.refresh = self.refresh

    @property
    def latencies(
        self,
    ) -> dict[tuple[str, str], gateway.LatencyHistogram]:
        """Durations by service and route, over all instances."""
        return self._collector.latencies

    def add(
        self, reporter: str, samples: tuple[gateway.AttemptSample, ...]
    ) -> None:
        """Adds what an entry reports."""
        if samples and self._is_in_use:
            self._begin_epoch()
            self._collector.add(reporter, samples, self._clock.now())

    def refresh(self) -> None:
        """Updates the figures by which this process itself chooses."""
        self._begin_epoch()
        self._shared.is_collecting = True
        now = self._clock.now()
        samples = self._shared.take_samples()
        self._shared.samples.confirm()
        self._collector.add("", samples, now)
        figures = self._collector.find_figures(now)
        self._shared.figures.replace(str(self._epoch), figures, now)

    def tick(self) -> None:
        """Updates the figures that polls are answered with."""
        now = self._clock.now()
        epoch = self._stored.node.epoch
        if now < self._next_tick_at and epoch == self._part_epoch:
            return
        self._next_tick_at = now + TICK_INTERVAL_S
        self._part_epoch = epoch
        # May parse a new document, for which no poll should wait.
        self._is_in_use = bool(self._shared.services)
        if not self._is_in_use:
            return
        self.refresh()
        if (
            self._sends_latencies
            and now >= self._latencies_at + LATENCY_INTERVAL_S
        ):
            self._latencies_at = now
            self._latencies = gateway.summarize_latencies(self.latencies)
        # Without them there are no second attempts at a service.
        latencies = tuple(
            latency
            for latency in self._latencies
            if not self._collector.overloads.is_overloaded(latency.service, now)
        )
        self._shared.hold_latencies(latencies)
        part = _messages.FiguresPart(
            self._collector.find_figures(now), latencies
        )
        if part != self._part:
            self._log_changes(part.endpoints)
            self._part = part
            self._encoded = b""
            self._revision += 1

    def stop(self) -> None:
        """Does nothing; figures hold for one epoch."""

    @property
    def revision(self) -> int:
        """Revision of the figures; 0 if there are none in this epoch."""
        is_current = self._part_epoch == self._stored.node.epoch
        return self._revision if self._is_in_use and is_current else 0

    def encode(self, is_same_source: bool) -> bytes | None:
        """Returns the encoded figures, or None if there is nothing to tell.

        Args:
            is_same_source: Whether the entry may hold former figures of this
                leader, which no figures would replace.
        """
        if not is_same_source and self._part == _messages.FiguresPart(()):
            return None
        if not self._encoded:
            self._encoded = _messages.CODEC.encode(self._part)
        return self._encoded

    def _begin_epoch(self) -> None:
        epoch = self._stored.node.epoch
        if self._epoch != epoch:
            self._epoch = epoch
            self._collector = gateway.FigureCollector()
            self._latencies = ()
            self._latencies_at = 0.0

    def _log_changes(
        self, figures: typing.Iterable[gateway.EndpointFigure]
    ) -> None:
        latest = {figure.endpoint: figure for figure in figures}
        for endpoint in sorted(self._logged.keys() | latest.keys()):
            figure = latest.get(endpoint)
            if figure == self._logged.get(endpoint):
                continue
            self._events.write(
                "endpoint.figure",
                endpoint=endpoint,
                time_factor=1.0 if figure is None else figure.time_factor,
                is_failing=figure is not None and figure.is_failing,
            )
        self._logged = latest
