"""Runs a case and turns its outcome into an exit code."""

import asyncio
import collections.abc
import os
import pathlib
import traceback
import typing

from lab import deployment
from lab import record

HELD = 0
BROKEN = 1
CANNOT_RUN = 2
TIMEOUT_S = 110.0

Play = collections.abc.Callable[
    [deployment.Deployment, bool],
    collections.abc.Coroutine[typing.Any, typing.Any, list[str]],
]
"""Plays a case, with or without its disruption; returns what broke the rule."""


def run(play: Play, folder: pathlib.Path) -> typing.NoReturn:
    """Plays a case; exits with 1 if the rule was broken, 0 if it held.

    Exits with 2 if the case could not run.
    """
    notes = record.Record(folder)
    is_troubled = os.environ.get("TROUBLE") != "0"
    notes.note("case begins", trouble=is_troubled)
    try:
        code = asyncio.run(_play(play, notes, is_troubled))
    except Exception:
        notes.note("case could not run", why=traceback.format_exc())
        code = CANNOT_RUN
    notes.note("case ends", exit_code=code)
    raise SystemExit(code)


async def _play(play: Play, notes: record.Record, is_troubled: bool) -> int:
    system = deployment.Deployment(notes)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            breaks = await play(system, is_troubled)
    finally:
        system.stop()
    for line in breaks:
        notes.note("rule broken", what=line)
    return BROKEN if breaks else HELD
