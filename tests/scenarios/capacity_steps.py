"""Steps about endpoints that are ordered, drained and stopped."""

import behave
from twisted.internet import defer

from tests import support
from tests.scenarios import common_steps
from tests.scenarios import request_steps
from tests.scenarios import world as world_module

OK = 200
LIMITED = 429
NO_ENDPOINT = 503
ROUNDS_AFTER = 5


class WatchedOrders(list):
    """Orders at the platform; notes what runs where when one comes."""

    def __init__(self, engines):
        super().__init__()
        self._engines = engines
        self.running = {}
        self.runs = {}

    def append(self, order):
        super().append(order)
        name = order["endpoint"]
        if order["action"] == "stop" and name not in self.running:
            self.running[name] = self._engines[name].running
            self.runs[name] = len(self._engines[name].runs)


@behave.given("{size:d} instances that give endpoints back after {limit:d} s")
def given_instances(context, size, limit):
    world = world_module.World(size, scale_down_after_s=float(limit))
    world.platform.orders = WatchedOrders(world.engines)
    common_steps.begin(context, world)


@behave.given("bounds for coach of {least:d} to {most:d}, safe {floor:d}")
def given_bounds(context, least, most, floor):
    sheet = world_module.sheet()
    bounds = f",{least},{most},{floor},zone-1".encode()
    changed = sheet.replace(b",4,6,2,zone-1", bounds)
    assert changed != sheet

    async def play():
        answer = await context.world.apply(
            changed, x_expect_revision=str(context.world.revision)
        )
        assert answer.status == OK, answer

    support.run_async(play)


@behave.given("reclaimable engine {name} in {zone}")
def given_reclaimable(context, name, zone):
    async def play():
        before = len(context.world.announcers)
        context.world.add_engine(name, zone, reclaimable=True)
        await context.world.until_serving(before + 1)

    support.run_async(play)


@behave.when("lookups of coach go on at every instance")
def when_lookups_go_on(context):
    world = context.world
    context.rounds = dict.fromkeys(world.sites, 0)
    context.lookups_end = False

    async def look_up(name):
        while not context.lookups_end:
            number = context.rounds[name]
            document = request_steps.completion(f"{name} {number}", 64)
            document["stream"] = True
            answer = await world.call(
                name, "tesfaye", "POST", request_steps.CHAT, document
            )
            if answer.status == LIMITED:
                await support.next_turn(0.1)
                continue
            assert answer.status == OK, answer
            assert answer.body.endswith(b"[DONE]\n\n"), answer
            context.rounds[name] += 1

    context.lookups = [defer.ensureDeferred(look_up(n)) for n in world.sites]


@behave.then("the platform gets {count:d} orders to stop, one for {name}")
def then_stopped(context, count, name):
    orders = context.world.platform.orders

    async def play():
        await support.until(lambda: len(orders.running) >= count)

    support.run_async(play)
    assert name in orders.running, orders
    assert len(orders.running) == count, orders


@behave.then("nothing ran on them when they were to stop, or came after")
def then_idle(context):
    world = context.world
    orders = world.platform.orders
    context.stopped = set(orders.running)

    async def play():
        before = dict(context.rounds)
        await support.until(
            lambda: all(
                context.rounds[name] >= count + ROUNDS_AFTER
                for name, count in before.items()
            )
        )

    support.run_async(play)
    assert set(orders.running.values()) == {0}, orders.running
    for name, count in orders.runs.items():
        assert len(world.engines[name].runs) == count, name


@behave.then("a safe engine goes on, and every lookup has its whole answer")
def then_safe(context):
    orders = context.world.platform.orders
    context.lookups_end = True
    support.run_async(lambda: _all(context.lookups))
    assert set(orders.running) == context.stopped, orders.running
    assert not {"engine-1", "engine-2"} <= context.stopped


async def _all(running):
    await defer.gatherResults(running, consumeErrors=True)


@behave.when("tesfaye asks for coach at {name} until an endpoint is ordered")
def when_asks(context, name):
    world = context.world

    async def play():
        while not world.platform.orders:
            answer = await _ask(world, name)
            assert answer.status == NO_ENDPOINT, answer
            assert answer.document["outcome"] == "not run", answer
            await support.next_turn(0.05)

    support.run_async(play)
    (order,) = world.platform.orders
    assert (order["action"], order["model"]) == ("start", "coach"), order


@behave.when("the platform starts what was ordered")
def when_started(context):
    async def play():
        (order,) = context.world.platform.orders
        is_cheap = order["supply"] == "reclaimable"
        context.world.add_engine(
            "new-1", order["failure_domain"], reclaimable=is_cheap
        )
        await context.world.until_serving(1)

    support.run_async(play)


@behave.then("{account} has an answer of coach at {name}")
def then_answered(context, account, name):
    del account
    answer = support.run_async(lambda: _ask(context.world, name))
    assert answer.status == OK, answer


async def _ask(world, name):
    document = request_steps.completion("from zero", 8)
    return await world.call(
        name, "tesfaye", "POST", request_steps.CHAT, document
    )
