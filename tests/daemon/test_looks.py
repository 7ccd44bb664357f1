"""Tests of reports of engines at their owners, and of looks at them."""

import typing
import unittest

import banyanbank_base as base
from banyanbank_daemon import _jobs
from banyanbank_daemon._jobs import _looks
from banyanbank_daemon._jobs import _owned
import banyanbank_dispatch as dispatch
from returns import result
from twisted.internet import defer

ME, PEER = base.InstanceId("i1"), base.InstanceId("i2")
ENGINE = base.EndpointId("engine-1")
MODEL = base.ModelName("coach")
LOAD = _jobs.QueueLoad(100.0, 2, 1_000.0, 0.01)
LONG = tuple("abcd")


class ForeignLoadTest(unittest.TestCase):
    """Reports add what the owner has not granted, and nothing else."""

    def test_loads(self) -> None:
        # Reports as running, granted, second and age; requests told, and when.
        table = [
            ("all granted", [(2, 2, 0.0, 0)], 0.0, 2),
            ("two of others", [(4, 2, 0.0, 0)], 0.0, 4),
            (
                "lag after grants ended",
                [(2, 2, 0.0, 0), (2, 0, 0.5, 500)],
                1,
                2,
            ),
            ("lag has passed", [(9, 2, 0.0, 0), (2, 2, 0.5, 0)], 1.0, 2),
            ("old", [(9, 2, 0.0, 0)], _owned.REPORT_TTL_S, 2),
            ("old when heard", [(9, 2, 0.0, 2_000)], 1.5, 2),
        ]
        for name, reports, asked_at, requests in table:
            with self.subTest(name):
                owned = _jobs.OwnedEngines()
                for running, granted, heard_at, age_ms in reports:
                    load = _jobs.ReportedLoad(running, 0, age_ms)
                    owned.take(report(load), granted, heard_at)
                told = owned.add_foreign(ENGINE, LOAD, asked_at)
                self.assertEqual(told.requests, requests)
                owned.forget(ENGINE)
                told = owned.add_foreign(ENGINE, LOAD, asked_at)
                self.assertEqual(told, LOAD)


def report(load: _jobs.ReportedLoad | None = None) -> _jobs.EngineReport:
    """What an engine with an empty cache tells."""
    batch = dispatch.CacheBatch(ENGINE, base.Incarnation(1), 0)
    return _jobs.EngineReport(batch, load)


class World:
    """Stands for the mesh, the owners and the owner of the engine."""

    def __init__(self, owner: base.InstanceId) -> None:
        self.instance = ME
        self.owner = owner
        self.calls: list[tuple[str, str]] = []
        self.local: list[str] = []
        self.answers: list[defer.Deferred[typing.Any]] = []

    def owner_of(self, endpoint: object) -> base.InstanceId:
        return self.owner

    def take(self, report: object) -> None:
        self.local.append("report")

    def look(self, req: object) -> _looks.LookReply:
        self.local.append("look")
        return REPLY

    def call(
        self, peer: str, method: str, data: bytes, deadline: float
    ) -> defer.Deferred[typing.Any]:
        self.calls.append((peer, method))
        self.answers.append(defer.Deferred())
        return self.answers[-1]


REPLY = _looks.LookReply((_jobs.EngineLook(ENGINE, 3, LOAD),))
ANSWER = result.Success(_looks.LOOK_REPLY_CODEC.encode(REPLY))


class LooksTest(unittest.TestCase):
    """Owners are asked, seldom, and waited for only where it pays."""

    def make(self, owner: base.InstanceId) -> None:
        self.clock = base.ManualClock(100.0)
        world: typing.Any = World(owner)
        self.world: World = world
        self.learned: list[tuple[typing.Any, ...]] = []
        domain = base.FailureDomain("zone-1")
        self.looks = _jobs.EngineLooks(
            self.clock,
            world,
            world,
            world,
            lambda _model: [dispatch.Candidate(ENGINE, domain, 8)],
            lambda *what: self.learned.append(what),
        )

    def note(self, blocks: tuple[str, ...]) -> list[None]:
        done: list[None] = []
        noting = defer.ensureDeferred(self.looks.note_prompt(MODEL, blocks))
        noting.addCallback(done.append)
        return done

    def test_waits(self) -> None:
        table: list[tuple[str, list[tuple[tuple[str, ...], float]], bool, int]]
        table = [
            ("no block", [((), 0.0)], False, 0),
            ("short", [(LONG[:3], 0.0)], False, 1),
            ("long and new", [(LONG, 0.0)], True, 1),
            ("again at once", [(LONG, 0.0), (LONG, 0.4)], False, 1),
            ("again later", [(LONG, 0.0), (LONG, 0.5)], False, 2),
            ("long unseen", [(LONG, 0.0), (LONG, 60.0)], True, 2),
        ]
        for name, prompts, waits, calls in table:
            with self.subTest(name):
                self.make(PEER)
                for blocks, after_s in prompts:
                    self.clock.advance(after_s)
                    done = self.note(blocks)
                self.assertEqual(done, [] if waits else [None])
                expected = [(PEER, _jobs.LOOK_METHOD)] * calls
                self.assertEqual(self.world.calls, expected)
                for answer in self.world.answers:
                    answer.callback(ANSWER)
                self.assertEqual(done, [None])
                self.assertEqual(len(self.learned), calls)

    def test_lost_answer_teaches_nothing(self) -> None:
        self.make(PEER)
        done = self.note(LONG)
        self.world.answers[0].callback(result.Failure("lost"))
        self.assertEqual((done, self.learned), ([None], []))

    def test_own_engines(self) -> None:
        self.make(ME)
        self.assertEqual(self.note(LONG), [None])
        self.looks.pass_on(report())
        self.assertEqual(self.learned, [(REPLY.engines[0], LONG, 100.0)])
        self.assertEqual(self.world.local, ["look", "report"])
        self.assertEqual(self.world.calls, [])

    def test_report_goes_to_the_owner(self) -> None:
        self.make(PEER)
        self.looks.pass_on(report())
        self.assertEqual(self.world.calls, [(PEER, _jobs.REPORT_METHOD)])
        self.assertEqual(self.world.local, [])
