"""Drops batch jobs that nobody may ask for any more; only the leader does."""

import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs

from banyanbank_node import _background
from banyanbank_node import _event_log
from banyanbank_node import _ledger_replica

CHECK_INTERVAL_S = 10.0
"""Seconds between two looks for jobs that are to be dropped."""


class RetentionDuty:
    """Bounds what the ledger holds; implements `consensus.Duty`.

    Args:
        clock: Clock of the period.
        true_time: Time in which jobs were accepted.
        stored: The log.
        keep_s: Seconds for which results can be read after a submission.
        events: Log of decisions.
    """

    def __init__(
        self,
        clock: base.Clock,
        true_time: gateway.TrueTime,
        stored: _ledger_replica.LedgerReplica,
        retention_s: float,
        events: _event_log.EventLog,
    ) -> None:
        self._clock = clock
        self._true_time = true_time
        self._stored = stored
        self._retention_s = retention_s
        self._events = events
        self._next_check_at = 0.0

    def tick(self) -> None:
        """Drops closed jobs whose time is over."""
        now = self._clock.now()
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        accepted_before = self._true_time.now() - self._retention_s
        if any(
            not state.is_open and state.job.accepted_at < accepted_before
            for state in self._stored.ledger.jobs.values()
        ):
            command = jobs.ForgetJobs(accepted_before)
            _background.run(
                self._stored.propose(command), "retention", self._events
            )

    def stop(self) -> None:
        """Needs nothing; the next leader looks for itself."""
