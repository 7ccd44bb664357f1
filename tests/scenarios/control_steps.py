"""Steps about configuration, keys, orders and usage reports."""

import banyanbank_control as control
import behave
from twisted.internet import defer
from twisted.internet import error
from twisted.web import client

from tests import support
from tests.scenarios import common_steps  # noqa: F401
from tests.scenarios import request_steps
from tests.scenarios import world as world_module

OK = 200
LOST = (error.ConnectionLost, error.ConnectionDone, client.ResponseFailed)


def ask_long(context, is_stream):
    world = context.world

    async def play():
        document = request_steps.completion("long", 128) | {
            "stream": is_stream,
            "seed": 3,
        }
        context.long = defer.ensureDeferred(
            world.call("i1", "tesfaye", "POST", request_steps.CHAT, document)
        )
        await support.until(
            lambda: any(e.running for e in world.engines.values())
        )

    support.run_async(play)


@behave.when("tesfaye asks for a long completion")
def when_long(context):
    ask_long(context, is_stream=True)


@behave.when("tesfaye asks for a long completion in one piece")
def when_long_whole(context):
    ask_long(context, is_stream=False)


@behave.then("no engine has finished or works on")
def then_stopped(context):
    engines = context.world.engines.values()

    async def play():
        await support.until(lambda: not any(e.running for e in engines))

    support.run_async(play)
    assert not any(run.finished for e in engines for run in e.runs)


@behave.when("the key of {account} is withdrawn")
def when_withdrawn(context, account):
    async def play():
        key = context.world.keys[account]
        answer = await context.world.operate(
            "POST", f"/operator/keys/{key}/withdraw"
        )
        assert answer.status == OK, answer

    support.run_async(play)


@behave.then("the long completion ends without its whole answer")
def then_cut(context):
    async def play():
        try:
            answer = await context.long
        except LOST:
            return
        assert answer.status != OK, answer

    support.run_async(play)


@behave.then("the key of {account} is refused at every instance")
def then_refused(context, account):
    async def play():
        for name in context.world.sites:
            while True:
                answer = await context.world.call(
                    name, account, "GET", "/v1/models"
                )
                if answer.status == 401:
                    break
                await support.next_turn(0.02)

    support.run_async(play)


@behave.when("instance {name} is isolated")
def when_isolated(context, name):
    context.world.isolate(name)


@behave.then("{name} refuses keyed requests as not run")
def then_fails_closed(context, name):
    async def play():
        while True:
            answer = await context.world.call(
                name, "tesfaye", "GET", "/lookup/1"
            )
            if answer.status != OK:
                break
            await support.next_turn(0.05)
        runs = len(context.world.runs("/lookup"))
        answer = await context.world.call(name, "tesfaye", "GET", "/lookup/1")
        assert answer.document["outcome"] == "not run", answer
        assert len(context.world.runs("/lookup")) == runs

    support.run_async(play)


@behave.then("{name} still serves the open route")
def then_open(context, name):
    async def play():
        answer = await context.world.call(name, "", "GET", "/status/now")
        assert answer.status == OK, answer

    support.run_async(play)


def heavier_sheet(weight):
    """The sheet with another weight for rheintal."""
    lines = world_module.sheet().decode().splitlines()
    lines = [
        line.replace("account,rheintal,1,", f"account,rheintal,{weight},")
        for line in lines
    ]
    return "\n".join(lines).encode()


@behave.when(
    "an operator applies the sheet with weight {weight:d} for rheintal"
)
def when_applies(context, weight):
    world = context.world

    async def play():
        answer = await world.apply(
            heavier_sheet(weight), x_expect_revision=str(world.revision)
        )
        assert answer.status == OK, answer

    support.run_async(play)


@behave.then("every instance holds its revision")
def then_in_force(context):
    support.run_async(context.world.until_in_force)


@behave.when("the killed instance is started again")
def when_restarted(context):
    async def play():
        await context.world.restart(context.killed)
        await context.world.until_fresh()

    support.run_async(play)


@behave.then("every instance holds weight {weight:d} for rheintal")
def then_weight(context, weight):
    # An entry's last poll vouches for seconds; then it must have the change.
    support.run_async(context.world.until_in_force)
    for instance in context.world.up():
        view = instance.control.entry.view
        item = view.get(control.Kind.ACCOUNT, "rheintal")
        assert item.weight == weight, item


@behave.when("two operators apply different sheets under the same number")
def when_race(context):
    world = context.world
    expected = str(world.revision)

    async def play():
        running = [
            defer.ensureDeferred(
                world.apply(
                    heavier_sheet(weight),
                    x_expect_revision=expected,
                    x_request_id=f"race-{weight}",
                    x_operator=f"operator-{weight}",
                )
            )
            for weight in (5, 6)
        ]
        context.race = {
            weight: await one
            for weight, one in zip((5, 6), running, strict=True)
        }
        context.expected = expected

    support.run_async(play)


@behave.then("one is accepted and the other learns who won")
def then_one_wins(context):
    won = [w for w, answer in context.race.items() if answer.status == OK]
    assert len(won) == 1, context.race
    context.won = won[0]
    loser = context.race[11 - context.won]
    assert loser.status == 409, loser
    assert f"operator-{context.won}" in loser.document["detail"], loser


@behave.then("a resend of the accepted one gets its first answer")
def then_resend(context):
    async def play():
        again = await context.world.apply(
            heavier_sheet(context.won),
            x_expect_revision=context.expected,
            x_request_id=f"race-{context.won}",
            x_operator=f"operator-{context.won}",
        )
        first = context.race[context.won]
        assert again.status == OK, again
        assert again.document["revision"] == first.document["revision"]

    support.run_async(play)


@behave.when("{count:d} changes are made")
def when_changes(context, count):
    world = context.world

    async def play():
        for number in range(count):
            weight = number % 7 + 1
            answer = await world.apply(
                heavier_sheet(weight), x_expect_revision=str(world.revision)
            )
            assert answer.status == OK, answer

    support.run_async(play)


@behave.when("all instances are killed and started again")
def when_all_restart(context):
    world = context.world

    async def play():
        for name in world.sites:
            await world.kill(name)
        for name in world.sites:
            await world.restart(name)
        await world.until_fresh()

    support.run_async(play)


@behave.then("every instance holds the newest revision")
def then_newest(context):
    support.run_async(context.world.until_in_force)
    for instance in context.world.up():
        held = instance.control.entry.view.revision
        assert held == context.world.revision, held


@behave.given("the platform names the endpoints that it will start")
def given_named(context):
    context.world.platform.names_endpoints = True


@behave.when("tesfaye asks for {count:d} long completions at once")
def when_many_long(context, count):
    world = context.world

    async def play():
        for number in range(count):
            document = request_steps.completion(f"long {number}", 128)
            asked = world.call(
                "i1", "tesfaye", "POST", request_steps.CHAT, document
            )
            # The answers are no part of it: they end with the scenario.
            defer.ensureDeferred(asked).addErrback(
                lambda fail: fail.trap(*LOST)
            )
        await support.until(
            lambda: all(e.running for e in world.engines.values())
        )

    support.run_async(play)


def started(context):
    """Needs of the start orders, by idempotency key."""
    return {
        order["idempotency_key"]: (
            order["model"],
            order["failure_domain"],
            order["supply"],
        )
        for order in context.world.platform.orders
        if order["action"] == "start"
    }


@behave.then("the platform gets orders for {count:d} more endpoints of {model}")
def then_ordered(context, count, model):
    async def play():
        await support.until(lambda: len(started(context)) >= count)

    support.run_async(play)
    assert {place[0] for place in started(context).values()} == {model}


@behave.then("each need is ordered once")
def then_once(context):
    world = context.world

    async def play():
        machine = world.sites[await world.leader()].instance.control.machine
        await support.until(
            lambda: all(
                order.status is control.OrderStatus.ACKNOWLEDGED
                for order in machine.state.orders.live.values()
            )
        )
        return machine.state.orders

    orders = support.run_async(play)
    assert len(orders.live) == len(started(context)), started(context)
    assert len(orders.needs) == len(orders.live), orders.needs
    assert not orders.closed.entries, orders.closed


@behave.when("instance {name} with a data folder is started")
def when_added(context, name):
    async def play():
        site = context.world.add_site(name)
        await site.build(context.world.reactor).start()
        await context.world.until_fresh()

    support.run_async(play)


@behave.when("{name} is made a voter")
def when_voter(context, name):
    world = context.world

    async def play():
        answer = await world.operate("POST", f"/operator/voters/{name}/add")
        assert answer.status == OK, answer
        node = world.sites[name].instance.control.node
        await support.until(
            lambda: name in [m.instance for m in node.status().voters]
        )

    support.run_async(play)


@behave.when("a voter that does not lead is removed and killed")
def when_voter_removed(context):
    world = context.world

    async def play():
        leader = await world.leader()
        name = next(n for n in ("i1", "i2", "i3") if n != leader)
        path = f"/operator/voters/{name}/remove"
        while (await world.operate("POST", path)).status != OK:
            await support.next_turn(0.1)
        await world.kill(name)

    support.run_async(play)
