"""Measures what one decision of the scheduler costs on a full ledger.

Run: python -m measurements.scheduler
"""

import argparse
import json
import random
import sys
import time

import banyanbank_base as base
import banyanbank_rollout as rollout

from measurements import ledger as full_ledgers
from tests.rollout import cases

ROUNDS = 20


def main() -> None:
    """Prints one JSON object for each number of samples and engines."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    for samples, engines in ((64, 5), (256, 60), (1_024, 600)):
        row = measure(samples, engines)
        sys.stdout.write(json.dumps(row) + "\n")


def measure(samples: int, engines: int) -> dict[str, float]:
    """Returns milliseconds for the first decision and for later ones."""
    ledger = rollout.Ledger()
    names = ("a", "b")
    for trainer in names:
        for group in full_ledgers.groups(trainer, samples):
            ledger, reply = ledger.apply(group)
            assert isinstance(reply, rollout.GroupSubmitted), reply
    views = [
        rollout.EngineView(
            endpoint=base.EndpointId(f"e{number}"),
            models=tuple(base.ModelName(name) for name in names),
            versions=(base.WeightVersion(1),) * len(names),
            slots=-(-2 * samples // engines) + 1,
        )
        for number in range(engines)
    ]
    scheduler = rollout.SampleScheduler(random.Random(1))
    start = time.process_time()
    effects = scheduler.decide(ledger, (), views, 0.0)
    first = time.process_time() - start
    assert len(effects) == 2 * samples
    attempts = [
        rollout.AttemptView(
            slot=effect.slot,
            attempt_id=effect.attempt_id,
            started_at=0.0,
            engine=views[number % engines].endpoint,
            progress=rollout.ResumePoint((cases.stretch(1, number + 1),)),
        )
        for number, effect in enumerate(effects)
    ]
    start = time.process_time()
    for number in range(ROUNDS):
        scheduler.decide(ledger, attempts, views, 1.0 + number)
    later = (time.process_time() - start) / ROUNDS
    return {
        "samples": samples,
        "trainers": len(names),
        "engines": engines,
        "first_ms": round(1e3 * first, 2),
        "later_ms": round(1e3 * later, 2),
    }


if __name__ == "__main__":
    main()
