"""Repeats a request's attempts, each on an endpoint not tried before."""

import typing

import banyanbank_base as base
import banyanbank_dispatch as dispatch
from twisted.internet import task


class AttemptSeries:
    """The attempts of one request.

    Args:
        reactor: Carries timers.
        clock: Clock that deadlines are told on.
        retries: Decides whether a failed attempt is repeated.
        deadline: Monotonic seconds of the request's deadline.
        is_idempotent: Whether running twice does no harm.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        retries: dispatch.RetryPolicy,
        deadline: float,
        is_idempotent: bool,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._retries = retries
        self._deadline = deadline
        self._is_idempotent = is_idempotent
        self.number = 1
        self.tried: frozenset[base.EndpointId] = frozenset()
        retries.note_first_attempt()

    async def may_repeat(
        self,
        endpoint: base.EndpointId | None,
        outcome: base.Outcome,
        retry_after: float | None,
    ) -> bool:
        """Waits until the next attempt; False at once when there is none.

        Args:
            endpoint: Where the last attempt failed; None when nowhere.
            outcome: What is known of it.
            retry_after: Seconds that the refusing side asked for, or None.
        """
        decision = self._retries.decide(
            attempts=self.number,
            outcome=outcome,
            idempotent=self._is_idempotent,
            deadline=self._deadline,
            now=self._clock.now(),
            retry_after=retry_after,
        )
        if not isinstance(decision, dispatch.Retry):
            return False
        if endpoint is not None:
            self.tried |= {endpoint}
        self.number += 1
        pause_s = max(0.0, decision.at - self._clock.now())
        await task.deferLater(self._reactor, pause_s)
        return True
