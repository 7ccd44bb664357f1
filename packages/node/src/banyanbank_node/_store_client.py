"""Calls the store that leads, wherever it is."""

import collections.abc
import typing

import attrs
import banyanbank_base as base
import banyanbank_mesh as mesh
from returns import result
from twisted.internet import task

from banyanbank_node import _messages

RETRY_S = 0.05
"""Seconds between two tries."""

TRY_S = 0.8
"""Seconds that one store has to answer."""

AVOID_S = 2.0
"""Seconds in which a store that did not answer is asked after all others."""

LocalHandler = collections.abc.Callable[
    [bytes], collections.abc.Awaitable[bytes]
]


@attrs.frozen
class StoreCallError:
    """No leader answered before the deadline."""

    may_have_run: bool
    """Whether the call may have had its effect."""
    detail: str
    """What was seen last."""


class StoreClient:
    """Finds the leader among the stores and asks it.

    Calls are repeated until they are answered, so each must be one that may
    run twice.

    Args:
        reactor: Carries timers.
        clock: Clock that deadlines are told on.
        transport: Mesh of this instance.
        seeds: Stores to ask first, as `ip:port` of their mesh.
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
        self._hint: base.InstanceId | None = None
        self._turn = 0
        self._avoided: dict[base.InstanceId, float] = {}
        self._local: dict[str, LocalHandler] = {}
        self.know_stores(())

    @property
    def leader(self) -> base.InstanceId | None:
        """Store that answered last, or that another named."""
        return self._hint

    def know_stores(self, stores: tuple[base.InstanceId, ...]) -> None:
        """Takes in which stores there are."""
        self._stores = stores
        for store in {*stores, *self._seeds}:
            self.reach(store)

    def change_seeds(self, seeds: tuple[base.InstanceId, ...]) -> None:
        """Takes over other seeds; stores known by now stay known."""
        self._seeds = seeds
        self.know_stores(self._stores)

    def reach(self, store: base.InstanceId) -> None:
        """Learns the address of a store from its name."""
        if store != self._mesh.instance:
            host, _, port = store.rpartition(":")
            self._mesh.set_peer(store, host, int(port))

    def serve_here(self, method: str, handler: LocalHandler) -> None:
        """Answers calls to this very instance without the mesh."""
        self._local[method] = handler

    async def call(
        self,
        method: str,
        message: typing.Any,
        deadline: float,
        try_s: float = TRY_S,
    ) -> result.Result[typing.Any, StoreCallError]:
        """Sends a message to the leader and returns its answer.

        Args:
            method: Names the handler.
            message: A message of `_messages.CODEC`.
            deadline: When to give up, on the clock given at construction.
            try_s: Seconds that each store has to answer.
        """
        data = _messages.CODEC.encode(message)
        answered = await self.call_raw(method, data, deadline, try_s)
        return answered.map(_messages.CODEC.decode)

    async def call_raw(
        self, method: str, data: bytes, deadline: float, try_s: float = TRY_S
    ) -> result.Result[bytes, StoreCallError]:
        """Sends bytes to the leader and returns the bytes of its answer."""
        may_have_run = False
        detail = "no store was asked"
        while self._clock.now() < deadline:
            target = self._target()
            limit = min(deadline, self._clock.now() + try_s)
            called = await self._try(target, method, data, limit)
            if isinstance(called, result.Success):
                answer = called.unwrap()
                if answer.payload is not None:
                    self._avoided.pop(target, None)
                    self._hint = target
                    return result.Success(answer.payload)
                detail = f"{target} does not lead"
                self._follow(target, answer.leader)
            else:
                error = called.failure()
                detail = f"{target}: {error.detail}"
                may_have_run |= error.outcome is not base.Outcome.NOT_RUN
                self._avoid(target)
            await task.deferLater(self._reactor, RETRY_S)
        return result.Failure(StoreCallError(may_have_run, detail))

    async def _try(
        self, target: base.InstanceId, method: str, data: bytes, limit: float
    ) -> result.Result[_messages.StoreAnswer, mesh.CallError]:
        if target == self._mesh.instance and method in self._local:
            try:
                answer = await self._local[method](data)
            except mesh.HandlerRefusalError as exc:
                return result.Failure(
                    mesh.CallError(
                        mesh.CallErrorKind.REFUSED, exc.outcome, exc.detail
                    )
                )
        else:
            called = await self._mesh.call(target, method, data, limit)
            if isinstance(called, result.Failure):
                return called
            answer = called.unwrap()
        return result.Success(_messages.CODEC.decode(answer))

    def _target(self) -> base.InstanceId:
        if self._hint is not None:
            return self._hint
        known = sorted({*self._stores, *self._seeds})
        self._turn += 1
        turned = [
            known[(self._turn + offset) % len(known)]
            for offset in range(len(known))
        ]
        heard = [store for store in turned if not self._is_avoided(store)]
        return (heard or turned)[0]

    def _avoid(self, store: base.InstanceId) -> None:
        """Asks others before a store that has just failed to answer.

        Its followers go on naming a leader that is frozen or cut off until
        they elect another one.
        """
        self._avoided[store] = self._clock.now() + AVOID_S
        if self._hint == store:
            self._hint = None

    def _is_avoided(self, store: base.InstanceId) -> bool:
        return self._clock.now() < self._avoided.get(store, 0.0)

    def _follow(self, told_by: base.InstanceId, leader: str) -> None:
        hint = base.InstanceId(leader) if leader else None
        if hint is None or hint == told_by or self._is_avoided(hint):
            self._hint = None
            return
        self.reach(hint)
        self._hint = hint
