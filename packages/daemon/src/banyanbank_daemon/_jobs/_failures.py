"""Failures of jobs, by their cause."""

import attrs
import banyanbank_base as base
import banyanbank_web as web
from returns import result

from banyanbank_daemon._jobs import _messages

MILLISECONDS = 1_000

JobResult = result.Result[_messages.JobEnded, _messages.JobFailed]


def check_head(
    job: _messages.ModelJob, response: web.UpstreamResponse
) -> JobResult | None:
    """Returns why an engine's answer won't do, before its body is read."""
    echoed = response.header("x-request-id")
    if echoed and echoed != job.request_id:
        return broken("The answer belongs to another request.")
    if response.status != 200:
        return broken(f"The engine answered with status {response.status}.")
    return None


def failed(
    reason: base.RefusalReason, outcome: base.Outcome, detail: str
) -> JobResult:
    """Returns a failure of a job."""
    return result.Failure(
        _messages.JobFailed(reason.value, outcome.value, detail)
    )


def broken(
    detail: str,
) -> JobResult:
    """Returns the failure of an engine that may have run the job."""
    return failed(
        base.RefusalReason.ENDPOINT_FAILED, base.Outcome.MAY_HAVE_RUN, detail
    )


def from_upstream(
    error: web.UpstreamError,
) -> JobResult:
    """Turns an error of the HTTP client into a failure of the job."""
    reason = base.RefusalReason.ENDPOINT_FAILED
    if error.is_timeout:
        reason = base.RefusalReason.DEADLINE_EXCEEDED
    return failed(reason, error.outcome, error.detail)


def cut(error: web.UpstreamError, engine_s: float) -> JobResult:
    """Returns the failure of a stream that was lost before its end.

    Args:
        error: Why; at the deadline there is nothing to go on with.
        engine_s: Seconds that the engine had worked.
    """
    return from_upstream(error).alt(
        lambda failure: attrs.evolve(
            failure,
            is_cut=not error.is_timeout,
            engine_ms=int(engine_s * MILLISECONDS),
        )
    )
