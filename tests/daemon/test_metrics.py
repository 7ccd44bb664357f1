"""Tests of metrics and their text format."""

import math
import unittest

import banyanbank_base as base
from banyanbank_web import metrics


class MetricsCase(unittest.TestCase):
    """Base of cases with a registry on a manual clock."""

    def setUp(self) -> None:
        self.clock = base.ManualClock()
        self.registry = metrics.MetricsRegistry(self.clock)


class RenderTest(MetricsCase):
    """The text follows the exposition format."""

    def test_text(self) -> None:
        calls = self.registry.counter("calls_total", "Calls.", "account")
        calls.add(2, "a")
        calls.add(1, 'b"\\\n')
        self.registry.gauge("queue_length", "Line\nbreak.").set(1.5)
        times = self.registry.histogram("wait_seconds", "Wait.", "kind")
        for _ in range(99):
            times.record(0.010, "x")
        times.record(2.0, "x")
        self.assertEqual(
            self.registry.render(),
            "# HELP calls_total Calls.\n"
            "# TYPE calls_total counter\n"
            'calls_total{account="a"} 2\n'
            'calls_total{account="b\\"\\\\\\n"} 1\n'
            "# HELP queue_length Line\\nbreak.\n"
            "# TYPE queue_length gauge\n"
            "queue_length 1.5\n"
            "# HELP wait_seconds Wait.\n"
            "# TYPE wait_seconds summary\n"
            'wait_seconds{kind="x",quantile="0.5"} 0.01\n'
            'wait_seconds{kind="x",quantile="0.9"} 0.01\n'
            'wait_seconds{kind="x",quantile="0.99"} 0.01\n'
            'wait_seconds{kind="x",quantile="0.999"} 2.0095\n'
            'wait_seconds_sum{kind="x"} 2.99\n'
            'wait_seconds_count{kind="x"} 100\n',
        )

    def test_odd_numbers(self) -> None:
        gauge = self.registry.gauge("g", "G.", "n")
        for number, text in (
            (float("inf"), "+Inf"),
            (float("nan"), "NaN"),
            (1e-7, "1e-07"),
        ):
            with self.subTest(text=text):
                gauge.set(number, "x")
                self.assertIn(f'g{{n="x"}} {text}\n', self.registry.render())


class BoundsTest(MetricsCase):
    """Label sets are bounded and mistakes are refused."""

    def test_label_sets_are_bounded(self) -> None:
        calls = self.registry.counter("calls_total", "Calls.", "path")
        times = self.registry.histogram("wait_seconds", "Wait.", "path")
        for i in range(1000):
            calls.add(1, f"/{i}")
            times.record(1.0, f"/{i}")
        lines = self.registry.render().splitlines()
        series = [line for line in lines if line.startswith("calls_total")]
        self.assertEqual(len(series), metrics.MAX_SERIES + 1)
        counts = [line for line in lines if "_count" in line]
        self.assertEqual(len(counts), metrics.MAX_HISTOGRAM_SERIES + 1)
        self.assertEqual(calls.value(metrics.OTHER), 1000 - len(series) + 1)

    def test_values_out_of_range(self) -> None:
        times = self.registry.histogram("wait_seconds", "Wait.")
        for value in (-1.0, 0.0, 1e12):
            times.record(value)
        self.assertLess(times.quantile(0.99), 3700)

    def test_mistakes(self) -> None:
        counter = self.registry.counter("a_total", "A.", "x")
        cases = (
            lambda: self.registry.gauge("a_total", "A."),
            lambda: self.registry.gauge("A b", "A."),
            lambda: self.registry.gauge("b", "A.", "bad-label"),
            lambda: counter.add(-1, "v"),
            lambda: counter.add(1),
        )
        for number, mistake in enumerate(cases):
            with self.subTest(case=number), self.assertRaises(ValueError):
                mistake()


class WindowTest(MetricsCase):
    """Quantiles forget; counts and sums don't."""

    def test_quantiles_are_recent(self) -> None:
        times = self.registry.histogram("wait_seconds", "Wait.")
        times.record(10.0)
        self.clock.advance(metrics.WINDOW_S)
        times.record(1.0)
        self.assertAlmostEqual(times.quantile(0.99), 10.0, delta=0.1)
        self.clock.advance(metrics.WINDOW_S)
        self.assertAlmostEqual(times.quantile(0.99), 1.0, delta=0.1)
        self.clock.advance(5 * metrics.WINDOW_S)
        self.assertTrue(math.isnan(times.quantile(0.99)))
        rendered = self.registry.render()
        self.assertIn('wait_seconds{quantile="0.99"} NaN\n', rendered)
        self.assertIn("wait_seconds_count 2\n", rendered)
