"""The promises through killed, stopped, restarted and wiped processes."""

import collections
import signal

import banyanbank_fakes as fakes
from twisted.internet import defer

from tests import support
from tests.processes import cluster
from tests.processes import world as worlds

OK = 200
BOOKINGS = 20
LOOKUPS = 200


class FailureTest(worlds.ProcessCase):
    """One story a failure; verdicts come from the stand-ins' records."""

    def test_leader_killed_under_load(self) -> None:
        async def story(world: worlds.World) -> None:
            load = world.load()
            await support.until(lambda: len(load.answers) > BOOKINGS)
            leader = await world.cluster.leader()
            world.cluster.processes[leader].kill()
            await world.cluster.leader(besides=leader)
            before = load.lookups, len(load.answers)
            await support.until(
                lambda: (
                    load.lookups > before[0] + LOOKUPS
                    and len(load.answers) > before[1] + BOOKINGS
                )
            )
            await load.stop()
            runs = load.runs_by_path()
            self.assertTrue(runs, dict(load.answers))
            self.assertLessEqual(max(runs.values()), 1, runs)
            for key, answers in load.answers.items():
                path = f"/refill/{key.removeprefix('booking-')}"
                if answers and answers[0].status == OK:
                    self.assertEqual(runs[path], 1, key)
            # Only requests that ran at the killed instance may be lost.
            allowed = "ConnectionLost", "ResponseNeverReceived"
            for line in load.failed:
                self.assertTrue(line.endswith(allowed), line)

        self.play(story)

    def test_withdrawn_key_through_failover(self) -> None:
        async def story(world: worlds.World) -> None:
            leader = await world.cluster.leader()
            operator = world.cluster.operator(leader)
            path = f"/operator/keys/{world.keys['tesfaye']}/withdraw"
            withdrawn = await operator.call("POST", path)
            self.assertEqual(withdrawn.status, OK)
            world.cluster.processes[leader].kill()
            await world.cluster.leader(besides=leader)
            callers = [
                fakes.Caller(
                    world.service.reactor,
                    world.cluster.url(name),
                    world.secrets["tesfaye"],
                )
                for name in world.cluster.processes
                if name != leader
            ]
            for caller in callers:
                await cluster.until_refused(
                    caller, "/lookup/1", "key-withdrawn"
                )
            # Once refused, it never works again, whoever is asked.
            runs = len(world.service.runs)
            for caller in callers * 3:
                answer = await caller.call("GET", "/lookup/1")
                self.assertEqual(answer.document["outcome"], "not run")
            self.assertEqual(len(world.service.runs), runs)
            for caller in callers:
                await caller.close()
            # An applied sheet is in force at the next leader too.
            restarted = world.cluster.processes[leader]
            restarted.start()
            await world.cluster.until_fresh(leader)
            answer = await world.cluster.operator(leader).call(
                "GET", "/operator/config"
            )
            self.assertEqual(answer.document["revision"], 4)

        self.play(story)

    def test_stopped_leader_sends_no_late_orders(self) -> None:
        async def story(world: worlds.World) -> None:
            # An order without an answer is sent again, by whoever leads.
            world.platform.faults.drop_before_answer = True
            # A platform that checked tokens would hide what an old one sent.
            world.platform.faults.ignore_fencing = True
            leader = await world.cluster.leader()
            await support.until(lambda: world.platform.orders)
            world.cluster.processes[leader].signal(signal.SIGSTOP)
            second = await world.cluster.leader(besides=leader)
            self.assertNotEqual(second, leader)
            await support.until(
                lambda: (
                    len(
                        {
                            order["fencing_token"]
                            for order in world.platform.orders
                        }
                    )
                    > 1
                )
            )
            world.cluster.processes[leader].signal(signal.SIGCONT)
            await world.cluster.until_fresh(leader)
            tokens = [o["fencing_token"] for o in world.platform.orders]
            self.assertEqual(tokens, sorted(tokens))
            contents: dict[str, set[str]] = collections.defaultdict(set)
            for order in world.platform.orders:
                fixed = {
                    name: value
                    for name, value in order.items()
                    if name != "fencing_token"
                }
                contents[order["idempotency_key"]].add(repr(fixed))
            for key, forms in contents.items():
                self.assertEqual(len(forms), 1, key)

        self.play(story, worlds.ORDERS)

    def test_lost_disk_then_second_loss(self) -> None:
        async def story(world: worlds.World) -> None:
            voters = ["i1", "i2", "i3"]
            leader = await world.cluster.leader()
            wiped, second = (name for name in voters if name != leader)
            world.cluster.processes[wiped].kill()
            world.cluster.wipe(wiped)
            world.cluster.processes[wiped].start()
            operator = world.cluster.operator(wiped)
            while True:
                status = await cluster.read_status(operator)
                control = status.get("control") or {}
                if (
                    wiped in control.get("voters", ())
                    and control["applied_index"] > 0
                    and not control["learners"]
                ):
                    break
                await support.next_turn(0.05)
            world.cluster.processes[second].kill()
            await world.cluster.until_fresh(leader, wiped)
            key, _secret = await world.cluster.create_key("tesfaye")
            self.assertTrue(key)
            answer = await operator.call("GET", "/operator/config")
            self.assertEqual(answer.document["revision"], 4)

        self.play(story)

    def test_rolling_restart_loses_no_request(self) -> None:
        async def story(world: worlds.World) -> None:
            load = world.load()
            for name in world.cluster.processes:
                restarting = defer.ensureDeferred(self.restart(world, name))
                reactor = world.service.reactor
                await restarting.addTimeout(support.TEST_LIMIT_S, reactor)
            await load.stop()
            self.assertEqual(load.failed, [])
            self.assertGreater(load.lookups, 100)
            statuses = {answers[0].status for answers in load.answers.values()}
            self.assertEqual(statuses, {OK})
            self.assertLessEqual(max(load.runs_by_path().values()), 1)

        self.play(story)

    async def restart(self, world: worlds.World, name: str) -> None:
        """Restarts an instance gracefully; waits until it serves."""
        process = world.cluster.processes[name]
        process.signal(signal.SIGTERM)
        await support.until(lambda: process.has_ended)
        assert process.running is not None
        self.assertEqual(process.running.returncode, 0, name)
        process.start()
        await world.cluster.until_fresh(name)

    def test_step_survives_leader_killed(self) -> None:
        async def story(world: worlds.World) -> None:
            for engine in world.engines:
                engine.token_s = 0.01
            trainer = world.cluster.balancer(world.secrets["tesfaye"])
            for group in range(4):
                answer = await trainer.call(
                    "POST",
                    "/v1/rollouts/folds/groups",
                    {"step": 1, "group": group, "prompt": f"critique {group}"},
                )
                self.assertEqual(answer.status, 202, answer)
            await support.until(
                lambda: any(engine.running for engine in world.engines)
            )
            leader = await world.cluster.leader()
            world.cluster.processes[leader].kill()
            batches = []
            while len(batches) < 2:
                try:
                    answer = await trainer.call(
                        "GET", "/v1/rollouts/folds/steps/1/batch?wait_s=20"
                    )
                except cluster.LOST:
                    continue
                if answer.status == OK:
                    batches.append(answer.document)
            self.assertEqual(batches[0], batches[1])
            slots = [(s["group"], s["index"]) for s in batches[0]["samples"]]
            self.assertEqual(len(slots), 16)
            self.assertEqual(len(set(slots)), 16)

        self.play(story)
