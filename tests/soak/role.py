"""Runs one role of the deployment with a time of day that can jump.

Each SIGUSR1 moves the time of day by the milliseconds that the environment
names, there and back in turn; the environment also names how far it is ahead
from the start. All else is the real program.
"""

import os
import pathlib
import runpy
import signal
import time
import typing

SERVE = pathlib.Path(__file__).parents[2] / "platform" / "serve.py"
STEP_VARIABLE = "SOAK_CLOCK_STEP_MS"
AHEAD_VARIABLE = "SOAK_CLOCK_AHEAD_MS"


def main() -> None:
    """Installs the jump and runs the role that the first argument names."""
    true_time = time.time
    step_s = int(os.environ.get(STEP_VARIABLE, "0")) / 1000
    ahead_s = int(os.environ.get(AHEAD_VARIABLE, "0")) / 1000
    shift = [0.0]

    def jump(number: int, frame: typing.Any) -> None:
        del number, frame
        shift[0] = step_s if not shift[0] else 0.0

    time.time = lambda: true_time() + ahead_s + shift[0]
    signal.signal(signal.SIGUSR1, jump)
    runpy.run_path(str(SERVE), run_name="__main__")


if __name__ == "__main__":
    main()
