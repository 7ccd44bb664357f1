"""Collects, at the leader, what all instances observe of plain endpoints."""

import collections.abc
import math

import attrs
import banyanbank_base as base

from banyanbank_gateway import _attempt_samples
from banyanbank_gateway import _endpoint_figures
from banyanbank_gateway import _failure_watch
from banyanbank_gateway import _figure_estimate
from banyanbank_gateway import _latency_histogram
from banyanbank_gateway import _overload_watch

RECOMPUTE_INTERVAL_S = 0.25
"""Least time between two computations; entries poll twice a second."""

LEVELS_PER_DOUBLING = 3
"""Published factors are 26% apart."""

MIN_CHANGE = 0.75 * math.log(2) / LEVELS_PER_DOUBLING
"""Least change of the logarithm of a factor that is published."""

ERRORS_OF_CHANGE = 3.0
"""A change must exceed this number of standard errors; with 2, requests whose
times vary by 40% cause a change every 8 s among ten equal endpoints."""

MAX_FACTOR = 4.0
"""Largest published factor, and the inverse of the smallest."""

TRIAL_FACTOR = 2.0
"""Least factor of an endpoint on trial after failures."""

RETENTION_S = 30.0
"""Time for which an endpoint without requests is remembered."""

_Life = tuple[base.EndpointId, int]


@attrs.define
class _EndpointRecord:
    service: str
    times: dict[str, _figure_estimate.RouteTimes] = attrs.Factory(dict)
    watch: _failure_watch.FailureWatch = attrs.Factory(
        _failure_watch.FailureWatch
    )
    level: int = 0
    heard_at: float = 0.0


class FigureCollector:
    """Turns samples of all instances into figures of endpoints.

    Addresses unequal endpoints, endpoints that turn slow by fits and endpoints
    that fail, each of which one instance alone would learn of too late. Figures
    are rounded, and keep their value unless a change exceeds the noise, so that
    equal endpoints cause no messages.

    Attributes:
        revision: Increases with each change of the figures.
        latencies: Durations by service and route, over all instances.
        overloads: Services whose endpoints reject requests.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.latencies: dict[
            tuple[str, str], _latency_histogram.LatencyHistogram
        ] = {}
        self.overloads = _overload_watch.OverloadWatch()
        self._records: dict[_Life, _EndpointRecord] = {}
        self._figures: tuple[_endpoint_figures.EndpointFigure, ...] = ()
        self._computed_at = -math.inf

    def add(
        self,
        reporter: str,
        samples: collections.abc.Iterable[_attempt_samples.AttemptSample],
        now: float,
    ) -> None:
        """Adds what an instance observed since its last report."""
        for sample in samples:
            if sample.rejections:
                self.overloads.add(sample.service, sample.endpoint, now)
            if not (sample.times or sample.failures or sample.cut_times):
                continue
            life = (sample.endpoint, sample.born_ms)
            record = self._records.get(life)
            if record is None:
                record = self._records[life] = _EndpointRecord(sample.service)
            record.heard_at = now
            record.watch.add(
                reporter, sum(sample.times.values()), sample.failures, now
            )
            # A slow attempt that was cancelled took at least this long. Left
            # out, slow endpoints would look fast, and quantiles would fall.
            known_times = _attempt_samples.add_counts(
                sample.times, sample.cut_times
            )
            if not known_times:
                continue
            times = record.times.setdefault(
                sample.route, _figure_estimate.RouteTimes()
            )
            for bucket, count in known_times.items():
                duration_s = _latency_histogram.duration_of(bucket)
                times.add(duration_s, count, now)
            self.latencies.setdefault(
                (sample.service, sample.route),
                _latency_histogram.LatencyHistogram(),
            ).add(known_times, now)

    def find_figures(
        self, now: float
    ) -> tuple[_endpoint_figures.EndpointFigure, ...]:
        """Returns the endpoints that differ from others of their service."""
        if now < self._computed_at + RECOMPUTE_INTERVAL_S:
            return self._figures
        self._computed_at = now
        self._forget(now)
        for service in {one.service for one in self._records.values()}:
            self._update_levels(service, now)
        figures = tuple(
            figure
            for life, record in sorted(self._records.items())
            if (figure := _make_figure(life, record, now)) is not None
        )
        if figures != self._figures:
            self._figures = figures
            self.revision += 1
        return figures

    def _update_levels(self, service: str, now: float) -> None:
        records = {
            f"{name}/{born_ms}": record
            for (name, born_ms), record in self._records.items()
            if record.service == service
        }
        by_route: dict[str, dict[str, _figure_estimate.RouteTimes]] = {}
        for key, record in records.items():
            for route, times in record.times.items():
                by_route.setdefault(route, {})[key] = times
        found = _figure_estimate.find_deviations(by_route.values(), now)
        for key, deviation in found.items():
            record = records[key]
            change = deviation.mean - _log_factor(record.level)
            if abs(change) > max(
                MIN_CHANGE, ERRORS_OF_CHANGE * deviation.error
            ):
                record.level = _find_level(deviation.mean)

    def _forget(self, now: float) -> None:
        for life, record in list(self._records.items()):
            if record.heard_at + RETENTION_S < now:
                del self._records[life]
        for key, histogram in list(self.latencies.items()):
            if histogram.is_empty(now):
                del self.latencies[key]


def _log_factor(level: int) -> float:
    return level * math.log(2) / LEVELS_PER_DOUBLING


def _find_level(log_factor: float) -> int:
    bound = math.log(MAX_FACTOR)
    bounded = min(max(log_factor, -bound), bound)
    return round(bounded * LEVELS_PER_DOUBLING / math.log(2))


def _make_figure(
    life: _Life, record: _EndpointRecord, now: float
) -> _endpoint_figures.EndpointFigure | None:
    phase = record.watch.find_phase(now)
    factor = round(math.exp(_log_factor(record.level)), 2)
    if phase is _failure_watch.Phase.TRIAL:
        factor = max(factor, TRIAL_FACTOR)
    is_failing = phase is _failure_watch.Phase.FAILING
    if factor == 1.0 and not is_failing:
        return None
    return _endpoint_figures.EndpointFigure(*life, factor, is_failing)
