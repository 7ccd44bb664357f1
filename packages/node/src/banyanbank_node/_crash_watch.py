"""Watches for requests that end the endpoints that they are sent to."""

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_web as web
from returns import result

from banyanbank_node import _event_log
from banyanbank_node import _forwarding
from banyanbank_node import _ports


@attrs.frozen
class CrashWatch:
    """Applies what is known of such requests to those that are forwarded."""

    suspects: gateway.CrashSuspects
    """Requests that may have ended their endpoints."""
    true_time: gateway.SyncedClock
    """Unix time that the processes agree on."""
    events: _event_log.EventLog
    """Event log of the process."""

    def is_suspect(self, forwarding: _forwarding.Forwarding) -> bool:
        """Whether a request may have ended an endpoint, and runs alone."""
        return (
            forwarding.follows_crashes
            and bool(self.suspects)
            and self.suspects.is_suspect(
                forwarding.digest, self.true_time.now()
            )
        )

    def is_condemned(self, forwarding: _forwarding.Forwarding) -> bool:
        """Whether a request is taken to end its endpoints."""
        return (
            forwarding.follows_crashes
            and bool(self.suspects)
            and self.suspects.is_condemned(
                forwarding.digest, self.true_time.now()
            )
        )

    def is_free(self, endpoint: base.EndpointId) -> bool:
        """Whether an endpoint runs no other suspect."""
        return self.suspects.is_free(endpoint)

    def follow_up(
        self,
        forwarding: _forwarding.Forwarding,
        exchange_result: result.Result[
            tuple[_ports.ResponseHeaders, _forwarding.Answer], web.UpstreamError
        ],
        was_alone: bool,
    ) -> None:
        """Records whether the endpoint may have crashed under the request."""
        if not forwarding.follows_crashes:
            return
        if isinstance(exchange_result, result.Success):
            response_headers, _ = exchange_result.unwrap()
            if self.suspects and not response_headers.has_not_run:
                self.suspects.record_answer(forwarding.digest)
        elif (
            exchange_result.failure().is_unanswered
            and not forwarding.is_abandoned
        ):
            now = self.true_time.now()
            self.suspects.record_loss(forwarding.digest, was_alone, now)
            if self.is_condemned(forwarding):
                self.events.write(
                    "request.condemned",
                    request=forwarding.req.request_id,
                    digest=forwarding.digest.hex(),
                    tried=sorted(forwarding.tried),
                )
