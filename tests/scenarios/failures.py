"""What fails, each from its beginning to its end, on one loop."""

import random
import secrets
import shutil
import typing

import attrs
import banyanbank_fakes as fakes
from twisted.internet import defer
from twisted.internet import error
from twisted.web import client

from tests import support
from tests.scenarios import world as worlds

OK = 200
CONFLICT = 409
SERVER_ERROR = 500
LOST = (
    error.ConnectError,
    error.ConnectionLost,
    error.ConnectionDone,
    client.ResponseFailed,
)
"""What a caller sees of an instance that goes or has gone."""
CHANGES = 50
"""Changes before all instances restart; each case does it in both rounds."""


@attrs.define
class Done:
    """What failures did that the promises are about."""

    withdrawn: list[str] = attrs.field(factory=list)
    """Secrets of withdrawn keys."""
    spare: list[tuple[str, str]] = attrs.field(factory=list)
    """Key and secret of keys that may be withdrawn."""
    revision: int = 0
    """Highest revision that an answer has named as accepted."""
    weights: int = 1
    """Weights that sheets have given; each another, so that each changes."""
    races: int = 0
    """Races in which one was accepted."""
    resends: int = 0
    """Resends that got the first answer."""

    def new_sheet(self) -> bytes:
        """Returns the sheet with a weight for rheintal that is new."""
        self.weights += 1
        return worlds.sheet().replace(
            b"account,rheintal,1,", b"account,rheintal,%d," % self.weights
        )


Failure = typing.Callable[
    [worlds.World, random.Random, Done],
    typing.Coroutine[typing.Any, typing.Any, None],
]
"""Breaks something and mends it; waits for nothing that others must mend
before they can."""


async def crash_engine(
    world: worlds.World, rng: random.Random, done: Done
) -> None:
    """An engine crashes and comes back as a new life."""
    del done
    name = "engine-1"
    world.announcers[name].stop()
    world.engines[name].faults.drop_after_bytes = 1
    await world.engines[name].stop()
    await support.next_turn(rng.uniform(0.0, 1.0))
    _return_engine(world, name)


async def reclaim_domain(
    world: worlds.World, rng: random.Random, done: Done
) -> None:
    """The endpoints of a failure domain go on short notice."""
    del done
    name = "engine-2"
    announcer = world.announcers[name]
    announcer.stop()
    while not await _told(announcer):
        await support.next_turn(0.02)
    await support.next_turn(rng.uniform(0.5, 1.0))
    world.engines[name].faults.drop_after_bytes = 1
    await world.engines[name].stop()
    announcer.facts.pop("reclaim_in_s", None)
    _return_engine(world, name)


async def _told(announcer: fakes.Announcer) -> bool:
    """Gives the notice to one instance, if it is up."""
    try:
        await announcer.notify_reclaim(1)
    except LOST:
        return False
    return True


def _return_engine(world: worlds.World, name: str) -> None:
    engine, announcer = world.engines[name], world.announcers[name]
    if engine.faults.drop_after_bytes is None:
        return
    engine.faults.drop_after_bytes = None
    engine.start()
    announcer.incarnation += 1
    announcer.start()


async def fail_swaps(
    world: worlds.World, rng: random.Random, done: Done
) -> None:
    """The next weight swaps fail."""
    del done
    for engine in world.engines.values():
        engine.faults.fail_swaps += rng.randint(1, 2)


async def kill_leader(
    world: worlds.World, rng: random.Random, done: Done
) -> None:
    """The leader dies in the middle of its work."""
    del done
    name = await world.leader()
    await _kill(world, name)
    await support.next_turn(rng.uniform(0.0, 1.5))
    await _restart(world, name)


async def isolate_leader(
    world: worlds.World, rng: random.Random, done: Done
) -> None:
    """The leader is cut off, silently, for longer than every lease."""
    del rng, done
    name = await world.leader()
    site = world.sites[name]
    world.isolate(name)
    # The other failure of a case may be of this kind, and heal both.
    await support.until(
        lambda: (
            site.instance is None
            or not site.is_isolated
            or not site.instance.control.entry.freshness.is_fresh(
                world.clock.now()
            )
        )
    )
    world.heal()


async def withdraw_key(
    world: worlds.World, rng: random.Random, done: Done
) -> None:
    """A key is withdrawn from a connected caller."""
    del rng
    key, secret = done.spare.pop()
    answer = await operate(world, "POST", f"/operator/keys/{key}/withdraw")
    assert answer.status == OK, answer
    done.withdrawn.append(secret)
    _note(done, answer)


async def race_operators(
    world: worlds.World, rng: random.Random, done: Done
) -> None:
    """Two operators apply different sheets under one number."""
    expected = str(await _revision(world))
    name = f"race-{rng.random()}"
    running = [
        defer.ensureDeferred(
            operate(
                world,
                "POST",
                "/operator/apply",
                body=done.new_sheet(),
                x_expect_revision=expected,
                x_request_id=f"{name}-{place}",
                x_operator=f"operator-{place}",
            )
        )
        for place in range(2)
    ]
    answers = [await one for one in running]
    won = [answer for answer in answers if answer.status == OK]
    assert len(won) <= 1, answers
    assert all(a.status in (OK, CONFLICT) for a in answers), answers
    done.races += len(won)
    for answer in won:
        _note(done, answer)


async def resend_change(
    world: worlds.World, rng: random.Random, done: Done
) -> None:
    """An operator loses the answer and sends the change again."""
    name = f"resend-{rng.random()}"
    expected = str(await _revision(world))
    body = done.new_sheet()
    answers = [
        await operate(
            world,
            "POST",
            "/operator/apply",
            body=body,
            x_expect_revision=expected,
            x_request_id=name,
        )
        for _ in range(2)
    ]
    if answers[0].status == OK:
        assert answers[1].status == OK, answers
        first, second = (a.document["revision"] for a in answers)
        assert first == second, answers
        done.resends += 1
        _note(done, answers[0])


async def lose_second(
    world: worlds.World, rng: random.Random, done: Done
) -> None:
    """A voter loses its disk, is repaired, and at once another one dies."""
    del done
    # Two disks that are lost at once are beyond what the promises assume.
    async with world.repairing:
        wiped = await _replace_disk(world, rng)
    second = rng.choice([n for n in world.sites if n != wiped])
    await _kill(world, second)
    await support.next_turn(rng.uniform(0.0, 1.5))
    await _restart(world, second)


async def _replace_disk(world: worlds.World, rng: random.Random) -> str:
    wiped = rng.choice(["i1", "i2", "i3"])
    await _kill(world, wiped)
    folder = world.sites[wiped].settings.data_dir
    assert folder is not None
    shutil.rmtree(folder)
    folder.mkdir()
    await _restart(world, wiped)
    await support.until(lambda: _is_repaired(world, wiped))
    return wiped


def _is_repaired(world: worlds.World, name: str) -> bool:
    instance = world.sites[name].instance
    if instance is None or instance.control.node is None:
        return False
    status = instance.control.node.status()
    voters = {member.instance for member in status.voters}
    return name in voters and not status.learners and status.applied_index > 0


async def restart_all(
    world: worlds.World, rng: random.Random, done: Done
) -> None:
    """All processes restart after hundreds of changes."""
    del rng
    for _ in range(CHANGES):
        answer = await operate(
            world,
            "POST",
            "/operator/apply",
            body=done.new_sheet(),
            x_expect_revision=str(await _revision(world)),
        )
        if answer.status == OK:
            _note(done, answer)
    for name in world.sites:
        await _kill(world, name)
    for name in world.sites:
        await _restart(world, name)


FAILURES: dict[str, Failure] = {
    "engine crashes": crash_engine,
    "failure domain reclaimed": reclaim_domain,
    "swaps fail": fail_swaps,
    "leader dies": kill_leader,
    "leader isolated": isolate_leader,
    "key withdrawn": withdraw_key,
    "operators race": race_operators,
    "operator resends": resend_change,
    "second lost after repair": lose_second,
    "all restart after changes": restart_all,
}
"""Every line of what fails, by name."""


async def operate(
    world: worlds.World, method: str, path: str, **more: typing.Any
) -> typing.Any:
    """Calls the leader until it answers with a verdict.

    A resend goes under the request id of its first sending.
    """
    more.setdefault("x_request_id", f"change-{secrets.token_hex(8)}")
    while True:
        try:
            answer = await world.operate(method, path, **more)
        except LOST:
            answer = None
        if answer is not None and answer.status < SERVER_ERROR:
            return answer
        await support.next_turn(0.02)


def _note(done: Done, answer: typing.Any) -> None:
    done.revision = max(done.revision, answer.document["revision"])


async def _revision(world: worlds.World) -> int:
    name = await world.leader()
    instance = world.sites[name].instance
    return 0 if instance is None else instance.control.entry.view.revision


async def _kill(world: worlds.World, name: str) -> None:
    async with world.changing:
        if world.sites[name].instance is not None:
            await world.kill(name)


async def _restart(world: worlds.World, name: str) -> None:
    async with world.changing:
        if world.sites[name].instance is None:
            await world.restart(name)
