"""The promises through silent cuts between processes."""

import collections
import typing

import attrs
import banyanbank_fakes as fakes

from tests import links
from tests import support
from tests.processes import cluster
from tests.processes import world as worlds

OK = 200
NOT_RUN = "not run"
BOOKINGS = 20
LONG_LIMIT_S = 240.0
HEAVIER = worlds.SHEET.replace(b"account,rheintal,1,", b"account,rheintal,3,")
"""The sheet with another weight for one client account."""

Cut = typing.Callable[[links.Links, str, list[str]], None]


def both_ways(net: links.Links, name: str, others: list[str]) -> None:
    """Isolates an instance; nobody is told."""
    net.part([name], others)


def mute(net: links.Links, name: str, others: list[str]) -> None:
    """Lets nothing that an instance sends arrive; it hears all the others."""
    net.cut([name], others)


def deaf(net: links.Links, name: str, others: list[str]) -> None:
    """Lets an instance hear nothing; all the others hear it."""
    net.cut(others, [name])


@attrs.define
class LeaderWrites:
    """What the platform got of a leader after its successor led."""

    platform: fakes.FakePlatform
    """Receives orders and reports."""
    epoch: int
    """Epoch of the old leader."""
    orders: int = 0
    """Orders that came before the successor led."""
    reports: int = 0
    """Reports that came before the successor led."""

    def mark(self) -> None:
        """Notes that the successor leads."""
        self.orders = len(self.platform.orders)
        self.reports = len(self.platform.reports)

    def later(self) -> list[dict[str, typing.Any]]:
        """Returns what came since, of any leader."""
        return [
            *self.platform.orders[self.orders :],
            *self.platform.reports[self.reports :],
        ]

    def late(self) -> list[dict[str, typing.Any]]:
        """Returns what the old leader wrote since."""
        return [m for m in self.later() if m["fencing_token"] <= self.epoch]


class PartitionCase(worlds.ProcessCase):
    """Shared acts and checks; verdicts come from the stand-ins' records."""

    def check_platform(self, platform: fakes.FakePlatform) -> None:
        """Checks that one leader at a time wrote, and the same each time."""
        for messages, key in (
            (platform.orders, "idempotency_key"),
            (platform.reports, "window"),
        ):
            tokens = [message["fencing_token"] for message in messages]
            self.assertEqual(tokens, sorted(tokens))
            forms: dict[object, set[str]] = collections.defaultdict(set)
            for message in messages:
                fixed = {**message, "fencing_token": 0}
                forms[message[key]].add(repr(fixed))
            self.assertTrue(all(len(f) == 1 for f in forms.values()), forms)

    def check_load(self, load: worlds.Load) -> None:
        """Checks that answers are true and bookings ran at most once."""
        self.assertEqual(load.failed, [])
        self.check_runs(load)

    def check_runs(self, load: worlds.Load) -> None:
        """Checks that bookings ran at most once, and if they were answered."""
        runs = load.runs_by_path()
        self.assertLessEqual(max(runs.values()), 1, runs)
        for key, answers in load.answers.items():
            if answers and answers[0].status == OK:
                path = f"/refill/{key.removeprefix('booking-')}"
                self.assertEqual(runs[path], 1, key)

    async def check_closed(self, world: worlds.World, name: str) -> None:
        """Checks that a cut-off instance serves open routes only."""
        keyed = world.cluster.caller(name, world.secrets["rheintal"])
        await cluster.until_refused(
            keyed, "/lookup/fresh", "configuration-stale"
        )
        for method, path in (
            ("GET", "/lookup/closed"),
            ("POST", "/refill/closed"),
        ):
            answer = await keyed.call(method, path, {}, idempotency_key=path)
            self.assertEqual(answer.document["outcome"], NOT_RUN, answer)
        # It may only use endpoints that it hears itself, each now and then.
        anyone = world.cluster.caller(name, "")
        while (await anyone.call("GET", f"/status/{name}")).status != OK:
            await support.next_turn(0.05)
        paths = {run.path for run in world.service.runs}
        self.assertIn(f"/status/{name}", paths)

    def check_refusals_true(self, world: worlds.World) -> None:
        """Checks that nothing ran of what was refused as not run."""
        paths = {run.path for run in world.service.runs}
        self.assertTrue(paths.isdisjoint({"/lookup/closed", "/refill/closed"}))

    async def check_withdrawn(
        self, world: worlds.World, secret: str, names: list[str]
    ) -> None:
        """Checks that a key stops working and then never works again."""
        callers = [world.cluster.caller(name, secret) for name in names]
        for caller in callers:
            await cluster.until_refused(
                caller, "/lookup/withdrawn", "key-withdrawn"
            )
        count = _count(world, "/lookup/withdrawn")
        for caller in callers * 2:
            answer = await caller.call("GET", "/lookup/withdrawn")
            self.assertEqual(answer.document["outcome"], NOT_RUN, answer)
        self.assertEqual(_count(world, "/lookup/withdrawn"), count)

    async def change(self, world: worlds.World, at: str, key: str) -> int:
        """Withdraws a key and applies a sheet; returns the last revision."""
        operator = world.cluster.operator(at)
        path = f"/operator/keys/{key}/withdraw"
        withdrawn = await operator.call("POST", path)
        self.assertEqual(withdrawn.status, OK, withdrawn)
        applied = await operator.call(
            "POST",
            "/operator/apply",
            body=HEAVIER,
            x_expect_revision=str(withdrawn.document["revision"]),
        )
        self.assertEqual(applied.status, OK, applied)
        return int(applied.document["revision"])

    async def check_in_force(
        self, world: worlds.World, revision: int, names: list[str]
    ) -> None:
        """Checks that instances hold a revision and the sheet's weight."""
        for name in names:
            operator = world.cluster.operator(name)
            config = await operator.call("GET", "/operator/config")
            self.assertEqual(config.document["revision"], revision, name)
            rows = config.document["sheet"].splitlines()
            (row,) = (r for r in rows if r.startswith("account,rheintal,"))
            self.assertEqual(row.split(",")[2], "3", name)


class LeaderCutTest(PartitionCase):
    """The leader is cut off silently, for longer than every lease."""

    def test_both_ways(self) -> None:
        self.play_cut(both_ways, awaits_report=True)

    def test_mute(self) -> None:
        self.play_cut(mute)

    def test_deaf(self) -> None:
        self.play_cut(deaf)

    def play_cut(self, cut: Cut, *, awaits_report: bool = False) -> None:
        async def story(world: worlds.World) -> None:
            # Answers that are lost make whoever leads write again.
            world.platform.faults.drop_before_answer = True
            # A platform that checked tokens would hide what an old one sent.
            world.platform.faults.ignore_fencing = True
            key, secret = await world.cluster.create_key("tesfaye")
            load = world.load()
            await support.until(lambda: world.platform.orders)
            leader = await world.cluster.leader()
            writes = await self.cut_off(world, leader, cut)
            others = [n for n in world.cluster.processes if n != leader]
            await self.check_closed(world, leader)
            revision = await self.change(world, others[0], key)
            await self.check_withdrawn(world, secret, others)
            may_have_run = await self.ask_old_leader(world, leader)
            count = len(load.answers)
            await support.until(lambda: len(load.answers) > count + BOOKINGS)
            await support.until(writes.later)
            if awaits_report:
                await support.until(
                    lambda: len(world.platform.reports) > writes.reports
                )
            world.cluster.links.heal()
            await world.cluster.until_fresh(*world.cluster.processes)
            names = list(world.cluster.processes)
            await world.cluster.until_revision(revision, *names)
            await self.check_withdrawn(world, secret, names)
            await load.stop()
            newest = await self.revision_of(world, names)
            self.assertIn(newest - revision, (0, 1) if may_have_run else (0,))
            await self.check_in_force(world, newest, names)
            self.assertEqual(writes.late(), [])
            self.check_platform(world.platform)
            self.check_load(load)
            self.check_refusals_true(world)
            await self.check_time_line(world, leader)

        self.play(story, worlds.ORDERS, worlds.USAGE, limit_s=LONG_LIMIT_S)

    async def check_time_line(
        self, world: worlds.World, old_leader: str
    ) -> None:
        """Checks that each epoch had one leader, and that the old one ended."""
        leaders: dict[int, set[str]] = collections.defaultdict(set)
        for event in await self.events(world, "lease.acquired"):
            leaders[event["epoch"]].add(event["instance"])
        self.assertTrue(all(len(who) == 1 for who in leaders.values()), leaders)
        self.assertGreater(len(set().union(*leaders.values())), 1, leaders)
        ended = {
            event["instance"]
            for event in await self.events(world, "lease.lost")
        }
        self.assertIn(old_leader, ended)

    async def events(
        self, world: worlds.World, kind: str
    ) -> list[dict[str, typing.Any]]:
        """Returns events of one kind from the time line of all instances."""
        operator = world.cluster.operator("i1")
        path = f"/operator/timeline?scope=all&kind={kind}"
        answer = await operator.call("GET", path)
        # Links that were cut may still be dialled anew.
        while answer.document["missing"]:
            await support.next_turn(0.1)
            answer = await operator.call("GET", path)
        return list(answer.document["events"])

    async def cut_off(
        self, world: worlds.World, leader: str, cut: Cut
    ) -> LeaderWrites:
        """Cuts the leader off and waits for its successor."""
        status = await cluster.read_status(world.cluster.operator(leader))
        writes = LeaderWrites(world.platform, status["control"]["epoch"])
        others = [n for n in world.cluster.processes if n != leader]
        cut(world.cluster.links, leader, others)
        await world.cluster.leader(besides=leader)
        writes.mark()
        return writes

    async def ask_old_leader(self, world: worlds.World, leader: str) -> bool:
        """Asks the old leader for a change, which it must not accept.

        Returns:
            Whether it says that the change may be made: one that cannot hear
            its successor may still have handed the change on.
        """
        operator = world.cluster.operator(leader)
        answer = await operator.call(
            "POST", "/operator/keys", {"account": "tesfaye"}
        )
        self.assertNotEqual(answer.status, OK, answer)
        return bool(answer.document["outcome"] != NOT_RUN)

    async def revision_of(self, world: worlds.World, names: list[str]) -> int:
        """Waits until all instances hold the newest revision; returns it."""
        operators = [world.cluster.operator(name) for name in names]
        while True:
            statuses = [await cluster.read_status(one) for one in operators]
            if len({status["revision"] for status in statuses}) == 1:
                return int(statuses[0]["revision"])
            await support.next_turn(0.05)


class EntryCutTest(PartitionCase):
    """An instance that only serves callers is cut off silently."""

    def test_isolated(self) -> None:
        async def story(world: worlds.World) -> None:
            key, secret = await world.cluster.create_key("tesfaye")
            load = world.load()
            world.cluster.links.isolate("i8")
            others = [n for n in world.cluster.processes if n != "i8"]
            revision = await self.change(world, "i1", key)
            await self.check_closed(world, "i8")
            await self.check_withdrawn(world, secret, others)
            count = len(load.answers)
            await support.until(lambda: len(load.answers) > count + BOOKINGS)
            world.cluster.links.heal()
            names = list(world.cluster.processes)
            await world.cluster.until_fresh(*names)
            await world.cluster.until_revision(revision, *names)
            await self.check_withdrawn(world, secret, names)
            await load.stop()
            await self.check_in_force(world, revision, names)
            self.check_load(load)
            self.check_refusals_true(world)

        self.play(story)


class RepairTest(PartitionCase):
    """A second instance is lost right after a repair."""

    def test_leader_lost_after_repair(self) -> None:
        self.play_loss(is_leader_lost=True)

    def test_follower_lost_after_repair(self) -> None:
        self.play_loss(is_leader_lost=False)

    def play_loss(self, *, is_leader_lost: bool) -> None:
        async def story(world: worlds.World) -> None:
            load = world.load()
            leader = await world.cluster.leader()
            first, kept = (n for n in ("i1", "i2", "i3") if n != leader)
            world.cluster.processes[first].kill()
            await self.replace(world, first, "i4")
            second = leader if is_leader_lost else kept
            world.cluster.processes[second].kill()
            left = {leader, kept, "i4"} - {second}
            await world.cluster.until_fresh(*left)
            key = world.keys["tesfaye"]
            count = len(load.answers)
            await support.until(lambda: len(load.answers) > count + BOOKINGS)
            await load.stop()
            secret = world.secrets["tesfaye"]
            revision = await self.change(world, "i5", key)
            names = [
                p.name
                for p in world.cluster.processes.values()
                if not p.has_ended
            ]
            await world.cluster.until_revision(revision, *names)
            await self.check_withdrawn(world, secret, names)
            await self.check_in_force(world, revision, names)
            self.check_runs(load)

        self.play(story, disks=4)

    async def replace(self, world: worlds.World, old: str, new: str) -> None:
        """Makes one instance a voter in place of another."""
        for name, verb in ((new, "add"), (old, "remove")):
            operator = world.cluster.operator(await world.cluster.leader())
            path = f"/operator/voters/{name}/{verb}"
            while (await operator.call("POST", path)).status != OK:
                # A change whose answer was lost is refused when repeated.
                if _is_changed(await cluster.read_status(operator), name, verb):
                    break
                await support.next_turn(0.1)
        leader = world.cluster.operator(await world.cluster.leader())
        while True:
            status = await cluster.read_status(leader)
            voters = set(status["control"]["voters"])
            if new in voters and old not in voters:
                return
            await support.next_turn(0.05)


def _is_changed(status: dict[str, typing.Any], name: str, verb: str) -> bool:
    control = status.get("control")
    if not control:
        return False
    is_member = name in (*control["voters"], *control["learners"])
    return is_member == (verb == "add")


def _count(world: worlds.World, path: str) -> int:
    return sum(run.path == path for run in world.service.runs)
