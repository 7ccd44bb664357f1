"""Builds the failures of jobs from their causes."""

import attrs
import banyanbank_base as base
import banyanbank_web as web
from returns import result

from banyanbank_daemon._jobs import _messages

MILLISECONDS = 1_000

JobResult = result.Result[_messages.JobEnded, _messages.JobFailed]


def check_response_head(
    job: _messages.ModelJob, response: web.UpstreamResponse
) -> JobResult | None:
    """Returns a failure if the response's status or request id is wrong."""
    echoed = response.header("x-request-id")
    if echoed and echoed != job.request_id:
        return make_engine_failure(
            "The engine's response carries the id of another request."
        )
    if response.status != 200:
        return make_engine_failure(
            f"The engine responded with status {response.status}, not 200."
        )
    return None


def make_failure(
    reason: base.RefusalReason, outcome: base.Outcome, detail: str
) -> JobResult:
    """Returns a job failure with a reason and an outcome."""
    return result.Failure(
        _messages.JobFailed(reason.value, outcome.value, detail)
    )


def make_engine_failure(
    detail: str,
) -> JobResult:
    """Returns an engine's failure after which the job may have run."""
    return make_failure(
        base.RefusalReason.ENDPOINT_FAILED, base.Outcome.MAY_HAVE_RUN, detail
    )


def make_upstream_failure(
    error: web.UpstreamError,
) -> JobResult:
    """Converts an HTTP client error into a job failure."""
    reason = base.RefusalReason.ENDPOINT_FAILED
    if error.is_timeout:
        reason = base.RefusalReason.DEADLINE_EXCEEDED
    return make_failure(reason, error.outcome, error.detail)


def make_stream_failure(error: web.UpstreamError, engine_s: float) -> JobResult:
    """Returns the failure of a stream that broke before its end.

    Args:
        error: Cause; a timeout leaves no time to continue on another engine.
        engine_s: Seconds for which the engine had worked on the job.
    """
    return make_upstream_failure(error).alt(
        lambda failure: attrs.evolve(
            failure,
            is_cut=not error.is_timeout,
            engine_ms=int(engine_s * MILLISECONDS),
        )
    )
