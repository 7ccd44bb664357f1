"""Tests of imports: many entries start often, so startup must be fast."""

import subprocess
import sys
import unittest

IMPORT_SCRIPT = (
    "import sys, banyanbank_platform._processes; "
    "print(*sorted({name.partition('.')[0] for name in sys.modules}))"
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
