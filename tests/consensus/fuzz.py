"""Runs random traces: `python -m tests.consensus.fuzz --seed 1 --steps 5000`.

A failing run prints its trace; `--replay FILE` runs a trace again and needs the
same `--seed`.
"""

import argparse
from collections.abc import Iterable
import pathlib
import random
import sys
import time

from tests.consensus import simulation

SETTLE_INTERVAL_STEPS = 120


def draw_trace(seed: int, steps: int) -> list[str]:
    """Returns a random trace, with `settle` at regular intervals."""
    rng = random.Random(seed)
    lines = []
    for step in range(1, steps + 1):
        if step % SETTLE_INTERVAL_STEPS == 0:
            lines.append("settle")
        else:
            lines.append(simulation.draw_line(rng))
    return [*lines, "settle"]


def run_trace(
    seed: int, lines: Iterable[str], initial: str = ""
) -> simulation.Simulation:
    """Runs a trace; an exception carries the executed lines as `trace`."""
    sim = simulation.Simulation(seed, initial)
    try:
        for line in lines:
            sim.perform(line)
    except BaseException as exc:
        exc.add_note(f"seed {seed}, after {len(sim.trace)} lines")
        exc.trace = sim.trace  # type: ignore[attr-defined]
        raise
    return sim


def main() -> int:
    """Runs the command-line interface."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=2000)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--replay", type=pathlib.Path)
    args = parser.parse_args()
    started_at = time.perf_counter()
    total = 0
    for seed in range(args.seed, args.seed + args.seeds):
        if args.replay is not None:
            lines = args.replay.read_text(encoding="utf-8").splitlines()
        else:
            lines = draw_trace(seed, args.steps)
        try:
            sim = run_trace(seed, lines)
        except Exception as exc:
            print("\n".join(getattr(exc, "trace", [])))  # noqa: T201
            raise
        total += len(lines)
        print(  # noqa: T201
            f"seed {seed}: {len(lines)} steps, {sim.oracle.elections} epochs, "
            f"{len(sim.oracle.committed)} commands, "
            f"{sim.oracle.successes} replies, {sim.oracle.installs} restores, "
            f"{sim.blackouts} blackouts, "
            f"{sim.disks_lost_in_blackouts} disks lost in them, "
            f"{dict(sim.oracle.failures)}"
        )
    seconds = time.perf_counter() - started_at
    print(f"{total / seconds:.0f} steps/s")  # noqa: T201
    return 0


if __name__ == "__main__":
    sys.exit(main())
