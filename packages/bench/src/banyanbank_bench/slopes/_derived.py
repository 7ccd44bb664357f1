"""Works the target size out from the measured figures."""

from collections.abc import Iterator
from collections.abc import Mapping

import banyanbank_control as control

from banyanbank_bench.slopes import _meter
from banyanbank_bench.slopes import _target

POLLS_PER_S = 1 / control.POLL_INTERVAL_S
ALL_POLLS_PER_S = _target.DAEMONS * POLLS_PER_S
ANNOUNCEMENTS_PER_S = _target.SERVERS / _target.ANNOUNCE_S


def derive(cost: Mapping[str, float]) -> Iterator[_meter.Figure]:
    """Yields processor time and bytes of each role, and their factors.

    Args:
        cost: Measured figures by name.
    """
    poll_bytes = cost["idle poll"] + cost["idle answer"]
    heard = ANNOUNCEMENTS_PER_S / _target.DAEMONS
    parts = {
        "entry: polls": POLLS_PER_S * cost["idle poll at entry"],
        "leader: polls": ALL_POLLS_PER_S * cost["idle poll at leader"],
        "leader: announcements": ANNOUNCEMENTS_PER_S
        * cost["announcement at leader"],
        "leader: shares": _target.DAEMONS
        / _target.LIMIT_S
        * cost["shares of 40 accounts"],
        "leader: usage commits": _target.DAEMONS
        * (
            cost["commit, 50 together, three voters"] / 3
            + cost["AddUsage of 8 accounts applied"]
        ),
        "leader: sync ticks": cost["sync tick at leader"] / _target.TICK_S,
        "leader: scheduler": cost["scheduler, 2048 samples on 600"]
        / _target.SCHEDULE_S,
        "leader: weights": cost["weights decision, 600 engines"]
        / _target.WEIGHT_DECIDE_S,
        "follower: usage commits": _target.DAEMONS
        * (
            cost["commit, 50 together, three voters"] / 3
            + cost["AddUsage of 8 accounts applied"]
        ),
    }
    for name, us in parts.items():
        yield _meter.Figure(f"{name}, of a core", us / 1e4, "%")
        yield _meter.Figure(
            f"{name}, against budget", us / _target.CPU_US_PER_S, "x"
        )
    sizes = {
        "entry: polls": POLLS_PER_S * poll_bytes
        + heard * cost["announcement in poll"],
        "leader: polls": ALL_POLLS_PER_S * poll_bytes
        + ANNOUNCEMENTS_PER_S * cost["announcement in poll"],
        "leader: usage to followers": (_target.VOTERS - 1)
        * _target.DAEMONS
        * cost["AddUsage of 8 accounts in log"],
    }
    for name, size in sizes.items():
        yield _meter.Figure(f"{name}, bytes a second", size, "B/s")
        yield _meter.Figure(
            f"{name}, bytes against budget", size / _target.BYTES_PER_S, "x"
        )
    yield from _derive_states(cost)


def _derive_states(cost: Mapping[str, float]) -> Iterator[_meter.Figure]:
    samples = _target.TRAINERS * _target.SAMPLES
    for place in ("in the log", "stored apart"):
        size = samples * cost[f"ledger, sample of 30 kB {place}"]
        name = f"voter: one step {place}"
        yield _meter.Figure(name, size / 1e6, "MB")
    per_day = _target.RESTARTS_PER_DAY * cost["first answer"]
    yield _meter.Figure("restarts a day, whole answers", per_day / 1e6, "MB")
    us = cost["first answer made by leader"]
    yield _meter.Figure("restart, at leader", us / 1e3, "ms")
    us = cost["first answer taken by entry"]
    yield _meter.Figure("restart, at entry", us / 1e3, "ms")
    change = cost["one change in answer"] * _target.DAEMONS
    yield _meter.Figure("one change to all", change / 1e3, "kB")
    per_entry = _target.REQUESTS_PER_S / _target.DAEMONS
    us = per_entry * cost["choice among 600"]
    yield _meter.Figure("entry: choices, of a core", us / 1e4, "%")
    us = per_entry * cost["owner among 360"]
    yield _meter.Figure("entry: owner of the choice, of a core", us / 1e4, "%")
