"""A server that leaves after it was cut off, and a heartbeat that is late."""

import asyncio
import contextlib
import itertools
import pathlib
import time

from lab import deployment
from lab import documents
from lab import main
from lab import servers
from lab import wire

CUT_S = 7.0
"""Length of the partition; the sheet of the grown site allows 11.1 s."""

DRAIN_S = 2.0
"""Bound `drain-ms`, for which a leaving server goes on serving at least."""

LINGER_S = 2.5
"""Time for which this server serves beyond that: "at times many seconds"."""

REQUEST_INTERVAL_S = 0.03
WORK_S = 0.8


async def play(system: deployment.Deployment, is_troubled: bool) -> list[str]:
    """Cuts one of six servers off from the stores before it leaves."""
    system.add_engines("pool-a", 2)
    system.add_plain(documents.PLAIN, 6)
    routes = [
        documents.rollout_route("label", "pool-a"),
        documents.plain_route("book", "non_idempotent"),
    ]
    await system.start(documents.config(3, routes, ["pool-a"]))
    leaving = system.servers[2]
    assert isinstance(leaving, servers.PlainServer)
    leaving.work_s = WORK_S
    client = asyncio.create_task(_send_requests(system))
    await asyncio.sleep(2.0)
    if is_troubled:
        leaving.is_announced = False
        system.notes.note("cut from the stores", server=leaving.name)
        await asyncio.sleep(CUT_S)
    late_heartbeat = leaving.announcement()
    leaving.is_announced = False
    if not await system.announce(leaving, "DELETE", b""):
        raise deployment.CannotRunError("the server's leave was not acked")
    acked_at = time.monotonic()
    system.notes.note("leave acknowledged", server=leaving.name)
    await asyncio.sleep(0.5)
    await system.announce(leaving, "PUT", late_heartbeat)
    system.notes.note("late heartbeat arrived", server=leaving.name)
    await asyncio.sleep(DRAIN_S + LINGER_S - 0.5)
    leaving.crash()
    await asyncio.sleep(0.5)
    client.cancel()
    late = [
        request_id
        for arrived_at, request_id in leaving.arrivals
        if arrived_at > acked_at + DRAIN_S
    ]
    if not late:
        return []
    lost = set(late) - leaving.answered
    return [
        f"DRAIN: {len(late)} requests reached {leaving.name} later than "
        f"{DRAIN_S} s after its leave was acknowledged; {len(lost)} of them "
        "were lost when it ended"
    ]


async def _send_requests(system: deployment.Deployment) -> None:
    """Sends requests that may run once to the entries in turn."""
    numbers = itertools.count()
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(_send_request(system, next(numbers)))
            await asyncio.sleep(REQUEST_INTERVAL_S)


async def _send_request(system: deployment.Deployment, number: int) -> None:
    addresses = system.front_addresses
    request_id = f"b00c{number:08x}"
    status: int | str = "connection closed"
    with contextlib.suppress(*wire.BROKEN):
        resp = await wire.call(
            addresses[number % len(addresses)],
            "POST",
            f"/book/{request_id}",
            {
                "Host": deployment.HOST,
                "Authorization": f"Token {deployment.KEY}",
                "X-Banyanbank-Request-Id": request_id,
                "X-Banyanbank-Deadline-Ms": "1500",
            },
            b"order",
        )
        status = resp.status
    system.notes.note("answered", id=request_id, status=status)


main.run(play, pathlib.Path(__file__).parent)
