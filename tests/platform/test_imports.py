"""Tests of what a role imports: entries are many, and start often."""

import subprocess
import sys
import unittest

IMPORT_SCRIPT = (
    "import sys, banyanbank_platform._processes; "
    "print(*sorted({name.partition('.')[0] for name in sys.modules}))"
)


class ImportsTest(unittest.TestCase):
    """What only stores need is loaded by stores only."""

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
