"""Log nodes on a simulated clock with the duty that changes their members."""

from collections.abc import Callable
import contextlib
import heapq
import itertools
import string
import typing
import unittest.mock

import attrs
import banyanbank_base as base
from banyanbank_node import _leadership
from banyanbank_node import _member_duty
from banyanbank_node import _messages
from banyanbank_node import _vote_handover
from returns import result
from twisted.internet import defer

from tests.consensus import cluster
from tests.consensus import oracle

DUTY_TICK_S = 0.05
HEARTBEAT_INTERVAL_S = 0.7
COMMAND_INTERVAL_S = 0.1
VOTERS = 3
SUCCESSORS = 2
SHUTDOWN_S = 5.5
"""Time that a store has to hand over its vote within `grace-s` of 8 s."""


class SimulatedCalls:
    """Takes the handlers that a duty registers, and calls them."""

    def __init__(self) -> None:
        self.handlers: dict[str, typing.Any] = {}
        self.led_since: float | None = None

    def serve(self, method: str, handler: typing.Any) -> None:
        self.handlers[method] = handler

    def call(
        self, method: str, sender: base.InstanceId, message: object
    ) -> typing.Any:
        """Returns the answer of a handler, which never waits.

        Raises:
            NotLeaderError: The store refused to answer.
        """
        running = self.handlers[method](sender, _messages.CODEC.encode(message))
        try:
            running.send(None)
        except StopIteration as end:
            return end.value
        raise AssertionError(f"The handler of {method} waits.")


@attrs.define(eq=False)
class Store:
    """One life of a simulated store."""

    name: base.InstanceId
    process: cluster.Process
    clock: base.Clock
    calls: SimulatedCalls
    duty: _member_duty.MemberDuty
    heartbeat_at: float
    """When its next heartbeat is due."""
    is_leaving: bool = False
    checked_sets: int = 0
    """Number of member sets of its log that were checked."""
    has_duties: bool = False
    """Whether its duty has ticked since it acquired the lease."""


class StoreCluster:
    """Simulated stores under a steady load of commands.

    Args:
        seed: Seed of clocks, election timeouts and stores.
        voters: Number of voters that are wanted; as many stores form the log.
    """

    def __init__(self, seed: int, voters: int = VOTERS) -> None:
        names = string.ascii_lowercase[: voters + SUCCESSORS]
        self.successors = names[voters:]
        self.wanted = voters
        self.world = cluster.World(names, seed=seed, initial=names[:voters])
        self._oracle = oracle.Oracle(self.world, 0.0)
        self.world.on_step = self._on_step
        self.stores: dict[base.InstanceId, Store] = {}
        self.dark: set[base.InstanceId] = set()
        """Machines without power, which refuse no connections."""
        self.retired: set[base.InstanceId] = set()
        """Stores that an operator removes."""
        self.acknowledged: list[bytes] = []
        self.handovers: list[str] = []
        """Outcomes of all handovers, in order."""
        self._failures: list[typing.Any] = []
        self._numbers = itertools.count()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._duties_at = self._command_at = self.world.now
        for name in names[:voters]:
            self.start(name)
        self.run_until(lambda: bool(self.world.lease_holders()))
        # From then on, the leader has heard of each store that runs.
        self.run(_member_duty.LIVE_TIMEOUT_S + 0.5)

    @property
    def leader(self) -> base.InstanceId:
        """The lease holder; waits until there is one."""
        self.run_until(lambda: bool(self.world.lease_holders()))
        return self.world.lease_holders()[0]

    @property
    def follower(self) -> base.InstanceId:
        """A voter that does not lead."""
        leader = self.leader
        return next(name for name in self.voters() if name != leader)

    def voters(self) -> list[base.InstanceId]:
        """Voters in the view of the leader."""
        status = self.world.node(self.leader).status()
        return [voter.instance for voter in status.voters]

    def learners(self) -> list[base.InstanceId]:
        """Members without a vote in the view of the leader."""
        status = self.world.node(self.leader).status()
        return [learner.instance for learner in status.learners]

    def changes(self) -> int:
        """Number of changes of members in the log of the leader."""
        log = self.world.node(self.leader)._runner.replica.state.log
        return len(log._member_changes)

    def start(self, name: str) -> None:
        """Starts a store with the disk that it has."""
        instance = base.InstanceId(name)
        self.dark.discard(instance)
        self.world.start(name)
        process = self.world.processes[instance]
        calls = SimulatedCalls()
        clock = process.node._clock
        stored = unittest.mock.Mock(node=process.node)
        stored.ledger.retired = self.retired
        duty = _member_duty.MemberDuty(
            clock,
            stored,
            typing.cast(typing.Any, calls),
            self.wanted,
            unittest.mock.Mock(),
            self._refuses_connections,
        )
        self.stores[instance] = Store(
            instance, process, clock, calls, duty, self.world.now
        )

    def crash(self, name: str, dark: bool = False) -> None:
        """Ends a store without warning; `dark` if its machine is gone, too."""
        instance = base.InstanceId(name)
        self.world.crash(name)
        del self.stores[instance]
        if dark:
            self.dark.add(instance)

    def lose_disk(self, name: str) -> None:
        """Ends a store and loses its disk."""
        self.crash(name)
        self.world.crash(name, wipe=True)
        self.world.later_starts.add(base.InstanceId(name))

    def terminate(self, *names: str) -> None:
        """Stops stores at once as SIGTERM does, and waits for their ends."""
        stores = [self.stores[base.InstanceId(name)] for name in names]
        for store in stores:
            store.is_leaving = True
            node = typing.cast(typing.Any, _LeavingNode(self, store))
            stored = unittest.mock.Mock(node=store.process.node)
            handover = _vote_handover.VoteHandover(node, stored)
            ended = defer.ensureDeferred(
                handover.run(store.clock.now() + SHUTDOWN_S)
            )
            ended.addCallback(lambda _, name=store.name: self.crash(name))
            ended.addErrback(self._failures.append)
        self.run_until(
            lambda: self._failures or not set(names) & set(self.stores),
            SHUTDOWN_S + 1.0,
        )
        for failure in self._failures:
            failure.raiseException()

    def run(self, seconds: float) -> None:
        """Advances the time."""
        self.world.run(seconds)

    def run_until(
        self, condition: Callable[[], object], seconds: float = 20.0
    ) -> None:
        """Advances the time until a condition holds."""
        self.world.run_until(lambda: bool(condition()), seconds)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Calls a function after some time."""
        heapq.heappush(
            self._timers,
            (self.world.now + delay_s, next(self._numbers), callback),
        )

    def call_leader(
        self, sender: Store, method: str, message: object
    ) -> object:
        """Calls the leader that a running store can reach; None without one."""
        for name in self.world.leaders():
            store = self.stores[name]
            is_reachable = name == sender.name or not (
                self.world.links[sender.name, name].cut
                or self.world.links[name, sender.name].cut
            )
            if is_reachable and not store.process.is_paused:
                with contextlib.suppress(_leadership.NotLeaderError):
                    return store.calls.call(method, sender.name, message)
        return None

    def _refuses_connections(self, instance: base.InstanceId) -> bool:
        return (
            instance not in self.world.processes and instance not in self.dark
        )

    def _on_step(self) -> None:
        self._oracle.check()
        for store in self.stores.values():
            self._check_member_sets(store)
        while self._timers and self._timers[0][0] <= self.world.now:
            heapq.heappop(self._timers)[2]()
        if self.world.now >= self._duties_at:
            self._duties_at = self.world.now + DUTY_TICK_S
            for store in list(self.stores.values()):
                self._tick_duty(store)
        if self.world.now >= self._command_at:
            self._command_at = self.world.now + COMMAND_INTERVAL_S
            self._send_command()

    def _check_member_sets(self, store: Store) -> None:
        """Checks that any two sets in a row differ by one voter at most.

        Then any two of their majorities have a voter in common.
        """
        runner = store.process.node._runner
        sets = runner.replica.state.log.members_since(0)
        if len(sets) == store.checked_sets:
            return
        store.checked_sets = len(sets)
        for one, next_one in itertools.pairwise(sets):
            changed = set(one.voters) ^ set(next_one.voters)
            if one.voters and len(changed) > 1:
                raise AssertionError(f"Several voters changed: {changed}")

    def _tick_duty(self, store: Store) -> None:
        if store.process.is_paused:
            return
        if not store.is_leaving and self.world.now >= store.heartbeat_at:
            store.heartbeat_at = self.world.now + HEARTBEAT_INTERVAL_S
            join = _messages.Join(store.name)
            self.call_leader(store, _messages.JOIN, join)
        if store.process.node.lease_held():
            store.has_duties = True
            store.duty.tick()
            self.world.drain(store.process)
        elif store.has_duties:
            store.has_duties = False
            store.duty.stop()

    def _send_command(self) -> None:
        for name in self.world.lease_holders():
            process = self.world.processes[name]
            if process.is_paused:
                continue
            payload = f"command {next(self._numbers)}".encode()

            def note(outcome: object, payload: bytes = payload) -> None:
                self._oracle.on_reply(payload, outcome)
                if isinstance(outcome, result.Success):
                    self.acknowledged.append(payload)

            process.node.propose(payload).addCallback(note)
            self.world.drain(process)


@attrs.frozen
class _LeavingNode:
    """What a handover needs of its process, on the simulated clock."""

    stores: StoreCluster
    store: Store

    @property
    def clock(self) -> base.Clock:
        return self.store.clock

    @property
    def client(self) -> "_LeavingNode":
        return self

    @property
    def events(self) -> "_LeavingNode":
        return self

    async def call(
        self, method: str, message: object, deadline: float
    ) -> result.Result[object, str]:
        del deadline
        answer = self.stores.call_leader(self.store, method, message)
        if answer is None:
            return result.Failure("no leader")
        return result.Success(answer)

    def sleep(self, seconds: float) -> "defer.Deferred[None]":
        slept: defer.Deferred[None] = defer.Deferred()
        self.stores.call_later(seconds, lambda: slept.callback(None))
        return slept

    def write(self, event: str, outcome: str, took_ms: int) -> None:
        del event, took_ms
        self.stores.handovers.append(outcome)
