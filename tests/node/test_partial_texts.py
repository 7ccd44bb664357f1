"""Tests which events of a text are proposed, and when again."""

import types
import typing
import unittest

import banyanbank_base as base
import banyanbank_consensus as consensus
import banyanbank_jobs as jobs
from banyanbank_node import _partial_texts
from returns import result
from twisted.internet import defer

from tests.jobs import samples

ENOUGH = _partial_texts.MIN_NEW_EVENTS


class PartialTextsTest(unittest.TestCase):
    """The next leader continues from all events that could be committed."""

    def setUp(self) -> None:
        self.clock = base.ManualClock(10.0)
        self.ledger = jobs.Ledger()
        self.job = samples.make_job("job", samples.make_item("i1"))
        self.apply(jobs.AcceptJob(self.job))
        self.item = jobs.ItemProgress(self.job, self.job.items[0])
        self.proposed: list[tuple[jobs.KeepParts, typing.Any]] = []
        stored = types.SimpleNamespace(ledger=self.ledger, propose=self.propose)
        self.texts = _partial_texts.PartialTexts(
            self.clock,
            typing.cast(typing.Any, stored),
            typing.cast(typing.Any, types.SimpleNamespace(write=print)),
        )

    def apply(self, command: jobs.Command) -> None:
        self.ledger.apply(1, jobs.COMMAND_CODEC.encode(command))

    async def propose(self, command: jobs.KeepParts) -> object:
        answered: defer.Deferred[object] = defer.Deferred()
        self.proposed.append((command, answered))
        return await answered

    def generate(self, count: int) -> None:
        first = len(self.item.text.pieces) + 1
        for number in range(first, first + count):
            self.item.text.append(jobs.StreamEvent(number, f"e{number}", 1))

    def commit(self) -> None:
        self.clock.advance(_partial_texts.COMMIT_INTERVAL_S)
        self.texts.commit([self.item])

    def finish(self, is_committed: bool, is_known: bool) -> None:
        """Ends the newest proposal."""
        command, answered = self.proposed[-1]
        if is_committed:
            self.apply(command)
        answered.callback(
            result.Success(jobs.Applied(is_new=True))
            if is_known
            else result.Failure("lost")
        )

    def count_kept(self) -> int:
        return len(self.ledger.jobs["job"].kept["i1"].pieces)

    def test_text_that_was_begun_anew_is_not_joined_to_stored_parts(
        self,
    ) -> None:
        """Guards against a stored text of two runs with different versions."""
        self.generate(ENOUGH)
        self.commit()
        self.finish(is_committed=True, is_known=True)
        self.item.text = jobs.ItemText()
        self.item.has_restarted = True
        self.generate(3 * ENOUGH)
        self.commit()
        self.assertEqual(len(self.proposed), 1)

    def test_outcomes_of_a_proposal(self) -> None:
        cases = (
            ("committed", True, True),
            ("not committed", False, False),
            ("committed, but the reply was lost", True, False),
        )
        for name, is_committed, is_known in cases:
            with self.subTest(name):
                self.setUp()
                self.generate(ENOUGH)
                self.commit()
                self.generate(ENOUGH)
                self.finish(is_committed, is_known)
                self.commit()
                self.finish(is_committed=True, is_known=True)
                self.assertEqual(self.count_kept(), 2 * ENOUGH)

    def test_texts_that_exceed_a_command(self) -> None:
        """Guards against a long text that keeps others from being stored."""
        for name, data, items in (
            ("one text of many events", "ab", 1),
            ("one text of long events", "x" * 10_000, 1),
            ("several texts", "x" * 10_000, 12),
        ):
            with self.subTest(name):
                self.setUp()
                specs = [samples.make_item(f"i{n}") for n in range(items)]
                self.job = samples.make_job("many", *specs)
                self.apply(jobs.AcceptJob(self.job))
                running = [jobs.ItemProgress(self.job, one) for one in specs]
                count = 900_000 // (len(data) + 1)
                count = min(count, jobs.MAX_TEXT_EVENTS)
                for item in running:
                    for number in range(1, count + 1):
                        item.text.append(jobs.StreamEvent(number, data, 1))
                kept = self.ledger.jobs["many"].kept
                while sum(len(one.pieces) for one in kept.values()) < (
                    items * (count - ENOUGH)
                ):
                    known = len(self.proposed)
                    self.clock.advance(_partial_texts.COMMIT_INTERVAL_S)
                    self.texts.commit(running)
                    self.assertEqual(len(self.proposed), known + 1)
                    command, _ = self.proposed[-1]
                    self.assertLess(
                        len(jobs.COMMAND_CODEC.encode(command)),
                        consensus.MAX_COMMAND_BYTES,
                    )
                    self.finish(is_committed=True, is_known=True)

    def test_nothing_is_proposed_twice_at_once(self) -> None:
        self.generate(ENOUGH)
        self.commit()
        self.generate(ENOUGH)
        self.commit()
        self.assertEqual(len(self.proposed), 1)

    def test_text_that_begins_elsewhere_is_not_proposed_again(self) -> None:
        self.ledger.jobs["job"].kept["i1"] = jobs.KeptText(7, [], ())
        self.generate(ENOUGH)
        self.commit()
        self.assertEqual(self.proposed, [])

    def test_few_events_wait(self) -> None:
        self.generate(ENOUGH - 1)
        self.commit()
        self.assertEqual(self.proposed, [])


if __name__ == "__main__":
    unittest.main()
