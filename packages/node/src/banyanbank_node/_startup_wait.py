"""Decides whether a request waits for the first configuration of an entry.

Answers the load after a restart of all processes: callers are back before the
stores have elected a leader, which takes a fraction of a second. Refused, they
would return later than the configuration, and a caller that is refused twice
gives up.
"""

import attrs

STARTUP_WAIT_S = 0.8
"""Time after its start in which an entry expects its first configuration."""

MAX_WAITING_REQUESTS = 256
"""Requests that may wait at once; bounds the memory for their bodies."""


@attrs.frozen
class StartupWait:
    """Policy of one entry process."""

    expected_until: float
    """When the entry no longer expects a configuration, monotonic seconds."""

    def get_wait_deadline(
        self, now: float, req_deadline: float, waiting: int
    ) -> float | None:
        """Returns until when a request may wait; None if it is refused now.

        Args:
            now: Current time.
            req_deadline: Deadline of the request.
            waiting: Number of requests that wait already.
        """
        if now >= min(self.expected_until, req_deadline):
            return None
        if waiting >= MAX_WAITING_REQUESTS:
            return None
        return min(self.expected_until, req_deadline)


def start_wait(now: float) -> StartupWait:
    """Returns the policy of an entry that starts now."""
    return StartupWait(now + STARTUP_WAIT_S)
