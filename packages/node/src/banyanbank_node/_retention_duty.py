"""Removes batch jobs past their retention time, on the leader only."""

import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs

from banyanbank_node import _background
from banyanbank_node import _event_log
from banyanbank_node import _ledger_replica

CHECK_INTERVAL_S = 10.0
"""Interval between checks for expired jobs."""


class RetentionDuty:
    """Bounds the size of the ledger; implements `consensus.Duty`.

    Args:
        clock: Monotonic clock for the check interval.
        true_time: Estimated Unix time, as in the jobs' `accepted_at`.
        stored: Replicated ledger.
        retention_s: Seconds after submission for which results can be read.
        events: Event log.
    """

    def __init__(
        self,
        clock: base.Clock,
        true_time: gateway.SyncedClock,
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
        """Deletes finished jobs past their retention time."""
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
        """Does nothing; the next leader checks for itself."""
