"""Measures how long new weights take to reach a large fake fleet.

Run: python -m measurements.weights
"""

import argparse
import json
import sys
import time

import banyanbank_rollout as rollout

from tests.rollout import fleet

GB = 1_000_000_000


def measure(
    engines: int, share: float, size_bytes: int, store_gb: float, load_s: float
) -> dict[str, float]:
    """Returns simulated seconds to all engines and real seconds spent."""
    cfg = rollout.WeightCfg(
        store_bytes_per_s=store_gb * GB, min_available_share=share
    )
    case = fleet.Fleet(engines, 6, cfg, load_s=(0.8 * load_s, 1.2 * load_s))
    case.tick()
    case.publish(2, size_bytes)
    start = time.process_time()
    taken = case.run_until_current(600.0)
    spent = time.process_time() - start
    per_domain = {f"d{i}": engines // 6 for i in range(6)}
    estimate = rollout.estimate_rollout_s(cfg, per_domain, size_bytes, load_s)
    return {
        "engines": engines,
        "min_available_share": share,
        "size_gb": size_bytes / GB,
        "store_gb_per_s": store_gb,
        "load_s": load_s,
        "taken_s": round(taken, 2),
        "estimate_s": round(estimate, 2),
        "process_time_s": round(spent, 3),
    }


def measure_settled(engines: int) -> dict[str, float]:
    """Returns the milliseconds of a decision when every engine is current."""
    cfg = rollout.WeightCfg(store_bytes_per_s=GB)
    case = fleet.Fleet(engines, 6, cfg)
    case.tick()
    reports = [
        rollout.EngineWeightReport(
            endpoint=loader.endpoint,
            failure_domain=loader.domain,
            model=model,
            version=version,
        )
        for loader in case.loaders.values()
        for model, version in loader.versions.items()
    ]
    start = time.process_time()
    for _ in range(100):
        case.weight_rollout.decide(case.publications, reports, case.now)
    spent = (time.process_time() - start) / 100
    return {"engines": engines, "settled_ms": round(1e3 * spent, 3)}


def main() -> None:
    """Prints one JSON object for each combination."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    sys.stdout.write(json.dumps(measure_settled(600)) + "\n")
    for share in (0.75, 0.5):
        for size_gb, store_gb in ((0.2, 20.0), (16.0, 800.0), (16.0, 100.0)):
            for load_s in (2.0, 4.0):
                row = measure(600, share, int(size_gb * GB), store_gb, load_s)
                sys.stdout.write(json.dumps(row) + "\n")


if __name__ == "__main__":
    main()
