"""Reports usage windows to the platform, on the leader only."""

import typing

import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
import banyanbank_web as web
from returns import result

from banyanbank_node import _action_guard
from banyanbank_node import _background
from banyanbank_node import _event_log
from banyanbank_node import _ledger_replica
from banyanbank_node import _ports

REPORT_DELAY_S = 2.0
"""Time after a window's end in which entries send its last counts."""

CALL_TIMEOUT_S = 2.0
"""Timeout of one report to the platform."""

RETRY_DELAY_S = 0.5
"""Delay before a failed report is retried."""

MAX_WINDOWS_BACK = 12
"""Windows before the newest that are checked for missing reports."""

FENCED_OUT_STATUS = 409
MAX_ANSWER_BYTES = 64 * 1024


class UsageDuty:
    """Freezes the counts of each window, then reports them.

    Implements `consensus.Duty`.

    Args:
        clock: Monotonic clock for deadlines.
        true_time: Estimated Unix time, which delimits windows.
        stored: Replicated ledger.
        totals: Counts received from entries.
        upstream: HTTP client.
        wire: Builds the reports.
        holder: Name of this instance, sent with reports.
        window_s: Length of a window in seconds.
        events: Event log.
        guard: Decides whether reports may be sent.
    """

    def __init__(
        self,
        clock: base.Clock,
        true_time: gateway.SyncedClock,
        stored: _ledger_replica.LedgerReplica,
        totals: gateway.UsageTotals,
        upstream: web.Upstream,
        wire: _ports.WireProtocol,
        holder: str,
        window_s: float,
        events: _event_log.EventLog,
        guard: _action_guard.ActionGuard,
    ) -> None:
        self._guard = guard
        self._clock = clock
        self._true_time = true_time
        self._stored = stored
        self._totals = totals
        self._upstream = upstream
        self._wire = wire
        self._holder = holder
        self._window_s = window_s
        self._events = events
        self._report_task: typing.Any = None
        # Entries may count requests before this store first leads.
        self._first_window = self._window_at(true_time.now())
        self._retry_not_before = 0.0
        self._fenced_out_epoch = 0

    def tick(self) -> None:
        """Reports the oldest window that is due."""
        if (
            self._report_task is not None
            or self._clock.now() < self._retry_not_before
        ):
            return
        if not self._guard.may_act():
            return
        epoch = self._stored.node.epoch
        if self._fenced_out_epoch == epoch or not self._stored.ledger.document:
            return
        window = self._next_window()
        if window is None:
            return
        running = _background.run(
            self._report(window, epoch), "usage report", self._events
        )
        if not running.called:
            self._report_task = running

    def stop(self) -> None:
        """Cancels the report in flight; the next leader sends it again."""
        if self._report_task is not None:
            self._report_task.cancel()
            self._report_task = None

    def _next_window(self) -> int | None:
        now = self._true_time.now()
        newest = self._window_at(now - REPORT_DELAY_S) - 1
        ledger = self._stored.ledger
        oldest = self._first_window
        if ledger.windows:
            oldest = min(ledger.windows)
        for window in range(max(oldest, newest - MAX_WINDOWS_BACK), newest + 1):
            if window not in ledger.reported:
                return window
        return None

    def _window_at(self, unix_time: float) -> int:
        return int(unix_time // self._window_s)

    async def _report(self, window: int, epoch: int) -> None:
        try:
            await self._report_once(window, epoch)
        finally:
            self._report_task = None

    async def _report_once(self, window: int, epoch: int) -> None:
        counts = self._totals.total(window)
        frozen = await self._stored.propose(jobs.FreezeWindow(window, counts))
        if isinstance(frozen, result.Failure):
            self._retry_not_before = self._clock.now() + RETRY_DELAY_S
            return
        reply = frozen.unwrap()
        if not isinstance(reply, jobs.Frozen):
            self._events.write("usage.window_dropped", window=window)
            self._retry_not_before = self._clock.now() + RETRY_DELAY_S
            return
        req = self._wire.build_usage_request(
            window,
            reply.counts,
            _ports.Authority(self._holder, epoch),
            self._guard.make_permit(epoch),
            self._clock.now() + CALL_TIMEOUT_S,
        )
        if req is not None:
            status = await self._send(req)
            self._events.write(
                "usage.reported",
                window=window,
                counts=reply.counts,
                fence=epoch,
                status=status,
            )
            if status == FENCED_OUT_STATUS:
                self._fenced_out_epoch = epoch
            if status != 200:
                self._retry_not_before = self._clock.now() + RETRY_DELAY_S
                return
        await self._stored.propose(jobs.MarkReported(window))
        self._totals.forget_before(window - MAX_WINDOWS_BACK)

    async def _send(self, req: web.UpstreamRequest) -> int | None:
        sent = await self._upstream.send(req)
        if isinstance(sent, result.Failure):
            return None
        resp = sent.unwrap()
        await resp.read_all(MAX_ANSWER_BYTES)
        return resp.status
