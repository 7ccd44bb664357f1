"""Steps that every feature uses."""

import behave

from tests import support
from tests.scenarios import world as world_module

ACCOUNTS = ("tesfaye", "rheintal")


@behave.given("{size:d} instances with the sheet in force")
def given_instances(context, size):
    begin(context, world_module.World(size))


def begin(context, world):
    """Starts the instances of a world and puts the sheet in force."""
    context.world = world

    async def play():
        await context.world.start()
        answer = await context.world.apply(
            world_module.sheet(), x_expect_revision="0"
        )
        assert answer.status == world_module.OK, answer
        for account in ACCOUNTS:
            await context.world.create_key(account)

    support.run_async(play)


@behave.given("engines {one} in {zone_one} and {other} in {zone_other}")
def given_engines(context, one, zone_one, other, zone_other):
    async def play():
        context.world.add_engine(one, zone_one)
        context.world.add_engine(other, zone_other)
        await context.world.until_serving(2)

    support.run_async(play)


@behave.given("services {one} and {other}")
def given_services(context, one, other):
    async def play():
        before = len(context.world.announcers)
        context.world.add_service(one)
        context.world.add_service(other)
        await context.world.until_serving(before + 2)

    support.run_async(play)


@behave.given("the engines make a token in {count:d} ms")
def given_token_time(context, count):
    for engine in context.world.engines.values():
        engine.token_s = count / 1_000


@behave.when("the leader is killed")
def when_leader_killed(context):
    async def play():
        context.killed = await context.world.leader()
        await context.world.kill(context.killed)
        await context.world.leader()
        await context.world.until_fresh()

    support.run_async(play)
