"""Texts of a single-version route whose model server crashes."""

import asyncio
import pathlib
import time

from lab import deployment
from lab import documents
from lab import main
from lab import trainer
from lab import wire

TEXT_EVENTS = 160
"""Eight seconds of output at the pace of the engines."""

RUN_OUT_S = 25.0
"""Time from the submission of the step to its trainer's deadline, `due-ms`."""

UNSERVED_S = 5.0
"""Seconds of steady state at no server that the rule allows an item."""


async def play(system: deployment.Deployment, is_troubled: bool) -> list[str]:
    """Crashes one of six model servers after a version was loaded."""
    engines = system.add_engines("pool-a", 6)
    system.add_plain(documents.PLAIN, 2)
    route = documents.rollout_route(
        "label",
        "pool-a",
        **{"single-version": True, "due-ms": RUN_OUT_S * 1000},
    )
    await system.start(documents.config(3, [route], ["pool-a"]))
    step = trainer.Step(
        system, "label", "57e00000", groups=6, size=2, events=TEXT_EVENTS
    )
    await step.submit()
    deadline = time.monotonic() + RUN_OUT_S
    await asyncio.sleep(0.5)
    await system.name_version("m0", 2)
    # Asked ahead by a trainer that allows the newest version only.
    ahead = trainer.Step(
        system, "label", "57e10000", min_version=2, groups=2, number=1
    )
    await ahead.submit()
    if not await wire.wait_until(
        lambda: all(engine.versions["m0"] == 2 for engine in engines), 7.0
    ):
        raise deployment.CannotRunError("not all engines have loaded version 2")
    if is_troubled:
        max(engines, key=lambda engine: len(engine.runs)).crash()
    _, is_ahead_complete = await asyncio.gather(
        step.read(deadline), ahead.read(deadline)
    )
    if not is_ahead_complete:
        raise deployment.CannotRunError("the step ahead is not complete")
    return [
        f"LOST: item {item} is not listed at the step's deadline and was last "
        f"at a server {unserved_s:.1f} s before"
        for item in step.missing
        if (unserved_s := deadline - system.texts.left_at[item]) > UNSERVED_S
        and item not in system.texts.finished
    ]


main.run(play, pathlib.Path(__file__).parent)
