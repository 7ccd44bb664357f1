"""Items of a batch job with headers that only the system may set.

Tenant A submits one batch job. Without the disruption its items have plain
headers. With it, single items name another tenant, bring the key along, or
state a transfer coding that the system's own framing does not have.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab2"))

import lab

SMUGGLED = (
    b"0\r\n\r\n"
    b"POST /rollout/smuggled HTTP/1.1\r\n"
    b"Host: host.example\r\n"
    b"X-Banyanbank-Request-Id: smuggled\r\n"
    b"X-Banyanbank-Tenant: tenant-b\r\n"
    b"Content-Length: 0\r\n\r\n"
)
"""The end of a body in chunks, and a request that no client sent."""


def make_items() -> list[dict[str, object]]:
    """Returns the items of the job."""
    extra: list[dict[str, str]] = [{}, {}, {}]
    if lab.has_trouble():
        extra = [
            {"X-Banyanbank-Tenant": lab.OTHER_TENANT},
            {"Authorization": f"Token {lab.KEY}"},
            {"Transfer-Encoding": "chunked"},
        ]
    return [
        lab.make_item("item-plain"),
        lab.make_item("item-tenant", extra[0]),
        lab.make_item("item-key", extra[1]),
        lab.make_item("item-coding", extra[2], SMUGGLED),
    ]


async def case(system: lab.Lab) -> int:
    """Runs the job and judges what reached the engine."""
    await system.start(lab.make_document())
    await system.add_server("plain-app")
    engine = await system.add_server("model-pool", is_engine=True)
    await system.until_served()
    items = make_items()
    reply = await lab.call(
        system.front[0],
        "POST",
        "/rollout/job-1",
        lab.client_headers("job-1", 12000),
        lab.make_job(items),
        10.0,
    )
    system.record.write(
        "sent",
        job="job-1",
        tenant=lab.TENANT,
        headers={item["id"]: item["headers"] for item in items},
        status=reply.status,
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
        results = page.json()["results"] if page.status == 200 else []
        if len(results) == len(items):
            break
    system.record.write("results", results=results)
    if not any(result["id"] == "item-plain" for result in results):
        raise lab.CannotRunError("the plain item was not listed")
    sent = {item["id"] for item in items}
    verdict = lab.HELD
    for request in engine.ran:
        broken = []
        if request.request_id not in sent:
            broken.append("no client sent this id")
        if set(request.values("x-banyanbank-tenant")) != {lab.TENANT}:
            tenants = request.values("x-banyanbank-tenant")
            broken.append(f"tenant is {tenants}, the key is {lab.TENANT}'s")
        if request.values("authorization"):
            broken.append("the key was passed on")
        for why in broken:
            verdict = lab.BROKEN
            system.record.write("UNASKED", request=request.request_id, why=why)
    return verdict


if __name__ == "__main__":
    lab.main(case, str(pathlib.Path(__file__).parent))
