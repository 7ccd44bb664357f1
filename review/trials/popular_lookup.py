"""One grey server of seven, and a lookup that many clients ask.

For some seconds, one server resets part of its requests; its heartbeats and
health checks stay good. Clients ask for the same price again and again, as the
counters of several shops do, each attempt with an id of its own.
"""

import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab2"))

import lab

SERVERS = 7
WORK_S = 0.2
GREY_SHARE = 0.45
GREY_AT_S = 3.0
GREY_FOR_S = 6.5
CLIENTS = 72
REQUESTS = 30
PAUSE_S = 0.4
OTHER_THAN = (408, 421, 429)
"""Statuses that the rule does not count."""


class GreyServer:
    """Resets part of the requests of one server for a while.

    Args:
        system: The deployment.
        server: The server.
        begins_at: When it turns grey, in seconds since the start of the case.
    """

    def __init__(
        self, system: lab.Lab, server: lab.Server, begins_at: float
    ) -> None:
        self._system = system
        self._begins_at = begins_at
        self._run_soundly = server.run
        self._rng = random.Random(10)
        server.run = self._run  # type: ignore[method-assign]

    async def _run(
        self, req: lab.Received, writer: asyncio.StreamWriter
    ) -> None:
        since_s = self._system.now() - self._begins_at
        if 0 <= since_s < GREY_FOR_S and self._rng.random() < GREY_SHARE:
            self._system.record.write("reset", request=req.request_id)
            writer.transport.abort()
            raise OSError("reset")
        await self._run_soundly(req, writer)


async def case(system: lab.Lab) -> int:
    """Sends the lookups and counts those that are denied."""
    await system.start(lab.make_document())
    servers = [await system.add_server("plain-app") for _ in range(SERVERS)]
    for server in servers:
        server.work_s = WORK_S
    await system.until_served()
    begins_at = system.now() + GREY_AT_S
    if lab.has_trouble():
        GreyServer(system, servers[0], begins_at)
    statuses: collections.Counter[int] = collections.Counter()
    denied: list[float] = []

    async def client(number: int) -> None:
        await asyncio.sleep(PAUSE_S * number / CLIENTS)
        for count in range(REQUESTS):
            request_id = f"request-{number}-{count}"
            reply = await lab.call(
                system.front[number % len(system.front)],
                "GET",
                "/plain/price?item=7",
                lab.client_headers(request_id),
                b"",
                3.0,
            )
            statuses[reply.status] += 1
            system.record.write(
                "answered", request=request_id, status=reply.status
            )
            if 300 <= reply.status < 500 and reply.status not in OTHER_THAN:
                denied.append(system.now() - begins_at)
                system.record.write(
                    "denied", request=request_id, body=reply.body
                )
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    total = sum(statuses.values())
    allowed = 5 + total / 500
    system.record.write(
        "total",
        requests=total,
        statuses=dict(statuses),
        denied=len(denied),
        allowed=allowed,
        last_denied_after_grey_s=round(max(denied, default=0) - GREY_FOR_S, 1),
    )
    if len(denied) > allowed:
        system.record.write("DENIED")
        return lab.BROKEN
    return lab.HELD


if __name__ == "__main__":
    lab.main(case, str(pathlib.Path(__file__).parent))
