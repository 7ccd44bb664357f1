"""Runs one coroutine on a reactor of its own."""

import asyncio
import collections.abc
import typing

from twisted.internet import asyncioreactor
from twisted.internet import defer
from twisted.python import failure

T = typing.TypeVar("T")

CoroutineFunction = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, T]
]
"""A coroutine function of Twisted style, without arguments."""


class Runner(typing.Protocol):
    """Runs a coroutine function to its end and returns its value."""

    def __call__(self, function: CoroutineFunction[T]) -> T:
        """Runs the function."""
        ...


def run(function: CoroutineFunction[T]) -> T:
    """Runs a coroutine function on a new asyncio reactor; once a process.

    Raises:
        Exception: What the coroutine raised.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    endings: list[T | failure.Failure] = []

    def start() -> None:
        running = defer.ensureDeferred(function())
        running.addBoth(end)

    def end(ending: T | failure.Failure) -> None:
        endings.append(ending)
        reactor.stop()

    reactor.callLater(0, start)
    reactor.run()
    if not endings:
        raise KeyboardInterrupt
    (ending,) = endings
    if isinstance(ending, failure.Failure):
        ending.raiseException()
        raise AssertionError("A failure raises its exception.")
    return ending
