"""Failures of jobs, by their cause."""

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
    """Returns why an engine's answer won't do, before its body is read."""
    echoed = response.header("x-request-id")
    if echoed and echoed != job.request_id:
        return make_engine_failure("The answer belongs to another request.")
    if response.status != 200:
        return make_engine_failure(
            f"The engine answered with status {response.status}."
        )
    return None


def make_failure(
    reason: base.RefusalReason, outcome: base.Outcome, detail: str
) -> JobResult:
    """Returns a failure of a job."""
    return result.Failure(
        _messages.JobFailed(reason.value, outcome.value, detail)
    )


def make_engine_failure(
    detail: str,
) -> JobResult:
    """Returns the failure of an engine that may have run the job."""
    return make_failure(
        base.RefusalReason.ENDPOINT_FAILED, base.Outcome.MAY_HAVE_RUN, detail
    )


def make_upstream_failure(
    error: web.UpstreamError,
) -> JobResult:
    """Turns an error of the HTTP client into a failure of the job."""
    reason = base.RefusalReason.ENDPOINT_FAILED
    if error.is_timeout:
        reason = base.RefusalReason.DEADLINE_EXCEEDED
    return make_failure(reason, error.outcome, error.detail)


def make_stream_failure(error: web.UpstreamError, engine_s: float) -> JobResult:
    """Returns the failure of a stream that was lost before its end.

    Args:
        error: Why; at the deadline there is nothing to go on with.
        engine_s: Seconds that the engine had worked.
    """
    return make_upstream_failure(error).alt(
        lambda failure: attrs.evolve(
            failure,
            is_cut=not error.is_timeout,
            engine_ms=int(engine_s * MILLISECONDS),
        )
    )
