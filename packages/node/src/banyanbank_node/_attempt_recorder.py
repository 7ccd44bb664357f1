"""Records how attempts ended, and what that tells of their endpoints."""

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_web as web
from returns import result

from banyanbank_node import _answer_check
from banyanbank_node import _attempt_pair
from banyanbank_node import _endpoint_sender
from banyanbank_node import _event_log
from banyanbank_node import _forwarding
from banyanbank_node import _ports
from banyanbank_node import _second_attempts
from banyanbank_node import _shared_endpoints

MIN_SERVER_ERROR_STATUS = 500
INTERNAL_SERVER_ERROR_STATUS = 500
OTHER_ENDPOINT_STATUS = 421
"""Status of an answer by another endpoint than the one that was meant."""


@attrs.frozen
class AttemptRecorder:
    """Decides what counts against endpoints, and which attempts are used up.

    Load addressed: callers' requests and scorer calls to endpoints that fail or
    are full. Kept connections that had ended, and requests that the caller or
    this process gave up, say nothing about an endpoint.
    """

    clock: base.Clock
    """Monotonic clock."""
    endpoints: _endpoint_sender.EndpointSender
    """Decides which endpoints may be sent to."""
    picker: gateway.EndpointPicker
    """Ranks endpoints that failed last."""
    shared: _shared_endpoints.SharedEndpoints
    """What is known of shared services."""
    second: _second_attempts.SecondAttempts
    """Second attempts, which stop at overload."""
    events: _event_log.EventLog
    """Event log of the process."""

    def evaluate(
        self,
        forwarding: _forwarding.Forwarding,
        run: _attempt_pair.Run,
        exchange_result: result.Result[
            tuple[_ports.ResponseHeaders, _forwarding.Answer], web.UpstreamError
        ],
        sent_at: float,
    ) -> _forwarding.Answer | None:
        """Returns the answer of an attempt; None if it has no good one.

        Args:
            forwarding: The request.
            run: The attempt.
            exchange_result: What came of it.
            sent_at: When it began.
        """
        now = self.clock.now()
        target = run.target
        if isinstance(exchange_result, result.Failure):
            error = exchange_result.failure()
            if error.is_withheld:
                self._record_withheld(forwarding, run, error.detail)
                return None
            if error.outcome is base.Outcome.NOT_RUN and not error.is_timeout:
                self._return_attempt(forwarding, target)
            if error.outcome is not base.Outcome.NOT_RUN:
                forwarding.note_may_have_run(sent_at)
            if not (forwarding.is_cancelled or run.is_superseded):
                if not error.is_stale_connection:
                    self.picker.failed(target.endpoint, sent_at, now)
                self.shared.record_loss(
                    target, forwarding.route, error, now - sent_at
                )
                self._log_attempt(forwarding, target, "lost", error.detail)
            return None
        response_headers, answer = exchange_result.unwrap()
        if response_headers.has_not_run:
            self._record_not_run(forwarding, target, response_headers, answer)
            return None
        forwarding.note_may_have_run(sent_at)
        self.picker.succeeded(target.endpoint)
        self.shared.record_answer(
            target, forwarding.route, answer.status, now - sent_at
        )
        if (
            answer.status < MIN_SERVER_ERROR_STATUS
            and answer.status not in _answer_check.NOT_RUN_STATUSES
        ):
            return answer
        self._log_attempt(
            forwarding, target, "failed", f"status {answer.status}"
        )
        forwarding.last_error_answer = answer
        forwarding.internal_error_count += (
            answer.status == INTERNAL_SERVER_ERROR_STATUS
        )
        return None

    def _record_withheld(
        self,
        forwarding: _forwarding.Forwarding,
        run: _attempt_pair.Run,
        detail: str,
    ) -> None:
        """Records nothing against an endpoint that was sent nothing."""
        forwarding.note_withheld(
            run.target.endpoint, not self.endpoints.may_send(run.target)
        )
        if not (forwarding.is_cancelled or run.is_superseded):
            self._log_attempt(forwarding, run.target, "withheld", detail)

    def _record_not_run(
        self,
        forwarding: _forwarding.Forwarding,
        target: gateway.Announcement,
        response_headers: _ports.ResponseHeaders,
        answer: _forwarding.Answer,
    ) -> None:
        is_shared = self._return_attempt(forwarding, target)
        if answer.status != OTHER_ENDPOINT_STATUS:
            self.picker.rejected(target.endpoint, self.clock.now())
            if is_shared:
                forwarding.rejected_by.add(target.endpoint)
            # One that leaves rejects requests however few there are.
            if not response_headers.is_leaving:
                self.second.record_rejection(target, forwarding.route)
        self._log_attempt(
            forwarding, target, "not-run", f"status {answer.status}"
        )

    def _return_attempt(
        self, forwarding: _forwarding.Forwarding, target: gateway.Announcement
    ) -> bool:
        """Does not count an attempt that did not run at a shared service.

        Returns:
            Whether the service is shared.
        """
        is_shared = target.service in self.shared.services
        forwarding.attempts_used -= is_shared
        return is_shared

    def _log_attempt(
        self,
        forwarding: _forwarding.Forwarding,
        target: gateway.Announcement,
        outcome: str,
        detail: str,
    ) -> None:
        self.events.write(
            "request.attempt",
            request=forwarding.req.request_id,
            endpoint=target.endpoint,
            address=target.address,
            outcome=outcome,
            detail=detail,
            tried=len(forwarding.tried),
            left_ms=round(1000 * (forwarding.deadline - self.clock.now())),
        )
