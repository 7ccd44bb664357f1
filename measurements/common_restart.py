"""Time until a log has a leader again after all stores lost power.

    uv run --no-sync python -m measurements.common_restart

The stores of the model start within a given spread, in any order. Figures are
in ms of model time, from the start of the store that completes a quorum, so
that what the stores spend on imports is not in them.
"""

import random
import statistics
import sys

from tests.consensus import cluster

TICK_S = 0.05
"""Interval at which a store ticks its log."""
SPREADS_S = (0.0, 0.1, 0.3, 1.0, 3.0)
RUNS = 200
MS = 1000.0


def measure(names: str, spread_s: float, seed: int) -> float:
    """Returns the time from a quorum of started stores to a leader.

    Args:
        names: Names of the stores.
        spread_s: Time within which all stores start.
        seed: Seed of the model.
    """
    rng = random.Random(seed)
    world = cluster.World(names, seed=seed)
    world.start()
    world.run_until(lambda: bool(world.lease_holders()))
    world.black_out()
    began = world.now
    due = sorted((began + rng.uniform(0.0, spread_s), name) for name in names)
    quorum_at = due[len(names) // 2][0]
    elected: list[float] = []

    def note() -> None:
        if not elected and world.leaders():
            elected.append(world.now)

    world.on_step = note
    next_tick = began + TICK_S
    while not elected:
        if due and due[0][0] <= next_tick:
            at, name = due.pop(0)
            if at > world.now:
                # Ticks of the other stores do not matter to this model.
                world.step(at - world.now)
            world.start(name)
            continue
        world.step(next_tick - world.now)
        next_tick += TICK_S
    return MS * (elected[0] - quorum_at)


def main() -> None:
    """Prints the figures as a table."""
    sys.stdout.write("stores  spread s  median  90%  worst\n")
    for names in ("abc", "abcde"):
        for spread_s in SPREADS_S:
            taken = sorted(
                measure(names, spread_s, seed) for seed in range(RUNS)
            )
            sys.stdout.write(
                f"{len(names):6}  {spread_s:8}  "
                f"{statistics.median(taken):6.0f}  "
                f"{taken[RUNS * 9 // 10]:3.0f}  {taken[-1]:5.0f}\n"
            )


if __name__ == "__main__":
    main()
