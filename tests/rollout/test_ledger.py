"""Tests of the sample ledger's commands and snapshots."""

import unittest

import banyanbank_base as base
import banyanbank_rollout as rollout

from tests.rollout import cases

Refusal = rollout.LedgerRefusal


class RefusalTest(cases.LedgerCase):
    """Invalid commands are refused and leave the ledger unchanged."""

    def test_refusals(self) -> None:
        stretch = cases.stretch
        table = (
            (cases.group(prompt=b"other"), Refusal.CONFLICT),
            (cases.group(1), Refusal.INVALID),
            (cases.group(step=1, samples=0), Refusal.INVALID),
            (cases.group(step=1, staleness_bound=-1), Refusal.INVALID),
            (cases.sample(2), Refusal.UNKNOWN),
            (cases.sample(-1), Refusal.UNKNOWN),
            (cases.sample(model=base.ModelName("x")), Refusal.CONFLICT),
            (cases.sample(stretches=()), Refusal.INCOMPLETE_REPORT),
            (cases.sample(token_count=11), Refusal.INCOMPLETE_REPORT),
            (cases.sample(token_count=9), Refusal.INCOMPLETE_REPORT),
            (
                cases.sample(stretches=(stretch(1, 11), stretch(2, -1))),
                Refusal.INCOMPLETE_REPORT,
            ),
            (
                cases.sample(stretches=(stretch(4, 9), stretch(1, 1))),
                Refusal.STALE,
            ),
            (cases.publish(2), Refusal.STALE),
            (cases.publish(3, location="x"), Refusal.CONFLICT),
            (cases.form(step=7), Refusal.UNKNOWN),
            (cases.fetch(step=7), Refusal.UNKNOWN),
            (cases.acknowledge("0.0"), Refusal.WRONG_BATCH),
            (cases.acknowledge("7.0"), Refusal.WRONG_BATCH),
            (cases.acknowledge("x"), Refusal.WRONG_BATCH),
            (cases.reject("0.0"), Refusal.WRONG_BATCH),
            (
                rollout.CancelStep(cases.TRAINER, 7, "c"),
                Refusal.UNKNOWN,
            ),
        )
        self.apply_all(cases.group(), cases.publish(3))
        for command, reason in table:
            with self.subTest(command=command):
                self.assert_refused(command, reason)

    def test_open_steps_are_bounded(self) -> None:
        for step in range(8):
            self.apply_one(cases.group(step=step))
        self.assert_refused(cases.group(step=8), Refusal.TOO_MANY_STEPS)


class DeclarationTest(cases.LedgerCase):
    """A step keeps the declaration of its first group."""

    def test_declaration_changes_mid_step(self) -> None:
        first = cases.group(groups_in_step=2, max_tokens=9)
        self.apply_one(first)
        for changes in (
            {"samples": 3},
            {"groups_in_step": 1},
            {"staleness_bound": 9},
            {"spare_samples": 1},
            {"max_tokens": 5},
            {"model": base.ModelName("x")},
        ):
            for number in (0, 1):
                with self.subTest(changes=changes, group=number):
                    changed = cases.group(number, prompt=b"fold", **changes)
                    ledger, reply = self.ledger.apply(changed)
                    (step,) = ledger.steps()
                    self.assertIsInstance(reply, rollout.GroupSubmitted)
                    self.assertEqual(
                        step.groups[number].spec.with_declaration_of(first),
                        step.groups[number].spec,
                    )
                    self.assertFalse(step.is_complete)

    def test_next_step_uses_the_new_declaration(self) -> None:
        self.apply_all(cases.group(), cases.group(step=1, samples=3))
        self.assertEqual([step.wanted for step in self.ledger.steps()], [2, 3])


class DeliveryTest(cases.LedgerCase):
    """Batches are delivered exactly once and within the staleness bound."""

    def setUp(self) -> None:
        super().setUp()
        self.apply_all(cases.group(), cases.publish(1))

    def test_resends_get_the_first_reply(self) -> None:
        for command in (
            cases.group(),
            cases.publish(1),
            cases.sample(0),
            cases.sample(1),
            cases.form(),
            cases.fetch(),
            cases.acknowledge("0.0"),
        ):
            with self.subTest(command=command):
                first, held = self.apply_one(command), self.ledger
                self.assertNotIsInstance(first, rollout.LedgerRefused)
                self.assertEqual(self.apply_one(command), first)
                self.assertIs(self.ledger, held)

    def test_first_result_wins(self) -> None:
        self.apply_one(cases.sample(0))
        late = self.apply_one(cases.sample(0, attempt_id="late"))
        self.assertEqual(
            late,
            rollout.SampleRecorded(cases.sample(0).slot, "a0", False),
        )

    def test_fresher_result_supersedes_the_named_one(self) -> None:
        self.apply_one(cases.sample(0))
        newer_stretches = (cases.stretch(2, 10),)
        for changes, accepted in (
            ({"supersedes": "other", "stretches": newer_stretches}, False),
            ({"supersedes": "a0"}, False),
            ({"supersedes": "a0", "stretches": newer_stretches}, True),
        ):
            reply = self.apply_one(cases.sample(0, attempt_id="b0", **changes))
            with self.subTest(changes=changes):
                self.assertEqual(reply.accepted, accepted)

    def test_same_batch_until_acknowledged(self) -> None:
        self.apply_all(cases.sample(0), cases.sample(1), cases.form())
        first = self.apply_one(cases.fetch())
        self.apply_all(cases.publish(2), cases.publish(3), cases.publish(4))
        self.assertEqual(self.apply_one(cases.fetch(4)), first)
        self.assertEqual(
            [entry.attempt_id for entry in first.entries], ["a0", "a1"]
        )
        self.apply_one(cases.acknowledge(first.batch_id))
        self.assert_refused(cases.fetch(), Refusal.STEP_DONE)
        self.assert_refused(cases.group(), Refusal.STEP_DONE)
        self.assert_refused(cases.sample(0), Refusal.STEP_DONE)

    def test_stale_formed_batch_reopens_its_step(self) -> None:
        self.apply_all(
            cases.sample(0), cases.sample(1, stretches=(cases.stretch(2, 10),))
        )
        self.apply_one(cases.form())
        for cmd in (cases.fetch(3), cases.form(3)):
            ledger, reply = self.ledger.apply(cmd)
            with self.subTest(cmd=cmd):
                self.assertEqual(
                    reply, rollout.BatchPending(1, (cases.sample(0).slot,))
                )
                self.assertIsNone(ledger.body(cases.sample(0).slot))
                self.assertIsNotNone(ledger.body(cases.sample(1).slot))

    def test_unused_stale_batch_can_be_rejected(self) -> None:
        self.apply_all(cases.sample(0), cases.sample(1), cases.form())
        self.apply_one(cases.fetch())
        self.assert_refused(cases.reject("0.0"), Refusal.NOT_STALE)
        self.apply_all(cases.publish(2), cases.publish(3))
        reply = self.apply_one(cases.reject("0.0"))
        self.assertEqual(len(reply.discarded), 2)
        self.assert_refused(cases.acknowledge("0.0"), Refusal.WRONG_BATCH)
        self.assertEqual(
            self.apply_one(cases.reject("0.0")),
            rollout.BatchRejected("0.0", ()),
        )
        self.assert_refused(cases.sample(0), Refusal.STALE)

    def test_cancelled_step_stays_done(self) -> None:
        cancel = rollout.CancelStep(cases.TRAINER, 0, "c")
        first = self.apply_one(cancel)
        self.assertEqual(self.apply_one(cancel), first)
        self.assert_refused(cases.acknowledge("0.0"), Refusal.WRONG_BATCH)

    def test_done_steps_are_compacted(self) -> None:
        self.apply_one(rollout.CancelStep(cases.TRAINER, 0, "c"))
        for step in range(1, 600):
            self.apply_all(
                cases.group(step=step),
                rollout.CancelStep(cases.TRAINER, step, "c"),
            )
        (trainer,) = self.ledger.to_snapshot().trainers
        self.assertLess(len(trainer.done), 300)
        for step in (0, 300, 599):
            self.assert_refused(cases.group(step=step), Refusal.STEP_DONE)


class SnapshotTest(cases.LedgerCase):
    """An encoded and decoded snapshot restores an equal ledger."""

    def test_round_trip(self) -> None:
        codec = base.Codec(rollout.LedgerSnapshot)
        for command in (
            cases.group(),
            cases.publish(1),
            cases.sample(0),
            cases.sample(1),
            cases.form(),
            cases.fetch(),
            cases.group(step=1),
            cases.acknowledge("0.0"),
        ):
            self.apply_one(command)
            data = codec.encode(self.ledger.to_snapshot())
            with self.subTest(command=command):
                restored = rollout.Ledger.from_snapshot(codec.decode(data))
                self.assertEqual(restored, self.ledger)

    def test_unions_encode(self) -> None:
        for members, message in (
            (rollout.LEDGER_COMMANDS, cases.sample(0)),
            (rollout.LEDGER_COMMANDS, cases.publish(1)),
            (rollout.LEDGER_REPLIES, rollout.BatchPending(1)),
        ):
            codec = base.Codec(*members)
            with self.subTest(message=message):
                data = codec.encode(message)
                self.assertEqual(codec.decode(data), message)


if __name__ == "__main__":
    unittest.main()
