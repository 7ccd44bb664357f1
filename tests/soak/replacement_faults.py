"""Planned replacements of stores, with a loss after each."""

import signal

from tests import support
from tests.soak import faults

STOP_S = 4.0
"""`grace-s` of the deployment, after which a store that stops is killed."""


async def _replace(trouble: faults.Faults) -> str:
    """Replaces a store as planned; another one loses its disk at once.

    The successor has had `catch-up-s` when the old store is told to stop.
    """
    there = trouble.there
    if not there.unused:
        return "not now"
    old = trouble.rng.choice(there.stores)
    successor = there.add_successor()
    until = there.reactor.seconds() + faults.START_S
    while not successor.has_served and there.reactor.seconds() < until:
        await support.next_turn(0.1)
    await support.next_turn(faults.CALM_S)
    old.signal(signal.SIGTERM)
    until = there.reactor.seconds() + STOP_S
    while old.is_up and there.reactor.seconds() < until:
        await support.next_turn(0.01)
    trouble.work.promises.check(
        not old.is_up, f"{old.name} runs on {STOP_S} s after SIGTERM"
    )
    there.remove(old, successor)
    lost = trouble.lose_disk()
    assert lost is not None
    await trouble.wait(0.0, 1.0)
    lost.start()
    trouble.work.promises.count("planned replacements")
    return f"{old.name} by {successor.name}, then {lost.name} loses its disk"


KINDS = {
    name: faults.ALL_KINDS[name]
    for name in (
        "kill",
        "kill all stores",
        "tear",
        "stop",
        "pause",
        "isolate",
        "reset",
    )
} | {faults.REPLACE: _replace}
"""Replacements beside other faults of stores."""
