"""Tests of process startup."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

SERVE_SCRIPT = pathlib.Path(__file__).parents[2] / "platform" / "serve.py"

BLOCKING_MAIN_MODULE = """
import sys
print("importing", flush=True)
sys.stdin.readline()

def main(front_socket):
    print("runs", front_socket, flush=True)
"""

DEFERRED_IMPORTS_MODULE = """
def install():
    print("defers", flush=True)
"""

EARLY_SOCKET_MODULE = """
def open_front_socket(role, environment):
    return "socket of " + role
"""


class StartTest(unittest.TestCase):
    """Signals that arrive before a process handles them.

    Guards against a SIGHUP that ends the process during the imports.
    """

    def test_settings_change_during_the_imports(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            package = pathlib.Path(folder, "banyanbank_platform")
            package.mkdir()
            (package / "__init__.py").touch()
            (package / "_main.py").write_text(BLOCKING_MAIN_MODULE)
            (package / "_early_socket.py").write_text(EARLY_SOCKET_MODULE)
            (package / "_deferred_imports.py").write_text(
                DEFERRED_IMPORTS_MODULE
            )
            with subprocess.Popen(
                [sys.executable, SERVE_SCRIPT, "entry"],
                env=os.environ | {"PYTHONPATH": folder},
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            ) as process:
                assert process.stdout is not None
                self.assertEqual(process.stdout.readline(), b"defers\n")
                self.assertEqual(process.stdout.readline(), b"importing\n")
                process.send_signal(signal.SIGHUP)
                rest, _ = process.communicate(b"\n")
        self.assertEqual(
            (process.returncode, rest), (0, b"runs socket of entry\n")
        )
