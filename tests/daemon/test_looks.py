"""Tests of engine reports at owners and of looks at engines."""

import typing
import unittest

import banyanbank_base as base
from banyanbank_daemon import _jobs
from banyanbank_daemon._jobs import _looks
from banyanbank_daemon._jobs import _owned
import banyanbank_dispatch as dispatch
from returns import result
from twisted.internet import defer

LOCAL, PEER = base.InstanceId("i1"), base.InstanceId("i2")
ENGINE = base.EndpointId("engine-1")
MODEL = base.ModelName("coach")
LOAD = _jobs.QueueLoad(100.0, 2, 1_000.0, 0.01)
LONG_PROMPT = tuple("abcd")


class ForeignLoadTest(unittest.TestCase):
    """A report adds exactly the load that the owner has not granted."""

    def test_loads(self) -> None:
        # Reports (running, granted, time in s, age in ms); time of the query in
        # s; expected requests.
        table = [
            ("all granted", [(2, 2, 0.0, 0)], 0.0, 2),
            ("two foreign requests", [(4, 2, 0.0, 0)], 0.0, 4),
            (
                "lag after releases",
                [(2, 2, 0.0, 0), (2, 0, 0.5, 500)],
                1,
                2,
            ),
            ("lag is over", [(9, 2, 0.0, 0), (2, 2, 0.5, 0)], 1.0, 2),
            ("old", [(9, 2, 0.0, 0)], _owned.REPORT_TTL_S, 2),
            ("already aged when recorded", [(9, 2, 0.0, 2_000)], 1.5, 2),
        ]
        for name, reports, asked_at, requests in table:
            with self.subTest(name):
                owned = _jobs.OwnedEngines()
                for running, granted, recorded_at, age_ms in reports:
                    load = _jobs.ReportedLoad(running, 0, age_ms)
                    owned.record_report(report(load), granted, recorded_at)
                total = owned.add_foreign_load(ENGINE, LOAD, asked_at)
                self.assertEqual(total.requests, requests)
                owned.remove_endpoint(ENGINE)
                total = owned.add_foreign_load(ENGINE, LOAD, asked_at)
                self.assertEqual(total, LOAD)


def report(load: _jobs.ReportedLoad | None = None) -> _jobs.EngineReport:
    """Builds the report of an engine with an empty cache."""
    batch = dispatch.CacheBatch(ENGINE, base.Incarnation(1), 0)
    return _jobs.EngineReport(batch, load)


class FakeCluster:
    """Fake of the mesh, the owner directory and the look server."""

    def __init__(self, owner: base.InstanceId) -> None:
        self.instance = LOCAL
        self.owner = owner
        self.calls: list[tuple[str, str]] = []
        self.local_calls: list[str] = []
        self.answers: list[defer.Deferred[typing.Any]] = []

    def owner_of(self, endpoint: object) -> base.InstanceId:
        return self.owner

    def record_report(self, report: object) -> None:
        self.local_calls.append("report")

    def look_up(self, req: object) -> _looks.LookReply:
        self.local_calls.append("look")
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
    """Looks are rate-limited, and only stale, long prompts wait for them."""

    def make_looks(self, owner: base.InstanceId) -> None:
        self.clock = base.ManualClock(100.0)
        cluster: typing.Any = FakeCluster(owner)
        self.cluster: FakeCluster = cluster
        self.applied: list[tuple[typing.Any, ...]] = []
        domain = base.FailureDomain("zone-1")
        self.looks = _jobs.EngineLooks(
            self.clock,
            cluster,
            cluster,
            cluster,
            lambda _model: [dispatch.Candidate(ENGINE, domain, 8)],
            lambda *look: self.applied.append(look),
        )

    def start_lookup(self, blocks: tuple[str, ...]) -> list[None]:
        done: list[None] = []
        deferred = defer.ensureDeferred(self.looks.note_prompt(MODEL, blocks))
        deferred.addCallback(done.append)
        return done

    def test_waits(self) -> None:
        table: list[tuple[str, list[tuple[tuple[str, ...], float]], bool, int]]
        table = [
            ("no block", [((), 0.0)], False, 0),
            ("short", [(LONG_PROMPT[:3], 0.0)], False, 1),
            ("long and new", [(LONG_PROMPT, 0.0)], True, 1),
            (
                "again at once",
                [(LONG_PROMPT, 0.0), (LONG_PROMPT, 0.4)],
                False,
                1,
            ),
            ("again later", [(LONG_PROMPT, 0.0), (LONG_PROMPT, 0.5)], False, 2),
            ("long unseen", [(LONG_PROMPT, 0.0), (LONG_PROMPT, 60.0)], True, 2),
        ]
        for name, prompts, waits, calls in table:
            with self.subTest(name):
                self.make_looks(PEER)
                for blocks, after_s in prompts:
                    self.clock.advance(after_s)
                    done = self.start_lookup(blocks)
                self.assertEqual(done, [] if waits else [None])
                expected = [(PEER, _jobs.LOOK_METHOD)] * calls
                self.assertEqual(self.cluster.calls, expected)
                for answer in self.cluster.answers:
                    answer.callback(ANSWER)
                self.assertEqual(done, [None])
                self.assertEqual(len(self.applied), calls)

    def test_failed_call_applies_nothing(self) -> None:
        self.make_looks(PEER)
        done = self.start_lookup(LONG_PROMPT)
        self.cluster.answers[0].callback(result.Failure("lost"))
        self.assertEqual((done, self.applied), ([None], []))

    def test_own_engines(self) -> None:
        self.make_looks(LOCAL)
        self.assertEqual(self.start_lookup(LONG_PROMPT), [None])
        self.looks.pass_on(report())
        self.assertEqual(self.applied, [(REPLY.engines[0], LONG_PROMPT, 100.0)])
        self.assertEqual(self.cluster.local_calls, ["look", "report"])
        self.assertEqual(self.cluster.calls, [])

    def test_report_goes_to_the_owner(self) -> None:
        self.make_looks(PEER)
        self.looks.pass_on(report())
        self.assertEqual(self.cluster.calls, [(PEER, _jobs.REPORT_METHOD)])
        self.assertEqual(self.cluster.local_calls, [])
