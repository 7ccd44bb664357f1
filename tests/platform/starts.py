"""Measures starts of processes, and losses of power of all processes.

    bash deploy/build.sh
    uv run --no-sync python -m tests.platform.starts --runs 10

The processes run from the deployed tree, `target/deps`, and endpoints are
stand-ins. Processor time is that of the whole process, from its start to the
first whole answer of an endpoint, for which a caller asks all the time, or to
the log line with which a store takes part. `--python` names an interpreter
without further packages, since the libraries import some that they find. Other
work on the machine changes all figures, so the load is printed, and another
checkout that is built can be measured in turn with this one:

    uv run --no-sync python -m tests.platform.starts --compare ../other
"""

import argparse
import asyncio
import collections.abc
import json
import os
import pathlib
import statistics
import sys
import tempfile
import time
import typing

from twisted.internet import defer

from tests import support
from tests.platform import deployment
from tests.platform import fakes
from tests.platform import members
from tests.platform import phases

ROOT = pathlib.Path(__file__).parents[2]
STORES = 3
SERVERS = 10
HEARTBEAT_S = 1.2
"""Interval between the announcements of an endpoint."""
CALLER_PAUSE_S = 0.005
"""Pause of a caller after a refused connection or a refusal."""
LOG_PAUSE_S = 0.002
"""Pause between two looks at the log of a store that starts."""
CALL_LIMIT_S = 2.0
SETTLE_S = 3.5
"""Time after which a new leader knows all endpoints."""
OFF_S = 0.5
"""Time between a loss of power and its return."""
MS = 1000.0
REQUEST = (
    b"GET /plain/1 HTTP/1.1\r\nHost: host.example\r\n"
    b"Authorization: Token key-1\r\nConnection: close\r\n\r\n"
)


def main() -> None:
    """Prints the figures as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--runs", type=int, default=10)
    parser.add_argument("--losses", type=int, default=10)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--python", default=sys.executable)
    parser.add_argument("--compare", type=pathlib.Path, default=None)
    options = parser.parse_args()
    figures = support.run_async(lambda: _measure(options), 600.0)
    sys.stdout.write(json.dumps(figures, indent=2) + "\n")


async def _measure(options: argparse.Namespace) -> dict[str, typing.Any]:
    load_before = os.getloadavg()[0]
    trees = {"this": ROOT}
    if options.compare is not None:
        trees["other"] = options.compare.resolve()
    starts: dict[str, list[dict[str, float]]] = {name: [] for name in trees}
    stores: dict[str, list[dict[str, float]]] = {name: [] for name in trees}
    returns: dict[str, list[dict[str, float]]] = {name: [] for name in trees}
    with tempfile.TemporaryDirectory() as folder:
        world = _World(pathlib.Path(folder), options.python, options.entries)
        try:
            await world.start()
            for taken, measure, runs in (
                (starts, _start_once, options.runs),
                (stores, _start_store_once, options.runs),
                (returns, _black_out, options.losses),
            ):
                for _ in range(runs):
                    for name, tree in trees.items():
                        world.use(tree)
                        taken[name].append(await measure(world))
        finally:
            await world.stop()
    return {
        "load_average": [round(load_before, 1), round(os.getloadavg()[0], 1)],
        "start": {name: _summarize(runs) for name, runs in starts.items()},
        "store": {name: _summarize(runs) for name, runs in stores.items()},
        "power": {name: _summarize(runs) for name, runs in returns.items()},
    }


def _summarize(
    runs: list[dict[str, float]],
) -> dict[str, dict[str, float]]:
    """Returns the median, the least and the worst of each figure."""
    return {
        name: {
            "median": round(statistics.median(values), 1),
            "least": round(min(values), 1),
            "worst": round(max(values), 1),
        }
        for name in dict.fromkeys(name for run in runs for name in run)
        for values in [[run[name] for run in runs if name in run]]
    }


class _World:
    """Stores and entries as processes, and endpoints that announce themselves.

    Args:
        folder: For settings, data and logs.
        python: Interpreter of the processes.
        entries: Number of entries.
    """

    def __init__(self, folder: pathlib.Path, python: str, entries: int) -> None:
        from twisted.internet import reactor

        self.reactor: typing.Any = reactor
        self._folder = folder
        self._python = python
        # The metrics port is fixed, so each run has addresses of its own.
        self._net = f"127.{128 + os.getpid() % 64}.{os.getpid() // 64 % 256}"
        ports = support.free_ports(4 + SERVERS)
        self._mesh_port, self._control_port, self.front_port = ports[:3]
        self._ready_port = ports[3]
        self._servers = [
            fakes.PlainServer(self.reactor, "127.0.0.1", port)
            for port in ports[4:]
        ]
        self.stores = [self._make("store", n + 1) for n in range(STORES)]
        self.entries = [self._make("entry", n + 1) for n in range(entries)]
        self._announcing: list[defer.Deferred[None]] = []

    @property
    def all_members(self) -> list[members.Member]:
        return [*self.stores, *self.entries]

    def _host(self, role: str, number: int) -> str:
        return f"{self._net}.{number + (10 if role == 'entry' else 0)}"

    def _make(self, role: str, number: int) -> members.Member:
        folder = self._folder / f"{role}-{number}"
        folder.mkdir()
        host = self._host(role, number)
        settings = {
            "node": f"{role}-{number}",
            "zone": f"zone-{number}",
            "ip": host,
            "listen": {
                "control": f"{host}:{self._control_port}",
                "front": f"{host}:{self.front_port}",
                "ready": f"{host}:{self._ready_port}",
            },
            "internal-ports": [self._mesh_port, self._mesh_port],
            "seeds": [
                f"{self._host('store', n + 1)}:{self._control_port}"
                for n in range(STORES)
            ],
            "bootstrap": True,
            "data-dir": str(folder / "data"),
            "bounds": {"grace-s": 8, "window-s": 5},
            "cloud": {"address": "127.0.0.1:9", "duties": []},
        }
        return members.Member(role, settings, folder, self._python, ROOT)

    def use(self, tree: pathlib.Path) -> None:
        """Runs later starts from a checkout."""
        for member in self.all_members:
            member.tree = tree

    async def start(self) -> None:
        """Starts all processes and serves a document."""
        for member in self.all_members:
            member.start()
        while await self._control("PUT", "/-/config", deployment.DOCUMENT) != (
            200
        ):
            await support.next_turn(0.1)
        for number, one in enumerate(self._servers):
            self._announcing.append(
                deployment.run_until_cancelled(self._announce(number, one))
            )
        await support.next_turn(SETTLE_S)
        for entry in self.entries:
            await first_answer(self.front(entry))

    async def stop(self) -> None:
        """Ends everything that was started."""
        for announcing in self._announcing:
            announcing.cancel()
        for member in self.all_members:
            member.kill()
        for one in self._servers:
            await one.stop()

    def front(self, entry: members.Member) -> tuple[str, int]:
        """Returns the address of an entry for callers."""
        return str(entry.settings["ip"]), self.front_port

    async def _announce(self, number: int, one: fakes.PlainServer) -> None:
        """Sends the announcements of an endpoint, evenly spread."""
        await support.next_turn(HEARTBEAT_S * number / SERVERS)
        sequence = 0
        while True:
            sequence += 1
            announcement = {
                "service": "plain",
                "address": one.address,
                "zone": "zone-1",
                "slots": 6,
                "state": "ready",
                "sequence": sequence,
                "born": 1_000,
                "models": [],
            }
            sent_at = self.reactor.seconds()
            await self._control(
                "PUT", f"/-/instances/server-{number}", announcement
            )
            took_s = self.reactor.seconds() - sent_at
            await support.next_turn(max(0.0, HEARTBEAT_S - took_s))

    async def _control(
        self, method: str, path: str, document: typing.Any
    ) -> int:
        """Calls the stores in turn; returns the last status, 0 for none."""
        status = 0
        for store in self.stores:
            url = f"http://{store.settings['listen']['control']}{path}"
            body = json.dumps(document).encode()
            calling = defer.ensureDeferred(
                deployment.call(self.reactor, method, url, body)
            )
            calling.addTimeout(1.0, self.reactor)
            try:
                status = (await calling).status
            except defer.CancelledError:
                raise
            except Exception:
                continue
            if status == 200:
                break
        return status


async def _start_once(world: _World) -> dict[str, float]:
    """Starts one entry beside running stores."""
    entry = world.entries[0]
    entry.kill()
    began = time.monotonic()
    entry.start()
    refused = await first_answer(world.front(entry))
    taken = entry.processor_s()
    return {
        "processor_ms": MS * taken,
        "answer_ms": MS * (time.monotonic() - began),
        "refused": refused,
    }


async def _start_store_once(world: _World) -> dict[str, float]:
    """Starts one store beside the others."""
    store = world.stores[0]
    store.kill()
    began = time.monotonic()
    store.start()
    while "process.started" not in store.read_log().first_times:
        await support.next_turn(LOG_PAUSE_S)
    taken = store.processor_s()
    return {
        "processor_ms": MS * taken,
        "started_ms": MS * (time.monotonic() - began),
    }


async def _black_out(world: _World) -> dict[str, float]:
    """Ends all processes at once and starts them together."""
    for member in world.all_members:
        assert member.running is not None
        member.running.kill()
    for member in world.all_members:
        member.kill()
    await support.next_turn(OFF_S)
    began, began_wall = time.monotonic(), time.time()
    for member in world.all_members:
        member.start()
    taken: list[float] = []
    refused: list[int] = []

    async def ask(entry: members.Member) -> None:
        refused.append(await first_answer(world.front(entry)))
        taken.append(MS * (time.monotonic() - began))

    asking = [defer.ensureDeferred(ask(entry)) for entry in world.entries]
    for one in asking:
        await one
    await support.next_turn(SETTLE_S)
    figures = {
        "first_answer_ms": min(taken),
        "last_answer_ms": max(taken),
        "refused": float(sum(refused)),
    }
    logs = [member.read_log() for member in world.all_members]
    figures.update(phases.split(logs, began_wall))
    return figures


async def first_answer(address: tuple[str, int]) -> int:
    """Calls an entry until an endpoint answers; returns the refusals.

    Args:
        address: Address of the entry for callers.
    """
    refused = 0
    while True:
        status = await _from_asyncio(_call(address))
        if status == 200:
            return refused
        refused += status != 0
        await support.next_turn(CALLER_PAUSE_S)


async def _call(address: tuple[str, int]) -> int:
    """Sends one request; returns the status, 0 without an answer."""
    try:
        async with asyncio.timeout(CALL_LIMIT_S):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(REQUEST)
                received = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0
    parts = received.split(b" ", 2)
    return int(parts[1]) if len(parts) == 3 else 0


T = typing.TypeVar("T")


async def _from_asyncio(
    work: collections.abc.Coroutine[typing.Any, typing.Any, T],
) -> T:
    return await defer.Deferred.fromFuture(asyncio.ensure_future(work))


if __name__ == "__main__":
    main()
