"""A server runs requests that may run once and then answers them with 503.

Seven servers of a plain service; one of them is grey for some seconds: it runs
part of its requests and answers them with a failure of its own that does not
state that the request did not run. Clients repeat a request after the promise
that 503 and 429 are, with a new id, and no more than once.
"""

import asyncio
import itertools
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab2"))

import lab

SERVERS = 7
GREY_SHARE = 0.45
GREY_AT_S = 3.0
GREY_FOR_S = 6.5
CLIENTS = 8
REQUESTS = 40
PAUSE_S = 0.25
PROMISES = (429, 503)


async def case(system: lab.Lab) -> int:
    """Sends orders and compares what was answered with what has run."""
    await system.start(lab.make_document())
    servers = [await system.add_server("plain-app") for _ in range(SERVERS)]
    await system.until_served()
    begins_at = system.now() + GREY_AT_S
    rng = random.Random(7)
    statuses = itertools.cycle(PROMISES)
    run_soundly = servers[0].run

    async def run_greyly(
        req: lab.Received, writer: asyncio.StreamWriter
    ) -> None:
        is_grey = begins_at <= system.now() < begins_at + GREY_FOR_S
        if is_grey and rng.random() < GREY_SHARE:
            await asyncio.sleep(servers[0].work_s)
            headers = [("X-Banyanbank-Request-Id", req.request_id)]
            lab.write_reply(writer, next(statuses), headers, b"failed")
            return
        await run_soundly(req, writer)

    if lab.has_trouble():
        servers[0].run = run_greyly  # type: ignore[method-assign]
    answered: dict[str, int] = {}

    async def order(name: str, address: str) -> None:
        for attempt in range(2):
            request_id = f"{name}-{attempt}"
            reply = await lab.call(
                address,
                "POST",
                "/once/order",
                lab.client_headers(request_id),
                name.encode(),
                3.0,
            )
            answered[request_id] = reply.status
            system.record.write(
                "answered",
                request=request_id,
                order=name,
                status=reply.status,
                signature=reply.header("x-banyanbank-response-signature"),
            )
            if reply.status not in PROMISES:
                return

    async def client(number: int) -> None:
        for count in range(REQUESTS):
            address = system.front[(number + count) % len(system.front)]
            await order(f"order-{number}-{count}", address)
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    return judge(system, servers, answered)


def judge(
    system: lab.Lab, servers: list[lab.Server], answered: dict[str, int]
) -> int:
    """Returns whether a request that was refused as not run has run."""
    ran = [req for server in servers for req in server.ran]
    verdict = lab.HELD
    for req in ran:
        if answered.get(req.request_id) in PROMISES:
            verdict = lab.BROKEN
            bodies = [each.request_id for each in ran if each.body == req.body]
            system.record.write(
                "REFUSED",
                request=req.request_id,
                server=req.server,
                answered=answered[req.request_id],
                ran_for_this_order=bodies,
            )
    system.record.write("total", requests=len(answered), ran=len(ran))
    return verdict


if __name__ == "__main__":
    lab.main(case, str(pathlib.Path(__file__).parent))
