"""Single frames handed to a node: what it must refuse, and what it counts."""

import unittest
import zlib

import banyanbank_base as base
import banyanbank_consensus as consensus
from banyanbank_consensus import _log
from banyanbank_consensus import _messages

from tests.consensus import cluster

A, B, C = (base.InstanceId(name) for name in "abc")


class FramesCase(unittest.TestCase):
    """Base of cases that hand frames to a node."""

    def hand(self, name: str, sender: str, *messages: object) -> None:
        """Hands frames to a node within one turn of its loop."""
        process = self.world.processes[base.InstanceId(name)]
        for message in messages:
            frame = _messages.MESSAGE_CODEC.encode(message)
            process.node.handle_message(base.InstanceId(sender), frame)
        self.world.drain(process)

    def watch(self, *kinds: type) -> list[object]:
        """Returns the list of messages of some kinds that are sent."""
        seen: list[object] = []
        send = self.world.send

        def spy(source: str, target: str, data: bytes) -> None:
            message = _messages.MESSAGE_CODEC.decode(data)
            if isinstance(message, kinds):
                seen.append(message)
            send(source, target, data)

        self.world.send = spy
        return seen


class EmptyStoreTest(FramesCase):
    """A store that has not joined a log yet."""

    def setUp(self) -> None:
        self.world = cluster.World("abc")

    def header(self, name: str, epoch: int) -> _messages.Header:
        store = self.world.node(name).status().store
        return _messages.Header("log", "other", store, epoch)

    def test_entries_behind_a_snapshot_are_written_once(self) -> None:
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
        self.hand("b", "a", chunk, append)
        self.assertEqual(self.world.machine("b").commands, [(6, b"x")])
        self.world.crash("b")
        self.world.start("b")
        self.assertEqual(self.world.node("b").status().last_index, 6)

    def test_vote_is_remembered_over_a_restart(self) -> None:
        seen = self.watch(_messages.VoteResponse)
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
                    self.hand("b", candidate, request)
                    self.assertEqual(seen[-1].granted, granted)

    def test_log_is_formed_by_two_answers_in_a_row(self) -> None:
        """Each case: store, round behind the newest, and log of answers."""
        same = ("s", 0, "")
        cases = (
            ("two in a row", (same, same), True),
            ("one only", (same,), False),
            ("a late answer", (same, ("s", 1, "")), False),
            ("another store", (same, ("t", 0, "")), False),
            ("a store of a log", (same, ("s", 0, "log")), False),
            ("one hello missed", (same, None, same), False),
        )
        for name, answers, formed in cases:
            with self.subTest(name):
                self.world = cluster.World("abc")
                seen = self.watch(_messages.Hello)
                self.world.start("a")
                for answer in answers:
                    number = seen[-1].round
                    self.answer(number, answer)
                    self.await_hello(seen, number + 1)
                self.assertEqual(
                    bool(self.world.node("a").status().cluster), formed
                )

    def await_hello(self, seen: list[object], number: int) -> None:
        self.world.run_until(lambda: seen[-1].round >= number)

    def answer(self, number: int, answer: tuple[str, int, str] | None) -> None:
        if answer is None:
            return
        store, behind, log = answer
        target = self.world.node("a").status().store
        for sender in (B, C):
            head = _messages.Header(log, store, target, 0)
            hello = _messages.Hello(head, False, number - behind, ())
            self.hand("a", sender, hello)


class LeaderTest(FramesCase):
    """A leader that nobody answers."""

    def setUp(self) -> None:
        self.world = cluster.World("abc")
        self.world.start()
        self.world.run_until(lambda: bool(self.world.holders()))

    def test_answers_that_count(self) -> None:
        [name] = self.world.holders()
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
                self.hand(name, other.instance, response)
                self.assertEqual(bool(outcomes), counts)


if __name__ == "__main__":
    unittest.main()
