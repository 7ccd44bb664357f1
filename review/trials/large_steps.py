"""Four open steps of two trainers, with 1,024 samples each.

An item takes 0.2 s, and four engines have 8 slots each: enough to run all items
before the first may be given up. With TROUBLE=0 the steps have 32 samples.
"""

import asyncio
import pathlib
import sys
import typing

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab2"))

import lab

SAMPLES = 1024
FEW_SAMPLES = 32
GROUP = 8
STEPS = 4
ENGINES = 4
EVENTS = 4
EVENT_S = 0.05
DUE_S = 30
GIVE_UP_S = 40
HALF = 0.5


def make_document() -> dict[str, typing.Any]:
    """Returns a configuration whose steps have more time."""
    document: dict[str, typing.Any] = lab.make_document()
    for route in document["routes"]:
        if route["type"] == "rollout":
            route |= {"due-ms": 1000 * DUE_S, "item-ttl-s": GIVE_UP_S}
    return document


async def submit(system: lab.Lab, step: int, samples: int) -> None:
    """Submits a step until it is accepted."""
    items = [
        lab.make_item(
            f"step-{step}-{number}",
            scorer=False,
            group=f"group-{step}-{number // GROUP}",
        )
        for number in range(samples)
    ]
    body = lab.make_job(items, step)
    for attempt in range(8):
        reply = await lab.call(
            system.front[(step + attempt) % len(system.front)],
            "POST",
            f"/rollout/step-{step}",
            lab.client_headers(f"step-{step}", 12000),
            body,
            10.0,
        )
        system.record.write(
            "sent", step=step, bytes=len(body), status=reply.status
        )
        if reply.status == 202:
            return
        await asyncio.sleep(0.5)
    raise lab.CannotRunError(f"step {step} was not accepted")


async def case(system: lab.Lab) -> int:
    """Submits the steps and counts the items that reach an engine."""
    await system.start(make_document())
    await system.add_server("plain-app")
    engines = [
        await system.add_server(
            "model-pool", is_engine=True, events=EVENTS, event_s=EVENT_S
        )
        for _ in range(ENGINES)
    ]
    await system.until_served()
    samples = SAMPLES if lab.has_trouble() else FEW_SAMPLES
    for step in range(STEPS):
        await submit(system, step, samples)
    began_at = system.now()
    begun: set[str] = set()
    while system.now() < began_at + GIVE_UP_S:
        await asyncio.sleep(1.0)
        begun = {req.request_id for each in engines for req in each.ran}
        if len(begun) == STEPS * samples:
            break
    took_s = system.now() - began_at
    runs = sum(len(each.ran) for each in engines)
    slots = sum(each.slots for each in engines)
    used = runs * EVENTS * EVENT_S / (took_s * slots)
    system.record.write(
        "total",
        items=STEPS * samples,
        begun=len(begun),
        seconds=round(took_s, 1),
        share_of_slots_used=round(used, 2),
    )
    if len(begun) < STEPS * samples and used < HALF:
        return lab.BROKEN
    return lab.HELD


if __name__ == "__main__":
    lab.main(case, str(pathlib.Path(__file__).parent))
