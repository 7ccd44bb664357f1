"""Texts of a single-version route while an engine changes its weights."""

import asyncio
import pathlib
import time

from lab import deployment
from lab import documents
from lab import main
from lab import trainer

LONG_TEXT_EVENTS = 100
"""Five seconds of output at the pace of the engines."""


async def play(system: deployment.Deployment, is_troubled: bool) -> list[str]:
    """Names a version while items of a step that was asked ahead run."""
    system.add_engines("pool-a", 5)
    system.add_plain(documents.PLAIN, 2)
    route = documents.rollout_route(
        "label", "pool-a", **{"single-version": True, "due-ms": 20_000}
    )
    await system.start(documents.config(3, [route], ["pool-a"]))
    first = trainer.Step(system, "label", "57e00000", groups=2, events=10)
    ahead = trainer.Step(
        system, "label", "57e10000", events=LONG_TEXT_EVENTS, number=1
    )
    await first.submit()
    await ahead.submit()
    if not await first.read(time.monotonic() + 20.0):
        raise deployment.CannotRunError("the first step is not complete")
    await first.end()
    if is_troubled:
        await asyncio.sleep(0.5)
        await system.name_version("m0", 2)
    if not await ahead.read(time.monotonic() + 40.0):
        raise deployment.CannotRunError("the step ahead is not complete")
    await ahead.end()
    if not is_troubled:
        await system.name_version("m0", 2)
    return [
        f"VERSION: result {name} of a single-version route lists the versions "
        f"{result['versions']}"
        for name, result in ahead.results.items()
        if len(result["versions"]) > 1
    ]


main.run(play, pathlib.Path(__file__).parent)
