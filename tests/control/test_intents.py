"""Tests of claims of non-idempotent requests."""

import unittest
import unittest.mock

import attrs
import banyanbank_control as control
from banyanbank_control import intents
from banyanbank_control.intents import _apply as intents_apply

from tests.control import samples

BEGIN = control.BeginIntent(
    account="acme",
    idempotency_key="k",
    request_digest=b"d",
    request_id="r1",
    instance="ann",
    incarnation=5,
    endpoint="e",
    begun_at=1000.0,
    retain_until=2000.0,
)
COMPLETE = control.CompleteIntent("acme", "k", "r1", b"answer")
ABANDON = control.AbandonIntent("acme", "k", "r1")
SECOND = attrs.evolve(BEGIN, request_id="r2", instance="bob")


class IntentTest(unittest.TestCase):
    """Sequences of commands and the expected types of their replies."""

    def setUp(self) -> None:
        self.machine = control.ControlMachine()

    def run_script(
        self, *steps: tuple[control.Command, type[control.Reply]]
    ) -> control.Reply | None:
        """Applies commands; restores from a snapshot after each."""
        reply = None
        for cmd, expected in steps:
            reply = samples.send(self.machine, cmd)
            self.assertIsInstance(reply, expected, cmd)
            data = self.machine.snapshot()
            self.machine = control.ControlMachine()
            self.machine.restore(data)
        return reply

    def test_scripts(self) -> None:
        begun, replay = control.IntentBegun, control.IntentReplay
        open_, closed = control.IntentOpen, control.IntentClosed
        rejected = control.Rejected
        other = attrs.evolve(SECOND, request_digest=b"x")
        again = attrs.evolve(SECOND, instance="ann", incarnation=6)
        late = control.ExpireIntents(2059.0)
        due = control.ExpireIntents(2160.0)
        scripts = {
            "duplicate claim": [
                (BEGIN, begun),
                (BEGIN, begun),
                (SECOND, open_),
            ],
            "replay": [(BEGIN, begun), (COMPLETE, closed), (SECOND, replay)],
            "own replay": [(BEGIN, begun), (COMPLETE, closed), (BEGIN, replay)],
            "mismatch": [(BEGIN, begun), (other, control.IntentMismatch)],
            "mismatch after completion": [
                (BEGIN, begun),
                (COMPLETE, closed),
                (other, control.IntentMismatch),
            ],
            "abandoned": [(BEGIN, begun), (ABANDON, closed), (SECOND, begun)],
            "duplicate abandonment after the next claim": [
                (BEGIN, begun),
                (ABANDON, closed),
                (SECOND, begun),
                (ABANDON, rejected),
                (attrs.evolve(SECOND, request_id="r3"), open_),
            ],
            "claim after its abandonment": [
                (ABANDON, closed),
                (BEGIN, rejected),
                (SECOND, begun),
            ],
            "duplicate claim after its abandonment": [
                (BEGIN, begun),
                (ABANDON, closed),
                (BEGIN, rejected),
                (SECOND, begun),
            ],
            "abandonment after completion": [
                (BEGIN, begun),
                (COMPLETE, closed),
                (ABANDON, rejected),
                (SECOND, replay),
            ],
            "completion by another attempt": [
                (BEGIN, begun),
                (attrs.evolve(COMPLETE, request_id="r2"), rejected),
                (SECOND, open_),
            ],
            "restarted entry instance": [(BEGIN, begun), (again, open_)],
            "retention": [
                (BEGIN, begun),
                (late, control.IntentsExpired),
                (SECOND, open_),
                (due, control.IntentsExpired),
                (SECOND, begun),
            ],
            "invalid retention": [
                (attrs.evolve(BEGIN, retain_until=1e9), rejected),
                (attrs.evolve(BEGIN, begun_at=float("nan")), rejected),
                (attrs.evolve(BEGIN, retain_until=1000.0), rejected),
            ],
        }
        for name, steps in scripts.items():
            with self.subTest(name):
                self.setUp()
                self.run_script(*steps)

    def test_lost_instance(self) -> None:
        begun, open_ = control.IntentBegun, control.IntentOpen
        reply = self.run_script((BEGIN, begun), (SECOND, open_))
        self.assertFalse(reply.may_have_run)
        note = control.NoteInstanceLost("ann", 5)
        reply = self.run_script((note, control.LossNoted), (SECOND, open_))
        self.assertTrue(reply.may_have_run)
        late = self.run_script(
            (COMPLETE, control.IntentClosed), (SECOND, control.IntentReplay)
        )
        self.assertEqual(late.answer, b"answer")

    def test_negative_incarnation(self) -> None:
        note = control.NoteInstanceLost("ann", -1)
        reply = self.run_script((note, control.LossNoted))
        self.assertEqual(reply, control.LossNoted(-1))

    def test_restart_ends_earlier_incarnation(self) -> None:
        again = attrs.evolve(SECOND, instance="ann", incarnation=6)
        reply = self.run_script(
            (BEGIN, control.IntentBegun), (again, control.IntentOpen)
        )
        self.assertTrue(reply.may_have_run)

    def test_large_answer_is_not_kept(self) -> None:
        large = attrs.evolve(
            COMPLETE, answer=b"x" * (intents.MAX_ANSWER_BYTES + 1)
        )
        reply = self.run_script(
            (BEGIN, control.IntentBegun),
            (large, control.IntentClosed),
            (SECOND, control.IntentReplay),
        )
        self.assertIsNone(reply.answer)

    def test_limits(self) -> None:
        with (
            unittest.mock.patch.object(intents_apply, "MAX_INTENTS", 3),
            unittest.mock.patch.object(
                intents_apply, "MAX_INTENTS_PER_ACCOUNT", 2
            ),
            unittest.mock.patch.object(
                intents_apply, "MAX_TOTAL_ANSWER_BYTES", 7
            ),
        ):
            self._check_limits()

    def _check_limits(self) -> None:
        begun, full = control.IntentBegun, control.Rejected
        other = attrs.evolve(BEGIN, account="zeta")
        other_complete = attrs.evolve(COMPLETE, idempotency_key="l")
        self.run_script(
            (BEGIN, begun),
            (attrs.evolve(BEGIN, idempotency_key="l"), begun),
            (attrs.evolve(BEGIN, idempotency_key="m"), full),
            (COMPLETE, control.IntentClosed),
            (other_complete, control.IntentClosed),
            (other, begun),
            (attrs.evolve(other, idempotency_key="l"), full),
        )
        held = self.machine.state.intents
        answers = [intent.answer for intent in held.intents.values()]
        self.assertEqual(answers.count(b"answer"), 1)
        self.assertEqual(held.answer_bytes, 6)

    def test_expiry_is_bounded(self) -> None:
        for number in range(1500):
            samples.send(
                self.machine, attrs.evolve(BEGIN, idempotency_key=str(number))
            )
        expire = control.ExpireIntents(2160.0)
        replies = [samples.send(self.machine, expire) for _ in range(2)]
        self.assertEqual(
            replies,
            [
                control.IntentsExpired(1000, True),
                control.IntentsExpired(500, False),
            ],
        )
        self.assertEqual(self.machine.state.intents, intents.IntentState())

    def test_snapshot_keeps_abandoned_attempts(self) -> None:
        samples.send(self.machine, ABANDON)
        other = control.ControlMachine()
        other.restore(self.machine.snapshot())
        self.assertEqual(other.state, self.machine.state)
