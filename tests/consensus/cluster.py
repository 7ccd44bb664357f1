"""Simulated cluster of log nodes with virtual time, disks and network."""

from collections.abc import Callable
from collections.abc import Iterator
import functools
import heapq
import random

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus

TICK_S = 0.02
LINK_DELAY_S = 0.001
PART_BYTES = 50
"""Size of the parts in which a `ListMachine` is encoded and restored."""


class DriftingClock:
    """Clock of a process, with its own rate and offset to the global time."""

    def __init__(self, world: "World", rate: float, offset: float) -> None:
        self._world = world
        self._rate = rate
        self._offset = offset

    def now(self) -> float:
        return self._world.now * self._rate + self._offset

    def wall(self) -> float:
        return self._world.now


class PowerCutError(BaseException):
    """Power was lost just before an operation on a disk."""


class PoweredFiles(consensus.MemoryFiles):
    """Files whose power can be cut between two of their operations."""

    def __init__(self) -> None:
        super().__init__()
        self.operations_left: int | None = None
        """Operations until the power is cut; None for no cut."""

    def append(self, name: str, data: bytes) -> None:
        self._consume_operation()
        super().append(name, data)

    def sync(self, name: str) -> None:
        self._consume_operation()
        super().sync(name)

    def truncate(self, name: str, size: int) -> None:
        self._consume_operation()
        super().truncate(name, size)

    def replace(self, source: str, target: str) -> None:
        self._consume_operation()
        super().replace(source, target)

    def remove(self, name: str) -> None:
        self._consume_operation()
        super().remove(name)

    def sync_folder(self) -> None:
        self._consume_operation()
        super().sync_folder()

    def _consume_operation(self) -> None:
        if self.operations_left is None:
            return
        if self.operations_left == 0:
            self.operations_left = None
            raise PowerCutError
        self.operations_left -= 1


class ListMachine:
    """Records all commands; a reply holds the index and the command count."""

    def __init__(self) -> None:
        self.commands: list[tuple[int, bytes]] = []
        self.restores = 0

    def apply(self, index: int, payload: bytes) -> bytes:
        self.commands.append((index, payload))
        return f"{index}:{len(self.commands)}".encode()

    def snapshot(self) -> bytes:
        return STATE_CODEC.encode(MachineState(tuple(self.commands)))

    def restore(self, data: bytes) -> None:
        for _ in self.restore_slices(data):
            pass

    def capture(self) -> Iterator[bytes]:
        data = self.snapshot()
        return (
            data[n : n + PART_BYTES] for n in range(0, len(data), PART_BYTES)
        )

    def restore_slices(self, data: bytes) -> Iterator[int]:
        commands = list(STATE_CODEC.decode(data).commands)
        yield from (PART_BYTES for _ in range(0, len(data), PART_BYTES))
        self.commands = commands
        self.restores += 1


@attrs.frozen
class MachineState:
    """Snapshot of a `ListMachine`."""

    commands: tuple[tuple[int, bytes], ...]


STATE_CODEC: base.Codec[MachineState] = base.Codec(MachineState)


@attrs.define(eq=False)
class Process:
    """One incarnation of a node."""

    node: consensus.LogNode
    machine: ListMachine
    disk: consensus.MemoryDisk
    is_paused: bool = False
    backlog: list[tuple[base.InstanceId, bytes]] = attrs.field(factory=list)
    scheduled_calls: list[Callable[[], None]] = attrs.field(factory=list)


@attrs.define
class Link:
    """Conditions of the network link from one instance to another."""

    cut: bool = False
    drop_rate: float = 0.0
    duplicate_rate: float = 0.0
    delay_s: float = LINK_DELAY_S
    jitter_s: float = 0.0


class World:
    """Simulated instances with their disks, network links and global time."""

    def __init__(
        self,
        names: str = "abc",
        seed: int = 0,
        initial: str | None = None,
        drift: float = 0.0,
        **settings: float,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.deferred_flush_probability = 0.0
        """Probability that a node receives more frames before it flushes."""
        self.names = [base.InstanceId(name) for name in names]
        voters = initial if initial is not None else names
        self.initial = tuple(base.InstanceId(name) for name in voters)
        self.settings = settings
        self.drift = drift
        self.files = {name: PoweredFiles() for name in self.names}
        self.processes: dict[base.InstanceId, Process] = {}
        self.stores: dict[base.InstanceId, str] = {}
        """Identity of the store of each instance at its latest start."""
        self.later_starts: set[base.InstanceId] = set()
        """Instances that form no log, as after the first start."""
        self.links = {
            (a, b): Link() for a in self.names for b in self.names if a != b
        }
        self.sent = 0
        self.on_step: Callable[[], None] = lambda: None
        self._frames_in_flight: list[tuple[float, int, str, str, bytes]] = []
        self._sequence = 0

    def config(self, name: base.InstanceId) -> consensus.NodeConfig:
        return consensus.NodeConfig(
            instance=name,
            initial_voters=self.initial,
            may_form=name not in self.later_starts,
            **self.settings,
        )

    def start(self, *names: str) -> None:
        for name in map(base.InstanceId, names or self.names):
            rate = 1 + self.rng.uniform(-self.drift, self.drift)
            clock = DriftingClock(self, rate, self.rng.uniform(0, 1000))
            machine = ListMachine()
            disk = consensus.MemoryDisk(self.files[name])
            process = Process(None, machine, disk)  # type: ignore[arg-type]
            process.node = consensus.LogNode(
                self.config(name),
                disk,
                machine,
                LinkTransport(self, name),
                clock,
                random.Random(self.rng.getrandbits(64)),
                base.MemoryRecorder(name, clock, capacity=200),
                schedule=process.scheduled_calls.append,
            )
            self.processes[name] = process
            process.node.start()
            self.stores[name] = process.node.status().store
            self.drain(process)

    def crash(self, name: str, wipe: bool = False) -> None:
        """Crashes a process; with `wipe`, its disk is lost too."""
        name = base.InstanceId(name)
        self.processes.pop(name, None)
        if wipe:
            self.files[name] = PoweredFiles()
        else:
            self.files[name].crash(self.rng)

    def black_out(self, *wiped: str) -> None:
        """Cuts the power of all instances at once; some lose their disks."""
        for name in self.names:
            self.files[name].operations_left = None
            self.crash(name, wipe=name in wiped)
        self.later_starts.update(map(base.InstanceId, wiped))

    def pause(self, name: str) -> None:
        self.processes[base.InstanceId(name)].is_paused = True

    def resume(self, name: str) -> None:
        process = self.processes[base.InstanceId(name)]
        process.is_paused = False
        backlog, process.backlog = process.backlog, []
        for sender, data in backlog:
            process.node.handle_message(sender, data)
            self.drain(process)
            self.on_step()

    def cut(self, *pairs: str, cut: bool = True) -> None:
        """Cuts or restores links, each given as sender and receiver."""
        for source, target in pairs:
            link = self.links[base.InstanceId(source), base.InstanceId(target)]
            link.cut = cut

    def isolate(self, name: str, cut: bool = True) -> None:
        for (source, target), link in self.links.items():
            if name in (source, target):
                link.cut = cut

    def node(self, name: str) -> consensus.LogNode:
        return self.processes[base.InstanceId(name)].node

    def machine(self, name: str) -> ListMachine:
        return self.processes[base.InstanceId(name)].machine

    def leaders(self) -> list[base.InstanceId]:
        return [n for n, p in self.processes.items() if p.node.is_leader]

    def lease_holders(self) -> list[base.InstanceId]:
        return [n for n, p in self.processes.items() if p.node.lease_held()]

    def send(self, source: str, target: str, data: bytes) -> None:
        self.sent += 1
        link = self.links.get((source, target))  # type: ignore[call-overload]
        if link is None or link.cut or self.rng.random() < link.drop_rate:
            return
        copies = 2 if self.rng.random() < link.duplicate_rate else 1
        for _ in range(copies):
            delay = link.delay_s + self.rng.random() * link.jitter_s
            self._sequence += 1
            item = (self.now + delay, self._sequence, source, target, data)
            heapq.heappush(self._frames_in_flight, item)

    def run(self, seconds: float, tick_s: float = TICK_S) -> None:
        """Advances the time in ticks."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.step(min(tick_s, end - self.now))

    def run_until(
        self, condition: Callable[[], bool], seconds: float = 10.0
    ) -> float:
        """Advances the time until a condition holds; returns the seconds."""
        started_at = self.now
        while not condition():
            if self.now - started_at > seconds:
                raise AssertionError(
                    f"Condition not met within {seconds} s: "
                    + "; ".join(
                        str(p.node.status()) for p in self.running_processes()
                    )
                )
            self.step(TICK_S)
        return self.now - started_at

    def step(self, seconds: float) -> None:
        """Delivers the frames due within a tick, then ticks all nodes."""
        end = self.now + seconds
        while self._frames_in_flight and self._frames_in_flight[0][0] <= end:
            at, _, source, target, data = heapq.heappop(self._frames_in_flight)
            self.now = max(self.now, at)
            self._deliver(source, target, data)
            self.on_step()
        # Work of a process may have taken longer.
        self.now = max(self.now, end)
        for process in self.running_processes():
            if not process.is_paused:
                process.node.tick()
                self.drain(process)
        self.on_step()

    def drop_frames_in_flight(self, name: str = "") -> None:
        """Drops frames from and to an instance; all when none is named."""
        self._frames_in_flight = [
            frame
            for frame in self._frames_in_flight
            if name and name not in frame[2:4]
        ]
        heapq.heapify(self._frames_in_flight)

    def running_processes(self) -> list[Process]:
        return list(self.processes.values())

    def drain(self, process: Process) -> None:
        # What a turn schedules runs in the next one.
        for _ in range(len(process.scheduled_calls)):
            process.scheduled_calls.pop(0)()

    def propose(self, name: str, payload: bytes) -> list[object]:
        """Proposes a command; the outcome is added to the returned list."""
        outcomes: list[object] = []
        process = self.processes[base.InstanceId(name)]
        process.node.propose(payload).addCallback(outcomes.append)
        self.drain(process)
        return outcomes

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        process = self.processes.get(base.InstanceId(target))
        if process is None:
            return
        sender = base.InstanceId(source)
        if process.is_paused:
            process.backlog.append((sender, data))
            return
        process.node.handle_message(sender, data)
        if self.rng.random() >= self.deferred_flush_probability:
            self.drain(process)


class LinkTransport:
    """Transport of one instance."""

    def __init__(self, world: World, name: base.InstanceId) -> None:
        self._send = functools.partial(world.send, name)

    def send(self, peer: base.InstanceId, data: bytes) -> None:
        self._send(peer, data)
