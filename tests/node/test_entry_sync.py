"""Tests of what an entry does with the answers to its polls."""

import random
import types
import typing
import unittest
import zlib

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
from banyanbank_node import _entry_sync
from banyanbank_node import _messages
from banyanbank_node import _poll_paths
from banyanbank_node import _shared_endpoints
from banyanbank_node import _store_client
from returns import result
from twisted.internet import defer
from twisted.internet import task

from tests.gateway import samples

IN_FORCE = "evacuation.in_force"
LEADER, RELAY = (base.InstanceId(f"127.0.1.{n}:7000") for n in (1, 2))

SILENT: result.Result[typing.Any, _store_client.StoreCallError] = (
    result.Failure(_store_client.StoreCallError(True, "silent"))
)


def make_answer(number: int) -> _messages.SyncAnswer:
    """Returns an answer of the leader that contains a document."""
    return _messages.SyncAnswer(
        document_number=number,
        document=zlib.compress(b"%d" % number),
        directory_of=f"{LEADER}/1",
        directory_revision=1,
        directory=None,
        is_settled=True,
        stores=(LEADER, RELAY),
        true_time=0.0,
        issued_at=5.0,
    )


class _FakeStores:
    """Fake client whose calls have the results that a test sets."""

    def __init__(self) -> None:
        self.leader: base.InstanceId | None = LEADER
        self.responsive_stores = [LEADER, RELAY]
        self.direct: typing.Any = SILENT
        self.relayed: typing.Any = SILENT
        self.probed: typing.Any = SILENT
        self.calls: list[tuple[base.InstanceId | None, str]] = []
        self.requests: list[_messages.SyncRequest] = []
        self.asked_first: list[base.InstanceId | None] = []

    async def call(
        self,
        method: str,
        message: typing.Any,
        *rest: float,
        first: base.InstanceId | None = None,
    ) -> typing.Any:
        del rest
        self.calls.append((None, method))
        self.asked_first.append(first)
        self.requests.append(message)
        return self.direct

    async def call_store(
        self,
        store: base.InstanceId,
        method: str,
        message: typing.Any,
        deadline: float,
    ) -> typing.Any:
        del deadline
        self.calls.append((store, method))
        if method == _messages.READ_DOMAIN:
            return self.probed
        self.requests.append(message)
        return self.relayed

    def follow_leader(self, leader: base.InstanceId) -> None:
        self.leader = leader

    def set_stores(self, stores: typing.Any) -> None:
        """Does nothing."""


class EntrySyncTest(unittest.TestCase):
    """An entry learns of documents while its path to the leader is harmed."""

    def setUp(self) -> None:
        self.clock = base.ManualClock(100.0)
        self.stores = _FakeStores()
        self.events: list[tuple[str, dict[str, typing.Any]]] = []
        nothing: typing.Any = types.SimpleNamespace
        self.shared = _shared_endpoints.make_unshared(self.clock)
        self.sync = _entry_sync.EntrySync(
            task.Clock(),
            self.clock,
            typing.cast(typing.Any, self.stores),
            nothing(
                read_document=lambda content: gateway.Document(
                    int(content), (), {}, gateway.Limits(), None
                )
            ),
            "entry",
            gateway.SyncedClock(self.clock),
            nothing(report=lambda now: ()),
            nothing(write=lambda event, **kw: self.events.append((event, kw))),
            nothing(learn=_learn_nothing),
            nothing(forget_ended=lambda directory: None),
            nothing(),
            _poll_paths.PollPaths(random.Random(1)),
            self.shared,
        )

    def poll(self) -> bool:
        """Polls once; returns whether something was learnt."""
        polled = defer.ensureDeferred(self.sync._poll_once())
        return bool(typing.cast(typing.Any, polled).result)

    @property
    def number(self) -> int:
        return 0 if self.sync.table is None else self.sync.table.document.number

    def relay(
        self, answer: _messages.SyncAnswer | None, held: int | None = None
    ) -> None:
        """Sets what the relaying store answers."""
        self.stores.relayed = result.Success(
            _messages.RelayedSync(
                None if answer is None else _messages.CODEC.encode(answer),
                None if held is None else zlib.compress(b"%d" % held),
            )
        )

    def test_poll_through_another_store_while_the_leader_is_silent(
        self,
    ) -> None:
        """Guards against acting on a former table for as long."""
        self.relay(make_answer(7))
        self.assertFalse(self.poll())
        self.assertTrue(self.poll())
        self.assertEqual(self.stores.calls[-1], (RELAY, _messages.RELAY_SYNC))
        self.assertEqual(self.number, 7)
        self.assertTrue(self.sync.is_current)

    def test_documents_of_a_store_without_a_leader(self) -> None:
        for name, held_before, document, number in (
            ("newer", 7, 8, 8),
            ("older", 7, 6, 7),
            ("the first is not taken, since it may be too old", 0, 8, 0),
            ("none", 7, None, 7),
        ):
            with self.subTest(name):
                self.setUp()
                if held_before:
                    self.stores.direct = result.Success(
                        make_answer(held_before)
                    )
                    self.poll()
                    self.clock.advance(1.0)
                    self.stores.direct = SILENT
                self.poll()
                self.relay(None, document)
                self.assertEqual(self.poll(), number == document)
                self.assertEqual(self.number, number)
                self.assertFalse(self.sync.is_current)

    def test_cold_endpoints_without_contact(self) -> None:
        """Guards against endpoints unused for as long as contact is lost."""
        self.stores.direct = result.Success(make_answer(7))
        self.poll()
        cold = samples.make_announcement("e1", is_cold=True)
        self.sync.directory.apply(cold, self.clock.now())
        self.stores.direct = SILENT
        for waited_s, is_cold in ((1.0, True), (0.6, False)):
            self.clock.advance(waited_s)
            self.poll()
            (known,) = self.sync.directory.all()
            self.assertEqual(known.is_cold, is_cold)
        self.poll()
        # The leader sends the cold states again.
        self.assertEqual(self.stores.requests[-1].directory_revision, 0)

    def test_next_poll_proves_which_answer_arrived(self) -> None:
        self.stores.direct = result.Success(make_answer(7))
        self.poll()
        self.stores.direct = SILENT
        self.poll()
        self.poll()
        issued = [req.answer_issued_at for req in self.stores.requests]
        # A store of an earlier release cannot read it after a failed poll.
        self.assertEqual(issued, [0.0, 5.0, 0.0])

    def test_samples_are_sent_to_a_leader_that_collects_them(self) -> None:
        """Guards against polls that a store of an earlier release refuses."""
        target = samples.make_announcement("e1")
        figure = gateway.EndpointFigure(target.endpoint, target.born_ms, 2.0)
        answer = attrs.evolve(
            make_answer(7),
            figures_revision=3,
            figures=_messages.CODEC.encode(_messages.FiguresPart((figure,))),
        )
        for answered in (result.Success(answer), SILENT, SILENT, SILENT):
            self.shared.samples.record_success(target, "route", 0.1)
            self.stores.direct = answered
            self.poll()
        sent = [
            (req.figures_revision, bool(req.samples))
            for req in self.stores.requests
        ]
        self.assertEqual(sent, [(0, False), (3, True), (0, False), (0, False)])
        self.assertEqual(
            self.shared.figures.get(target, self.clock.now()), figure
        )

    def test_leader_that_answers_a_probe_is_polled_again(self) -> None:
        self.relay(make_answer(7))
        self.poll()
        self.poll()
        self.stores.probed = result.Success(_messages.Accepted())
        self.stores.direct = result.Success(make_answer(8))
        self.clock.advance(_poll_paths.PROBE_INTERVAL_S)
        self.poll()
        self.assertIn((LEADER, _messages.READ_DOMAIN), self.stores.calls)
        self.poll()
        self.assertEqual(self.number, 8)

    def test_direct_poll_asks_the_avoided_leader_first(self) -> None:
        """Guards against waiting for stores whose connections fell silent.

        After a poll without an answer the client has no leader and would ask
        any store, but the connection to the leader is the one made anew.
        """
        for name, presumed in (
            ("the client forgot the leader", None),
            ("the client was told of another store", RELAY),
        ):
            with self.subTest(name):
                self.setUp()
                self.assertFalse(self.poll())
                self.stores.leader = presumed
                self.assertFalse(self.poll())
                self.stores.direct = result.Success(make_answer(7))
                self.assertTrue(self.poll())
                self.assertTrue(self.poll())
                direct, relayed = _messages.SYNC, _messages.RELAY_SYNC
                methods = [method for _, method in self.stores.calls]
                self.assertEqual(methods, [direct, relayed, direct, direct])
                # Once a leader has answered, none is avoided.
                self.assertEqual(self.stores.asked_first, [None, LEADER, None])

    def test_leader_is_avoided_until_another_one_is_presumed(self) -> None:
        """Guards against forgetting which leader to ask first."""
        for name, presumed, expected in (
            ("none", None, [None, LEADER, LEADER]),
            ("another store", RELAY, [None, LEADER, RELAY]),
        ):
            with self.subTest(name):
                self.setUp()
                self.poll()
                self.stores.leader = presumed
                for _ in range(4):
                    self.assertFalse(self.poll())
                self.assertEqual(self.stores.asked_first, expected)

    def test_document_is_applied_whatever_follows_in_the_answer(self) -> None:
        """Guards against an answer that fails after its document each time."""

        def refuse(stores: typing.Any) -> None:
            raise ValueError(f"{stores} cannot be registered")

        self.stores.set_stores = refuse  # type: ignore[method-assign]
        self.stores.direct = result.Success(make_answer(7))
        polled = defer.ensureDeferred(self.sync._poll_once())
        polled.addErrback(lambda failure: failure.trap(ValueError))
        self.assertEqual(self.number, 7)

    def test_poll_after_an_unreadable_document_waits(self) -> None:
        """Guards against polls in a tight loop, each answered at once."""
        answer = make_answer(8)
        self.stores.direct = result.Success(make_answer(7))
        self.assertTrue(self.poll())
        self.stores.direct = result.Success(
            attrs.evolve(answer, document=b"not compressed", issued_at=6.0)
        )
        self.assertFalse(self.poll())
        self.assertTrue(self.sync.is_current)
        self.poll()
        # Acknowledging the document now would count on an entry without it.
        self.assertEqual(self.stores.requests[-1].answer_issued_at, 5.0)
        self.stores.direct = result.Success(answer)
        self.assertTrue(self.poll())
        self.assertEqual(self.number, 8)

    def test_evacuations(self) -> None:
        """Guards against evacuations that an entry loses, or hears too late."""
        zone = base.FailureDomain("zone-a")
        evacuated = gateway.Evacuations().evacuate(zone)
        readmitted = evacuated.readmit(zone, 1.0)
        served: list[bool] = []
        self.sync.on_document = lambda document: served.append(
            self.sync.evacuations.permits(zone)
        )
        for name, sent, held, changes in (
            ("first answer", evacuated, evacuated, 1),
            ("the same again", evacuated, evacuated, 1),
            ("no answer", None, evacuated, 1),
            ("withdrawn", readmitted, readmitted, 2),
            (
                "older, by a store that no longer leads",
                evacuated,
                readmitted,
                2,
            ),
        ):
            with self.subTest(name):
                self.stores.direct = SILENT
                if sent is not None:
                    self.stores.direct = result.Success(
                        attrs.evolve(make_answer(7), evacuations=sent)
                    )
                self.sync._paths.restore_direct()
                self.poll()
                self.assertEqual(self.sync.evacuations, held)
                logged = [e for e, _ in self.events if e == IN_FORCE]
                self.assertEqual(len(logged), changes)
        self.assertEqual(served, [False])
        # The poll after the failed one can be read by any release.
        revisions = [req.evacuation_revision for req in self.stores.requests]
        self.assertEqual(revisions, [0, 1, 1, 0, 2])

    def test_evacuations_of_a_newly_formed_cluster(self) -> None:
        """Guards against evacuations that nobody can withdraw any more."""
        a, b = (base.FailureDomain(name) for name in ("zone-a", "zone-b"))
        held = gateway.Evacuations().evacuate(a).evacuate(b)
        ended = held.readmit(b, 1.0)
        for name, held_cluster, received, cluster, is_adopted in (
            ("none yet", "c1", gateway.Evacuations(), "c2", True),
            ("lower", "c1", gateway.Evacuations().evacuate(b), "c2", True),
            (
                "as high",
                "c1",
                gateway.Evacuations().evacuate(b).readmit(b, 1.0),
                "c2",
                True,
            ),
            ("higher", "c1", ended, "c2", True),
            ("cluster not known before", "", gateway.Evacuations(), "c2", True),
            ("lower, same cluster", "c1", gateway.Evacuations(), "c1", False),
            ("lower, not stated", "c1", gateway.Evacuations(), "", False),
            ("higher, same cluster", "c1", ended, "c1", True),
            ("higher, not stated", "c1", ended, "", True),
        ):
            with self.subTest(name):
                self.setUp()
                for number, state, stated in (
                    (7, held, held_cluster),
                    (7, received, cluster),
                ):
                    self.stores.direct = result.Success(
                        attrs.evolve(
                            make_answer(number),
                            evacuations=state,
                            cluster=stated,
                        )
                    )
                    self.poll()
                want = received if is_adopted else held
                self.assertEqual(self.sync.evacuations, want)
                logged = [e for e, _ in self.events if e == IN_FORCE]
                self.assertEqual(len(logged), 1 + is_adopted)
                self.poll()
                # Stating the held one for good would have each poll answered
                # at once.
                self.assertEqual(
                    self.stores.requests[-1].evacuation_revision,
                    received.revision if cluster else want.revision,
                )

    def test_failed_poll_is_logged_with_its_path(self) -> None:
        self.relay(None)
        self.poll()
        self.poll()
        lost = [kw for event, kw in self.events if event == "dep.leader_lost"]
        self.assertEqual([kw["relay"] for kw in lost], [None, RELAY])

    def test_relayed_document_that_is_not_newer_counts_as_no_answer(
        self,
    ) -> None:
        self.stores.direct = result.Success(make_answer(7))
        self.poll()
        self.relay(None, 7)
        self.stores.direct = SILENT
        self.poll()
        self.assertFalse(self.poll())


async def _learn_nothing(stores: typing.Any) -> None:
    del stores


if __name__ == "__main__":
    unittest.main()
