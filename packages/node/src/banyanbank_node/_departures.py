"""Learns from the answers of endpoints which of them leave."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway

from banyanbank_node import _event_log
from banyanbank_node import _ports

OTHER_ENDPOINT_STATUS = 421
"""Status of an answer by another endpoint than the one that was meant."""


@attrs.define
class Departures:
    """Marks endpoints that state their departure in the directory.

    What an endpoint says itself is newer than any announcement of its life, so
    it holds without contact to the leader.
    """

    clock: base.Clock
    """Monotonic clock."""
    directory: gateway.Directory
    """Directory of this process."""
    events: _event_log.EventLog
    """Event log."""
    on_marked: typing.Callable[[], None] = lambda: None
    """Called after each change of the directory."""

    def observe(
        self,
        target: gateway.Announcement,
        status: int,
        response_headers: _ports.ResponseHeaders,
    ) -> None:
        """Takes in whether the endpoint that answered leaves.

        Args:
            target: Endpoint that the request was sent to.
            status: HTTP status of the answer.
            response_headers: Parsed headers of the answer.
        """
        if not response_headers.is_leaving or status == OTHER_ENDPOINT_STATUS:
            return
        if self.directory.mark_leaving(
            target.endpoint, target.born_ms, self.clock.now()
        ):
            self.events.write(
                "endpoint.leaving",
                endpoint=target.endpoint,
                address=target.address,
                status=status,
            )
            self.on_marked()
