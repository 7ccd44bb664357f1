"""Tests of single decisions of the sample scheduler."""

import random
import unittest

import attrs
import banyanbank_base as base
import banyanbank_rollout as rollout

from tests.rollout import cases


def engine(slots: int = 4, version: int = 1) -> rollout.EngineView:
    """Returns an engine that serves one version of the model."""
    return rollout.EngineView(
        endpoint=base.EndpointId("e1"),
        models=(cases.MODEL,),
        versions=(base.WeightVersion(version),),
        slots=slots,
    )


class StartTest(cases.LedgerCase):
    """Attempts are started, moved, retried and duplicated as needed."""

    def setUp(self) -> None:
        super().setUp()
        self.scheduler = rollout.SampleScheduler(random.Random(1))
        self.apply_all(cases.group(), cases.publish(1))

    def decide(
        self,
        *attempts: rollout.AttemptView,
        slots: int = 4,
        now: float = 0.0,
        **changes: object,
    ) -> tuple[rollout.SchedulerEffect, ...]:
        engines = (attrs.evolve(engine(slots), **changes),)
        return self.scheduler.decide(self.ledger, attempts, engines, now)

    def view(self, start: rollout.StartAttempt) -> rollout.AttemptView:
        return rollout.AttemptView(start.slot, start.attempt_id, 0.0)

    def test_starts_each_open_slot_once(self) -> None:
        starts = self.decide()
        self.assertEqual([start.slot.index for start in starts], [0, 1])
        self.assertEqual(self.decide(*map(self.view, starts)), ())

    def test_starts_at_most_as_many_as_free_slots(self) -> None:
        self.assertEqual(len(self.decide(slots=1)), 1)
        self.assertEqual(self.decide(slots=0), ())

    def test_waits_for_weights_within_the_staleness_bound(self) -> None:
        self.apply_one(cases.publish(4))
        for version, starts in ((2, 0), (3, 2), (4, 2)):
            versions = (base.WeightVersion(version),)
            with self.subTest(version=version):
                effects = self.decide(versions=versions)
                self.assertEqual(len(effects), starts)
                self.assertEqual({e.min_version for e in effects} - {3}, set())

    def test_proposes_complete_step_until_batch_is_formed(self) -> None:
        self.apply_all(cases.sample(0), cases.sample(1))
        proposal = rollout.ProposeBatch(cases.TRAINER, 0)
        self.assertEqual(self.decide(), (proposal,))
        self.apply_one(cases.form())
        self.assertEqual(self.decide(), ())

    def test_is_due_after_event_or_interval_with_minimum_gap(self) -> None:
        many = [
            rollout.AttemptView(
                rollout.SampleSlot(cases.TRAINER, 0, 0, 0), f"a{number}", 0.0
            )
            for number in range(4_000)
        ]
        for attempts, gap_s in (([], 0.05), (many[:1_000], 0.5), (many, 1.0)):
            max_interval_s = max(0.25, gap_s)
            ended = rollout.SampleScheduler.record_attempt_end
            scheduler = rollout.SampleScheduler(random.Random(1))
            self.assertTrue(scheduler.is_due(self.ledger, 0.0))
            scheduler.decide(self.ledger, attempts, (), 0.0)
            for at, changed, expected in (
                (gap_s - 0.01, True, False),
                (gap_s + 0.01, True, True),
                (max_interval_s - 0.01, False, False),
                (max_interval_s + 0.01, False, True),
            ):
                ledger = rollout.Ledger() if changed else self.ledger
                with self.subTest(attempts=len(attempts), at=at):
                    self.assertIs(scheduler.is_due(ledger, at), expected)
            ended(scheduler, many[0], 0.0, failed=True)
            self.assertTrue(scheduler.is_due(self.ledger, gap_s + 0.01))

    def test_reclaim_notice_moves_attempt_with_kv_cache(self) -> None:
        starts = self.decide()
        progress = rollout.ResumePoint((cases.stretch(1, 5),), "kv-1")
        running = attrs.evolve(
            self.view(starts[0]),
            engine=base.EndpointId("e1"),
            progress=progress,
        )
        cancel = rollout.CancelAttempt(
            running.slot, running.attempt_id, "moved", export_kv=True
        )
        other = self.view(starts[1])
        self.assertEqual(
            self.decide(running, other, slots=0, gone_at=9.0), (cancel,)
        )
        self.assertEqual(self.decide(running, other, slots=0, gone_at=9.0), ())
        self.scheduler.record_attempt_end(running, 1.0, failed=False)
        (resumed,) = self.decide(other)
        self.assertEqual(resumed.resume_from, progress)
        self.assertEqual(resumed.avoid, ("e1",))
        self.assertEqual(resumed.seed, starts[0].seed)

    def test_second_failure_delays_retry(self) -> None:
        for failures, delayed in ((1, False), (2, True), (3, True)):
            with self.subTest(failures=failures):
                start = self.decide(now=100.0 * failures)[0]
                failed = self.view(start)
                now = 100.0 * failures
                self.scheduler.record_attempt_end(failed, now, failed=True)
                again = {e.slot for e in self.decide(now=now)}
                self.assertEqual(start.slot not in again, delayed)

    def test_spare_attempts_use_only_idle_slots(self) -> None:
        self.apply_one(cases.group(step=1, spare_samples=1))
        for slots, spares in ((4, 0), (5, 1), (9, 1)):
            starts = self.decide(slots=slots)
            with self.subTest(slots=slots):
                indices = [start.slot.index for start in starts]
                self.assertEqual(indices.count(2), spares)

    def test_slow_attempt_is_duplicated_once(self) -> None:
        self.apply_one(cases.group(step=1, samples=3))
        starts = self.decide(slots=9)

        def views(now: float) -> list[rollout.AttemptView]:
            rates = [1.0, 10.0, 10.0, 10.0, 10.0]
            return [
                attrs.evolve(
                    self.view(start),
                    engine=base.EndpointId("e1"),
                    progress=rollout.ResumePoint(
                        (cases.stretch(1, 1 + int(rate * now)),)
                    ),
                )
                for start, rate in zip(starts, rates, strict=True)
            ]

        for now in (0.0, 4.0):
            self.assertEqual(self.decide(*views(now), slots=9, now=now), ())
        late = views(10.0)
        (duplicate,) = self.decide(*late, slots=9, now=10.0)
        self.assertEqual(duplicate.slot, late[0].slot)
        self.assertEqual(duplicate.resume_from, late[0].progress)
        late.append(self.view(duplicate))
        self.assertEqual(self.decide(*late, slots=9, now=10.0), ())


class ForecastTest(cases.LedgerCase):
    """The scheduler allows for a trainer that publishes once per step."""

    def test_holds_back_samples_certain_to_become_stale(self) -> None:
        scheduler = rollout.SampleScheduler(random.Random(1))
        version = 0

        def starts(now: float) -> set[int]:
            effects = scheduler.decide(
                self.ledger, (), (engine(9, version),), now
            )
            return {e.slot.step for e in effects}

        for step in range(4):
            now = 100.0 * step
            self.apply_one(cases.group(step=step, staleness_bound=0))
            starts(now)
            cancel = rollout.CancelStep(cases.TRAINER, step, "c")
            self.apply_one(cancel)
            starts(now + 50.0)
            version += 1
            self.apply_one(cases.publish(version))
            starts(now + 60.0)
        self.apply_one(cases.group(step=4, staleness_bound=0))
        self.apply_one(cases.group(step=5, staleness_bound=0))
        self.assertEqual(starts(400.0), {4})
        self.apply_one(rollout.CancelStep(cases.TRAINER, 4, "c"))
        self.assertEqual(starts(401.0), set())
        # A publication overdue by a full period is no longer waited for.
        self.assertEqual(starts(561.0), {5})
        self.apply_one(cases.publish(version + 1))
        version += 1
        self.assertEqual(starts(562.0), {5})


if __name__ == "__main__":
    unittest.main()
