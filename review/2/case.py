"""Model servers after the connections to them have gone silent once."""

import asyncio
import pathlib
import time

from lab import deployment
from lab import documents
from lab import main
from lab import trainer

TEXT_EVENTS = 30
"""A second and a half of output at the pace of the engines."""

GIVE_UP_S = 12.0
"""Time from the submission of the step to its trainer's deadline."""

CONTACT_S = 3.0
"""Bound `contact-ms`: steady state begins so long after the disruption."""

UNSERVED_S = 5.0
"""Seconds of steady state at no server that the rule allows an item."""


async def play(system: deployment.Deployment, is_troubled: bool) -> list[str]:
    """Silences what is open to the model servers while all slots are used."""
    engines = system.add_engines("pool-a", 5)
    system.add_plain(documents.PLAIN, 2)
    route = documents.rollout_route("label", "pool-a")
    await system.start(documents.config(3, [route], ["pool-a"]))
    step = trainer.Step(
        system, "label", "57e00000", groups=16, events=TEXT_EVENTS
    )
    await step.submit()
    deadline = time.monotonic() + GIVE_UP_S
    await asyncio.sleep(0.7)
    steady_from = time.monotonic() + CONTACT_S
    if is_troubled:
        count = sum(engine.silence() for engine in engines)
        system.notes.note("connections silent", count=count)
    await step.read(deadline)
    texts = system.texts
    await step.end()
    return [
        f"LOST: item {item} is not listed at the step's deadline and was at no "
        f"server in the last {unserved_s:.1f} s of steady state"
        for item in step.missing
        if item not in texts.finished
        and (unserved_s := deadline - max(texts.left_at[item], steady_from))
        > UNSERVED_S
    ]


main.run(play, pathlib.Path(__file__).parent)
