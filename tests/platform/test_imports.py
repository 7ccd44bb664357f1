"""Tests of imports: starts must be fast, also when all processes start."""

import subprocess
import sys
import unittest

IMPORT_SCRIPT = (
    "import sys, banyanbank_platform._processes; "
    "print(*sorted({name.partition('.')[0] for name in sys.modules}))"
)
STORE_SCRIPT = (
    "import sys, banyanbank_node; banyanbank_node.Store; "
    "from banyanbank_consensus import _charts; "
    "_charts.make_chart_runner('role'); _charts.make_chart_runner('node'); "
    "print(*sorted(sys.modules))"
)


class ImportsTest(unittest.TestCase):
    """Entries do not load modules that only stores need."""

    def test_entry(self) -> None:
        done = subprocess.run(
            [sys.executable, "-c", IMPORT_SCRIPT],
            capture_output=True,
            check=True,
        )
        loaded = done.stdout.decode().split()
        for name in ("banyanbank_consensus", "sismic", "ruamel", "fire"):
            with self.subTest(name):
                self.assertNotIn(name, loaded)

    def test_store(self) -> None:
        """Stores run their charts without the parser of the charts."""
        done = subprocess.run(
            [sys.executable, "-c", STORE_SCRIPT],
            capture_output=True,
            check=True,
        )
        loaded = done.stdout.decode().split()
        self.assertIn("banyanbank_consensus", loaded)
        for name in ("sismic", "ruamel.yaml", "schema"):
            with self.subTest(name):
                self.assertNotIn(name, loaded)
