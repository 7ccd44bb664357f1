"""Tests that the tables of the charts are those of the YAML files."""

import typing
import unittest

import banyanbank_base as base
from banyanbank_consensus import _chart_tables
from banyanbank_consensus import _charts
from banyanbank_consensus import _node
from banyanbank_consensus import _state

from tests.consensus import chart_tables

MAX_STEPS = 3
"""Events of the longest sequence; each state is reached within them."""


class ChartTableTest(unittest.TestCase):
    """A chart that was changed without its table would not take effect."""

    def test_module_is_what_the_charts_give(self) -> None:
        self.assertEqual(
            chart_tables.TABLES_PATH.read_text(encoding="utf-8"),
            chart_tables.render(),
            "Run python -m tests.consensus.chart_tables.",
        )

    def test_states_are_those_of_the_enumerations(self) -> None:
        for name, values in (("role", _state.Role), ("node", _node.Phase)):
            with self.subTest(name):
                self.assertEqual(
                    set(_chart_tables.TABLES[name].transitions),
                    {member.value for member in values},
                )

    def test_runner_takes_the_steps_of_the_chart_interpreter(self) -> None:
        for name in chart_tables.chart_names():
            table = _chart_tables.TABLES[name]
            events = sorted(
                {event for of in table.transitions.values() for event in of}
            )
            chart = base.load_chart(chart_tables.PACKAGE, name)
            reached = set()
            paths: list[tuple[str, ...]] = [()]
            for path in paths:
                runner = _charts.make_chart_runner(name)
                interpreter = base.ChartRunner(chart)
                for event in path:
                    runner.send(event)
                    interpreter.send(event)
                self.assertEqual(runner.state, interpreter.state)
                reached.add(runner.state)
                for event in (*events, "unknown"):
                    if self.takes(name, chart, path, event) and (
                        len(path) < MAX_STEPS
                    ):
                        paths.append((*path, event))
            with self.subTest(name):
                self.assertEqual(reached, set(table.transitions))

    def takes(
        self, name: str, chart: typing.Any, path: tuple[str, ...], event: str
    ) -> bool:
        """Checks that both runners agree on an event; returns if they take it.

        Args:
            name: Name of the chart.
            chart: The chart, for the interpreter.
            path: Events before.
            event: Event that is tried.
        """
        outcomes = []
        for runner in (
            _charts.make_chart_runner(name),
            base.ChartRunner(chart),
        ):
            for earlier in path:
                runner.send(earlier)
            try:
                outcomes.append(runner.send(event))
            except base.ChartError as exc:
                outcomes.append(f"error: {exc}")
        self.assertEqual(*outcomes, (name, path, event))
        return not outcomes[0].startswith("error")


if __name__ == "__main__":
    unittest.main()
