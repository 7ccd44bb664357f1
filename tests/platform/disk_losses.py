"""Stores that lose their disks in turn while changes and jobs are acknowledged.

    python -m tests.platform.disk_losses --picks leader --seed 3 --busy 8

Plays it in real time and prints how long each stage took until the store voted
again.
"""

import contextlib
import pathlib
import random
import subprocess
import sys
import tempfile
import typing

import attrs
import fire
from twisted.internet import defer

from tests import support
from tests.platform import deployment
from tests.platform import stores

CATCH_UP_S = 4.3
"""`catch-up-s` of the users' sheets: how long a machine counts as lost once it
is back."""
INTERVAL_S = 4.35
"""Time between two losses: the next one is allowed just before it."""
LOSSES = 15
RECOVER_S = 12.0
"""`recover-s` of the users' sheets."""
SUBMIT_INTERVAL_S = 0.25
READ_TIMEOUT_S = 12.0
START_TIMEOUT_S = 30.0
STAGES = ("started", "elected", "noticed", "transferred", "voted")

Pick = typing.Callable[[stores.Stores, random.Random], stores.Store]


def _pick_oldest(there: stores.Stores, rng: random.Random) -> stores.Store:
    del rng
    return min(there.all, key=lambda store: store.started_at)


def _pick_leader(there: stores.Stores, rng: random.Random) -> stores.Store:
    del rng
    return there.find_leader()


def _pick_any(there: stores.Stores, rng: random.Random) -> stores.Store:
    return rng.choice(there.all)


PICKS: dict[str, Pick] = {
    "oldest": _pick_oldest,
    "leader": _pick_leader,
    "drawn": _pick_any,
}
"""Which store loses its disk next."""


@attrs.define
class Loss:
    """A lost disk and when each stage until the new store's vote was over."""

    store: str
    """Name of the machine."""
    has_led: bool
    """Whether its store led."""
    at: float
    """When the disk was lost, in Unix time."""
    stages: dict[str, float] = attrs.Factory(dict)
    """Seconds from the loss to the end of each stage, of those that were
    seen."""

    def __str__(self) -> str:
        """Returns the stages in their order."""
        times = " ".join(
            f"{stage} {self.stages[stage]:.2f}"
            for stage in STAGES
            if stage in self.stages
        )
        return f"{self.store}{' (led)' if self.has_led else ''}: {times}"


class Jobs:
    """A client that submits batch jobs and reads them back in the end.

    Args:
        there: The stores.
        entry: The entry that it calls.
    """

    def __init__(self, there: stores.Stores, entry: stores.Store) -> None:
        self._there = there
        self._url = there.front_url(entry)
        self._is_running = True
        self._submitting = defer.ensureDeferred(self._submit())
        self.acknowledged: list[str] = []

    async def stop(self) -> None:
        """Stops submitting."""
        self._is_running = False
        await self._submitting

    async def find_lost(self) -> list[str]:
        """Returns the acknowledged jobs that can't be read."""
        until = self._there.reactor.seconds() + READ_TIMEOUT_S
        missing = list(self.acknowledged)
        while missing and self._there.reactor.seconds() < until:
            missing = [job for job in missing if not await self._is_there(job)]
        return missing

    async def _submit(self) -> None:
        body = deployment.make_job()
        number = 0
        while self._is_running:
            number += 1
            job = f"job-{number}"
            reply = await self._call("POST", "/jobs/x", body, job)
            if reply is not None and reply.status == 202:
                self.acknowledged.append(job)
            await support.next_turn(SUBMIT_INTERVAL_S)

    async def _is_there(self, job: str) -> bool:
        reply = await self._call("GET", f"/-/lots/{job}?after=0", b"", job)
        return reply is not None and reply.status == 200

    async def _call(
        self, method: str, path: str, body: bytes, job: str
    ) -> deployment.Reply | None:
        return await self._there.call(
            method,
            self._url + path,
            body,
            x_banyanbank_request_id=job,
            **deployment.CALLER_HEADERS,
        )


@attrs.frozen
class Outcome:
    """What a series of losses showed."""

    losses: list[Loss]
    """The lost disks, in order."""
    faults: list[str]
    """What was acknowledged and not read again, or not acknowledged."""
    changes: int
    """Number of acknowledged changes."""
    jobs: int
    """Number of acknowledged jobs."""


async def play(
    there: stores.Stores,
    picks: str,
    rng: random.Random,
    count: int = LOSSES,
    interval_s: float = INTERVAL_S,
) -> Outcome:
    """Loses disks in turn and reads back all that was acknowledged.

    Args:
        there: Stores that run.
        picks: Key of `PICKS`.
        rng: Draws the store if `picks` is `drawn`.
        count: Number of losses.
        interval_s: Time between two losses.
    """
    jobs = Jobs(there, there.add_entry())
    await support.until(lambda: jobs.acknowledged)
    losses: list[Loss] = []
    due_at = there.reactor.seconds()
    for _ in range(count):
        losses.append(lose_disk(there, PICKS[picks](there, rng)))
        due_at += interval_s
        await support.next_turn(max(0.0, due_at - there.reactor.seconds()))
    faults = await _find_faults(there, jobs)
    for loss, next_loss in zip(losses, [*losses[1:], None], strict=True):
        until = float("inf") if next_loss is None else next_loss.at
        loss.stages.update(read_stages(there, loss, until))
    return Outcome(losses, faults, there.acknowledged, len(jobs.acknowledged))


def lose_disk(there: stores.Stores, store: stores.Store) -> Loss:
    """Loses the disk of a store, whose machine is back at once."""
    has_led = store is there.find_leader()
    store.lose_disk()
    store.start()
    return Loss(store.name, has_led, store.started_at)


def read_stages(
    there: stores.Stores, loss: Loss, until: float
) -> dict[str, float]:
    """Returns the seconds from a loss to the end of each stage.

    Args:
        there: The stores, whose logs are read.
        loss: The lost disk.
        until: Unix time from which on events belong to the next loss.
    """
    lost = next(store for store in there.all if store.name == loss.store)
    at_others = [store for store in there.all if store is not lost]
    ends = {
        "started": _first(lost.read_events("log.started"), loss.at, until),
        "transferred": _first(
            lost.read_events("snapshot.installed"), loss.at, until
        ),
    }
    if loss.has_led:
        elections = [
            event
            for store in at_others
            for event in store.read_events("leader.elected")
        ]
        ends["elected"] = _first(elections, loss.at, until)
    changes = [
        event
        for store in there.all
        for event in store.read_events("members.changing")
    ]
    noticed_at = ends["noticed"] = _first(
        [one for one in changes if _adds(lost, "joining", one)], loss.at, until
    )
    if noticed_at is not None:
        ends["voted"] = _first(
            [one for one in changes if _adds(lost, "voter", one)],
            noticed_at,
            until,
        )
    return {stage: at - loss.at for stage, at in ends.items() if at is not None}


def _adds(
    store: stores.Store, role: str, change: dict[str, typing.Any]
) -> bool:
    """Whether a set of members has a store in a role."""
    return any(
        member.startswith(f"{store.host}:") and member.endswith(f"/{role}")
        for member in change["detail"].split()
    )


def _first(
    events: list[dict[str, typing.Any]], at: float, until: float
) -> float | None:
    times = [event["t"] for event in events if at < event["t"] < until]
    return min(times, default=None)


async def _find_faults(there: stores.Stores, jobs: Jobs) -> list[str]:
    """Returns what does not hold once all stores have recovered."""
    acknowledged = there.acknowledged
    until = there.reactor.seconds() + RECOVER_S
    # One more change may have been on its way before the last loss.
    while there.acknowledged <= acknowledged + 1:
        if there.reactor.seconds() > until:
            break
        await support.next_turn(0.05)
    await jobs.stop()
    faults = list(there.faults)
    if there.acknowledged <= acknowledged + 1:
        faults.append(f"no change was acknowledged for {RECOVER_S} s")
    for store in there.all:
        least = there.acknowledged
        version = await there.read_version_of(store)
        if version is None or version < least:
            faults.append(f"{store.name} reads version {version}")
    lost = await jobs.find_lost()
    if lost:
        faults.append(f"jobs that can't be read: {' '.join(lost)}")
    return faults


@contextlib.contextmanager
def busy_processes(count: int) -> typing.Iterator[None]:
    """Runs processes that use the CPU all the time."""
    code = "while True: pass"
    busy = [
        subprocess.Popen([sys.executable, "-c", code]) for _ in range(count)
    ]
    try:
        yield
    finally:
        for process in busy:
            process.kill()
            process.wait()


def main(
    picks: str = "oldest",
    seed: int = 1,
    count: int = LOSSES,
    interval: float = INTERVAL_S,
    busy: int = 0,
    keep: str = "",
) -> None:
    """Plays one series of losses and prints its stages.

    Args:
        picks: `oldest`, `leader` or `drawn`.
        seed: Seed of the draws.
        count: Number of losses.
        interval: Seconds between two losses.
        busy: Number of busy processes beside it.
        keep: Folder in which the logs are kept.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="losses-", dir=keep or None))

    async def run() -> Outcome:
        there = stores.Stores(folder)
        try:
            await there.start()
            return await play(
                there, picks, random.Random(seed), count, interval
            )
        finally:
            await there.stop()

    limit_s = START_TIMEOUT_S + count * interval + RECOVER_S + READ_TIMEOUT_S
    with busy_processes(busy):
        outcome = support.run_async(run, 2 * limit_s)
    for loss in outcome.losses:
        sys.stdout.write(f"  {loss}\n")
    verdict = "; ".join(outcome.faults) or "holds"
    sys.stdout.write(
        f"{picks} seed {seed} busy {busy}: {outcome.changes} changes, "
        f"{outcome.jobs} jobs acknowledged: {verdict} ({folder})\n"
    )
    raise SystemExit(1 if outcome.faults else 0)


if __name__ == "__main__":
    fire.Fire(main)
