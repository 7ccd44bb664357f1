"""Measures an entry beside direct calls, and failovers; run by hand.

    uv run python -m measurements.processes --rounds 5 --calls 500

Ratios are within one run: the same stand-in is called directly and through an
instance in turn.
"""

import argparse
import json
import pathlib
import sys
import tempfile
import time
import typing

import banyanbank_fakes as fakes
from twisted.internet import defer

from tests import support
from tests.processes import cluster
from tests.processes import world as worlds

MILLISECONDS = 1_000
WORKERS = 32
OK = 200
SHARES_S = 5.0
"""Time in which shares of the limits before have ended, in seconds."""


def main() -> None:
    """Prints the figures as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--calls", type=int, default=500)
    options = parser.parse_args()
    figures = support.run_async(
        lambda: _measure(options.rounds, options.calls), 600.0
    )
    sys.stdout.write(json.dumps(figures, indent=2) + "\n")


async def _measure(rounds: int, calls: int) -> dict[str, typing.Any]:
    with tempfile.TemporaryDirectory() as folder:
        world = worlds.World(pathlib.Path(folder))
        try:
            await world.start()
            await _raise_limits(world)
            figures = {
                "lookup": await _compare_lookups(world, calls),
                "completion": await _compare_completions(world, calls),
                "lookups_a_second": await _throughput(world, calls * 4),
                "failover_s": await _failovers(world, rounds),
            }
        finally:
            await world.stop()
    return figures


async def _raise_limits(world: worlds.World) -> None:
    """Takes limits out of the way, which an idle machine reaches."""
    sheet = worlds.SHEET.replace(
        b"account,tesfaye,2,2000,", b"account,tesfaye,2,100000,"
    )
    assert sheet != worlds.SHEET
    status = await cluster.read_status(world.cluster.operator("i1"))
    applied = await world.cluster.apply(sheet, status["revision"])
    names = list(world.cluster.processes)
    await world.cluster.until_revision(applied["revision"], *names)
    # Shares that were leased before hold on for a while.
    await support.next_turn(SHARES_S)


async def _compare_lookups(world: worlds.World, calls: int) -> dict[str, float]:
    reactor = world.service.reactor
    direct = fakes.Caller(reactor, world.service.url, "")
    entry = fakes.Caller(
        reactor, world.cluster.url("i5"), world.secrets["tesfaye"]
    )
    return await _compare(direct, entry, "GET", "/lookup/1", None, calls)


async def _compare_completions(
    world: worlds.World, calls: int
) -> dict[str, float]:
    reactor = world.service.reactor
    for engine in world.engines:
        engine.token_s = 0.0
    direct = fakes.Caller(reactor, world.engines[0].url, "")
    entry = fakes.Caller(
        reactor, world.cluster.url("i5"), world.secrets["tesfaye"]
    )
    document = {"model": "coach", "prompt": "fold", "max_tokens": 16}
    return await _compare(
        direct, entry, "POST", "/v1/completions", document, calls
    )


async def _compare(
    direct: fakes.Caller,
    entry: fakes.Caller,
    method: str,
    path: str,
    document: typing.Any,
    calls: int,
) -> dict[str, float]:
    times: dict[str, list[float]] = {"direct": [], "entry": []}
    for _ in range(calls):
        for name, caller in (("direct", direct), ("entry", entry)):
            begun = time.perf_counter()
            answer = await caller.call(method, path, document)
            times[name].append(time.perf_counter() - begun)
            assert answer.status == OK, answer
    await direct.close()
    await entry.close()
    figures = {}
    for quantile in (0.5, 0.99):
        one, other = (
            sorted(times[name])[int(calls * quantile)]
            for name in ("direct", "entry")
        )
        label = f"p{quantile * 100:.0f}"
        figures[f"{label}_direct_ms"] = round(one * MILLISECONDS, 3)
        figures[f"{label}_entry_ms"] = round(other * MILLISECONDS, 3)
        figures[f"{label}_ratio"] = round(other / one, 2)
    return figures


async def _throughput(world: worlds.World, calls: int) -> float:
    callers = [
        fakes.Caller(
            world.service.reactor,
            world.cluster.url("i5"),
            world.secrets["tesfaye"],
        )
        for _ in range(WORKERS)
    ]

    async def work(caller: fakes.Caller) -> None:
        for _ in range(calls // WORKERS):
            await caller.call("GET", "/status/1")

    begun = time.perf_counter()
    for worker in [defer.ensureDeferred(work(caller)) for caller in callers]:
        await worker
    taken = time.perf_counter() - begun
    for caller in callers:
        await caller.close()
    return round(calls / taken, 0)


async def _failovers(world: worlds.World, rounds: int) -> list[float]:
    taken = []
    for _ in range(rounds):
        leader = await world.cluster.leader()
        process = world.cluster.processes[leader]
        process.kill()
        begun = time.perf_counter()
        # Any instance commits a change as soon as somebody leads.
        operator = world.cluster.operator("i5")
        while True:
            try:
                answer = await operator.call(
                    "POST", "/operator/keys", {"account": "tesfaye"}
                )
            except cluster.LOST:
                continue
            if answer.status == OK:
                break
        taken.append(round(time.perf_counter() - begun, 2))
        process.start()
        await world.cluster.until_fresh(leader)
    return taken


if __name__ == "__main__":
    main()
