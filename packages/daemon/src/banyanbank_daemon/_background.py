"""Starts work whose end nobody waits for."""

import collections.abc
import typing

from loguru import logger
from twisted.internet import defer
from twisted.python import failure


def start(
    work: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any],
    what: str,
) -> defer.Deferred[typing.Any]:
    """Starts a coroutine; what it raises is logged, cancellation apart.

    Args:
        work: The coroutine.
        what: What it does, for the log.

    Returns:
        Fires when it has ended, never with a failure.
    """

    def log(failed: failure.Failure) -> None:
        if not failed.check(defer.CancelledError):
            logger.error("{}: {}", what, failed.getTraceback())

    return defer.ensureDeferred(work).addErrback(log)
