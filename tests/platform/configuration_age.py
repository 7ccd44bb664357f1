"""Measures the age of the configuration that entries act on under faults.

python -m tests.platform.configuration_age --seed 7 --seconds 60
python -m tests.platform.configuration_age --case "path to the leader silent"
"""

import math
import pathlib
import random
import sys
import tempfile

from tests import support
from tests.platform import configuration_faults
from tests.platform import configuration_observer
from tests.soak import world

ENTRIES = 3
START_LIMIT_S = 40.0


def play_case(
    name: str, folder: pathlib.Path, pause_s: float = 0.6, settle_s: float = 5.0
) -> configuration_observer.Report:
    """Makes changes while one fault is in force, and after it.

    Args:
        name: One of `configuration_faults.CASES`.
        folder: For settings, data and logs.
        pause_s: Mean time between two changes.
        settle_s: Time for which the observation goes on after the fault.
    """

    async def play() -> configuration_observer.Report:
        there = world.World(folder, ENTRIES)
        observer = configuration_observer.Observer(there, random.Random(name))
        try:
            await observer.begin()
            await support.next_turn(1.0)
            leader = observer.leader()
            zone = there.members[leader].settings["zone"]
            observer.start(observer.change_until(float("inf"), pause_s))
            await support.next_turn(1.0)
            observer.fault_began_at = there.reactor.seconds()
            [entry, *_] = [
                e for e in there.entries if e.settings["zone"] != zone
            ]
            await observer.inject(
                name,
                [entry.name],
                configuration_faults.CASES[name](observer, entry.name, leader),
            )
            observer.fault_ended_at = there.reactor.seconds()
            await support.next_turn(settle_s)
            return observer.report()
        finally:
            await observer.end()

    return support.run_async(play, START_LIMIT_S + 60.0)


def play_series(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    draws: str = "all",
    entries: int = 2 * ENTRIES,
    pause_s: float = 1.5,
) -> tuple[configuration_observer.Report, list[configuration_observer.Fault]]:
    """Makes changes while faults come in series and overlap.

    Args:
        seed: Draws all that is drawn.
        seconds: For how long faults are injected.
        folder: For settings, data and logs.
        draws: One of `configuration_faults.DRAWS`.
        entries: Number of entries.
        pause_s: Mean time between two faults.
    """

    async def play() -> tuple[
        configuration_observer.Report, list[configuration_observer.Fault]
    ]:
        there = world.World(folder, entries)
        observer = configuration_observer.Observer(there, random.Random(seed))
        try:
            await observer.begin()
            await support.next_turn(1.0)
            observer.start(observer.change_until(math.inf, 0.7))
            observer.fault_began_at = there.reactor.seconds()
            while there.reactor.seconds() < observer.fault_began_at + seconds:
                what, harmed, fault = observer.rng.choice(
                    configuration_faults.DRAWS[draws]
                )(observer)
                observer.start(observer.inject(what, harmed, fault))
                await support.next_turn(
                    pause_s * observer.rng.choice((0.2, 0.6, 1.0, 4.0))
                )
            await support.until(
                lambda: all(f.ended_at < math.inf for f in observer.faults)
            )
            observer.fault_ended_at = there.reactor.seconds()
            await support.next_turn(8.0)
            return observer.report(), observer.faults
        finally:
            await observer.end()

    return support.run_async(play, 2 * START_LIMIT_S + 2 * seconds)


def main(
    case: str = "",
    keep: str = "",
    seed: int = 0,
    runs: int = 1,
    seconds: float = 60.0,
    draws: str = "all",
    entries: int = 2 * ENTRIES,
    pause_s: float = 1.5,
) -> None:
    """Plays cases or series and prints what entries did.

    The exit code is 1 if a request was late at an entry in contact.

    Args:
        case: Part of the names of the cases to play; all if empty.
        keep: Folder for the logs.
        seed: Seed of the first series; 0 for cases.
        runs: Number of series.
        seconds: For how long a series injects faults.
        draws: Kinds of faults of a series, one of `configuration_faults.DRAWS`.
        entries: Number of entries of a series.
        pause_s: Mean time between two faults of a series.
    """
    broken = 0
    for number in range(seed, seed + runs) if seed else ():
        folder = pathlib.Path(tempfile.mkdtemp(prefix="age-", dir=keep or None))
        report, faults = play_series(
            number, seconds, folder, draws, entries, pause_s
        )
        sys.stdout.write(
            f"== seed {number}: {format_report(report)}  logs {folder}\n"
        )
        calm = find_in_contact(report)
        broken += bool(calm)
        sys.stdout.write(f"  {len(calm)} breaches in contact\n")
        for breach in calm[:20]:
            sys.stdout.write(f"  in contact: {breach}\n")
        if report.breaches:
            sys.stdout.writelines(f"  {fault}\n" for fault in faults)
        sys.stdout.flush()
    for name in configuration_faults.CASES:
        if seed or case not in name:
            continue
        folder = pathlib.Path(tempfile.mkdtemp(prefix="age-", dir=keep or None))
        report = play_case(name, folder)
        broken += bool(find_in_contact(report))
        sys.stdout.write(f"== {name}: {format_report(report)}  logs {folder}\n")
        sys.stdout.flush()
    if broken:
        sys.exit(1)


def find_in_contact(
    report: configuration_observer.Report,
) -> list[configuration_observer.Breach]:
    """Returns the late requests of entries that had long been in contact."""
    return [
        breach
        for breach in report.breaches
        if breach.calm_s >= configuration_observer.CONTACT_S
    ]


def format_report(report: configuration_observer.Report) -> str:
    """Returns a report as text."""
    ages = ", ".join(
        f"{entry}: acted on a version overtaken {oldest_s:.2f} s before, "
        f"{report.contact_age_s.get(entry, 0.0):.2f} s without a leader, "
        f"{report.longest_recovery_s.get(entry, 0.0):.2f} s after faults"
        for entry, oldest_s in sorted(report.oldest_s.items())
    )
    worst: dict[str, configuration_observer.Breach] = {}
    for breach in report.breaches:
        held = worst.get(breach.entry)
        if held is None or held.late_s < breach.late_s:
            worst[breach.entry] = breach
    return (
        f"{len(report.breaches)} breaches\n"
        f"  observer late by up to "
        f"{max((late for _, late in report.late_loops), default=0.0):.2f} s, "
        f"{len(report.late_loops)} times\n"
        f"  {report.acknowledged} changes, {report.acknowledged_under_fault} "
        "of them acknowledged under the fault, in at most "
        f"{max(report.ack_s):.2f} s\n  {ages}\n"
        + "".join(f"  worst {breach}\n" for breach in worst.values())
        + "".join(f"  {e} {c}\n" for e, c in sorted(report.statuses.items()))
    )


if __name__ == "__main__":
    import fire

    fire.Fire(main)
