"""Counts what answered requests used and flushes it to the control state.

Counts that were not flushed when an instance dies are lost: at most those of
`FLUSH_S` seconds and of one flush under way. They are never counted twice.
"""

import banyanbank_base as base
import banyanbank_control as control
from loguru import logger
from returns import result

from banyanbank_daemon import _control_plane
from banyanbank_daemon import _jobs

FLUSH_S = 1.0
COMMIT_S = 5.0
MICROSECONDS_PER_MS = 1_000


class UsageMeter:
    """Counts by client account.

    Args:
        clock: Clock that deadlines are told on.
        plane: Way to the replicated log.
        instance: This instance.
        incarnation: Its life.
    """

    def __init__(
        self,
        clock: base.Clock,
        plane: _control_plane.ControlPlane,
        instance: base.InstanceId,
        incarnation: base.Incarnation,
    ) -> None:
        self._clock = clock
        self._plane = plane
        self._instance = instance
        self._incarnation = incarnation
        self._counts: dict[base.AccountId, control.UsageFigures] = {}
        self._sequence = 0
        self._unconfirmed: control.AddUsage | None = None
        self._is_flushing = False

    def count_job(self, account: base.AccountId, ended: _jobs.JobEnded) -> None:
        """Counts one whole model answer."""
        figures = control.UsageFigures(
            calls=1,
            tokens_in=ended.prompt_tokens,
            tokens_out=ended.completion_tokens,
            tokens_cached=ended.cached_tokens,
            engine_us=ended.engine_ms * MICROSECONDS_PER_MS,
        )
        self._add(account, figures)

    def count_call(self, account: base.AccountId) -> None:
        """Counts one whole answer of a plain service."""
        self._add(account, control.UsageFigures(calls=1))

    @property
    def has_unflushed(self) -> bool:
        """Whether counts have not reached the control state."""
        return bool(self._counts) or self._unconfirmed is not None

    async def flush(self, is_final: bool = False) -> bool:
        """Sends the counts; an unconfirmed flush is sent again unchanged.

        Returns:
            Whether nothing is left.
        """
        if self._is_flushing:
            return False
        self._is_flushing = True
        try:
            return await self._flush(is_final)
        finally:
            self._is_flushing = False

    async def _flush(self, is_final: bool) -> bool:
        if self._unconfirmed is not None and not await self._send():
            return False
        if self._counts or is_final:
            self._sequence += 1
            self._unconfirmed = control.AddUsage(
                instance=self._instance,
                incarnation=self._incarnation,
                sequence=self._sequence,
                deltas=tuple(
                    control.UsageDelta(account, figures)
                    for account, figures in sorted(self._counts.items())
                ),
                final=is_final,
            )
            self._counts.clear()
            return await self._send()
        return True

    async def _send(self) -> bool:
        assert self._unconfirmed is not None
        deadline = self._clock.now() + COMMIT_S
        sent = await self._plane.propose(self._unconfirmed, deadline)
        if isinstance(sent, result.Failure):
            return False
        reply = sent.unwrap()
        if not isinstance(reply, control.UsageAdded):
            logger.error("usage flush was refused: {}", reply)
        self._unconfirmed = None
        return True

    def _add(
        self, account: base.AccountId, figures: control.UsageFigures
    ) -> None:
        known = self._counts.get(account, control.UsageFigures())
        self._counts[account] = known.plus(figures)
