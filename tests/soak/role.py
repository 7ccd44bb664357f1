"""Runs one role of the deployment with a time of day that can jump.

Each SIGUSR1 moves the time of day by the milliseconds that the environment
names, there and back in turn; the environment also names how far it is ahead
from the start. Connections to servers come from an address of the process, by
which the servers know their callers. All else is the real program.
"""

import os
import pathlib
import runpy
import signal
import socket
import time
import typing

SERVE = pathlib.Path(__file__).parents[2] / "platform" / "serve.py"
STEP_VARIABLE = "SOAK_CLOCK_STEP_MS"
AHEAD_VARIABLE = "SOAK_CLOCK_AHEAD_MS"
SOURCE_VARIABLE = "SOAK_SOURCE_HOST"
SERVERS_HOST = "127.0.0.1"


def main() -> None:
    """Installs the jump and runs the role that the first argument names."""
    true_time = time.time
    step_s = int(os.environ.get(STEP_VARIABLE, "0")) / 1000
    ahead_s = int(os.environ.get(AHEAD_VARIABLE, "0")) / 1000
    shift = [0.0]

    def jump(number: int, frame: typing.Any) -> None:
        del number, frame
        shift[0] = step_s if not shift[0] else 0.0

    connect = socket.socket.connect_ex

    def connect_from_source(own: socket.socket, address: typing.Any) -> int:
        # A connection that is not made at once asks a second time.
        if address[0] == SERVERS_HOST and not own.getsockname()[1]:
            own.bind((os.environ[SOURCE_VARIABLE], 0))
        return connect(own, address)

    socket.socket.connect_ex = connect_from_source  # type: ignore
    time.time = lambda: true_time() + ahead_s + shift[0]
    signal.signal(signal.SIGUSR1, jump)
    runpy.run_path(str(SERVE), run_name="__main__")


if __name__ == "__main__":
    main()
