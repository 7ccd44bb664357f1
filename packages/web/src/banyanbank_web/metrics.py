"""Metrics in the Prometheus text exposition format."""

import collections.abc
import math
import re
import typing

import attrs
import banyanbank_base as base
import hdrh.histogram

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Media type of `MetricsRegistry.render`."""

MAX_SERIES = 256
"""Series of one metric; label sets beyond share one series."""

MAX_HISTOGRAM_SERIES = 64
"""Series of one histogram; they take more memory and time."""

OTHER = "other"
"""Label value of the series that further label sets share."""

WINDOW_S = 60.0
"""Quantiles are of the last one to two windows."""

QUANTILES = (0.5, 0.9, 0.99, 0.999)
"""Quantiles that are shown."""

SIGNIFICANT_FIGURES = 2
"""Precision of quantiles."""

NAME_PATTERN = re.compile(r"[a-z][a-z0-9_]*")
"""Names of metrics and labels."""

LabelValues = tuple[str, ...]
"""Values of a metric's labels, in their order."""


class _Metric:
    """What counters, gauges and histograms share."""

    kind = ""
    max_series = MAX_SERIES

    def __init__(self, name: str, text: str, labels: tuple[str, ...]) -> None:
        for word in (name, *labels):
            if not NAME_PATTERN.fullmatch(word):
                raise ValueError(f"{word!r} is no name of a metric or label.")
        self.name = name
        self.text = text
        self.labels = labels

    def render(self) -> collections.abc.Iterator[str]:
        """Yields the lines of all series."""
        yield f"# HELP {self.name} {_escape_help(self.text)}"
        yield f"# TYPE {self.name} {self.kind}"
        yield from self._render_series()

    def _render_series(self) -> collections.abc.Iterator[str]:
        raise NotImplementedError

    def _key(
        self,
        values: LabelValues,
        series: collections.abc.Container[LabelValues],
        count: int,
    ) -> LabelValues:
        if len(values) != len(self.labels):
            raise ValueError(
                f"{self.name} has labels {self.labels}, got {len(values)}."
            )
        if values in series or count < self.max_series:
            return values
        return (OTHER,) * len(self.labels)

    def _line(self, suffix: str, pairs: str, value: float) -> str:
        labels = f"{{{pairs}}}" if pairs else ""
        return f"{self.name}{suffix}{labels} {_number(value)}"

    def _pairs(self, values: LabelValues) -> str:
        return ",".join(
            f'{label}="{_escape_value(value)}"'
            for label, value in zip(self.labels, values, strict=True)
        )


class _Plain(_Metric):
    """A metric with one number per series."""

    def __init__(self, name: str, text: str, labels: tuple[str, ...]) -> None:
        super().__init__(name, text, labels)
        self._values: dict[LabelValues, float] = {}

    def value(self, *labels: str) -> float:
        """Returns the number of a series; 0 when it has none."""
        return self._values.get(labels, 0.0)

    def _render_series(self) -> collections.abc.Iterator[str]:
        for labels, value in sorted(self._values.items()):
            yield self._line("", self._pairs(labels), value)


class Counter(_Plain):
    """A number that only rises."""

    kind = "counter"

    def __init__(self, name: str, text: str, labels: tuple[str, ...]) -> None:
        super().__init__(name, text, labels)
        self._totals: dict[LabelValues, float] = {}

    def add(self, amount: float, *labels: str) -> None:
        """Raises the counter of a series; the amount is not negative."""
        if amount < 0:
            raise ValueError(f"Counter {self.name} cannot fall.")
        key = self._key(labels, self._values, len(self._values))
        self._values[key] = self._values.get(key, 0.0) + amount

    def advance(self, total: float, *labels: str) -> None:
        """Raises the counter of a series to a total counted elsewhere."""
        self.add(max(0.0, total - self._totals.get(labels, 0.0)), *labels)
        self._totals[labels] = total


class Gauge(_Plain):
    """A number that rises and falls."""

    kind = "gauge"

    def set(self, value: float, *labels: str) -> None:
        """Sets the gauge of a series."""
        key = self._key(labels, self._values, len(self._values))
        self._values[key] = value

    def remove(self, *labels: str) -> None:
        """Forgets a series."""
        self._values.pop(labels, None)


@attrs.define
class _Series:
    """State of one series of a histogram."""

    current: hdrh.histogram.HdrHistogram
    """Values of this window."""
    previous: hdrh.histogram.HdrHistogram
    """Values of the window before."""
    rotate_at: float
    """Monotonic seconds at which the window ends."""
    count: int = 0
    """Values since the start."""
    total: float = 0.0
    """Sum of the values since the start."""


class Histogram(_Metric):
    """Quantiles of recent values, and their count and sum since the start.

    Args:
        name: Name of the metric, ending in its unit.
        text: What it measures.
        labels: Names of its labels.
        clock: Clock of the windows.
        resolution: Smallest difference told apart, in the metric's unit.
        highest: Largest value told apart, in the metric's unit.
    """

    kind = "summary"
    max_series = MAX_HISTOGRAM_SERIES

    def __init__(
        self,
        name: str,
        text: str,
        labels: tuple[str, ...],
        clock: base.Clock,
        resolution: float,
        highest: float,
    ) -> None:
        super().__init__(name, text, labels)
        self._clock = clock
        self._resolution = resolution
        self._highest = max(2, int(highest / resolution))
        self._series: dict[LabelValues, _Series] = {}

    def record(self, value: float, *labels: str) -> None:
        """Records a value; out of range it counts as the nearest in range."""
        series = self._series_of(labels)
        steps = int(min(max(value / self._resolution, 1), self._highest))
        series.current.record_value(steps)
        series.count += 1
        series.total += value

    def quantile(self, quantile: float, *labels: str) -> float:
        """Returns a quantile of recent values; NaN when there are none."""
        series = self._series.get(labels)
        if series is None:
            return math.nan
        return self._quantiles(series, (quantile,))[quantile]

    def _series_of(self, labels: LabelValues) -> _Series:
        key = self._key(labels, self._series, len(self._series))
        series = self._series.get(key)
        if series is None:
            series = _Series(
                self._empty(), self._empty(), self._clock.now() + WINDOW_S
            )
            self._series[key] = series
        self._rotate(series)
        return series

    def _rotate(self, series: _Series) -> None:
        now = self._clock.now()
        if now < series.rotate_at:
            return
        # A new histogram costs a tenth of emptying an old one.
        series.previous = series.current
        series.current = self._empty()
        if now >= series.rotate_at + WINDOW_S:
            series.previous = self._empty()
        series.rotate_at = now + WINDOW_S

    def _empty(self) -> hdrh.histogram.HdrHistogram:
        return hdrh.histogram.HdrHistogram(
            1, self._highest, SIGNIFICANT_FIGURES
        )

    def _quantiles(
        self, series: _Series, quantiles: tuple[float, ...]
    ) -> dict[float, float]:
        self._rotate(series)
        merged = self._empty()
        merged.add(series.previous)
        merged.add(series.current)
        if not merged.get_total_count():
            return dict.fromkeys(quantiles, math.nan)
        steps = merged.get_percentile_to_value_dict(
            [quantile * 100 for quantile in quantiles]
        )
        return {
            quantile: float(steps[quantile * 100] * self._resolution)
            for quantile in quantiles
        }

    def _render_series(self) -> collections.abc.Iterator[str]:
        for labels, series in sorted(self._series.items()):
            pairs = self._pairs(labels)
            values = self._quantiles(series, QUANTILES)
            for quantile, value in values.items():
                pair = f'quantile="{quantile}"'
                joined = f"{pairs},{pair}" if pairs else pair
                yield self._line("", joined, value)
            yield self._line("_sum", pairs, series.total)
            yield self._line("_count", pairs, series.count)


M = typing.TypeVar("M", bound=_Metric)


class MetricsRegistry:
    """All metrics of one instance.

    Args:
        clock: Clock of the histograms' windows.
    """

    def __init__(self, clock: base.Clock) -> None:
        self._clock = clock
        self._metrics: dict[str, _Metric] = {}

    def counter(self, name: str, text: str, *labels: str) -> Counter:
        """Adds a counter.

        Args:
            name: Name, ending in its unit and `_total`.
            text: What it counts.
            *labels: Names of its labels.

        Raises:
            ValueError: The name is taken or no name.
        """
        return self._add(Counter(name, text, labels))

    def gauge(self, name: str, text: str, *labels: str) -> Gauge:
        """Adds a gauge; see `counter` for the arguments."""
        return self._add(Gauge(name, text, labels))

    def histogram(
        self,
        name: str,
        text: str,
        *labels: str,
        resolution: float = 1e-4,
        highest: float = 3600.0,
    ) -> Histogram:
        """Adds a histogram; see `Histogram` for the arguments."""
        return self._add(
            Histogram(name, text, labels, self._clock, resolution, highest)
        )

    def render(self) -> str:
        """Returns all metrics as text."""
        return "".join(self.lines())

    def lines(self) -> collections.abc.Iterator[str]:
        """Yields all metrics line by line.

        Quantiles take time: a listener lets the loop turn between lines, say
        with `twisted.internet.task.cooperate`.
        """
        for _, metric in sorted(self._metrics.items()):
            for line in metric.render():
                yield line + "\n"

    def _add(self, metric: M) -> M:
        if metric.name in self._metrics:
            raise ValueError(f"Metric {metric.name} exists.")
        self._metrics[metric.name] = metric
        return metric


def _escape_help(text: str) -> str:
    return text.replace("\\", "\\\\").replace("\n", "\\n")


def _escape_value(text: str) -> str:
    return _escape_help(text).replace('"', '\\"')


def _number(value: float) -> str:
    if not math.isfinite(value):
        return {math.inf: "+Inf", -math.inf: "-Inf"}.get(value, "NaN")
    if value == int(value):
        return str(int(value))
    return f"{value:.9g}"
