"""Steps about trainers, samples, batches and weights."""

import collections

import behave

from tests import support
from tests.scenarios import common_steps  # noqa: F401
from tests.scenarios import world as world_module

GROUPS = 4
SAMPLES = 16
OK = 200


async def fetch(world, step, name=None):
    """Fetches a batch at an instance; asks again while none leads."""
    names = [i.identity.name for i in world.up()] if name is None else [name]
    while True:
        answer = await world.call(
            names[0],
            "tesfaye",
            "GET",
            f"/v1/rollouts/folds/steps/{step}/batch?wait_s=30",
        )
        if answer.status not in (204, 503):
            return answer


@behave.when("trainer folds is declared with 2 groups of 8 samples")
def when_declared(context):
    declare(context.world, b",coach,4,4,/grade", b",coach,8,2,/grade")


@behave.given("models coach and label are declared")
def given_models(context):
    declare(
        context.world,
        b"model,coach,",
        b"model,label" + 21 * b"," + b"\nmodel,coach,",
    )


def declare(world, old, new):
    """Puts the sheet in force with one text replaced."""
    sheet = world_module.sheet()
    changed = sheet.replace(old, new)
    assert changed != sheet

    async def play():
        answer = await world.apply(
            changed, x_expect_revision=str(world.revision)
        )
        assert answer.status == OK, answer
        await world.until_in_force()

    support.run_async(play)


@behave.when("trainer folds submits group 0 of step {step:d}")
def when_submits_one(context, step):
    submit(context, step, 1)


@behave.when("trainer folds submits step {step:d}")
def when_submits(context, step):
    submit(context, step, GROUPS)


def submit(context, step, groups):
    """Submits the first groups of a step, each at another instance."""

    async def play():
        for group in range(groups):
            answer = await context.world.call(
                f"i{group % 3 + 1}",
                "tesfaye",
                "POST",
                "/v1/rollouts/folds/groups",
                {
                    "step": step,
                    "group": group,
                    "prompt": f"critique {group}",
                    "max_tokens": 120,
                },
            )
            assert answer.status == 202, answer

    support.run_async(play)


@behave.when("every engine takes version 2 while samples are generated")
def when_versions_change(context):
    engines = context.world.engines.values()

    async def play():
        await support.until(
            lambda: all(any(r.tokens for r in e.runs) for e in engines)
        )
        for engine in engines:
            engine.weight_version = 2

    support.run_async(play)


@behave.then(
    "the batch of step {step:d} names the versions that the engines used"
)
def then_versions(context, step):
    world = context.world

    async def play():
        answer = await fetch(world, step)
        assert answer.status == OK, answer
        # The engine's own record, by the id that it was sent.
        truth = {
            run.request_id.rpartition(".")[0]: run.versions
            for engine in world.engines.values()
            for run in engine.runs
            if run.finished
        }
        mixed = 0
        for sample in answer.document["samples"]:
            told = collections.Counter()
            for stretch in sample["weight_versions"]:
                told[stretch["version"]] += stretch["tokens"]
            assert told == truth[sample["attempt_id"]], sample
            mixed += len(told) > 1
        assert mixed > 0, "no sample was under way at the swap"

    support.run_async(play)


@behave.when("the samples of step {step:d} are recorded")
def when_recorded(context, step):
    world = context.world

    async def play():
        await support.until(
            lambda: any(
                len(state.samples) == SAMPLES
                for instance in world.up()
                for state in instance.control.rollouts.ledger.steps()
                if state.step == step
            )
        )

    support.run_async(play)


@behave.then("the batch of step {step:d} holds no version below {least:d}")
def then_fresh(context, step, least):
    async def play():
        answer = await fetch(context.world, step)
        assert answer.status == OK, answer
        versions = {
            stretch["version"]
            for sample in answer.document["samples"]
            for stretch in sample["weight_versions"]
        }
        assert min(versions) >= least, versions

    support.run_async(play)


@behave.when("the batch of step {step:d} is fetched")
def when_fetched(context, step):
    async def play():
        context.batch = (await fetch(context.world, step)).document

    support.run_async(play)


@behave.then("the batch of step {step:d} is the same at every instance")
def then_same(context, step):
    async def play():
        batches = [
            (await fetch(context.world, step, i.identity.name)).document
            for i in context.world.up()
        ]
        batches.append(getattr(context, "batch", batches[0]))
        slots = [(s["group"], s["index"]) for s in batches[0]["samples"]]
        assert len(set(slots)) == len(slots) == SAMPLES, slots
        assert all(batch == batches[0] for batch in batches)
        context.batch = batches[0]

    support.run_async(play)


@behave.then("after its acknowledgement no instance hands it out again")
def then_acknowledged(context):
    async def play():
        batch = context.batch["batch_id"]
        path = f"/v1/rollouts/folds/batches/{batch}/acknowledge"
        for name in context.world.sites:
            answer = await context.world.call(name, "tesfaye", "POST", path)
            assert answer.status == OK, answer
        for name in context.world.sites:
            answer = await fetch(context.world, 1, name)
            assert answer.status != OK, answer

    support.run_async(play)


@behave.when("engine {name} crashes while it generates")
def when_crashes(context, name):
    engine = context.world.engines[name]

    async def play():
        await support.until(lambda: engine.running)
        context.world.announcers[name].stop()
        engine.faults.drop_after_bytes = 1
        await engine.stop()

    support.run_async(play)


@behave.then("the batch of step {step:d} is whole")
def then_whole(context, step):
    async def play():
        answer = await fetch(context.world, step)
        assert answer.status == OK, answer
        assert len(answer.document["samples"]) == SAMPLES

    support.run_async(play)


@behave.when("the endpoints of {zone} get notice and go")
def when_reclaimed(context, zone):
    world = context.world
    gone = [
        name
        for name, announcer in world.announcers.items()
        if announcer.facts["failure_domain"] == zone and name in world.engines
    ]

    async def play():
        for name in gone:
            announcer = world.announcers[name]
            announcer.stop()
            await announcer.notify_reclaim(1)
        await support.until(
            lambda: all(
                announcement.endpoint not in gone
                for i in world.up()
                for announcement in i.dispatch.fleet.serving()
            )
        )
        context.runs_at_notice = {
            name: len(world.engines[name].runs) for name in gone
        }
        await support.next_turn(1.0)
        for name in gone:
            world.engines[name].faults.drop_after_bytes = 1
            await world.engines[name].stop()

    support.run_async(play)


@behave.then("no endpoint of {zone} got new work after its notice")
def then_no_new_work(context, zone):
    del zone
    for name, count in context.runs_at_notice.items():
        assert len(context.world.engines[name].runs) == count, name


@behave.when("the leader drains while samples are generated")
def when_leader_drains(context):
    world = context.world
    engines = world.engines.values()

    async def play():
        await support.until(
            lambda: any(run.tokens > 8 for e in engines for run in e.runs)
        )
        site = world.sites[await world.leader()]
        instance, site.instance = site.instance, None
        await instance.drain()
        context.runs_before = [run for e in engines for run in e.runs]
        await world.leader()

    # A drain waits for connections of peers to end.
    support.run_async(play, 120.0)


@behave.then("an attempt went on from the tokens that the leader had")
def then_went_on(context):
    cut = [run for run in context.runs_before if not run.finished]
    after = [
        run.prompt
        for engine in context.world.engines.values()
        for run in engine.runs
        if run not in context.runs_before
    ]
    went_on = [
        prompt
        for prompt in after
        for run in cut
        if prompt != run.prompt and prompt.startswith(run.prompt)
    ]
    assert went_on, (cut, after)
