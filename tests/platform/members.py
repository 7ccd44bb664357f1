"""Processes of a measured deployment, run from a built checkout."""

import json
import os
import pathlib
import subprocess
import time
import typing

import attrs

from tests.platform import phases


@attrs.define(eq=False)
class Member:
    """One process of the deployment."""

    role: str
    """`entry` or `store`."""
    settings: dict[str, typing.Any]
    """Content of its settings file."""
    folder: pathlib.Path
    """Holds its settings, its data and its log."""
    python: str
    """Interpreter that runs it."""
    tree: pathlib.Path
    """Checkout that it runs from."""
    running: subprocess.Popen[bytes] | None = None
    """The process; None while it is off."""
    log_offset: int = 0
    """Length of the log before the latest start."""

    def start(self) -> None:
        """Starts the process, as the platform does."""
        path = self.folder / "boot.json"
        path.write_text(json.dumps(self.settings))
        with (self.folder / "log.txt").open("ab") as log:
            self.log_offset = log.tell()
            self.running = subprocess.Popen(
                [
                    self.python,
                    str(self.tree / "platform" / "serve.py"),
                    self.role,
                ],
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(self.tree / "target" / "deps"),
                    "BANYANBANK_BOOT": str(path),
                },
                stdout=log,
                stderr=log,
            )

    def kill(self) -> None:
        """Ends the process without warning."""
        if self.running is not None:
            self.running.kill()
            self.running.wait()
            self.running = None

    def processor_s(self) -> float:
        """Returns the processor time that the process has taken."""
        assert self.running is not None
        # The clock of another process, see clock_getcpuclockid(3).
        return time.clock_gettime((~self.running.pid << 3) | 2)

    def read_log(self) -> phases.MemberLog:
        """Returns what was logged since the latest start."""
        return phases.read_log(
            self.role, self.folder / "log.txt", self.log_offset
        )
