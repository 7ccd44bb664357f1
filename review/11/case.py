"""LOST, CONFIG: a disk is lost just after a planned replacement of a store."""

import asyncio
import pathlib
import shutil
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab3"))

import lab as labs  # noqa: E402

ITEMS = 8
SETTLE_S = 6.0
"""The successor has more than `catch-up-s` (4.3 s) before the old one goes."""
DOWN_S = 1.0
GRACE_S = 8.0
CATCH_UP_S = 4.3
RECOVER_S = 12.0


async def stop(lab: labs.Lab, store: labs.Program) -> None:
    """Stops a store for good, as the platform does."""
    store.send_signal(signal.SIGTERM)
    assert store.process is not None
    try:
        async with asyncio.timeout(GRACE_S):
            await store.process.wait()
    except TimeoutError:
        await store.kill()
    lab.record.write(f"{store.name} has ended and is removed")


async def lose_disk(lab: labs.Lab, store: labs.Program) -> None:
    """Kills a store; it comes back with an empty disk."""
    await store.kill()
    shutil.rmtree(pathlib.Path(store.settings["data-dir"]))
    store.settings["bootstrap"] = False
    lab.record.write(f"{store.name} has lost its disk")
    await asyncio.sleep(DOWN_S)
    await store.start()


async def main(lab: labs.Lab, trouble: bool) -> bool:
    """Replaces a store as planned; another one loses its disk."""
    await lab.start()
    routes = [
        labs.route("jobs", "/jobs/", "rollout", "engines", **labs.ROLLOUT),
        labs.route(
            "score", "/score/", "idempotent", "plain", **{"max-attempts": 4}
        ),
    ]
    services = [labs.PLAIN_SERVICE, labs.ENGINE_SERVICE]
    await lab.order("PUT", "/-/config", labs.document(7, routes, services))
    await lab.wait_ready()
    for server in (labs.Engine(lab, "engine-1"), labs.Plain(lab, "plain-1")):
        await lab.add(server)
    await asyncio.sleep(1)
    await labs.submit(lab, "job", labs.job(ITEMS))
    results = await labs.read_results(lab, "job", ITEMS, 20)
    if len(results) < ITEMS:
        raise labs.CannotRunError(f"{len(results)} of {ITEMS} results")
    lab.record.write(f"job: {len(results)} of {ITEMS} results read")
    successor = lab.add_store()
    successor.settings["zone"] = lab.stores[0].settings["zone"]
    await successor.start()
    await asyncio.sleep(SETTLE_S)
    old, other, _, _ = lab.stores
    await stop(lab, old)
    lab.stores.remove(old)
    await asyncio.sleep(0.5)
    if trouble:
        await lose_disk(lab, other)
    back_at = time.monotonic()
    await asyncio.sleep(CATCH_UP_S + RECOVER_S)
    held = await lab.read_config()
    lab.record.write(
        "configuration: "
        + ("no answer" if held is None else f"version {held['version']}")
    )
    again = await labs.read_results(lab, "job", ITEMS, 5)
    lab.record.write(
        f"job: {len(again)} of {ITEMS} results read"
        f" {time.monotonic() - back_at:.0f} s after the last event"
    )
    changed = True
    try:
        await lab.order(
            "PUT", "/-/config", labs.document(9, routes, services), 10.0
        )
    except labs.CannotRunError:
        changed = False
        lab.record.write("no store acknowledges a change")
    return held is None or again != results or not changed


if __name__ == "__main__":
    labs.run_case(main, FOLDER)
