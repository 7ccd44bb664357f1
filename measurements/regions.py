"""Measures five voters in two regions, 30 ms apart one way; run by hand.

    uv run python -m measurements.regions --rounds 5

Links between the regions go through relays that delay, and then cut.
"""

import argparse
import json
import pathlib
import sys
import tempfile
import time
import typing

from tests import support
from tests.processes import cluster

NEAR = ["i1", "i2", "i3", "i6", "i7"]
"""The region with three voters."""
FAR = ["i4", "i5", "i8"]
"""The region with two voters."""
ONE_WAY_S = 0.03
QUIET_S = 30.0
"""Time over which elections without a cause are counted."""
SIZE = 8
VOTERS = 5
MILLISECONDS = 1_000
OK = 200
LIMIT_S = 300.0


def main() -> None:
    """Prints the figures as JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument(
        "--far", action="store_true", help="the region of two voters leads"
    )
    options = parser.parse_args()
    figures = support.run_async(
        lambda: _measure(options.rounds, options.far), LIMIT_S
    )
    sys.stdout.write(json.dumps(figures, indent=2) + "\n")


async def _measure(rounds: int, is_far: bool) -> dict[str, typing.Any]:
    with tempfile.TemporaryDirectory() as folder:
        one = cluster.Cluster(pathlib.Path(folder), SIZE, voters=VOTERS)
        one.links.delay(NEAR, FAR, ONE_WAY_S)
        try:
            await one.start()
            if is_far:
                await _lead_from_far(one)
            return await _play(one, rounds)
        finally:
            await one.stop()


async def _play(one: cluster.Cluster, rounds: int) -> dict[str, typing.Any]:
    from banyanbank_cli import _demo_world

    await one.apply(_demo_world.sheet(), 0)
    before = await _epoch(one, await one.leader())
    await support.next_turn(QUIET_S)
    leader = await one.leader()
    figures: dict[str, typing.Any] = {
        "leader": leader,
        "elections_in_quiet": await _epoch(one, leader) - before,
        "quiet_s": QUIET_S,
        "changes": [await _change(one, leader) for _ in range(rounds)],
    }
    one.links.part(NEAR, FAR)
    begun = time.perf_counter()
    if leader in FAR:
        await one.leader(besides=leader)
    figures["lead_after_cut_s"] = round(time.perf_counter() - begun, 2)
    leader = await one.leader()
    await one.until_fresh(*NEAR)
    figures["fresh_after_cut_s"] = round(time.perf_counter() - begun, 2)
    changed = await _create(one, leader)
    epoch = await _epoch(one, leader)
    await support.next_turn(QUIET_S / 2)
    one.links.heal()
    begun = time.perf_counter()
    await one.until_revision(changed, *one.processes)
    figures["in_force_after_heal_s"] = round(time.perf_counter() - begun, 2)
    await one.until_fresh(*one.processes)
    figures["fresh_after_heal_s"] = round(time.perf_counter() - begun, 2)
    leader = await one.leader()
    figures["elections_by_heal"] = await _epoch(one, leader) - epoch
    return figures


async def _lead_from_far(one: cluster.Cluster) -> None:
    """Ends leaders until one of the region with two voters leads."""
    while (leader := await one.leader()) not in FAR:
        one.processes[leader].kill()
        await one.leader(besides=leader)
        one.processes[leader].start()
        await one.until_fresh(*one.processes)


async def _epoch(one: cluster.Cluster, name: str) -> int:
    status = await cluster.read_status(one.operator(name))
    return int(status["control"]["epoch"])


async def _create(one: cluster.Cluster, leader: str) -> int:
    made = await one.operator(leader).call(
        "POST", "/operator/keys", {"account": "tesfaye"}
    )
    assert made.status == OK, made
    return int(made.document["revision"])


async def _change(one: cluster.Cluster, leader: str) -> dict[str, float]:
    begun = time.perf_counter()
    revision = await _create(one, leader)
    committed = time.perf_counter()
    await one.until_revision(revision, *one.processes)
    in_force = time.perf_counter()
    return {
        "commit_ms": round((committed - begun) * MILLISECONDS, 1),
        "in_force_ms": round((in_force - begun) * MILLISECONDS, 1),
    }


if __name__ == "__main__":
    main()
