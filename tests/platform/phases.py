"""Splits the time after a loss of power into the phases of the start.

A phase that grows shows which part of the start got slower, which the time to
the first answer alone does not.
"""

import collections.abc
import json
import pathlib

import attrs

MS = 1000.0


@attrs.frozen
class MemberLog:
    """What one process has logged since its latest start."""

    role: str
    """`entry` or `store`."""
    first_times: collections.abc.Mapping[str, float]
    """Unix time at which each event was logged first."""


def read_log(role: str, path: pathlib.Path, offset: int) -> MemberLog:
    """Reads the events that a process has logged from an offset on.

    Args:
        role: `entry` or `store`.
        path: Log file; lines that are no events are skipped.
        offset: Length of the file when the process was started.
    """
    times: dict[str, float] = {}
    for line in path.read_bytes()[offset:].splitlines():
        if line.startswith(b"{"):
            event = json.loads(line)
            times.setdefault(event["event"], float(event["t"]))
    return MemberLog(role, times)


def split(
    logs: collections.abc.Sequence[MemberLog], began_at: float
) -> dict[str, float]:
    """Returns when phases ended, in milliseconds after power was back.

    The wait for a leader is a duration, since the starts of the stores vary
    more than it does. Events that no process logged are left out.

    Args:
        logs: Logs of all processes.
        began_at: Unix time at which the processes were started.
    """
    figures: dict[str, float] = {}

    def add(name: str, role: str, event: str, rank: int) -> None:
        times = sorted(
            log.first_times[event]
            for log in logs
            if log.role == role and event in log.first_times
        )
        if rank < len(times):
            figures[name] = MS * (times[rank] - began_at)

    stores = sum(log.role == "store" for log in logs)
    # Imports and the reading of the disk end with the start of the log. A
    # quorum and not all of the stores is what the election waits for.
    add("first store has read its disk", "store", "log.started", 0)
    add("quorum has read its disks", "store", "log.started", stores // 2)
    add("all stores have read their disks", "store", "log.started", stores - 1)
    add("first store released its vote", "store", "votes.released", 0)
    add("quorum released its votes", "store", "votes.released", stores // 2)
    add("leader elected", "store", "leader.elected", 0)
    add("lease acquired", "store", "lease.acquired", 0)
    add("first entry serves", "entry", "process.started", 0)
    add("first entry has a configuration", "entry", "config.in_force", 0)
    add("first entry knows endpoints", "entry", "endpoints.changed", 0)
    if "leader elected" in figures and "quorum has read its disks" in figures:
        figures["wait of a quorum for its leader"] = (
            figures["leader elected"] - figures["quorum has read its disks"]
        )
    return figures
