"""Runs coroutines whose result is not awaited."""

import typing

from twisted.internet import defer

from banyanbank_node import _event_log


def run(
    coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any],
    task_name: str,
    events: _event_log.EventLog,
) -> defer.Deferred[typing.Any]:
    """Starts a coroutine and logs the traceback if it fails.

    Cancellation is not logged.

    Args:
        coroutine: Coroutine to start.
        task_name: Name of the task in the log.
        events: Event log.
    """

    def log_failure(failure: typing.Any) -> None:
        if not failure.check(defer.CancelledError):
            events.write(
                "process.defect", what=task_name, why=failure.getTraceback()
            )

    return defer.ensureDeferred(coroutine).addErrback(log_failure)
