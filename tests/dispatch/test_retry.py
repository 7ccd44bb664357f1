"""Tests of the retry policy."""

import random
import typing

import banyanbank_base as base
import banyanbank_dispatch as dispatch

from tests.dispatch import _case

Outcome = base.Outcome


class RetryTest(_case.DispatchCase):
    """Only attempts that are safe to repeat are retried, within the budget."""

    def setUp(self) -> None:
        super().setUp()
        self.policy = dispatch.RetryPolicy(random.Random(1))

    def _decide(self, **fields: typing.Any) -> dispatch.Retry | dispatch.GiveUp:
        arguments: dict[str, typing.Any] = {
            "attempts": 1,
            "outcome": Outcome.NOT_RUN,
            "idempotent": True,
            "deadline": 10.0,
            "now": 0.0,
        }
        return self.policy.decide(**(arguments | fields))

    def test_decisions(self) -> None:
        table = [
            (Outcome.NOT_RUN, True, 1, 10.0, None, True),
            (Outcome.NOT_RUN, False, 1, 10.0, None, True),
            (Outcome.MAY_HAVE_RUN, True, 1, 10.0, None, True),
            (Outcome.MAY_HAVE_RUN, False, 1, 10.0, None, False),
            (Outcome.RAN, True, 1, 10.0, None, False),
            (Outcome.RAN, False, 1, 10.0, None, False),
            (Outcome.NOT_RUN, True, 4, 10.0, None, False),
            (Outcome.NOT_RUN, True, 1, 0.0, None, False),
            (Outcome.NOT_RUN, True, 1, 10.0, 3.0, True),
            (Outcome.NOT_RUN, True, 1, 10.0, 30.0, False),
        ]
        for row in table:
            outcome, idempotent, attempts, deadline, wait, expected = row
            with self.subTest(row=row):
                decision = self._decide(
                    outcome=outcome,
                    idempotent=idempotent,
                    attempts=attempts,
                    deadline=deadline,
                    retry_after=wait,
                )
                self.assertEqual(isinstance(decision, dispatch.Retry), expected)
                if isinstance(decision, dispatch.Retry):
                    self.assertGreaterEqual(decision.at, wait or 0.0)
                    self.assertLess(decision.at, deadline)

    def test_delay_has_full_jitter(self) -> None:
        for attempts, max_delay in ((1, 0.025), (2, 0.05), (3, 0.1)):
            delays = []
            for _ in range(200):
                self.policy = dispatch.RetryPolicy(self.policy._rng)
                decision = self._decide(attempts=attempts)
                self.assertIsInstance(decision, dispatch.Retry)
                delays.append(typing.cast(dispatch.Retry, decision).at)
            self.assertLess(max(delays), max_delay)
            self.assertLess(min(delays), max_delay / 10)
            self.assertAlmostEqual(
                sum(delays) / 200, max_delay / 2, delta=max_delay / 8
            )

    def test_budget(self) -> None:
        retries = 0
        for _ in range(1000):
            self.policy.note_first_attempt()
            retries += isinstance(self._decide(), dispatch.Retry)
        self.assertLessEqual(retries, 1000 * 0.1 + 20)
        self.assertGreaterEqual(retries, 100)
