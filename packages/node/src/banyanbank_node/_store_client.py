"""Client for calls to the store that leads."""

import collections.abc
import typing

import attrs
import banyanbank_base as base
import banyanbank_mesh as mesh
from returns import result
from twisted.internet import defer
from twisted.internet import task

from banyanbank_node import _messages

RETRY_DELAY_S = 0.05
"""Delay between two attempts, but for one to a leader that was just named."""

ATTEMPT_TIMEOUT_S = 0.8
"""Default timeout of a call to one store."""

SILENCE_AVOIDANCE_S = 1.3
"""Time after a call that was not answered in time during which the store is
tried after all others. It exceeds the longest election timeout: followers that
name the store later have heard from it since, or would have begun an election.
"""

LOST_LINK_AVOIDANCE_S = 0.3
"""Time for which a store is tried after all others once a link to it was lost
or not made. Such a failure is noticed at once, so another try costs little."""

MAX_TIMER_DELAY_S = 0.25
"""Delay of a timer beyond which this process is taken to have been stopped."""

LocalHandler = collections.abc.Callable[
    [bytes], collections.abc.Awaitable[bytes]
]


@attrs.frozen
class StoreCallError:
    """Failure of a call that no leader answered before the deadline."""

    may_have_run: bool
    """Whether the call may have taken effect."""
    detail: str
    """Cause of the latest failed attempt."""
    asked: dict[base.InstanceId, str] = attrs.Factory(dict)
    """Latest reply of each store that was asked, or why there was none."""

    @property
    def silent_stores(self) -> frozenset[base.InstanceId]:
        """Stores that had not answered when their time was over."""
        silence = mesh.CallErrorKind.DEADLINE.value
        return frozenset(
            store for store, reply in self.asked.items() if reply == silence
        )


def find_outcome(error: StoreCallError) -> base.Outcome:
    """Returns whether a call that no leader answered may have taken effect."""
    if error.may_have_run:
        return base.Outcome.MAY_HAVE_RUN
    return base.Outcome.NOT_RUN


class StoreClient:
    """Finds the leader among the stores and calls it.

    Calls are retried until they are answered, so they must be idempotent.

    Args:
        reactor: Twisted reactor for timers.
        clock: Monotonic clock of deadlines.
        transport: Mesh of this instance.
        seeds: Stores to contact first, as `ip:port` of their mesh.
    """

    def __init__(
        self,
        reactor: typing.Any,
        clock: base.Clock,
        transport: mesh.Mesh,
        seeds: tuple[base.InstanceId, ...],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._mesh = transport
        self._seeds = seeds
        self._stores: tuple[base.InstanceId, ...] = ()
        self._leader_hint: base.InstanceId | None = None
        self._rotation = 0
        self._avoided_until: dict[base.InstanceId, float] = {}
        self._local_handlers: dict[str, LocalHandler] = {}
        self.set_stores(())

    @property
    def leader(self) -> base.InstanceId | None:
        """Presumed leader: the last to answer, or named by another store."""
        return self._leader_hint

    @property
    def responsive_stores(self) -> list[base.InstanceId]:
        """Known stores, but for those that lately failed to answer."""
        known = sorted({*self._stores, *self._seeds})
        return [store for store in known if not self._is_avoided(store)]

    def follow_leader(self, leader: base.InstanceId) -> None:
        """Takes a store for the leader unless it lately failed to answer."""
        if not self._is_avoided(leader):
            self.register_address(leader)
            self._leader_hint = leader

    def set_stores(self, stores: tuple[base.InstanceId, ...]) -> None:
        """Replaces the known stores and registers their addresses."""
        self._stores = stores
        for store in {*stores, *self._seeds}:
            self.register_address(store)

    def set_seeds(self, seeds: tuple[base.InstanceId, ...]) -> None:
        """Replaces the seeds; stores known otherwise are kept."""
        self._seeds = seeds
        self.set_stores(self._stores)

    def register_address(self, store: base.InstanceId) -> None:
        """Registers the address of a store, which its name contains."""
        if store != self._mesh.instance:
            host, _, port = store.rpartition(":")
            self._mesh.set_peer(store, host, int(port))

    def set_local_handler(self, method: str, handler: LocalHandler) -> None:
        """Registers a handler for calls to this instance itself."""
        self._local_handlers[method] = handler

    async def call(
        self,
        method: str,
        message: typing.Any,
        deadline: float,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
        first: base.InstanceId | None = None,
    ) -> result.Result[typing.Any, StoreCallError]:
        """Sends a message to the leader and returns its answer.

        Args:
            method: Name of the handler.
            message: Message that `_messages.CODEC` can encode.
            deadline: Deadline of all attempts, on the client's clock.
            attempt_timeout_s: Timeout of the call to each store.
            first: Store to ask before the leader; None for the leader at once.
        """
        data = _messages.CODEC.encode(message)
        reply = await self.call_raw(
            method, data, deadline, attempt_timeout_s, first
        )
        return reply.map(_messages.CODEC.decode)

    async def call_store(
        self,
        store: base.InstanceId,
        method: str,
        message: typing.Any,
        deadline: float,
    ) -> result.Result[typing.Any, StoreCallError]:
        """Sends a message to one store, whether it leads or not."""
        called = await self._attempt_call(
            store, method, _messages.CODEC.encode(message), deadline
        )
        if isinstance(called, result.Failure):
            error = called.failure()
            return result.Failure(
                StoreCallError(
                    error.outcome is not base.Outcome.NOT_RUN,
                    error.detail,
                    {store: error.kind.value},
                )
            )
        payload = called.unwrap().payload
        if payload is None:
            return result.Failure(StoreCallError(False, f"{store} refused"))
        return result.Success(_messages.CODEC.decode(payload))

    async def call_raw(
        self,
        method: str,
        data: bytes,
        deadline: float,
        attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
        first: base.InstanceId | None = None,
        is_relayed: bool = False,
    ) -> result.Result[bytes, StoreCallError]:
        """Sends an encoded message and returns the leader's encoded answer.

        Args:
            method: Name of the handler.
            data: Encoded message.
            deadline: Deadline of all attempts, on the client's clock.
            attempt_timeout_s: Timeout of the call to each store.
            first: Store to ask before the leader; None for the leader at once.
            is_relayed: Whether the call is another instance's, whose paths and
                messages say nothing about the stores.
        """
        may_have_run = False
        detail = "no store was asked"
        asked: dict[base.InstanceId, str] = {}
        follows_hint = False
        if first is not None and self._is_avoided(first):
            first = None
        while self._clock.now() < deadline:
            target = first or self._next_target()
            has_hint = False
            sent_at = self._clock.now()
            is_own = target == self._mesh.instance
            # Another attempt would repeat what the handler has begun.
            attempt_deadline = (
                deadline
                if is_own
                else min(deadline, sent_at + attempt_timeout_s)
            )
            call_result = await self._attempt_call(
                target, method, data, attempt_deadline
            )
            if isinstance(call_result, result.Success):
                answer = call_result.unwrap()
                if answer.payload is not None:
                    self._avoided_until.pop(target, None)
                    if target != first:
                        self._leader_hint = target
                    return result.Success(answer.payload)
                detail = f"{target} does not lead"
                asked[target] = f"names {answer.leader or 'no leader'}"
                has_hint = self._follow_leader_hint(target, answer.leader)
            else:
                error = call_result.failure()
                detail = f"{target}: {error.detail}"
                asked[target] = error.kind.value
                may_have_run |= error.outcome is not base.Outcome.NOT_RUN
                had_time = attempt_deadline >= sent_at + attempt_timeout_s
                is_silent = error.kind is mesh.CallErrorKind.DEADLINE
                may_blame = had_time and not is_relayed and not is_own
                if not self._was_suspended(attempt_deadline) and (
                    not is_silent or may_blame
                ):
                    self._avoid(target, error.kind, sent_at)
            first = None
            # Two stores may name each other, so no two hints in a row are
            # followed at once.
            follows_hint = has_hint and not follows_hint
            if not follows_hint:
                await task.deferLater(self._reactor, RETRY_DELAY_S)
        return result.Failure(StoreCallError(may_have_run, detail, asked))

    async def _attempt_call(
        self,
        target: base.InstanceId,
        method: str,
        data: bytes,
        attempt_deadline: float,
    ) -> result.Result[_messages.StoreAnswer, mesh.CallError]:
        if target == self._mesh.instance and method in self._local_handlers:
            try:
                answer = await self._call_locally(
                    method, data, attempt_deadline
                )
            except defer.TimeoutError:
                return result.Failure(
                    mesh.CallError(
                        mesh.CallErrorKind.DEADLINE,
                        base.Outcome.MAY_HAVE_RUN,
                        "This store did not answer itself in time.",
                    )
                )
            except mesh.HandlerRefusalError as exc:
                return result.Failure(
                    mesh.CallError(
                        mesh.CallErrorKind.REFUSED, exc.outcome, exc.detail
                    )
                )
        else:
            call_result = await self._mesh.call(
                target, method, data, attempt_deadline
            )
            if isinstance(call_result, result.Failure):
                return call_result
            answer = call_result.unwrap()
        return result.Success(_messages.CODEC.decode(answer))

    def _call_locally(
        self, method: str, data: bytes, deadline: float
    ) -> "defer.Deferred[bytes]":
        """Calls a handler of this instance, which runs on after the deadline.

        So do those of other instances.
        """
        answered: defer.Deferred[bytes] = defer.Deferred()
        running = defer.ensureDeferred(
            typing.cast(typing.Any, self._local_handlers[method](data))
        )
        running.addCallbacks(answered.callback, answered.errback)
        remaining_s = max(0.0, deadline - self._clock.now())
        return answered.addTimeout(remaining_s, self._reactor)

    def _next_target(self) -> base.InstanceId:
        if self._leader_hint is not None:
            return self._leader_hint
        candidates = sorted({*self._stores, *self._seeds})
        self._rotation += 1
        rotated = [
            candidates[(self._rotation + offset) % len(candidates)]
            for offset in range(len(candidates))
        ]
        heard = [store for store in rotated if not self._is_avoided(store)]
        return (heard or rotated)[0]

    def _avoid(
        self, store: base.InstanceId, kind: mesh.CallErrorKind, sent_at: float
    ) -> None:
        """Deprioritizes a store that failed to answer.

        Followers keep naming a leader that is frozen or partitioned until they
        elect another one.
        """
        now = self._clock.now()
        self._avoided_until[store] = (
            max(now, sent_at + SILENCE_AVOIDANCE_S)
            if kind is mesh.CallErrorKind.DEADLINE
            else now + LOST_LINK_AVOIDANCE_S
        )
        if self._leader_hint == store:
            self._leader_hint = None

    def _was_suspended(self, attempt_deadline: float) -> bool:
        """Whether this process did not run when an attempt timed out.

        A timeout that is noticed late says nothing about the store: its answer
        may have arrived meanwhile.
        """
        return self._clock.now() > attempt_deadline + MAX_TIMER_DELAY_S

    def _is_avoided(self, store: base.InstanceId) -> bool:
        return self._clock.now() < self._avoided_until.get(store, 0.0)

    def _follow_leader_hint(
        self, responder: base.InstanceId, leader: str
    ) -> bool:
        """Takes a store for the leader that another one named, if it may be."""
        hint = base.InstanceId(leader) if leader else None
        if hint is None or hint == responder or self._is_avoided(hint):
            self._leader_hint = None
            return False
        self.register_address(hint)
        self._leader_hint = hint
        return True
