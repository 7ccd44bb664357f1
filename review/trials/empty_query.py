"""Requests whose paths end in an empty query or an empty parameter.

Clients send requests and one batch job. Without the disruption, the targets
are plain; with it, some of them end in `?` or `;`.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab2"))

import lab

ENDINGS = ("?", ";", ";?")


async def run_job(system: lab.Lab, endings: tuple[str, ...]) -> dict[str, str]:
    """Runs a batch job; returns the target of each item by its id."""
    items = []
    for number, ending in enumerate(endings):
        item = lab.make_item(f"item-{number}", scorer=False)
        item["path"] = f"{item['path']}{ending}"
        items.append(item)
    reply = await lab.call(
        system.front[0],
        "POST",
        "/rollout/job-1",
        lab.client_headers("job-1", 12000),
        lab.make_job(items),
        10.0,
    )
    if reply.status != 202:
        raise lab.CannotRunError(f"the job got {reply.status}")
    for _ in range(20):
        await asyncio.sleep(0.5)
        page = await lab.call(
            system.front[1],
            "GET",
            "/-/lots/job-1?after=0",
            lab.client_headers("read"),
        )
        if page.status == 200 and len(page.json()["results"]) == len(items):
            break
    return {str(item["id"]): str(item["path"]) for item in items}


async def case(system: lab.Lab) -> int:
    """Sends the requests and compares what servers got with what was sent."""
    await system.start(lab.make_document())
    servers = [await system.add_server("plain-app") for _ in range(3)]
    servers.append(await system.add_server("model-pool", is_engine=True))
    await system.until_served()
    endings = ENDINGS if lab.has_trouble() else ("",) * len(ENDINGS)
    sent: dict[str, str] = {"probe": "/plain/probe"}
    for route in ("plain", "once"):
        for number, ending in enumerate(endings):
            request_id = f"{route}-{number}"
            sent[request_id] = f"/{route}/price{ending}"
            reply = await lab.call(
                system.front[number % 2],
                "POST",
                sent[request_id],
                lab.client_headers(request_id),
                b"body",
            )
            system.record.write(
                "sent",
                request=request_id,
                target=sent[request_id],
                status=reply.status,
            )
    sent |= await run_job(system, endings)
    verdict = lab.HELD
    ran = [req for server in servers for req in server.ran]
    if {req.request_id for req in ran} != sent.keys():
        raise lab.CannotRunError("not all requests have run")
    for req in ran:
        if req.target != sent[req.request_id]:
            verdict = lab.BROKEN
            system.record.write(
                "UNASKED",
                request=req.request_id,
                sent=sent[req.request_id],
                ran=req.target,
            )
    return verdict


if __name__ == "__main__":
    lab.main(case, str(pathlib.Path(__file__).parent))
