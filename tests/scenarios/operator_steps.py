"""Steps about what operators are shown."""

import behave

from tests import support
from tests.scenarios import common_steps  # noqa: F401
from tests.scenarios import rollout_steps
from tests.scenarios import world as world_module

OK = 200


async def figures_at(world, name):
    caller = world.caller(name, "operators-token", True)
    answer = await caller.call("GET", "/operator/status")
    assert answer.status == OK, answer
    return answer.document["figures"]


def seconds_of(figures):
    """Seconds that engines in zone-1 ran."""
    return sum(
        row["seconds"]
        for row in figures["endpoint_time"]
        if row["failure_domain"] == "zone-1" and row["kind"] == "engine"
    )


@behave.when(
    "the batch of step {step:d} is fetched at an instance that does not lead"
)
def when_fetched(context, step):
    world = context.world

    async def play():
        leader = await world.leader()
        context.fetcher = next(name for name in world.sites if name != leader)
        answer = await rollout_steps.fetch(world, step, context.fetcher)
        assert answer.status == OK, answer

    support.run_async(play)


@behave.then("every instance tells the same figures of trainer folds")
def then_same(context):
    world = context.world

    async def play():
        told = [await figures_at(world, name) for name in world.sites]
        rows = [figures["trainers"][0] for figures in told]
        idle = {row["idle_s"] for row in rows}
        assert len(idle) == 1 and min(idle) > 0, rows
        assert all(row["step"] == 1 for row in rows), rows
        assert all(row["samples_whole"] == 16 for row in rows), rows
        assert all(row["samples_open"] == 0 for row in rows), rows
        assert all(row["oldest_age_versions"] == 0 for row in rows), rows
        assert not any(figures["missing"] for figures in told), told

    support.run_async(play)


@behave.then("the status counts tokens of tesfaye and the engines' time")
def then_tokens(context):
    world = context.world

    async def play():
        context.figures = await figures_at(world, context.fetcher)
        rows = context.figures["accounts"]
        assert {row["account"] for row in rows} == {"tesfaye"}, rows
        runs = [run for e in world.engines.values() for run in e.runs]
        made = sum(run.tokens for run in runs if run.finished)
        assert sum(row["tokens"] for row in rows) >= made > 0, (rows, made)
        assert seconds_of(context.figures) > 0, context.figures

    support.run_async(play)


async def look_up(world, name):
    answer = await world.call(name, "rheintal", "GET", "/lookup/1")
    return answer.status


@behave.then(
    "calls of rheintal to a service are timed, and those over its limits"
    " counted"
)
def then_services(context):
    world = context.world

    async def play():
        statuses = [await look_up(world, context.fetcher) for _ in range(3)]
        assert statuses == [OK] * 3, statuses
        sheet = world_module.sheet().replace(
            b"account,rheintal,1,1000,", b"account,rheintal,1,1,"
        )
        applied = await world.apply(
            sheet, x_expect_revision=str(world.revision)
        )
        assert applied.status == OK, applied
        while 429 not in statuses:
            statuses.append(await look_up(world, context.fetcher))
        figures = await figures_at(world, context.fetcher)
        (row,) = (r for r in figures["accounts"] if r["kind"] == "service")
        told = (row["account"], row["requests"])
        assert told == ("rheintal", statuses.count(OK)), (row, statuses)
        (refused,) = figures["refused_by_limits"]
        assert refused == {"account": "rheintal", "requests": 1}, refused

    support.run_async(play)


@behave.then("the idle time of trainer folds has not changed")
def then_kept(context):
    async def play():
        before = context.figures["trainers"][0]["idle_s"]
        after = await figures_at(context.world, context.fetcher)
        assert after["trainers"][0]["idle_s"] == before, (before, after)
        # The new leader counts on, once it has heard of the endpoints.
        while not seconds_of(after):
            await support.next_turn(0.02)
            after = await figures_at(context.world, context.fetcher)

    support.run_async(play)


@behave.then("every instance says that version {version:d} is missing")
def then_missing(context, version):
    world = context.world

    async def play():
        for name in world.sites:
            told = None
            while told != [("coach", version, "missing")]:
                figures = await figures_at(world, name)
                told = [
                    (row["model"], row["version"], row["reason"])
                    for row in figures["withheld_versions"]
                ]

    support.run_async(play)
