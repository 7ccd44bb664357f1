"""Decides which requests a process that shuts down still accepts."""

import attrs

ANSWER_MARGIN_S = 0.25
"""Time to write the last answers before the connections are closed."""


@attrs.frozen
class Shutdown:
    """Course of a planned shutdown; times are on the monotonic clock."""

    refuse_from: float
    """When the load balancer no longer sends new connections."""
    ends_at: float
    """When open requests are ended."""

    def may_accept(self, now: float, req_deadline: float) -> bool:
        """Whether a request is sure to be answered before the end.

        Until the load balancer has taken notice, every request is accepted.

        Args:
            now: Current time.
            req_deadline: Latest time at which the request is answered.
        """
        return now < self.refuse_from or req_deadline <= self.ends_at
