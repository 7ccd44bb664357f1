"""Counts what answered requests used and flushes it to the control state."""

import banyanbank_base as base
import banyanbank_control as control
from loguru import logger
from returns import result

from banyanbank_daemon import _control_plane
from banyanbank_daemon import _jobs

COMMIT_S = 5.0
MICROSECONDS_PER_MS = 1_000


class UsageMeter:
    """Counts by client account.

    Args:
        clock: Clock that deadlines are told on.
        plane: Way to the replicated log.
        buffer: Holds the counts of this life of the instance.
    """

    def __init__(
        self,
        clock: base.Clock,
        plane: _control_plane.ControlPlane,
        buffer: control.UsageBuffer,
    ) -> None:
        self._clock = clock
        self._plane = plane
        self._buffer = buffer
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
        self._buffer.count(account, figures)

    def count_call(self, account: base.AccountId) -> None:
        """Counts one whole answer of a plain service."""
        self._buffer.count(account, control.UsageFigures(calls=1))

    @property
    def has_unflushed(self) -> bool:
        """Whether counts have not reached the control state."""
        return not self._buffer.is_empty

    async def flush(self, is_final: bool = False) -> None:
        """Sends the counts; an unconfirmed flush is sent again unchanged."""
        if self._is_flushing:
            return
        self._is_flushing = True
        try:
            await self._flush(is_final)
        finally:
            self._is_flushing = False

    async def close(self, deadline: float) -> None:
        """Sends what is left and that nothing follows.

        Args:
            deadline: When to give up, on the monotonic clock.
        """
        while self.has_unflushed and self._clock.now() < deadline:
            await self.flush()
        await self.flush(is_final=True)

    async def _flush(self, is_final: bool) -> None:
        command = self._buffer.flush(is_final)
        if command is None:
            return
        deadline = self._clock.now() + COMMIT_S
        sent = await self._plane.propose(command, deadline)
        if isinstance(sent, result.Failure):
            return
        reply = sent.unwrap()
        if not isinstance(reply, control.UsageAdded):
            logger.error("usage flush was refused: {}", reply)
            return
        self._buffer.acknowledge(command)
