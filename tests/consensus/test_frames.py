"""Tests of a node with single messages: which ones it rejects or counts."""

import unittest
import zlib

import attrs
import banyanbank_base as base
import banyanbank_consensus as consensus
from banyanbank_consensus import _log
from banyanbank_consensus import _messages

from tests.consensus import cluster

A, B, C = (base.InstanceId(name) for name in "abc")


class FrameTestCase(unittest.TestCase):
    """Base class of tests that deliver messages to a node."""

    def deliver(self, name: str, sender: str, *messages: object) -> None:
        """Delivers messages to a node within one turn of its loop."""
        process = self.world.processes[base.InstanceId(name)]
        for message in messages:
            frame = _messages.MESSAGE_CODEC.encode(message)
            process.node.handle_message(base.InstanceId(sender), frame)
        self.world.drain(process)

    def capture_sent(self, *message_types: type) -> list[object]:
        """Returns a list that collects the sent messages of some types."""
        captured: list[object] = []
        send = self.world.send

        def capture(source: str, target: str, data: bytes) -> None:
            message = _messages.MESSAGE_CODEC.decode(data)
            if isinstance(message, message_types):
                captured.append(message)
            send(source, target, data)

        self.world.send = capture
        return captured


class EmptyStoreTest(FrameTestCase):
    """A store that has not joined a log."""

    def setUp(self) -> None:
        self.world = cluster.World("abc")

    def header(self, name: str, epoch: int) -> _messages.Header:
        store = self.world.node(name).status().store
        return _messages.Header("log", "other", store, epoch)

    def test_entries_after_snapshot_are_written_once(self) -> None:
        self.world.start("b")
        head = self.header("b", 1)
        state = cluster.ListMachine().snapshot()
        chunk = _messages.SnapshotChunk(
            head=head,
            sent_at=0.0,
            index=5,
            last_epoch=1,
            members=consensus.Members(),
            size=len(state),
            crc=zlib.crc32(state),
            offset=0,
            data=state,
        )
        entry = _log.Entry(6, 1, _log.EntryKind.COMMAND, b"x")
        append = _messages.AppendRequest(head, 0.0, 5, 1, 6, (entry,))
        self.deliver("b", "a", chunk, append)
        self.assertEqual(self.world.machine("b").commands, [(6, b"x")])
        self.world.crash("b")
        self.world.start("b")
        self.assertEqual(self.world.node("b").status().last_index, 6)

    def test_vote_survives_restart(self) -> None:
        captured = self.capture_sent(_messages.VoteResponse)
        for restart in (False, True):
            for candidate, granted in (("a", True), ("c", False), ("a", True)):
                with self.subTest(restart=restart, candidate=candidate):
                    if restart:
                        self.world.crash("b")
                    if restart or "b" not in self.world.processes:
                        self.world.start("b")
                    self.world.run(1.0)
                    request = _messages.VoteRequest(
                        head=self.header("b", 3),
                        pre=False,
                        last_index=9,
                        last_epoch=2,
                    )
                    self.deliver("b", candidate, request)
                    self.assertEqual(captured[-1].granted, granted)

    def test_two_consecutive_answers_form_log(self) -> None:
        """Answers are tuples of store, rounds behind the newest, and log."""
        same_answer = ("s", 0, "")
        cases = (
            ("two consecutive answers", (same_answer, same_answer), True),
            ("single answer", (same_answer,), False),
            ("stale answer", (same_answer, ("s", 1, "")), False),
            ("different store", (same_answer, ("t", 0, "")), False),
            ("store in a log", (same_answer, ("s", 0, "log")), False),
            ("unanswered hello", (same_answer, None, same_answer), False),
        )
        for name, answers, formed in cases:
            with self.subTest(name):
                self.world = cluster.World("abc")
                captured = self.capture_sent(_messages.Hello)
                self.world.start("a")
                for answer in answers:
                    number = captured[-1].round
                    self.answer(number, answer)
                    self.wait_for_hello(captured, number + 1)
                self.assertEqual(
                    bool(self.world.node("a").status().cluster), formed
                )

    def wait_for_hello(self, captured: list[object], number: int) -> None:
        self.world.run_until(lambda: captured[-1].round >= number)

    def answer(self, number: int, answer: tuple[str, int, str] | None) -> None:
        if answer is None:
            return
        store, rounds_behind, log = answer
        target = self.world.node("a").status().store
        for sender in (B, C):
            head = _messages.Header(log, store, target, 0)
            hello = _messages.Hello(head, False, number - rounds_behind, ())
            self.deliver("a", sender, hello)


class CommonRestartTest(FrameTestCase):
    """A voter that restarted and withholds votes for its former leader."""

    def setUp(self) -> None:
        self.world = cluster.World("abc")
        self.world.start()
        self.world.run_until(lambda: bool(self.world.lease_holders()))
        [self.former] = self.world.lease_holders()
        self.voter, self.rival = [n for n in "abc" if n != self.former]
        self.status = self.world.node(self.former).status()
        for name in "abc":
            self.world.crash(name)

    def test_only_the_former_leader_releases_votes(self) -> None:
        lost = "lost"
        cases = (
            ("former leader", self.former, None, 0, False, True),
            ("it still leads", self.former, None, 0, True, False),
            (
                "an answer to an earlier process",
                self.former,
                None,
                1,
                False,
                False,
            ),
            (
                "the former leader lost its disk",
                self.former,
                lost,
                0,
                False,
                False,
            ),
            ("another voter", self.rival, None, 0, False, False),
        )
        for name, sender, store, stale_by, is_leading, is_released in cases:
            with self.subTest(name):
                queries = self.capture_sent(_messages.LeadershipQuery)
                votes = self.capture_sent(_messages.VoteResponse)
                self.world.start(self.voter)
                target = self.world.node(self.voter).status().store
                member = next(
                    m for m in self.status.voters if m.instance == sender
                )
                head = _messages.Header(
                    self.status.cluster,
                    store or member.store,
                    target,
                    self.status.epoch,
                )
                answer = _messages.LeadershipAnswer(
                    head, queries[-1].incarnation - stale_by, is_leading
                )
                self.deliver(self.voter, sender, answer)
                request = _messages.VoteRequest(
                    head=attrs.evolve(head, epoch=self.status.epoch + 1),
                    pre=True,
                    last_index=9,
                    last_epoch=self.status.epoch,
                )
                self.deliver(self.voter, self.rival, request)
                self.assertEqual(votes[-1].granted, is_released)
                self.world.crash(self.voter)

    def test_query_goes_to_the_former_leader_only(self) -> None:
        queries = self.capture_sent(_messages.LeadershipQuery)
        self.world.start(self.voter)
        self.world.run(consensus.MIN_ELECTION_TIMEOUT_S)
        [store] = [
            m.store for m in self.status.voters if m.instance == self.former
        ]
        self.assertEqual({query.head.target for query in queries}, {store})


class LeaderTest(FrameTestCase):
    """A leader that is isolated from the voters."""

    def setUp(self) -> None:
        self.world = cluster.World("abc")
        self.world.start()
        self.world.run_until(lambda: bool(self.world.lease_holders()))

    def test_only_responses_of_current_voters_count(self) -> None:
        [name] = self.world.lease_holders()
        self.world.isolate(name)
        status = self.world.node(name).status()
        other = next(m for m in status.voters if m.instance != name)
        outcomes = self.world.propose(name, b"x")
        cases = (
            ("old epoch", other.store, status.epoch - 1, False),
            ("lost store", "lost", status.epoch, False),
            ("voter", other.store, status.epoch, True),
        )
        for case, store, epoch, counts in cases:
            with self.subTest(case):
                response = _messages.AppendResponse(
                    head=_messages.Header(
                        status.cluster, store, status.store, epoch
                    ),
                    sent_at=0.0,
                    accepted=True,
                    prev_index=status.last_index,
                    match=status.last_index + 1,
                )
                self.deliver(name, other.instance, response)
                self.assertEqual(bool(outcomes), counts)


if __name__ == "__main__":
    unittest.main()
