"""Costs of the replicated log: three voters on files in one process."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import functools
import pathlib
import random
import tempfile
import time

import banyanbank_base as base
import banyanbank_consensus as consensus

from banyanbank_bench.slopes import _control
from banyanbank_bench.slopes import _meter

NAMES = tuple(base.InstanceId(name) for name in "abc")
TICK_S = 0.02
ENTRY = bytes(300)


class _Wire:
    """Hands frames to the other voters and counts their bytes."""

    def __init__(self, group: "_Group", sender: base.InstanceId) -> None:
        self._group = group
        self._sender = sender

    def send(self, peer: base.InstanceId, data: bytes) -> None:
        """Queues a frame for its receiver."""
        self._group.sent += len(data)
        node = self._group.nodes[peer]
        self._group.calls.append(
            lambda: node.handle_message(self._sender, data)
        )


class _Silent:
    """State machine that keeps nothing, so that the log alone is timed."""

    def apply(self, index: int, payload: bytes) -> bytes:
        del index
        return payload[:1]

    def snapshot(self) -> bytes:
        return b""

    def restore(self, data: bytes) -> None:
        del data


class _Group:
    """Three voters and the frames between them."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.calls: collections.deque[Callable[[], None]] = collections.deque()
        self.sent = 0
        self.nodes: dict[base.InstanceId, consensus.LogNode] = {}
        clock = base.SystemClock()
        for name in NAMES:
            self.nodes[name] = consensus.LogNode(
                consensus.NodeConfig(name, NAMES),
                consensus.FileDisk(folder / name),
                _Silent(),
                _Wire(self, name),
                clock,
                random.Random(name),
                base.MemoryRecorder(name, clock),
                schedule=self.calls.append,
            )
        for node in self.nodes.values():
            node.start()

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Runs what is due, with a tick each 20 ms, until it holds."""
        tick_at = 0.0
        while not condition():
            if time.monotonic() >= tick_at:
                tick_at = time.monotonic() + TICK_S
                for node in self.nodes.values():
                    node.tick()
            for _ in range(len(self.calls)):
                self.calls.popleft()()

    def leader(self) -> consensus.LogNode | None:
        """Returns the node that holds the lease."""
        held = [n for n in self.nodes.values() if n.lease_held()]
        return held[0] if held else None


def measure_log() -> Iterator[_meter.Figure]:
    """Yields the costs of commits, one at a time and many together."""
    with tempfile.TemporaryDirectory() as folder:
        group = _Group(pathlib.Path(folder))
        group.run_until(lambda: group.leader() is not None)
        for together, rounds in ((1, 1_000), (50, 40)):
            yield from _measure_commits(group, together, rounds)
        for node in group.nodes.values():
            node.stop()


def _measure_commits(
    group: _Group, together: int, rounds: int
) -> Iterator[_meter.Figure]:
    leader = group.leader()
    assert leader is not None
    ended: list[object] = []
    sent, count = group.sent, together * rounds
    began, cpu = time.perf_counter(), time.process_time()
    for number in range(rounds):
        wanted = (number + 1) * together
        for _ in range(together):
            leader.propose(ENTRY).addCallback(ended.append)
        group.run_until(functools.partial(_has, ended, wanted))
    seconds = time.perf_counter() - began
    us = (time.process_time() - cpu) / count * _meter.US
    name = f"commit, {together} together"
    yield _meter.Figure(f"{name}, rate", count / seconds, "/s")
    yield _meter.Figure(f"{name}, three voters", us, "us")
    size = (group.sent - sent) / count / 2
    yield _meter.Figure(f"{name}, to a follower", size, "B")


def _has(ended: list[object], wanted: int) -> bool:
    return len(ended) >= wanted


def measure_all() -> list[_meter.Figure]:
    """Returns the figures of the log and of commands."""
    return [*measure_log(), *_control.measure_commands()]
