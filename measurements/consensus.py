"""Figures of the log, by hand: `python -m measurements.consensus FOLDER`.

Three nodes on files, in one process, pass frames to each other directly: the
figures hold the codec, the decisions and the syncs of all three, no network.
"""

import argparse
import collections
from collections.abc import Callable
from collections.abc import Iterator
import pathlib
import random
import sqlite3
import sys
import time

import banyanbank_base as base
import banyanbank_consensus as consensus

from tests.consensus import cluster

NAMES = tuple(base.InstanceId(name) for name in "abc")


class Group:
    """Three nodes that share a process and a queue of calls."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.calls: collections.deque[Callable[[], None]] = collections.deque()
        self.bytes_sent = 0
        self.nodes = {name: self._node(name, folder) for name in NAMES}
        for node, _ in self.nodes.values():
            node.start()

    def _node(
        self, name: base.InstanceId, folder: pathlib.Path
    ) -> tuple[consensus.LogNode, consensus.FileDisk]:
        clock = base.SystemClock()
        disk = consensus.FileDisk(folder / name)
        node = consensus.LogNode(
            consensus.NodeConfig(
                name, NAMES, snapshot_entries=100_000, snapshot_bytes=1 << 30
            ),
            disk,
            cluster.ListMachine(),
            _Wire(self, name),
            clock,
            random.Random(name),
            base.MemoryRecorder(name, clock),
            schedule=self.calls.append,
        )
        return node, disk

    def turn(self) -> None:
        """Runs what was due when the turn began."""
        for _ in range(len(self.calls)):
            self.calls.popleft()()

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Runs turns, and ticks each 20 ms, until a condition holds."""
        tick_at = 0.0
        while not condition():
            if time.monotonic() >= tick_at:
                tick_at = time.monotonic() + cluster.TICK_S
                for node, _ in self.nodes.values():
                    node.tick()
            self.turn()

    def leader(self) -> consensus.LogNode | None:
        for node, _ in self.nodes.values():
            if node.lease_held():
                return node
        return None

    def synced(self) -> tuple[int, int]:
        disks = [disk for _, disk in self.nodes.values()]
        return sum(d.syncs for d in disks), sum(d.bytes_synced for d in disks)

    def stop(self) -> None:
        for node, _ in self.nodes.values():
            node.stop()


class _Wire:
    def __init__(self, group: Group, sender: base.InstanceId) -> None:
        self._group = group
        self._sender = sender

    def send(self, peer: base.InstanceId, data: bytes) -> None:
        self._group.bytes_sent += len(data)
        node, _ = self._group.nodes[peer]
        self._group.calls.append(
            lambda: node.handle_message(self._sender, data)
        )


def measure_commits(
    folder: pathlib.Path, count: int, together: int, size: int
) -> Iterator[str]:
    """Commits commands, so many at a time."""
    group = Group(folder)
    group.run_until(lambda: group.leader() is not None)
    leader = group.leader()
    assert leader is not None
    syncs, synced = group.synced()
    sent = group.bytes_sent
    outcomes: list[object] = []
    begin = time.perf_counter()
    while len(outcomes) < count:
        wanted = len(outcomes) + together
        for _ in range(together):
            leader.propose(bytes(size)).addCallback(outcomes.append)
        group.run_until(lambda n=wanted: len(outcomes) >= n)
    seconds = time.perf_counter() - begin
    syncs = group.synced()[0] - syncs
    synced = group.synced()[1] - synced
    group.stop()
    yield (
        f"{together} at a time, {size} B: {count / seconds:.0f} commits/s, "
        f"{synced / count / 3:.0f} B synced per commit and node, "
        f"{syncs / count / 3:.3f} syncs, "
        f"{(group.bytes_sent - sent) / count / 2:.0f} B sent per follower"
    )


def measure_restart(folder: pathlib.Path, count: int) -> Iterator[str]:
    """Restarts the three nodes over what a run has left."""
    begin = time.perf_counter()
    group = Group(folder)
    opened = time.perf_counter() - begin
    group.run_until(lambda: group.leader() is not None)
    ready = time.perf_counter() - begin
    group.stop()
    yield (
        f"restart over {count} entries: {opened / 3 * 1000:.0f} ms a node to "
        f"start, {ready:.2f} s until a lease is held"
    )


def measure_disks(folder: pathlib.Path, count: int) -> Iterator[str]:
    """Compares an append with a sync in the own file and in SQLite."""
    disk = consensus.FileDisk(folder / "own")
    disk.load("store")
    record = bytes(300)
    begin = time.perf_counter()
    for number in range(count):
        disk.append([_entry(number + 1, record)])
        disk.sync()
    seconds = time.perf_counter() - begin
    disk.close()
    yield f"own file: {count / seconds:.0f} synced appends/s"
    base_ = sqlite3.connect(folder / "sqlite", isolation_level=None)
    for pragma in (
        "locking_mode=EXCLUSIVE",
        "journal_mode=WAL",
        "synchronous=FULL",
    ):
        base_.execute(f"PRAGMA {pragma}")
    base_.execute("CREATE TABLE log (id INTEGER PRIMARY KEY, data BLOB)")
    begin = time.perf_counter()
    for number in range(count):
        base_.execute("INSERT INTO log VALUES (?, ?)", (number, record))
    seconds = time.perf_counter() - begin
    base_.close()
    yield f"SQLite, exclusive WAL, FULL: {count / seconds:.0f} commits/s"


def _entry(index: int, data: bytes) -> object:
    from banyanbank_consensus import _log

    return _log.Entry(index, 1, _log.EntryKind.COMMAND, data)


def main() -> int:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", type=pathlib.Path)
    folder = parser.parse_args().folder
    runs = (
        measure_disks(folder, 5000),
        measure_commits(folder / "one", 2000, 1, 300),
        measure_commits(folder / "many", 5000, 100, 300),
        measure_restart(folder / "many", 5000),
        measure_commits(folder / "long", 64, 4, consensus.MAX_COMMAND_BYTES),
    )
    for lines in runs:
        for line in lines:
            print(line, flush=True)  # noqa: T201
    return 0


if __name__ == "__main__":
    sys.exit(main())
