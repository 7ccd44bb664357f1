"""Tests of the sample scheduler's single decisions."""

import random
import unittest

import banyanbank_base as base
import banyanbank_rollout as rollout

from tests.rollout import cases


def engine(slots: int = 4) -> rollout.EngineView:
    """Returns an engine that serves version 1 of the model."""
    return rollout.EngineView(
        endpoint=base.EndpointId("e1"),
        models=(cases.MODEL,),
        versions=(base.WeightVersion(1),),
        slots=slots,
    )


class StartTest(cases.LedgerCase):
    """Open slots are started once and whole steps are proposed."""

    def setUp(self) -> None:
        super().setUp()
        self.scheduler = rollout.SampleScheduler(random.Random(1))
        self.run_all(cases.group(), cases.publish(1))

    def decide(
        self, *attempts: rollout.AttemptView, slots: int = 4
    ) -> tuple[rollout.SchedulerEffect, ...]:
        return self.scheduler.decide(
            self.ledger, attempts, (engine(slots),), now=0.0
        )

    def view(self, start: rollout.StartAttempt) -> rollout.AttemptView:
        return rollout.AttemptView(start.slot, start.attempt_id, 0.0)

    def test_starts_each_open_slot_once(self) -> None:
        starts = self.decide()
        self.assertEqual([start.slot.index for start in starts], [0, 1])
        self.assertEqual(self.decide(*map(self.view, starts)), ())

    def test_starts_no_more_than_engines_take(self) -> None:
        self.assertEqual(len(self.decide(slots=1)), 1)
        self.assertEqual(self.decide(slots=0), ())

    def test_proposes_a_whole_step_until_it_is_formed(self) -> None:
        self.run_all(cases.sample(0), cases.sample(1))
        proposal = rollout.ProposeBatch(cases.TRAINER, 0)
        self.assertEqual(self.decide(), (proposal,))
        self.run_one(cases.form())
        self.assertEqual(self.decide(), ())


if __name__ == "__main__":
    unittest.main()
