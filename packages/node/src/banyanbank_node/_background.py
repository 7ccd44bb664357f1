"""Runs coroutines that nobody waits for."""

import typing

from twisted.internet import defer

from banyanbank_node import _event_log


def run(
    coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any],
    what: str,
    events: _event_log.EventLog,
) -> defer.Deferred[typing.Any]:
    """Starts a coroutine and logs a defect in it.

    Args:
        coroutine: What to run.
        what: Names it in the log.
        events: The log.
    """

    def failed(failure: typing.Any) -> None:
        if not failure.check(defer.CancelledError):
            events.write(
                "process.defect", what=what, why=failure.getTraceback()
            )

    return defer.ensureDeferred(coroutine).addErrback(failed)
