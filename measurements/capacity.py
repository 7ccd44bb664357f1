"""Measures cost, shortage and changes of the capacity planner.

Twelve hours of uneven load on the fake platform, with a failure domain of
reclaimables taken back now and then.

Run: python -m measurements.capacity [--seeds N]
"""

import argparse
import json
import math
import random
import statistics
import sys

import banyanbank_rollout as rollout

from tests.rollout import platform

HOURS = 12
TICKS = int(HOURS * 3600 / platform.TICK_S)


def run(
    seed: int, cfg: rollout.CapacityCfg, protected: float
) -> dict[str, float]:
    """Returns the figures of one run."""
    rng = random.Random(seed)
    case = platform.Platform(cfg, seed)
    for number in range(TICKS):
        wave = 6_000.0 * (1.2 + math.sin(number / 230))
        tokens = wave * rng.uniform(0.9, 1.1)
        if rng.random() < 0.002:
            case.reclaim(rng.choice(platform.DOMAINS))
        case.tick(tokens, protected * tokens)
    return {
        "cost_per_h": case.cost / HOURS,
        "short_share": case.short_s / (TICKS * platform.TICK_S),
        "changes_per_h": (case.ordered + case.changed) / HOURS,
    }


def main() -> None:
    """Prints one JSON object for each variant."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    args = parser.parse_args()
    usual = rollout.CapacityCfg()
    at_once = rollout.CapacityCfg(scale_down_after_s=0.0)
    one_domain = rollout.CapacityCfg(max_domain_share=1.0)
    for name, cfg, protected in (
        ("planner", usual, 0.3),
        ("drained at once", at_once, 0.3),
        ("no bound by domain", one_domain, 0.3),
        ("safe only", usual, 1.0),
    ):
        runs = [run(seed, cfg, protected) for seed in range(args.seeds)]
        row: dict[str, object] = {"variant": name}
        for key in runs[0]:
            row[key] = round(statistics.mean(r[key] for r in runs), 4)
        sys.stdout.write(json.dumps(row) + "\n")


if __name__ == "__main__":
    main()
