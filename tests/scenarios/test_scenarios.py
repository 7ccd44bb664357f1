"""Runs every feature; one test a feature file."""

import io
import pathlib
import unittest

from behave import configuration
from behave import runner

FEATURES = pathlib.Path(__file__).parent / "features"


class FeatureTest(unittest.TestCase):
    """Every scenario of a feature passes."""

    def check(self, name: str) -> None:
        cfg = configuration.Configuration(
            command_args=[
                str(FEATURES / f"{name}.feature"),
                "--no-capture",
                "--no-color",
                "--no-summary",
                "--format=plain",
                "--no-timings",
                "--logging-level=ERROR",
            ],
            load_config=False,
        )
        output = io.StringIO()
        cfg.outputs = [configuration.StreamOpener(stream=output)]
        has_failed = runner.Runner(cfg).run()
        self.assertFalse(has_failed, output.getvalue())
        self.assertIn("... passed", output.getvalue())

    def test_rollouts(self) -> None:
        self.check("rollouts")

    def test_requests(self) -> None:
        self.check("requests")

    def test_capacity(self) -> None:
        self.check("capacity")

    def test_control(self) -> None:
        self.check("control")

    def test_operators(self) -> None:
        self.check("operators")
