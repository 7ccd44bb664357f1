"""Bounded queue of one endpoint with priorities, fairness and deadlines."""

import heapq

import attrs
import banyanbank_base as base
from returns import result

from banyanbank_dispatch import _fair_queue
from banyanbank_dispatch import _queue_types
from banyanbank_dispatch import _work

RATE_SMOOTHING_WEIGHT = 0.2
"""Weight of the newest sample in the exponential moving averages."""
MIN_OBSERVED_TOKENS = 32.0
"""Minimum length of a stream whose time between tokens is measured."""
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0

_OfferResult = result.Result[None, base.Refusal]


class EngineQueue:
    """Schedules the work of one endpoint.

    Service classes have priority in the order of `WorkKind`, with minimum
    shares for the lower ones. Within a class, accounts are served by weighted
    fair queueing.

    Args:
        endpoint_id: Endpoint that serves the work.
        settings: Slots, limits and shares.
    """

    def __init__(
        self, endpoint_id: base.EndpointId, settings: _queue_types.QueueSettings
    ) -> None:
        self.endpoint_id = endpoint_id
        self._settings = settings
        self._class_queues = {
            kind: _fair_queue.FairQueue() for kind in _work.WorkKind
        }
        self._waiting: dict[base.RequestId, _work.Work] = {}
        self._waiting_tokens = 0.0
        self._running: dict[base.RequestId, _work.Work] = {}
        self._running_tokens = 0.0
        self._running_rollouts = 0
        self._deadlines: list[tuple[float, base.RequestId]] = []
        self._expired: list[_work.Work] = []
        self._rollout_credit = 0.0
        self._non_tail_credit = 0.0
        self._tokens_per_s = settings.initial_tokens_per_s
        self._token_s = 0.0
        self._started_at: dict[base.RequestId, float] = {}
        self._window_started_at = 0.0
        self._window_tokens = 0.0
        self._retired = False

    def set_slots(self, slots: int, reserved_interactive_slots: int) -> None:
        """Changes the slots, for example when the endpoint's role changes."""
        self._settings = attrs.evolve(
            self._settings,
            slots=slots,
            reserved_interactive_slots=reserved_interactive_slots,
        )

    def offer(self, work: _work.Work, now: float) -> _OfferResult:
        """Queues work, or refuses it.

        Returns:
            Success, or a refusal with outcome NOT_RUN. The refusal of a
            duplicate of waiting or running work has outcome MAY_HAVE_RUN.
        """
        refusal = self._check_offer(work, now)
        if refusal is not None:
            return result.Failure(refusal)
        self._insert(work)
        self._index_deadline(work)
        return result.Success(None)

    def adopt(self, work: _work.Work, now: float) -> None:
        """Counts work as running that a previous owner dispatched."""
        self._mark_running(work, now)

    def next(self, now: float) -> _work.Work | None:
        """Returns the work to dispatch now and counts it as running.

        Returns:
            The work, or None when no work waits or no slot is free for it.
        """
        self._collect_expired(now)
        kind = self._choose_class()
        if kind is None:
            return None
        work = self._class_queues[kind].pop()
        if work is None:
            return None
        del self._waiting[work.request_id]
        self._waiting_tokens -= work.cost_tokens
        self._mark_running(work, now)
        self._started_at[work.request_id] = now
        self._update_class_credits(work)
        return work

    def finish(
        self, request_id: base.RequestId, used_tokens: float, now: float
    ) -> None:
        """Frees the slot of running work and settles its actual cost.

        Requests that are not running are ignored: an end may be reported
        twice, or late, after `retire`.

        Args:
            request_id: Request that ended.
            used_tokens: Tokens that the endpoint spent on it; 0 if none.
            now: Monotonic time in seconds.
        """
        work = self._running.pop(request_id, None)
        if work is None:
            return
        self._running_tokens -= work.cost_tokens
        self._running_rollouts -= _is_rollout(work)
        self._class_queues[work.kind].settle(work, used_tokens)
        started_at = self._started_at.pop(request_id, None)
        if started_at is not None:
            self._observe_token_interval(now - started_at, used_tokens)
        self._observe_service_rate(used_tokens, now)

    def expire(self, now: float) -> tuple[_work.Work, ...]:
        """Removes and returns work that expired while waiting; it never ran."""
        self._collect_expired(now)
        expired = tuple(self._expired)
        self._expired.clear()
        return expired

    def cancel(self, request_id: base.RequestId) -> _queue_types.CancelOutcome:
        """Removes waiting work; running work is left for the caller to stop."""
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
            True if the work was moved, False if it does not wait in this queue
            as rollout work.
        """
        work = self._waiting.get(request_id)
        if work is None or work.kind is not _work.WorkKind.ROLLOUT:
            return False
        self._remove(work)
        self._insert(work.with_kind(_work.WorkKind.TAIL))
        return True

    def withdraw_key(self, key_id: base.KeyId) -> _queue_types.Withdrawal:
        """Removes the waiting work of a key and returns its running work."""
        dropped = tuple(w for w in self._waiting.values() if w.key_id == key_id)
        for work in dropped:
            self._remove(work)
        running = tuple(w for w in self._running.values() if w.key_id == key_id)
        return _queue_types.Withdrawal(dropped, running)

    def retire(self) -> tuple[_work.Work, ...]:
        """Closes the queue permanently and removes its waiting work.

        Running work stays until `finish` is called for it.

        Returns:
            The removed work, none of which has run.
        """
        self._retired = True
        removed = tuple(self._waiting.values())
        for work in removed:
            self._remove(work)
        return removed

    def waiting(self) -> tuple[_work.Work, ...]:
        """Returns a snapshot of the waiting work of all classes."""
        return tuple(self._waiting.values())

    def running(self) -> tuple[_work.Work, ...]:
        """Returns a snapshot of the running work of all classes."""
        return tuple(self._running.values())

    def status(self) -> _queue_types.QueueStatus:
        """Returns the load figures that routers on other instances use."""
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
        """Returns the expected seconds until the backlog is served, bounded."""
        wait = self._waiting_tokens / max(self._tokens_per_s, 1.0)
        return min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def _check_offer(self, work: _work.Work, now: float) -> base.Refusal | None:
        if work.request_id in self._waiting or work.request_id in self._running:
            return base.Refusal(
                base.RefusalReason.CONFLICT,
                base.Outcome.MAY_HAVE_RUN,
                "A request with this id is already waiting or running; wait for"
                " its response.",
            )
        if self._retired:
            return base.Refusal(
                base.RefusalReason.NO_ENDPOINT,
                base.Outcome.NOT_RUN,
                f"Endpoint {self.endpoint_id} is leaving; choose another one.",
            )
        if work.deadline <= now:
            return expired_refusal()
        if len(self._waiting) >= self._settings.max_waiting:
            return base.Refusal(
                base.RefusalReason.OVERLOADED,
                base.Outcome.NOT_RUN,
                f"The queue of endpoint {self.endpoint_id} is full; retry"
                " later.",
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
        """Returns the expected seconds until new work is dispatched."""
        if len(self._running) < self._settings.slots:
            return 0.0
        tokens = self._class_queues[kind].tokens
        share = 1.0
        if kind is not _work.WorkKind.INTERACTIVE:
            tokens = self._waiting_tokens
        elif self._class_queues[_work.WorkKind.ROLLOUT]:
            share -= self._settings.min_rollout_share
        return tokens / max(self._tokens_per_s * share, 1.0)

    def _mark_running(self, work: _work.Work, now: float) -> None:
        if not self._running:
            self._window_started_at, self._window_tokens = now, 0.0
        self._running[work.request_id] = work
        self._running_tokens += work.cost_tokens
        self._running_rollouts += _is_rollout(work)

    def _insert(self, work: _work.Work) -> None:
        self._waiting[work.request_id] = work
        self._waiting_tokens += work.cost_tokens
        self._class_queues[work.kind].push(work)

    def _remove(self, work: _work.Work) -> None:
        del self._waiting[work.request_id]
        self._waiting_tokens -= work.cost_tokens
        self._class_queues[work.kind].remove(work)

    def _index_deadline(self, work: _work.Work) -> None:
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

    def _choose_class(self) -> _work.WorkKind | None:
        if len(self._running) >= self._settings.slots:
            return None
        limit = self._settings.slots - self._settings.reserved_interactive_slots
        rollout_kind = None
        if self._running_rollouts < limit:
            rollout_kind = self._choose_rollout_class()
        if not self._class_queues[_work.WorkKind.INTERACTIVE]:
            return rollout_kind
        if rollout_kind is not None:
            head = self._class_queues[rollout_kind].peek()
            if head is not None and self._rollout_credit >= head.cost_tokens:
                return rollout_kind
        return _work.WorkKind.INTERACTIVE

    def _choose_rollout_class(self) -> _work.WorkKind | None:
        tail_queue = self._class_queues[_work.WorkKind.TAIL]
        non_tail_queue = self._class_queues[_work.WorkKind.ROLLOUT]
        if not tail_queue:
            return _work.WorkKind.ROLLOUT if non_tail_queue else None
        head = non_tail_queue.peek()
        if head is not None and self._non_tail_credit >= head.cost_tokens:
            return _work.WorkKind.ROLLOUT
        return _work.WorkKind.TAIL

    def _update_class_credits(self, work: _work.Work) -> None:
        """Updates the credits that guarantee the minimum shares.

        Served work of a higher class earns credit for the waiting lower ones,
        which their own service spends.
        """
        waiting_rollouts = len(self._class_queues[_work.WorkKind.TAIL]) + len(
            self._class_queues[_work.WorkKind.ROLLOUT]
        )
        share = self._settings.min_rollout_share
        if work.kind is _work.WorkKind.INTERACTIVE:
            earned = work.cost_tokens * share / (1 - share)
            self._rollout_credit += earned if waiting_rollouts else 0.0
            return
        self._rollout_credit = max(0.0, self._rollout_credit - work.cost_tokens)
        if work.kind is _work.WorkKind.ROLLOUT:
            self._non_tail_credit = max(
                0.0, self._non_tail_credit - work.cost_tokens
            )
        elif self._class_queues[_work.WorkKind.ROLLOUT]:
            share = 1 - self._settings.max_tail_share
            self._non_tail_credit += work.cost_tokens * share / (1 - share)

    def _observe_token_interval(self, seconds: float, tokens: float) -> None:
        """Updates the average time between tokens from a completed stream."""
        if tokens < MIN_OBSERVED_TOKENS:
            return
        change = seconds / tokens - self._token_s
        weight = RATE_SMOOTHING_WEIGHT if self._token_s else 1.0
        self._token_s += weight * change

    def _observe_service_rate(self, used_tokens: float, now: float) -> None:
        """Updates the average service rate if work is waiting.

        Without a backlog the throughput is lower than the service rate.
        """
        if not self._waiting:
            self._window_started_at, self._window_tokens = now, 0.0
            return
        self._window_tokens += used_tokens
        elapsed = now - self._window_started_at
        if elapsed < 1.0:
            return
        rate = self._window_tokens / elapsed
        self._tokens_per_s += RATE_SMOOTHING_WEIGHT * (
            rate - self._tokens_per_s
        )
        self._window_started_at, self._window_tokens = now, 0.0


def _is_rollout(work: _work.Work) -> bool:
    return work.kind is not _work.WorkKind.INTERACTIVE


def expired_refusal() -> base.Refusal:
    """Returns the refusal of work whose deadline passed before dispatch."""
    return base.Refusal(
        base.RefusalReason.DEADLINE_EXCEEDED,
        base.Outcome.NOT_RUN,
        "The deadline passed before an endpoint was free; send the request"
        " again with a later deadline.",
    )
