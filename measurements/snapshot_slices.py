"""How long a snapshot of a large state holds its store up, slice by slice.

    uv run --no-sync python -m measurements.snapshot_slices --mb 64

Takes and restores a snapshot of a ledger on files, at the full speed of a core.
Figures are in ms; the share of a core of a slow store lengthens them.
"""

import pathlib
import random
import sys
import tempfile
import time
import typing

import banyanbank_base as base
import banyanbank_consensus as consensus
from banyanbank_consensus import _applier
from banyanbank_consensus import _effects
from banyanbank_consensus import _log
from banyanbank_consensus import _replica
from banyanbank_consensus import _replication
from banyanbank_consensus import _state
import banyanbank_jobs as jobs
import fire

ITEMS = 32
LOG_ENTRIES = 16
"""Entries of 1 MiB in the log when the snapshot is finished."""
MB = 1 << 20
MS = 1000.0
NAME = base.InstanceId("a")


def fill(ledger: jobs.Ledger, megabytes: int, item_bytes: int) -> None:
    """Adds jobs with results until the state has a size."""
    text = "y" * item_bytes
    for number in range(megabytes * MB // (ITEMS * 2 * item_bytes)):
        job = f"job-{number}"
        items = tuple(
            jobs.JobItem(f"{job}-{n}", "/x", (), bytes(item_bytes), 100)
            for n in range(ITEMS)
        )
        accepted = jobs.Job(
            job, base.AccountId("a"), "host", "/x", items, 1.0, 2.0, 3.0, 3
        )
        commands: list[jobs.Command] = [jobs.AcceptJob(accepted)]
        for item in items:
            done = jobs.ItemResult(
                item.item, jobs.ItemOutcome.COMPLETED, text, (1,), ""
            )
            commands.append(jobs.ListResult(job, done))
        for command in commands:
            ledger.apply(1, jobs.COMMAND_CODEC.encode(command))


def time_steps(step: typing.Callable[[], bool]) -> list[float]:
    """Runs a step until it returns false; returns the time of each in ms."""
    times = []
    goes_on = True
    while goes_on:
        began = time.perf_counter()
        goes_on = step()
        times.append(MS * (time.perf_counter() - began))
    return times


def show(what: str, times: list[float]) -> None:
    """Prints the sum and the longest of some times."""
    sys.stdout.write(
        f"{what}: {len(times)} slices, {sum(times):.0f} ms in all, longest "
        f"{max(times):.1f}, last {times[-1]:.1f}\n"
    )


def main(mb: int = 64, item_bytes: int = 500) -> None:
    """Prints how long the slices of one snapshot take.

    Args:
        mb: Size of the state, in MiB.
        item_bytes: Size of the body and of the text of an item.
    """
    ledger = jobs.Ledger()
    fill(ledger, mb, item_bytes)
    with tempfile.TemporaryDirectory() as folder:
        disk = consensus.FileDisk(pathlib.Path(folder))
        stored = disk.load("store")
        cfg = consensus.NodeConfig(NAME, (NAME,))
        replica = _replica.Replica(cfg, stored, random.Random(1), 0.0)
        applier = _applier.Applier(ledger, disk, stored)
        state = replica.state
        for _ in range(LOG_ENTRIES):
            entry = _replication.append_in_epoch(
                state, _log.EntryKind.COMMAND, bytes(MB - 1000)
            )
            disk.append([entry])
        disk.sync()
        applier.index = state.commit = state.log.last_index
        applier.start_snapshot(state, 0.0)
        show(
            "taken",
            time_steps(
                lambda: applier.run_snapshot_slice(replica, 0.0) is None
            ),
        )
        assert state.snapshot is not None
        data = disk.read_snapshot(0, state.snapshot.size)
        other = _applier.Applier(jobs.Ledger(), disk, stored)
        other.write_snapshot(_effects.WriteSnapshot(state.snapshot, 0, data))
        other.install_snapshot(
            _effects.InstallSnapshot(
                state.snapshot, _state.make_log_image(state)
            ),
            cfg.slice_bytes,
        )

        def restore() -> bool:
            other.restore_slice(cfg.slice_bytes)
            return other.is_restoring

        show("restored", time_steps(restore))


if __name__ == "__main__":
    fire.Fire(main)
