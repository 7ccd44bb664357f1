"""Tests of the throughput forecast for open steps."""

import banyanbank_rollout as rollout

from tests.rollout import cases

CFG = rollout.StepDemandCfg(sample_tokens=100.0, period_s=50.0, least_s=20.0)


class StepNeedTest(cases.LedgerCase):
    """The forecast follows missing tokens, due times and step periods."""

    def setUp(self) -> None:
        super().setUp()
        self.need = rollout.StepDemandForecast(CFG)

    def tokens_per_s(self, now: float) -> float:
        self.need.observe(self.ledger, now)
        needs = self.need.tokens_per_s(self.ledger, now)
        return needs.get(cases.MODEL, 0.0)

    def deliver(self, step: int, now: float) -> None:
        """Delivers a step with two samples of 10 tokens each."""
        slots = [
            rollout.SampleSlot(cases.TRAINER, step, 0, index)
            for index in range(2)
        ]
        self.apply_all(
            cases.group(step=step),
            *(cases.sample(slot=slot) for slot in slots),
        )
        self.tokens_per_s(now)
        formed, fetched = self.apply_all(
            cases.form(step=step), cases.fetch(step=step)
        )
        assert isinstance(formed, rollout.BatchFormed), formed
        assert isinstance(fetched, rollout.BatchFetched), fetched
        self.apply_one(cases.acknowledge(fetched.batch_id))
        self.tokens_per_s(now)

    def test_need_is_missing_tokens_over_time_left(self) -> None:
        steps = [cases.group(step=number) for number in range(3)]
        table = (
            # commands, tokens per second
            ((), 0.0),
            (steps[:1], 200.0 / 20.0),
            (steps[1:2], 200.0 / 20.0),
            (steps[2:], 200.0 / 20.0),
            ((cases.sample(),), 100.0 / 20.0),
        )
        for commands, expected in table:
            with self.subTest(commands=commands):
                self.apply_all(*commands)
                self.assertAlmostEqual(self.tokens_per_s(0.0), expected)

    def test_steps_ahead_keep_one_step_per_period(self) -> None:
        for step, now in ((0, 0.0), (1, 40.0), (2, 140.0)):
            self.deliver(step, now)
        self.apply_one(cases.group(step=3))
        # 20 tokens by the recorded sample lengths, over the minimum period.
        self.assertAlmostEqual(self.tokens_per_s(140.0), 20.0 / 40.0)
        slot = rollout.SampleSlot(cases.TRAINER, 3, 0, 0)
        self.apply_all(cases.sample(slot=slot), cases.group(step=4))
        self.assertAlmostEqual(self.tokens_per_s(140.0), 20.0 / 40.0)
        self.assertAlmostEqual(self.tokens_per_s(175.0), 10.0 / 20.0)
