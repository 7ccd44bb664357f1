"""Tests for weight store lookups and the publication gate."""

import unittest

import banyanbank_base as base
from banyanbank_daemon._leader import _weight_store
import banyanbank_fakes as fakes
import banyanbank_rollout as rollout
import banyanbank_web as web
from returns import result
from twisted.internet import defer

from tests import support

COACH = base.ModelName("coach")
MISSING = _weight_store.StoreErrorKind.MISSING
BUSY = _weight_store.StoreErrorKind.BUSY
FAILED = _weight_store.StoreErrorKind.FAILED
STORED = _weight_store.StoredVersion(50, 5.0)


def build_publication(version: int) -> rollout.PublishVersion:
    return rollout.PublishVersion(
        model=COACH,
        version=base.WeightVersion(version),
        trainer=base.TrainerId("folds"),
        location="w",
        size_bytes=0,
    )


class ClientTest(unittest.TestCase):
    """Each kind of response is told apart."""

    def test_answers(self) -> None:
        from twisted.internet import reactor

        store = fakes.FakeWeightStore(reactor)
        client = _weight_store.WeightStoreClient(
            base.SystemClock(),
            web.Upstream(reactor, base.SystemClock()),
            "",
        )

        async def look_up(**changes: object) -> tuple[object, float]:
            for name, value in changes.items():
                setattr(store, name, value)
            answer = await client.find(base.ModelName("a/b"), 2)
            if isinstance(answer, result.Success):
                return answer.unwrap(), 0.0
            return answer.failure().kind, answer.failure().retry_after_s

        async def run_lookups() -> None:
            store.start()
            client._url = store.url
            stored = _weight_store.StoredVersion(1_000, 1e9)
            self.assertEqual(await look_up(), (stored, 0.0))
            self.assertEqual(await look_up(missing={2}), (MISSING, 2.0))
            self.assertEqual(
                await look_up(refusals=1, retry_after_s=7), (BUSY, 7)
            )
            self.assertEqual(
                await look_up(refusals=1, retry_after_s=999), (BUSY, 60.0)
            )
            no_rate = await look_up(missing=set(), bytes_per_s=0.0)
            self.assertEqual(no_rate, (FAILED, 2.0))
            no_size = await look_up(bytes_per_s=1.0, size_bytes="many")
            self.assertEqual(no_size, (FAILED, 2.0))
            await store.stop()
            self.assertEqual(await look_up(), (FAILED, 2.0))

        support.run_async(run_lookups)
        self.assertEqual(set(store.questions), {"/models/a%2Fb/versions/2"})


class ScriptedStore:
    """Weight store whose lookups the test completes."""

    def __init__(self) -> None:
        self.pending: list[tuple[int, defer.Deferred]] = []

    async def find(
        self, model: base.ModelName, version: base.WeightVersion
    ) -> _weight_store.StoreAnswer:
        answer: defer.Deferred = defer.Deferred()
        self.pending.append((version, answer))
        return await answer

    def answer(
        self, found: _weight_store.StoredVersion | _weight_store.StoreError
    ) -> int:
        """Completes the oldest lookup and returns its version."""
        version, waiting = self.pending.pop(0)
        is_found = isinstance(found, _weight_store.StoredVersion)
        kind = result.Success if is_found else result.Failure
        waiting.callback(kind(found))
        return version


class PublicationGateTest(unittest.TestCase):
    """Only versions that the store has become available."""

    def setUp(self) -> None:
        self.clock = base.ManualClock()
        self.store = ScriptedStore()
        self.recorder = base.MemoryRecorder(base.InstanceId("i1"), self.clock)
        self.gate = _weight_store.PublicationGate(
            self.clock, self.store, self.recorder
        )

    def poll(self, version: int) -> list[tuple[int, int]]:
        found = self.gate.poll([build_publication(version)])
        return [(item.version, item.size_bytes) for item in found]

    def fail_lookup(
        self, kind: _weight_store.StoreErrorKind, delay_s: float = 2.0
    ) -> None:
        self.store.answer(_weight_store.StoreError(kind, "why", delay_s))

    def test_waits_for_the_store(self) -> None:
        self.assertEqual(self.poll(1), [])
        self.assertEqual(self.poll(1), [])
        self.fail_lookup(BUSY, 7.0)
        self.clock.advance(6.9)
        self.assertEqual(self.poll(1), [])
        self.assertEqual(self.store.pending, [])
        self.clock.advance(0.2)
        self.poll(1)
        self.store.answer(STORED)
        self.assertEqual(self.poll(1), [(1, 50)])
        self.assertEqual(self.gate.bytes_per_s, 5.0)
        self.assertEqual(self.gate.withheld(), ())
        kinds = [event.kind for event in self.recorder.events]
        self.assertEqual(kinds, ["weights.withheld", "weights.available"])

    def test_earlier_version_stays(self) -> None:
        self.poll(1)
        self.store.answer(STORED)
        self.assertEqual(self.poll(2), [(1, 50)])
        self.fail_lookup(MISSING)
        self.assertEqual(self.poll(2), [(1, 50)])
        (withheld,) = self.gate.withheld()
        self.assertEqual((withheld.version, withheld.reason), (2, "missing"))

    def test_answer_to_an_earlier_publication(self) -> None:
        self.poll(1)
        self.poll(2)
        self.assertEqual(self.store.answer(STORED), 1)
        self.assertEqual(self.poll(2), [])

    def test_recheck(self) -> None:
        for kind, expected in (
            (BUSY, [(1, 50)]),
            (FAILED, [(1, 50)]),
            (MISSING, []),
        ):
            with self.subTest(kind):
                self.gate.stop()
                self.poll(1)
                self.store.answer(STORED)
                self.clock.advance(_weight_store.RECHECK_INTERVAL_S)
                self.poll(1)
                self.fail_lookup(kind)
                self.assertEqual(self.poll(1), expected)

    def test_answer_after_stop(self) -> None:
        self.poll(1)
        self.gate.stop()
        self.store.answer(STORED)
        self.assertEqual(self.gate.poll([]), ())
