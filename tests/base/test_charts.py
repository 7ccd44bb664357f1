"""Tests which statecharts can be kept as tables."""

import pathlib
import sys
import tempfile
import unittest

import banyanbank_base as base

PACKAGE = "charts_of_test"
CHART = """
statechart:
  name: door
  root state:
    name: root
    initial: open
    states:
      - name: open
        transitions:
          - event: close
            target: closed
      - name: closed
"""


class LoadTableTest(unittest.TestCase):
    """A table without a guard would take steps that the chart forbids."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.charts = pathlib.Path(folder.name, PACKAGE, "charts")
        self.charts.mkdir(parents=True)
        (self.charts.parent / "__init__.py").touch()
        sys.path.insert(0, folder.name)
        self.addCleanup(sys.path.remove, folder.name)
        self.addCleanup(sys.modules.pop, PACKAGE, None)

    def test_flat_chart(self) -> None:
        (self.charts / "door.yaml").write_text(CHART)
        self.assertEqual(
            base.load_table(PACKAGE, "door"),
            base.ChartTable(
                "door", "open", {"open": {"close": "closed"}, "closed": {}}
            ),
        )

    def test_what_a_table_cannot_express_is_refused(self) -> None:
        step = "          - event: close\n            target: closed\n"
        cases = (
            ("guard", step, f"{step}            guard: x > 1\n"),
            ("action", step, f"{step}            action: x = 1\n"),
            ("two targets", step, f"{step}{step.replace('closed', 'open')}"),
            ("no event", step, "          - target: closed\n"),
            ("entry action", "initial: open", "initial: open\n    on entry: x"),
            ("preamble", "name: door", "name: door\n  preamble: x = 1"),
            (
                "nested states",
                "- name: closed",
                "- name: closed\n        states:\n          - name: locked",
            ),
        )
        for name, old, new in cases:
            with self.subTest(name):
                self.assertIn(old, CHART)
                (self.charts / "door.yaml").write_text(CHART.replace(old, new))
                with self.assertRaisesRegex(base.ChartError, "table"):
                    base.load_table(PACKAGE, "door")


class TableRunnerTest(unittest.TestCase):
    """An event that does not fit must not pass unnoticed."""

    def test_unknown_event(self) -> None:
        table = base.ChartTable(
            "door", "open", {"open": {"close": "closed"}, "closed": {}}
        )
        runner = base.TableRunner(table)
        self.assertEqual(runner.send("close"), "closed")
        with self.assertRaisesRegex(
            base.ChartError, "Chart door: state closed takes no event close"
        ):
            runner.send("close")
        self.assertEqual(runner.state, "closed")


if __name__ == "__main__":
    unittest.main()
