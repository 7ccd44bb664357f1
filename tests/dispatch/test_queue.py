"""Tests of endpoint queues: fairness, priorities and life cycle."""

import collections

import banyanbank_base as base
import banyanbank_dispatch as dispatch

from tests.dispatch import _case

Kind = dispatch.WorkKind
Reason = base.RefusalReason


class FairnessTest(_case.DispatchCase):
    """Accounts are served tokens in proportion to their weights."""

    def test_shares(self) -> None:
        table = [
            ("equal", {"a": (1.0, 100), "b": (1.0, 100)}, None),
            ("weights", {"a": (3.0, 100), "b": (1.0, 100)}, None),
            ("sizes", {"a": (1.0, 1000), "b": (1.0, 50)}, None),
            ("estimates", {"a": (1.0, 100), "b": (1.0, 100)}, {"a": 400}),
        ]
        for name, accounts, used in table:
            with self.subTest(name):
                self._check_shares(accounts, used or {})

    def _check_shares(
        self, accounts: dict[str, tuple[float, float]], used: dict[str, float]
    ) -> None:
        queue = self.queue(max_waiting=100_000)
        for account, (weight, cost) in accounts.items():
            for _ in range(3000):
                work = self.work(account, cost=cost, weight=weight)
                self.offer_all(queue, work)
        spent: dict[str, float] = collections.defaultdict(float)

        def spend(work: dispatch.Work) -> float:
            tokens = used.get(work.account, work.cost_tokens)
            spent[work.account] += tokens
            return tokens

        self.drain(queue, 2000, spend)
        shares = [spent[a] / weight for a, (weight, _) in accounts.items()]
        largest = max(cost for _, cost in accounts.values())
        bound = 2 * max(largest, *used.values(), 256.0)
        self.assertLessEqual(max(shares) - min(shares), bound)

    def test_idle_account_accrues_no_credit(self) -> None:
        queue = self.queue()
        busy = [self.work("a") for _ in range(50)]
        self.offer_all(queue, *busy)
        self.drain(queue, 30)
        late = [self.work("b") for _ in range(20)]
        self.offer_all(queue, *late)
        served = [w.account for w in self.drain(queue, 20)]
        self.assertAlmostEqual(served.count(base.AccountId("b")), 10, delta=4)


class PriorityTest(_case.DispatchCase):
    """Classes are served by priority without starvation."""

    def test_order(self) -> None:
        queue = self.queue()
        kinds = (Kind.ROLLOUT, Kind.TAIL, Kind.INTERACTIVE)
        self.offer_all(queue, *(self.work(kind=kind) for kind in kinds))
        served = [w.kind for w in self.drain(queue, 3)]
        self.assertEqual(served, [Kind.INTERACTIVE, Kind.TAIL, Kind.ROLLOUT])

    def test_minimum_shares(self) -> None:
        queue = self.queue(min_rollout_share=0.2, max_tail_share=0.75)
        for kind in Kind:
            self.offer_all(queue, *(self.work(kind=kind) for _ in range(400)))
        counts = collections.Counter(w.kind for w in self.drain(queue, 400))
        self.assertAlmostEqual(counts[Kind.INTERACTIVE], 320, delta=4)
        self.assertAlmostEqual(counts[Kind.TAIL], 60, delta=4)
        self.assertAlmostEqual(counts[Kind.ROLLOUT], 20, delta=4)

    def test_reserved_slots(self) -> None:
        queue = self.queue(slots=3, reserved_interactive_slots=1)
        self.offer_all(queue, *(self.work() for _ in range(5)))
        self.assertIsNotNone(queue.next(0.0))
        self.assertIsNotNone(queue.next(0.0))
        self.assertIsNone(queue.next(0.0))
        lookup = self.work(kind=Kind.INTERACTIVE)
        self.offer_all(queue, lookup)
        self.assertEqual(queue.next(0.0), lookup)
        self.assertIsNone(queue.next(0.0))

    def test_promote(self) -> None:
        queue = self.queue()
        first, last = self.work(), self.work()
        self.offer_all(queue, first, last)
        self.assertTrue(queue.promote(last.request_id))
        self.assertFalse(queue.promote(last.request_id))
        served = [w.request_id for w in self.drain(queue, 2)]
        self.assertEqual(served, [last.request_id, first.request_id])


class LifecycleTest(_case.DispatchCase):
    """Refusals state the right outcome, and no work is lost."""

    def test_refusals(self) -> None:
        queue = self.queue(max_waiting=1)
        late = self.work(deadline=5.0)
        self.assert_refused(queue.offer(late, 5.0), Reason.DEADLINE_EXCEEDED)
        kept = self.work()
        self.offer_all(queue, kept)
        full = queue.offer(self.work(), 0.0)
        refusal = self.assert_refused(full, Reason.OVERLOADED)
        self.assertGreater(refusal.retry_after or 0.0, 0.0)
        for _ in range(2):  # First while it waits, then while it runs.
            duplicate = queue.offer(kept, 0.0)
            self.assert_refused(
                duplicate, Reason.CONFLICT, base.Outcome.MAY_HAVE_RUN
            )
            queue.next(0.0)
        queue.retire()
        after_retire = queue.offer(self.work(), 0.0)
        self.assert_refused(after_retire, Reason.NO_ENDPOINT)

    def test_expired_work_is_never_dispatched(self) -> None:
        queue = self.queue(slots=4)
        short, long = self.work(deadline=2.0), self.work(deadline=9.0)
        self.offer_all(queue, short, long)
        self.assertEqual(queue.next(2.0), long)
        self.assertIsNone(queue.next(2.0))
        self.assertEqual(queue.expire(2.0), (short,))
        self.assertEqual(queue.expire(3.0), ())

    def test_cancel(self) -> None:
        queue = self.queue()
        first, second = self.work(), self.work()
        self.offer_all(queue, first, second)
        queue.next(0.0)
        outcomes = [
            queue.cancel(rid)
            for rid in (first.request_id, second.request_id, second.request_id)
        ]
        cancelled = dispatch.CancelOutcome
        self.assertEqual(
            outcomes, [cancelled.RUNNING, cancelled.DROPPED, cancelled.UNKNOWN]
        )
        queue.finish(first.request_id, 0.0, 0.0)
        queue.finish(first.request_id, 0.0, 0.0)
        self.assertEqual(queue.status().running, 0)
        self.assertEqual(queue.status().waiting_tokens, 0.0)

    def test_withdraw_key(self) -> None:
        queue = self.queue()
        works = [self.work(key=key) for key in ("k1", "k2", "k1")]
        self.offer_all(queue, *works)
        running = queue.next(0.0)
        self.assertEqual(running, works[0])
        withdrawal = queue.withdraw_key(base.KeyId("k1"))
        self.assertEqual(withdrawal.dropped, (works[2],))
        self.assertEqual(withdrawal.running, (works[0],))
        queue.finish(works[0].request_id, 10.0, 0.0)
        self.assertEqual(queue.next(0.0), works[1])

    def test_retire_returns_waiting_work(self) -> None:
        queue = self.queue()
        works = [self.work() for _ in range(3)]
        self.offer_all(queue, *works)
        queue.next(0.0)
        self.assertEqual(queue.retire(), tuple(works[1:]))
        self.assertEqual(queue.running(), (works[0],))
        self.assertIsNone(queue.next(0.0))

    def test_observes_time_between_tokens(self) -> None:
        queue = self.queue(slots=4)
        for tokens, seconds, expected in (
            (8.0, 9.0, 0.0),  # Below MIN_OBSERVED_TOKENS.
            (100.0, 2.0, 0.02),
            (100.0, 3.0, 0.022),
        ):
            work = self.work()
            self.offer_all(queue, work)
            queue.next(10.0)
            queue.finish(work.request_id, tokens, 10.0 + seconds)
            self.assertAlmostEqual(queue.status().token_s, expected)

    def test_deadline_index_stays_small(self) -> None:
        queue = self.queue()
        for _ in range(2000):
            self.offer_all(queue, self.work())
            self.drain(queue, 1)
        self.assertLess(len(queue._deadlines), 100)
