"""Tests of what the tests share."""

import subprocess
import sys
import unittest

# Ids of processes that run after each other repeat; here they are equal.
PROGRAM = """
import os

os.getpid = lambda: 7439

from tests import support

print(*support.free_ports(3), flush=True)
input()
"""


class FreePortsTest(unittest.TestCase):
    """Ports of test processes that run at the same time."""

    def test_processes_share_no_port(self) -> None:
        """Two processes are given different ports, whatever their ids.

        Guards against ports that are free when two processes look, and on which
        the programs of both listen seconds later.
        """
        running = [self.start(), self.start()]
        lines = [self.read_line(process) for process in running]
        first, second = (frozenset(line.split()) for line in lines)
        self.assertEqual(len(first), 3)
        self.assertEqual(len(second), 3)
        self.assertTrue(first.isdisjoint(second), lines)

    def start(self) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.communicate)
        return process

    def read_line(self, process: subprocess.Popen[str]) -> str:
        assert process.stdout is not None
        return process.stdout.readline()
