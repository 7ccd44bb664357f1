"""Runs the soak by hand.

python -m tests.soak --seed 7 --runs 50 --seconds 20 --keep FOLDER
"""

import pathlib
import random
import sys
import tempfile

import fire

from tests.soak import disk_loss_faults
from tests.soak import faults
from tests.soak import replacement_faults
from tests.soak import run
from tests.soak import shared_load_faults
from tests.soak import world


def soak(
    seed: int = 0,
    runs: int = 1,
    seconds: float = 20.0,
    keep: str = "",
    blackouts: bool = False,
    shared_load: bool = False,
    replacements: bool = False,
    disk_losses: bool = False,
    entries: int = world.ENTRIES,
) -> None:
    """Plays runs with rising seeds and prints what broke.

    Args:
        seed: First seed; 0 draws one.
        runs: Number of runs.
        seconds: For how long each run injects faults.
        keep: Folder in which the logs of broken runs are kept.
        blackouts: Whether most faults are losses of power at all machines.
        shared_load: Whether failure domains are evacuated and servers return
            cold, beside faults of the processes and their links.
        replacements: Whether stores are replaced as planned, each time with
            the loss of another one's disk right after.
        disk_losses: Whether disks of stores are lost in turn, each as soon as
            it is allowed.
        entries: Number of entries.
    """
    first = seed or random.SystemRandom().randrange(1, 1_000_000)
    failed = 0
    kinds = faults.BLACKOUT_KINDS if blackouts else faults.ALL_KINDS
    if shared_load:
        kinds = shared_load_faults.KINDS
    if replacements:
        kinds = replacement_faults.KINDS
    if disk_losses:
        kinds = disk_loss_faults.KINDS
    for number in range(first, first + runs):
        folder = pathlib.Path(
            tempfile.mkdtemp(prefix=f"soak-{number}-", dir=keep or None)
        )
        outcome = run.play(number, seconds, folder, kinds, entries)
        verdict = "BROKEN" if outcome.broken else "holds"
        sys.stdout.write(f"seed {number}: {verdict} {outcome.counts}\n")
        for line in outcome.broken:
            sys.stdout.write(f"  {line}\n")
        if outcome.broken:
            failed += 1
            sys.stdout.write(f"  faults: {outcome.faults}\n  logs: {folder}\n")
        sys.stdout.flush()
    sys.stdout.write(f"{failed} of {runs} runs broke a promise\n")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
