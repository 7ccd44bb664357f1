"""Runs an attempt of a request, and a second one beside it if it takes long."""

import collections.abc
import enum
import math
import typing

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_web as web
from returns import result
from twisted.internet import defer
from twisted.python import failure

MAX_TIMER_LAG_S = 0.05
"""A timer that is later than this was held up with the whole process, whose
unread answers may be waiting in its sockets."""

RECHECK_S = 0.02
"""Time for reading these answers before a second attempt is considered."""

AnswerT = typing.TypeVar("AnswerT")

ValueT = typing.TypeVar("ValueT")


class Ending(enum.Enum):
    """Why this process ended an attempt itself."""

    SUPERSEDED = "superseded"
    """Another attempt had the answer first."""
    OVERDUE = "overdue"
    """Its time was over, and the request has another attempt left."""


@attrs.define(eq=False)
class Run:
    """One attempt of a request."""

    target: gateway.Announcement
    """Endpoint that it is sent to."""
    deadline: float
    """When it must be answered, on the monotonic clock."""
    cut_at: float = math.inf
    """When it is ended if the request has another attempt left."""
    is_second: bool = False
    """Whether it was started beside a running one."""
    ending: Ending | None = None
    """Why this process ended it; None if it did not."""
    task: defer.Deferred[typing.Any] | None = None
    """The running attempt, if it is one of a pair."""

    @property
    def is_superseded(self) -> bool:
        """Whether it was cancelled because another attempt was first."""
        return self.ending is Ending.SUPERSEDED

    def end(self, ending: Ending) -> None:
        """Cancels the attempt, which closes its connection."""
        self.ending = ending
        if self.task is not None:
            self.task.cancel()

    async def settle(
        self,
        exchange: collections.abc.Awaitable[
            result.Result[ValueT, web.UpstreamError]
        ],
    ) -> result.Result[ValueT, web.UpstreamError]:
        """Returns the outcome of an exchange, also if `end` cancelled it.

        Whether the endpoint may have run the request, and whether this process
        withheld it, is preserved.
        """
        try:
            outcome = await exchange
        except defer.CancelledError:
            if self.ending is None:
                raise
            outcome = result.Failure(
                web.UpstreamError(base.Outcome.MAY_HAVE_RUN, "")
            )
        if self.ending is None or isinstance(outcome, result.Success):
            return outcome
        return result.Failure(
            web.UpstreamError(
                outcome.failure().outcome,
                f"The attempt was ended: {self.ending.value}.",
                is_timeout=self.ending is Ending.OVERDUE,
                is_withheld=outcome.failure().is_withheld,
            )
        )


class AttemptPair(typing.Generic[AnswerT]):
    """Runs one attempt, and perhaps a second one, until one has an answer.

    Args:
        clock: Monotonic clock.
        sleep: Waits for some seconds.
        attempt: Runs an attempt; returns None if it has no good answer.
        start_second: Returns the second attempt, or None if there is none now.
        has_attempt_left: Whether the request may be sent to a further endpoint.

    Attributes:
        winner: Attempt whose answer is returned; None if there is none.
        second: The second attempt, if one was started.
    """

    def __init__(
        self,
        clock: base.Clock,
        sleep: collections.abc.Callable[
            [float], collections.abc.Awaitable[None]
        ],
        attempt: collections.abc.Callable[
            [Run], collections.abc.Coroutine[typing.Any, typing.Any, AnswerT]
        ],
        start_second: collections.abc.Callable[[], Run | None],
        has_attempt_left: collections.abc.Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._sleep = sleep
        self._attempt = attempt
        self._start_second = start_second
        self._has_attempt_left = has_attempt_left
        self._running: list[Run] = []
        self._timers: list[defer.Deferred[None]] = []
        self._began_at = 0.0
        self._is_cancelled = False
        self._is_over = False
        self._done: defer.Deferred[AnswerT | None] = defer.Deferred(
            lambda _: self._cancel()
        )
        self.winner: Run | None = None
        self.second: Run | None = None

    async def run(self, first: Run, delay_s: float) -> AnswerT | None:
        """Returns the first answer, or None once no attempt is running.

        The other attempt is cancelled then, and both are if this is.

        Args:
            first: The first attempt.
            delay_s: Seconds after which a second one is first considered.
        """
        self._began_at = self._clock.now()
        self._consider_second_after(delay_s)
        self._launch(first)
        try:
            return await self._done
        finally:
            for timer in self._timers:
                timer.cancel()

    def _launch(self, run: Run) -> None:
        self._running.append(run)
        if run.cut_at < run.deadline:
            self._start_timer(run.cut_at - self._clock.now(), self._cut_overdue)
        run.task = defer.ensureDeferred(self._attempt(run))
        run.task.addBoth(self._finish, run)

    def _finish(
        self, outcome: AnswerT | failure.Failure | None, run: Run
    ) -> failure.Failure | None:
        self._running.remove(run)
        if self._is_over:
            if not isinstance(outcome, failure.Failure):
                return None
            return None if outcome.check(defer.CancelledError) else outcome
        if outcome is not None and not self._is_cancelled:
            if not isinstance(outcome, failure.Failure):
                self.winner = run
            self._end_all(outcome)
        elif not self._running:
            self._end_all(outcome)
        elif not self._is_cancelled:
            self._cut_overdue()
        return None

    def _end_all(self, outcome: AnswerT | failure.Failure | None) -> None:
        """Ends what is running, and the pair with this outcome."""
        self._is_over = True
        # Before the answer is returned, so that it is known by then whether the
        # cancelled attempt may have run the request.
        for run in list(self._running):
            run.end(Ending.SUPERSEDED)
        self._done.callback(outcome)

    def _cancel(self) -> None:
        self._is_cancelled = True
        for run in list(self._running):
            if run.task is not None:
                run.task.cancel()
        self._is_over = True

    def _consider_second_after(self, delay_s: float) -> None:
        due_at = self._clock.now() + delay_s

        def consider_second() -> None:
            if self._clock.now() > due_at + MAX_TIMER_LAG_S:
                self._consider_second_after(RECHECK_S)
                return
            self.second = self._start_second()
            if self.second is not None:
                self._launch(self.second)
                return
            # An endpoint may have room later; the intervals double.
            self._consider_second_after(self._clock.now() - self._began_at)

        self._start_timer(delay_s, consider_second)

    def _cut_overdue(self) -> None:
        """Ends attempts that leave no time for a further one."""
        now = self._clock.now()
        for run in list(self._running):
            if now >= run.cut_at and self._has_attempt_left():
                run.end(Ending.OVERDUE)

    def _start_timer(
        self,
        delay_s: float,
        callback: collections.abc.Callable[[], None],
    ) -> None:
        async def wait() -> None:
            await self._sleep(delay_s)

        timer = defer.ensureDeferred(wait())
        timer.addCallback(lambda _: callback())
        timer.addErrback(self._fail)
        self._timers.append(timer)

    def _fail(self, reason: failure.Failure) -> None:
        """Ends the pair after a defect of a timer's callback."""
        if not self._is_over and not reason.check(defer.CancelledError):
            self._end_all(reason)
