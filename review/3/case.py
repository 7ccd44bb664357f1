"""Texts whose run is broken off before a server answers wrongly."""

import asyncio
import pathlib
import time
import typing

from lab import deployment
from lab import documents
from lab import main
from lab import servers
from lab import trainer
from lab import wire

GARBLING_SERVERS = 3
SERVERS = 5
MAX_SPOILED_SHARE = 0.03
"""Share of their answers that the garbling servers may spoil."""

MAX_STEPS = 3
"""Steps until a broken text has come to a garbling server."""

EVENTS = 12
EVENT_S = 0.02
BROKEN_AFTER_S = 3.5 * EVENT_S


class GarblingEngine(servers.Engine):
    """Model server that breaks off or spoils a few of its answers.

    Attributes:
        is_garbling: Whether this server spoils answers.
        has_broken_off: Whether it has broken off an answer in this step.
        broken: Items whose answers were broken off, at any server.
        emptied: Items whose text was continued by an empty answer.
        answers: Number of answers of this server.
    """

    event_s = EVENT_S
    is_garbling = False
    has_broken_off = False
    broken: set[str] = set()
    emptied: set[str] = set()
    answers = 0

    async def _stream(
        self, req: wire.Request, run: servers.Run, echo: dict[str, str]
    ) -> None:
        self.answers += 1
        item = req.request_id
        may_spoil = self.is_garbling and not self.emptied
        if may_spoil and item in self.broken:
            self.emptied.add(item)
            self.notes.note("empty answer", server=self.name, item=item)
            run.connection.start(echo)
            run.connection.write_chunk(b"")
            return
        if may_spoil and not self.has_broken_off:
            self.has_broken_off = True
            self.broken.add(item)
            self.notes.note("answer broken off", server=self.name, item=item)
            loop = asyncio.get_running_loop()
            loop.call_later(BROKEN_AFTER_S, run.connection.abort)
        await super()._stream(req, run, echo)


async def play(system: deployment.Deployment, is_troubled: bool) -> list[str]:
    """Spoils a few of the answers of three of five model servers."""
    engines = system.add_engines("pool-a", SERVERS, GarblingEngine)
    system.add_plain(documents.PLAIN, 2)
    route = documents.rollout_route("label", "pool-a", **{"due-ms": 20_000})
    await system.start(documents.config(3, [route], ["pool-a"]))
    garbling = [
        engine
        for engine in engines[:GARBLING_SERVERS]
        if isinstance(engine, GarblingEngine)
    ]
    results: dict[str, typing.Any] = {}
    for number in range(MAX_STEPS):
        for engine in garbling:
            engine.is_garbling = is_troubled
            engine.has_broken_off = False
        step = trainer.Step(
            system,
            "label",
            f"57e{number}0000",
            groups=80,
            size=8,
            events=EVENTS,
            number=number,
        )
        await step.submit()
        if not await step.read(time.monotonic() + 25.0):
            raise deployment.CannotRunError("the step is not complete")
        await step.end()
        results |= step.results
        if GarblingEngine.emptied:
            break
    answers = sum(engine.answers for engine in garbling)
    spoiled = len(GarblingEngine.broken) + len(GarblingEngine.emptied)
    system.notes.note("answers spoiled", spoiled=spoiled, answers=answers)
    if spoiled > MAX_SPOILED_SHARE * answers:
        raise deployment.CannotRunError("too many answers were spoiled")
    if is_troubled and not GarblingEngine.emptied:
        raise deployment.CannotRunError("no broken text came to a garbling one")
    return [
        f"MIXED: result {name} is completed with {len(result['text'])} of "
        f"{len(system.texts.whole(name))} characters of its output"
        for name, result in results.items()
        if result["state"] == "completed"
        and result["text"] != system.texts.whole(name)
    ]


main.run(play, pathlib.Path(__file__).parent)
