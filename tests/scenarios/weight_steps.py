"""Steps about weights: publications, swaps, engines out of service."""

import behave

from tests import support
from tests.scenarios import common_steps  # noqa: F401

OK = 200
BAD_REQUEST = 400


@behave.given("the engines refuse weight orders")
def given_no_swaps(context):
    for engine in context.world.engines.values():
        engine.faults.fail_swaps = 1_000_000


@behave.given("engine {name} is left without whole weights by its next swaps")
def given_mixed_swaps(context, name):
    context.world.engines[name].faults.mixed_swaps = 1_000_000


@behave.then("every instance knows that {name} is out of service")
def then_avoided(context, name):
    world = context.world

    def knows(instance):
        endpoints = instance.control.entry.endpoints
        return not endpoints.in_service(name, "coach")

    async def play():
        await support.until(lambda: all(knows(i) for i in world.up()))

    support.run_async(play)


async def look_up(world, count):
    """Asks for short completions at each instance."""
    for number in range(count):
        for instance in world.up():
            call = {"model": "coach", "prompt": f"p{number}", "max_tokens": 4}
            status = 0
            # An owner that was killed just now answers nobody.
            while status != OK:
                answer = await world.call(
                    instance.identity.name,
                    "tesfaye",
                    "POST",
                    "/v1/completions",
                    call,
                )
                status = answer.status
                assert status in (OK, 503), answer


@behave.then("no lookup of coach at any instance goes to {name}")
def then_no_lookup(context, name):
    runs = context.world.engines[name].runs
    before = len(runs)
    support.run_async(lambda: look_up(context.world, 8))
    assert len(runs) == before, runs[before:]


@behave.then("lookups of coach go to {name} again")
def then_lookups(context, name):
    world = context.world
    runs = world.engines[name].runs
    before = len(runs)

    async def play():
        while len(runs) == before:
            await look_up(world, 1)

    support.run_async(play)


@behave.when("the engines take weight orders again")
def when_swaps(context):
    for engine in context.world.engines.values():
        engine.faults.fail_swaps = 0
        engine.faults.mixed_swaps = 0


@behave.given("the weight store lacks version {version:d}")
def given_lacks(context, version):
    context.world.store.missing.add(version)


@behave.then("no engine was ordered to load weights")
def then_no_orders(context):
    assert not any(e.orders for e in context.world.engines.values())


@behave.when(
    "the weight store has version {version:d} and refuses its next question"
)
def when_store_has(context, version):
    context.world.store.missing.discard(version)
    context.world.store.refusals = 1


@behave.when("trainer folds publishes version {version:d}")
def when_publishes(context, version):
    answer = publish(context, version)
    assert answer.status == OK, answer


@behave.when("trainer folds publishes adapter {version:d} of {name}")
def when_publishes_adapter(context, name, version):
    answer = publish(context, version, base_model=name)
    assert answer.status == OK, answer


def publish(context, version, **more):
    """Publishes weights at one instance and returns its answer."""
    document = {"version": version, "location": "w", "size_bytes": 1_000}
    return support.run_async(
        lambda: context.world.call(
            "i1",
            "tesfaye",
            "POST",
            "/v1/rollouts/folds/versions",
            document | more,
        )
    )


@behave.then("every order to load version {version:d} names model {name}")
def then_base_model(context, version, name):
    for engine in context.world.engines.values():
        orders = [o for o in engine.orders if o["version"] == version]
        assert orders, engine
        assert {order["base_model"] for order in orders} == {name}, orders


@behave.then("adapters of {one} and of {other} are refused")
def then_refused(context, one, other):
    for name in (one, other):
        answer = publish(context, 9, base_model=name)
        assert answer.status == BAD_REQUEST, answer


@behave.given(
    "engine {one} fails {failures:d} swap and engine {other} half-fails"
    " {halves:d} swap"
)
def given_swap_faults(context, one, failures, other, halves):
    context.world.engines[one].faults.fail_swaps = failures
    context.world.engines[other].faults.half_swaps = halves


@behave.then("every engine makes tokens with version {version:d}")
def then_version(context, version):
    engines = context.world.engines.values()

    async def play():
        await support.until(
            lambda: all(e.weight_version == version for e in engines)
        )

    # A half-failed swap is found out by its time limit of a minute.
    support.run_async(play, 150.0)
