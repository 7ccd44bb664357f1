"""Queues that grant slots of the engines that this instance owns."""

import typing

import attrs
import banyanbank_base as base
import banyanbank_control as control
import banyanbank_dispatch as dispatch
from returns import result
from twisted.internet import defer

from banyanbank_daemon._jobs import _messages
from banyanbank_daemon._jobs import _owned

MILLISECONDS = 1_000
CONFIGURATION_RETRY_DELAY_S = 0.2

OnClosed = typing.Callable[[typing.Callable[[], None]], None]
NewQueue = typing.Callable[[str], dispatch.EngineQueue]


@attrs.define
class _WaitingJob:
    """A job that is queued for an engine slot."""

    granted: defer.Deferred[base.Refusal | None]
    timer: typing.Any


class QueueObserver(typing.Protocol):
    """Counts granted and completed requests."""

    def granted(self, account: str, kind: str, seconds: float) -> None:
        """Counts a request that was granted a slot after a wait in seconds."""
        ...

    def served(self, account: str, kind: str, tokens: float) -> None:
        """Counts the tokens of a request that has released its slot."""
        ...


class Slot:
    """An engine slot that a job holds until `release`.

    Args:
        engine_queues: Queues that granted the slot.
        queue: Queue of the engine; kept because an engine that leaves and
            returns gets a new queue.
        job: Job that holds the slot.
    """

    def __init__(
        self,
        engine_queues: "EngineQueues",
        queue: dispatch.EngineQueue,
        job: _messages.ModelJob,
    ) -> None:
        self._engine_queues = engine_queues
        self._queue = queue
        self._job = job
        self._is_held = True

    def load(self) -> _messages.QueueLoad:
        """Returns the current load of the engine's queue."""
        return self._engine_queues.load_of_queue(self._queue)

    def release(self, used_tokens: int) -> None:
        """Releases the slot; idempotent.

        Args:
            used_tokens: Prompt and completion tokens; 0 for a failed job.
        """
        if self._is_held:
            self._is_held = False
            self._engine_queues.finish(self._queue, self._job, used_tokens)


class EngineQueues:
    """Queues of the engines that this instance owns.

    Args:
        reactor: Schedules timeouts.
        clock: Clock of the deadlines.
        new_queue: Creates the queue of an engine at its first job.
        authenticator: Rechecks the key of a queued job at its grant.
        observer: Notified of each grant and each release.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        new_queue: NewQueue,
        authenticator: control.Authenticator,
        observer: QueueObserver,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._new_queue = new_queue
        self._authenticator = authenticator
        self._observer = observer
        self._waiting: dict[str, _WaitingJob] = {}
        self.queues: dict[str, dispatch.EngineQueue] = {}
        self._retired: list[dispatch.EngineQueue] = []
        self.owned = _owned.OwnedEngines()

    def reports(self) -> tuple[control.EngineReport, ...]:
        """Returns the loads of the engines for the leader."""
        # The running requests of a retired queue delay its engine's stop.
        self._retired = [queue for queue in self._retired if queue.running()]
        queues = (*self.queues.values(), *self._retired)
        statuses = (queue.status() for queue in queues)
        return tuple(
            control.EngineReport(
                status.endpoint_id,
                status.waiting,
                status.running,
                status.waiting_tokens,
                status.running_tokens,
                status.tokens_per_s,
            )
            for status in statuses
        )

    def load_of_queue(self, queue: dispatch.EngineQueue) -> _messages.QueueLoad:
        """Returns a queue's load plus that of requests it has not granted."""
        status = queue.status()
        load = _messages.QueueLoad(
            tokens=status.waiting_tokens + status.running_tokens,
            requests=status.waiting + status.running,
            tokens_per_s=status.tokens_per_s,
            token_s=status.token_s,
        )
        now = self._clock.now()
        return self.owned.add_foreign_load(status.endpoint_id, load, now)

    def load_of_engine(self, endpoint: str) -> _messages.QueueLoad | None:
        """Returns the load of an engine; None before its first request."""
        queue = self.queues.get(endpoint)
        return None if queue is None else self.load_of_queue(queue)

    def granted(self, endpoint: str) -> int:
        """Returns the number of requests that hold a slot of an engine."""
        queue = self.queues.get(endpoint)
        return 0 if queue is None else queue.status().running

    async def acquire(
        self, job: _messages.ModelJob, on_closed: OnClosed
    ) -> result.Result[Slot, _messages.JobFailed]:
        """Waits for a slot of the job's engine.

        Args:
            job: Job that needs the slot.
            on_closed: Registers a callback for the cancellation of the wait.
        """
        if job.endpoint not in self.queues:
            self.queues[job.endpoint] = self._new_queue(job.endpoint)
        queue = self.queues[job.endpoint]
        asked_at = self._clock.now()
        refusal = await self._wait_for_grant(queue, job, on_closed)
        if refusal is not None:
            return result.Failure(_messages.JobFailed.from_refusal(refusal))
        waited_s = self._clock.now() - asked_at
        self._observer.granted(job.account, job.kind, waited_s)
        # The key may have been withdrawn while the job was queued.
        refusal = self._recheck_key(job)
        if refusal is not None:
            self.finish(queue, job, 0)
            return result.Failure(_messages.JobFailed.from_refusal(refusal))
        endpoint = base.EndpointId(job.endpoint)
        self.owned.caches.note_sent(endpoint, job.blocks, self._clock.now())
        return result.Success(Slot(self, queue, job))

    def finish(
        self,
        queue: dispatch.EngineQueue,
        job: _messages.ModelJob,
        used_tokens: int,
    ) -> None:
        """Frees a slot and grants free slots to queued jobs."""
        self._observer.served(job.account, job.kind, used_tokens)
        queue.finish(
            base.RequestId(job.request_id), used_tokens, self._clock.now()
        )
        self._grant_slots(queue)

    def withdraw_key(self, key_id: base.KeyId) -> None:
        """Rejects a withdrawn key's queued jobs; entries end running ones."""
        refusal = base.Refusal(
            base.RefusalReason.KEY_WITHDRAWN,
            base.Outcome.NOT_RUN,
            "The key was withdrawn while the request was queued.",
        )
        for queue in self.queues.values():
            for work in queue.withdraw_key(key_id).dropped:
                self._resolve(work.request_id, refusal)

    def retire(self, endpoint: str) -> None:
        """Rejects the queued jobs of an engine that is being removed.

        Running jobs keep their slots in the old queue; an engine that returns
        gets a new queue.
        """
        refusal = base.Refusal(
            base.RefusalReason.NO_ENDPOINT,
            base.Outcome.NOT_RUN,
            "The engine is being removed from service; use another engine.",
        )
        queue = self.queues.pop(endpoint, None)
        if queue is None:
            return
        self._retired.append(queue)
        for work in queue.retire():
            self._resolve(work.request_id, refusal)

    async def _wait_for_grant(
        self,
        queue: dispatch.EngineQueue,
        job: _messages.ModelJob,
        on_closed: OnClosed,
    ) -> base.Refusal | None:
        now = self._clock.now()
        deadline = now + job.remaining_ms / MILLISECONDS
        offered = queue.offer(_to_work(job, deadline), now)
        if isinstance(offered, result.Failure):
            return offered.failure()
        granted: defer.Deferred[base.Refusal | None] = defer.Deferred()
        timer = self._reactor.callLater(
            max(0.0, deadline - now), self._expire, job.request_id, queue
        )
        self._waiting[job.request_id] = _WaitingJob(granted, timer)
        on_closed(lambda: self._cancel_waiting(job.request_id, queue))
        self._grant_slots(queue)
        return await granted

    def _grant_slots(self, queue: dispatch.EngineQueue) -> None:
        for expired in queue.expire(self._clock.now()):
            self._resolve(expired.request_id, dispatch.expired_refusal())
        while (work := queue.next(self._clock.now())) is not None:
            self._resolve(work.request_id, None)

    def _recheck_key(self, job: _messages.ModelJob) -> base.Refusal | None:
        if not job.key_id:
            return None
        if self._authenticator.view.revision < job.revision:
            return base.Refusal(
                base.RefusalReason.CONFIGURATION_STALE,
                base.Outcome.NOT_RUN,
                "The engine's owner has an older configuration revision than "
                "the request; retry later.",
                retry_after=CONFIGURATION_RETRY_DELAY_S,
            )
        principal = control.Principal(
            base.AccountId(job.account), base.KeyId(job.key_id)
        )
        return self._authenticator.recheck(principal, self._clock.now())

    def _expire(self, request_id: str, queue: dispatch.EngineQueue) -> None:
        queue.cancel(base.RequestId(request_id))
        self._resolve(request_id, dispatch.expired_refusal())

    def _cancel_waiting(
        self, request_id: str, queue: dispatch.EngineQueue
    ) -> None:
        if request_id not in self._waiting:
            return
        queue.cancel(base.RequestId(request_id))
        refusal = base.Refusal(
            base.RefusalReason.DEADLINE_EXCEEDED,
            base.Outcome.NOT_RUN,
            "The caller closed the request while it was queued.",
        )
        self._resolve(request_id, refusal)

    def _resolve(self, request_id: str, refusal: base.Refusal | None) -> None:
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:
            return
        if waiting.timer.active():
            waiting.timer.cancel()
        waiting.granted.callback(refusal)


def _to_work(job: _messages.ModelJob, deadline: float) -> dispatch.Work:
    return dispatch.Work(
        request_id=base.RequestId(job.request_id),
        account=base.AccountId(job.account),
        key_id=base.KeyId(job.key_id),
        kind=dispatch.WorkKind(job.kind),
        cost_tokens=job.cost_tokens,
        deadline=deadline,
        idempotent=True,
        weight=job.weight,
    )
