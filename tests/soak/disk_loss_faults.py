"""Disks of stores that are lost in turn, each as soon as it is allowed."""

from tests import support
from tests.soak import faults
from tests.soak import world

LOSSES = 4
CATCH_UP_S = 4.35
"""Time from the return of a machine until the next disk is lost: somewhat more
than the shortest `catch-up-s` of the users' sheets."""
USUAL_START_S = 1.5
"""Part of it in which the process of a store starts. If a busy machine takes
longer, the next loss comes later by as much."""


async def _lose_in_turn(trouble: faults.Faults) -> str:
    """Loses several disks; each store must vote before the next loss."""
    names = []
    for _ in range(LOSSES):
        lost = trouble.lose_disk()
        if lost is None:
            break
        lost.start()
        await _catch_up(trouble.there, lost)
        trouble.work.promises.check(
            trouble.there.is_replaced(lost),
            f"{lost.name} does not vote before the next disk may be lost",
        )
        trouble.work.promises.count("disks lost in turn")
        trouble.wiped = None
        names.append(lost.name)
    return ",".join(names)


async def _catch_up(there: world.World, store: world.Member) -> None:
    """Waits until a store that is back has had its time to catch up."""
    clock = there.reactor
    until = clock.seconds() + CATCH_UP_S
    start_until = clock.seconds() + faults.START_S
    while not store.has_served and clock.seconds() < start_until:
        await support.next_turn(0.05)
    until = max(until, clock.seconds() + CATCH_UP_S - USUAL_START_S)
    await support.next_turn(until - clock.seconds())


KINDS = {
    name: faults.ALL_KINDS[name]
    for name in ("kill", "kill all stores", "tear", "stop", "pause", "reset")
} | {faults.LOSE_IN_TURN: _lose_in_turn}
"""Disks lost in turn beside other faults of stores, which end before them."""
