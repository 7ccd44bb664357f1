"""Steps about orders and usage reports, as the platform receives them."""

import collections

import behave

from tests import support
from tests.scenarios import common_steps  # noqa: F401

OK = 200
WINDOW_S = 61.0


@behave.when("the leader is isolated")
def when_leader_isolated(context):
    world = context.world

    async def play():
        context.isolated = await world.leader()
        await support.until(lambda: world.platform.orders)
        world.isolate(context.isolated)

    support.run_async(play)


@behave.when("another instance leads")
def when_successor(context):
    async def play():
        leader = await context.world.leader()
        assert leader != context.isolated
        node = context.world.sites[leader].instance.control.node
        context.epoch = node.epoch
        # At no moment do two instances hold the lease.
        isolated = context.world.sites[context.isolated].instance
        assert not isolated.control.node.lease_held()

    support.run_async(play)


@behave.when("the successor has sent an order")
def when_order(context):
    platform = context.world.platform

    async def play():
        await support.until(
            lambda: platform.orders[-1]["fencing_token"] == context.epoch
        )

    support.run_async(play)


@behave.then(
    "the platform never got an order with an older fencing token after it"
)
def then_tokens_rise(context):
    tokens = [o["fencing_token"] for o in context.world.platform.orders]
    assert tokens == sorted(tokens), tokens


@behave.then("equal order keys came with equal content")
def then_equal_orders(context):
    contents = collections.defaultdict(set)
    for order in context.world.platform.orders:
        fixed = {k: v for k, v in order.items() if k != "fencing_token"}
        contents[order["idempotency_key"]].add(repr(fixed))
    assert all(len(forms) == 1 for forms in contents.values()), contents


@behave.given("the platform loses its answers")
def given_platform_lossy(context):
    context.world.platform.faults.drop_before_answer = True
    # A platform that checked tokens would hide what an old leader sent.
    context.world.platform.faults.ignore_fencing = True


@behave.when("tesfaye asks {count:d} lookups")
def when_lookups(context, count):
    world = context.world

    async def play():
        for number in range(count):
            answer = await world.call(
                f"i{number % 3 + 1}", "tesfaye", "GET", f"/lookup/{number}"
            )
            assert answer.status == OK, answer
        await support.until(
            lambda: not any(i.control.usage.has_unflushed for i in world.up())
        )

    support.run_async(play)


@behave.when("the window ends and its report is sent")
def when_window_ends(context):
    context.world.clock.shift_s += WINDOW_S
    context.reported = 0
    when_report_again(context)


@behave.when("the platform answers again")
def when_platform_answers(context):
    context.world.platform.faults.drop_before_answer = False


@behave.when("the report is sent once more")
def when_report_again(context):
    reports = context.world.platform.reports
    before = len(reports)

    async def play():
        await support.until(lambda: len(reports) > before)

    support.run_async(play)


@behave.then("all reports of a window have equal figures")
def then_equal_reports(context):
    figures = collections.defaultdict(set)
    for report in context.world.platform.reports:
        fixed = {k: v for k, v in report.items() if k != "fencing_token"}
        figures[report["window"]].add(repr(fixed))
    assert all(len(forms) == 1 for forms in figures.values()), figures
    tokens = [r["fencing_token"] for r in context.world.platform.reports]
    assert tokens == sorted(tokens), tokens
    assert len(set(tokens)) > 1, "only one leader has reported"


@behave.then("the reports count {count:d} calls of {account}")
def then_calls(context, count, account):
    windows = {r["window"]: r for r in context.world.platform.reports}
    calls = sum(
        row["calls"]
        for report in windows.values()
        for row in report["rows"]
        if row["account"] == account
    )
    assert calls == count, windows
