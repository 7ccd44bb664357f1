"""Runs network tests of plain `unittest` on one event loop.

The asyncio reactor is installed when this module is imported, so a test module
that touches the network imports it before anything that imports the reactor.
"""

import asyncio
import collections.abc
import fcntl
import functools
import os
import pathlib
import socket
import tempfile
import typing

import banyanbank_mesh as mesh
from twisted.internet import defer

T = typing.TypeVar("T")

TEST_LIMIT_S = 60.0
"""A test that waits longer than this for a condition has failed."""

POLL_S = 0.002
"""Pause between two looks at a condition."""

FIRST_PORT = 20_000
"""The ports end below those that the system gives out."""
BLOCK_PORTS = 500
"""Ports of one block; each test process has a block of its own."""
BLOCKS = 24


@functools.cache
def event_loop() -> asyncio.AbstractEventLoop:
    """Returns the one loop of the test process, with the reactor on it."""
    reactor = mesh.install_reactor()
    reactor.startRunning(installSignalHandlers=False)
    return asyncio.get_event_loop_policy().get_event_loop()


def run_async(
    function: collections.abc.Callable[
        [], collections.abc.Coroutine[typing.Any, typing.Any, T]
    ],
    limit_s: float = TEST_LIMIT_S,
) -> T:
    """Runs a coroutine function of Twisted style to its end.

    Args:
        function: Takes nothing; awaits Deferreds.
        limit_s: Seconds after which the test fails.

    Returns:
        What the coroutine returned.
    """
    loop = event_loop()

    async def main() -> T:
        running = defer.ensureDeferred(function())
        return await asyncio.wait_for(running.asFuture(loop), limit_s)

    return loop.run_until_complete(main())


def next_turn(delay_s: float = 0.0) -> defer.Deferred[None]:
    """Returns a Deferred that fires on a later turn of the loop."""
    from twisted.internet import reactor

    turn: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(delay_s, turn.callback, None)
    return turn


async def until(condition: collections.abc.Callable[[], object]) -> None:
    """Waits until a condition holds; `run_async` bounds the wait.

    Args:
        condition: Looked at again and again; must have no side effect.
    """
    while not condition():
        await next_turn(POLL_S)


def free_ports(count: int) -> list[int]:
    """Returns TCP ports that were free on every address a moment ago.

    Nobody else is given them before this process ends: what listens there may
    start much later.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_PORTS)
        with socket.socket() as held:
            try:
                held.bind(("0.0.0.0", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def _own_ports() -> collections.abc.Iterator[int]:
    """Yields the ports of this process's block, again and again."""
    first, _lock = _claim_block()
    while True:
        yield from range(first, first + BLOCK_PORTS)


def _claim_block() -> tuple[int, typing.BinaryIO]:
    """Claims a block that no running test process has.

    Returns:
        The block's first port, and the file whose lock holds the block while
        it is open.
    """
    folder = pathlib.Path(
        tempfile.gettempdir(), f"banyanbank-test-ports-{os.getuid()}"
    )
    folder.mkdir(exist_ok=True)
    for offset in range(BLOCKS):
        block = (os.getpid() + offset) % BLOCKS
        lock = (folder / str(block)).open("wb")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        return FIRST_PORT + block * BLOCK_PORTS, lock
    raise RuntimeError(f"{BLOCKS} other test processes hold all ports.")


_PORTS = _own_ports()
event_loop()
