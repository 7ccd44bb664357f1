"""Items of one route after another route has moved to other model servers."""

import asyncio
import pathlib
import time

from lab import deployment
from lab import documents
from lab import main
from lab import trainer

CONFIG_MS = 2000
"""Bound `config-ms` of the site."""


async def play(system: deployment.Deployment, is_troubled: bool) -> list[str]:
    """Moves the route `draft` to `pool-b`; `label` stays on `pool-a`."""
    system.add_engines("pool-a", 3)
    system.add_engines("pool-b", 3)
    system.add_plain(documents.PLAIN, 2)
    label = documents.rollout_route("label", "pool-a")
    draft = documents.rollout_route("draft", "pool-a")
    pools = ["pool-a", "pool-b"]
    await system.start(documents.config(3, [label, draft], pools))
    draft_pool = "pool-a"
    if is_troubled:
        draft_pool = "pool-b"
        moved = documents.rollout_route("draft", draft_pool)
        await system.put_config(documents.config(7, [label, moved], pools))
        await asyncio.sleep(CONFIG_MS / 1000 + 1.0)
    steps = {
        "label": trainer.Step(system, "label", "1abe1000"),
        "draft": trainer.Step(system, "draft", "d4af7000"),
    }
    for step in steps.values():
        await step.submit()
    deadline = time.monotonic() + 30.0
    for step in steps.values():
        if not await step.read(deadline):
            raise deployment.CannotRunError(f"{step.job} is not complete")
    for step in steps.values():
        await step.end()
    return [
        f"{rule}: {count} of {len(steps[route].items)} items of route {route} "
        f"were run by {pool}, which serves only the other route"
        for rule, route, pool, count in (
            ("ROUTE", "label", "pool-b", _count(system, steps["label"], "b")),
            ("CONFIG", "draft", "pool-a", _count(system, steps["draft"], "a")),
        )
        if count and pool != {"label": "pool-a", "draft": draft_pool}[route]
    ]


def _count(system: deployment.Deployment, step: trainer.Step, pool: str) -> int:
    """Returns how many items of a step had an event made by a pool."""
    return sum(
        any(
            made.service == f"pool-{pool}"
            for events in system.texts.made[item].values()
            for made in events
        )
        for item in step.items
    )


main.run(play, pathlib.Path(__file__).parent)
