"""Bounded queue of one endpoint: fairness, priorities, slots, deadlines."""

import heapq

import attrs
import banyanbank_base as base
from returns import result

from banyanbank_dispatch import _fair
from banyanbank_dispatch import _queue_types
from banyanbank_dispatch import _work

RATE_SMOOTHING = 0.2
MIN_OBSERVED_TOKENS = 32.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0

_Result = result.Result[None, base.Refusal]


class EngineQueue:
    """The queue of one endpoint.

    Args:
        endpoint_id: Whose queue.
        settings: Its bounds.
    """

    def __init__(
        self, endpoint_id: base.EndpointId, settings: _queue_types.QueueSettings
    ) -> None:
        self.endpoint_id = endpoint_id
        self._settings = settings
        self._levels = {kind: _fair.FairQueue() for kind in _work.WorkKind}
        self._waiting: dict[base.RequestId, _work.Work] = {}
        self._waiting_tokens = 0.0
        self._running: dict[base.RequestId, _work.Work] = {}
        self._running_tokens = 0.0
        self._running_rollouts = 0
        self._deadlines: list[tuple[float, base.RequestId]] = []
        self._expired: list[_work.Work] = []
        self._rollout_credit = 0.0
        self._bulk_credit = 0.0
        self._tokens_per_s = settings.initial_tokens_per_s
        self._token_s = 0.0
        self._started: dict[base.RequestId, float] = {}
        self._window_start = 0.0
        self._window_tokens = 0.0
        self._retired = False

    def set_slots(self, slots: int, interactive_reserve: int) -> None:
        """Changes the slots, for instance when the endpoint's role changes."""
        self._settings = attrs.evolve(
            self._settings, slots=slots, interactive_reserve=interactive_reserve
        )

    def offer(self, work: _work.Work, now: float) -> _Result:
        """Takes work in, or refuses it.

        Returns:
            A refusal whose outcome is NOT_RUN, except for a request that is
            here already.
        """
        refusal = self._check_offer(work, now)
        if refusal is not None:
            return result.Failure(refusal)
        self._insert(work)
        self._note_deadline(work)
        return result.Success(None)

    def adopt(self, work: _work.Work, now: float) -> None:
        """Counts work as running that an earlier owner had dispatched."""
        self._run(work, now)

    def next(self, now: float) -> _work.Work | None:
        """Returns the work to dispatch now and counts it as running.

        Returns:
            None when nothing waits or no slot is free for what waits.
        """
        self._collect_expired(now)
        kind = self._choose_level()
        if kind is None:
            return None
        work = self._levels[kind].pop()
        if work is None:
            return None
        del self._waiting[work.request_id]
        self._waiting_tokens -= work.cost_tokens
        self._run(work, now)
        self._started[work.request_id] = now
        self._charge_level(work)
        return work

    def finish(
        self, request_id: base.RequestId, used_tokens: float, now: float
    ) -> None:
        """Frees the slot of running work and settles its true cost.

        Args:
            request_id: Which; unknown ones are ignored, so a late end after
                `retire` or a repeated one does no harm.
            used_tokens: What the endpoint really spent; 0 when nothing left.
            now: Monotonic seconds.
        """
        work = self._running.pop(request_id, None)
        if work is None:
            return
        self._running_tokens -= work.cost_tokens
        self._running_rollouts -= _is_rollout(work)
        self._levels[work.kind].settle(work, used_tokens)
        started = self._started.pop(request_id, None)
        if started is not None:
            self._observe_stream(now - started, used_tokens)
        self._observe_rate(used_tokens, now)

    def expire(self, now: float) -> tuple[_work.Work, ...]:
        """Hands out work that passed its deadline waiting; it has not run."""
        self._collect_expired(now)
        expired = tuple(self._expired)
        self._expired.clear()
        return expired

    def cancel(self, request_id: base.RequestId) -> _queue_types.CancelOutcome:
        """Drops waiting work or names running work for its caller to stop."""
        work = self._waiting.get(request_id)
        if work is not None:
            self._remove(work)
            return _queue_types.CancelOutcome.DROPPED
        if request_id in self._running:
            return _queue_types.CancelOutcome.RUNNING
        return _queue_types.CancelOutcome.UNKNOWN

    def promote(self, request_id: base.RequestId) -> bool:
        """Moves waiting rollout work to the tail class.

        Returns:
            Whether it waited here as rollout work.
        """
        work = self._waiting.get(request_id)
        if work is None or work.kind is not _work.WorkKind.ROLLOUT:
            return False
        self._remove(work)
        self._insert(work.with_kind(_work.WorkKind.TAIL))
        return True

    def withdraw_key(self, key_id: base.KeyId) -> _queue_types.Withdrawal:
        """Drops what waits under a key and names what runs under it."""
        dropped = tuple(w for w in self._waiting.values() if w.key_id == key_id)
        for work in dropped:
            self._remove(work)
        running = tuple(w for w in self._running.values() if w.key_id == key_id)
        return _queue_types.Withdrawal(dropped, running)

    def retire(self) -> tuple[_work.Work, ...]:
        """Closes the queue for good and hands waiting work back.

        Returns:
            Work that has not run, for another route. What runs stays until
            its `finish`.
        """
        self._retired = True
        handed_back = tuple(self._waiting.values())
        for work in handed_back:
            self._remove(work)
        return handed_back

    def waiting(self) -> tuple[_work.Work, ...]:
        """Returns what waits."""
        return tuple(self._waiting.values())

    def running(self) -> tuple[_work.Work, ...]:
        """Returns what runs."""
        return tuple(self._running.values())

    def status(self) -> _queue_types.QueueStatus:
        """Returns the figures that routers elsewhere need."""
        return _queue_types.QueueStatus(
            endpoint_id=self.endpoint_id,
            waiting=len(self._waiting),
            running=len(self._running),
            waiting_tokens=self._waiting_tokens,
            running_tokens=self._running_tokens,
            slots=self._settings.slots,
            tokens_per_s=self._tokens_per_s,
            retired=self._retired,
            token_s=self._token_s,
        )

    def retry_after(self) -> float:
        """Returns seconds until the present backlog should have drained."""
        wait = self._waiting_tokens / max(self._tokens_per_s, 1.0)
        return min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def _check_offer(self, work: _work.Work, now: float) -> base.Refusal | None:
        if work.request_id in self._waiting or work.request_id in self._running:
            return base.Refusal(
                base.RefusalReason.CONFLICT,
                base.Outcome.MAY_HAVE_RUN,
                "This request is here already; wait for its first answer.",
            )
        if self._retired:
            return base.Refusal(
                base.RefusalReason.NO_ENDPOINT,
                base.Outcome.NOT_RUN,
                f"Endpoint {self.endpoint_id} is leaving; choose another.",
            )
        if work.deadline <= now:
            return expired_refusal()
        if len(self._waiting) >= self._settings.max_waiting:
            return base.Refusal(
                base.RefusalReason.OVERLOADED,
                base.Outcome.NOT_RUN,
                f"The queue of endpoint {self.endpoint_id} is full; retry.",
                self.retry_after(),
            )
        if self._expected_wait(work.kind) > work.deadline - now:
            return base.Refusal(
                base.RefusalReason.OVERLOADED,
                base.Outcome.NOT_RUN,
                f"Endpoint {self.endpoint_id} is not expected to be free"
                " before the deadline; retry later or allow more time.",
                self.retry_after(),
            )
        return None

    def _expected_wait(self, kind: _work.WorkKind) -> float:
        """Returns seconds until what waits in the class has been served."""
        if len(self._running) < self._settings.slots:
            return 0.0
        tokens = self._levels[kind].tokens
        share = 1.0
        if kind is not _work.WorkKind.INTERACTIVE:
            tokens = self._waiting_tokens
        elif self._levels[_work.WorkKind.ROLLOUT]:
            share -= self._settings.rollout_share
        return tokens / max(self._tokens_per_s * share, 1.0)

    def _run(self, work: _work.Work, now: float) -> None:
        if not self._running:
            self._window_start, self._window_tokens = now, 0.0
        self._running[work.request_id] = work
        self._running_tokens += work.cost_tokens
        self._running_rollouts += _is_rollout(work)

    def _insert(self, work: _work.Work) -> None:
        self._waiting[work.request_id] = work
        self._waiting_tokens += work.cost_tokens
        self._levels[work.kind].push(work)

    def _remove(self, work: _work.Work) -> None:
        del self._waiting[work.request_id]
        self._waiting_tokens -= work.cost_tokens
        self._levels[work.kind].remove(work)

    def _note_deadline(self, work: _work.Work) -> None:
        if len(self._deadlines) > 2 * len(self._waiting) + 64:
            self._deadlines = [
                (waiting.deadline, waiting.request_id)
                for waiting in self._waiting.values()
            ]
            heapq.heapify(self._deadlines)
        heapq.heappush(self._deadlines, (work.deadline, work.request_id))

    def _collect_expired(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heapq.heappop(self._deadlines)
            work = self._waiting.get(request_id)
            if work is not None and work.deadline <= now:
                self._remove(work)
                self._expired.append(work)

    def _choose_level(self) -> _work.WorkKind | None:
        if len(self._running) >= self._settings.slots:
            return None
        limit = self._settings.slots - self._settings.interactive_reserve
        rollout = None
        if self._running_rollouts < limit:
            rollout = self._choose_rollout_level()
        if not self._levels[_work.WorkKind.INTERACTIVE]:
            return rollout
        if rollout is not None:
            head = self._levels[rollout].peek()
            if head is not None and self._rollout_credit >= head.cost_tokens:
                return rollout
        return _work.WorkKind.INTERACTIVE

    def _choose_rollout_level(self) -> _work.WorkKind | None:
        tails = self._levels[_work.WorkKind.TAIL]
        bulk = self._levels[_work.WorkKind.ROLLOUT]
        if not tails:
            return _work.WorkKind.ROLLOUT if bulk else None
        head = bulk.peek()
        if head is not None and self._bulk_credit >= head.cost_tokens:
            return _work.WorkKind.ROLLOUT
        return _work.WorkKind.TAIL

    def _charge_level(self, work: _work.Work) -> None:
        """Keeps the least shares: what is passed over earns credit."""
        tails_or_bulk = len(self._levels[_work.WorkKind.TAIL]) + len(
            self._levels[_work.WorkKind.ROLLOUT]
        )
        share = self._settings.rollout_share
        if work.kind is _work.WorkKind.INTERACTIVE:
            earned = work.cost_tokens * share / (1 - share)
            self._rollout_credit += earned if tails_or_bulk else 0.0
            return
        self._rollout_credit = max(0.0, self._rollout_credit - work.cost_tokens)
        if work.kind is _work.WorkKind.ROLLOUT:
            self._bulk_credit = max(0.0, self._bulk_credit - work.cost_tokens)
        elif self._levels[_work.WorkKind.ROLLOUT]:
            share = 1 - self._settings.tail_share
            self._bulk_credit += work.cost_tokens * share / (1 - share)

    def _observe_stream(self, seconds: float, tokens: float) -> None:
        """Learns the seconds between tokens from a stream that ended."""
        if tokens < MIN_OBSERVED_TOKENS:
            return
        change = seconds / tokens - self._token_s
        weight = RATE_SMOOTHING if self._token_s else 1.0
        self._token_s += weight * change

    def _observe_rate(self, used_tokens: float, now: float) -> None:
        """Learns the service rate, which shows only while work waits."""
        if not self._waiting:
            self._window_start, self._window_tokens = now, 0.0
            return
        self._window_tokens += used_tokens
        elapsed = now - self._window_start
        if elapsed < 1.0:
            return
        rate = self._window_tokens / elapsed
        self._tokens_per_s += RATE_SMOOTHING * (rate - self._tokens_per_s)
        self._window_start, self._window_tokens = now, 0.0


def _is_rollout(work: _work.Work) -> bool:
    return work.kind is not _work.WorkKind.INTERACTIVE


def expired_refusal() -> base.Refusal:
    """Returns the refusal of work whose deadline passed before dispatch."""
    return base.Refusal(
        base.RefusalReason.DEADLINE_EXCEEDED,
        base.Outcome.NOT_RUN,
        "The deadline passed before an endpoint was free; send it anew.",
    )
