"""Tests of the figures that users measure."""

import unittest

import banyanbank_base as base
import banyanbank_control as control
from banyanbank_daemon import _figures
from banyanbank_daemon import _meters
from banyanbank_web import metrics

FOLDS = base.TrainerId("folds")


def _engine(name: str) -> control.Announcement:
    return control.Announcement(
        endpoint=base.EndpointId(name),
        incarnation=base.Incarnation(1),
        sequence=1,
        kind=control.EndpointKind.ENGINE,
        address="127.0.0.1:1",
        failure_domain=base.FailureDomain("zone-1"),
        models=(
            control.ServedModel(base.ModelName("coach"), base.WeightVersion(1)),
        ),
    )


class FiguresCase(unittest.TestCase):
    """Base of cases with counts on a manual clock."""

    def setUp(self) -> None:
        self.clock = base.ManualClock()
        self.running: list[control.Announcement] = []
        self.trainers = _figures.TrainerWaits(self.clock)
        self.accounts = _figures.AccountWaits(self.clock)
        self.endpoints = _figures.EndpointTime(self.clock, lambda: self.running)

    def figures(self, name: str = "i1") -> _figures.InstanceFigures:
        return _figures.InstanceFigures(
            base.InstanceId(name),
            False,
            self.trainers.figures(),
            self.accounts.figures(),
            self.endpoints.figures(),
            (),
            self.accounts.refused_figures(),
        )

    def document(
        self,
        *instances: _figures.InstanceFigures,
        offers: tuple[control.Offer, ...] = (),
    ) -> dict:
        gathered = _figures.Gathered(instances or (self.figures(),), ())
        prices = _figures.declared_prices(offers)
        return _figures.to_document(gathered, lambda _account: 1.0, prices)


class TrainerTest(FiguresCase):
    """A trainer is idle while at least one of its fetches waits."""

    def test_waits(self) -> None:
        with self.trainers.waiting(FOLDS):
            self.clock.advance(2.0)
            with self.trainers.waiting(FOLDS) as end_wait:
                self.clock.advance(1.0)
                end_wait()
                end_wait()
            self.clock.advance(1.0)
            (row,) = self.document()["trainers"]
            self.assertTrue(row["waits_now"])
        self.clock.advance(4.0)
        (row,) = self.document()["trainers"]
        self.assertEqual((row["idle_s"], row["idle_share"]), (4.0, 0.5))
        self.assertFalse(row["waits_now"])

    def test_instances_add_up(self) -> None:
        with self.trainers.waiting(FOLDS):
            self.clock.advance(1.0)
        figures = self.figures()
        (row,) = self.document(figures, figures)["trainers"]
        self.assertEqual(row["idle_s"], 2.0)


class AccountTest(FiguresCase):
    """The account whose lookups wait longest now is named."""

    def test_worst_served(self) -> None:
        self.accounts.granted("a", "interactive", 9.0)
        self.clock.advance(2 * metrics.WINDOW_S)
        for account, kind, waited_s, tokens in (
            ("a", "interactive", 1.0, 30.0),
            ("b", "interactive", 3.0, 10.0),
            ("b", "rollout", 50.0, 60.0),
            ("c", "service", 0.5, 0.0),
        ):
            self.accounts.granted(account, kind, waited_s)
            self.accounts.served(account, kind, tokens)
        document = self.document()
        self.assertEqual(
            document["worst_served"],
            [
                {
                    "account": account,
                    "kind": kind,
                    "mean_wait_s": wait_s,
                    "times_mean_of_accounts": ratio,
                }
                for account, kind, wait_s, ratio in (
                    ("b", "interactive", 3.0, 1.5),
                    ("c", "service", 0.5, 1.0),
                )
            ],
        )
        first = document["accounts"][0]
        self.assertEqual(first["mean_wait_s"], 5.0)
        self.assertEqual(first["recent_longest_s"], 1.0)
        shares = [row["share"] for row in document["accounts"]]
        self.assertEqual(shares, [0.3, 0.1, 0.6, 0.0])

    def test_nobody_asked(self) -> None:
        self.accounts.granted("a", "rollout", 1.0)
        self.assertEqual(self.document()["worst_served"], [])

    def test_refused(self) -> None:
        for account in ("a", "b", "a"):
            self.accounts.refused(base.AccountId(account))
        self.assertEqual(
            self.document(self.figures(), self.figures())["refused_by_limits"],
            [{"account": "a", "requests": 4}, {"account": "b", "requests": 2}],
        )


class EndpointTest(FiguresCase):
    """Time counts while this instance leads, and stays."""

    def test_seconds(self) -> None:
        self.running = [_engine("e1"), _engine("e2")]
        self.endpoints.tick()
        self.clock.advance(5.0)
        self.endpoints.tick()
        self.endpoints.stop()
        self.clock.advance(100.0)
        self.endpoints.tick()
        (row,) = self.document()["endpoint_time"]
        self.assertEqual((row["running"], row["seconds"]), (2, 10.0))
        self.assertIsNone(row["cost"])

    def test_price(self) -> None:
        self.running = [_engine("e1")]
        self.endpoints.tick()
        self.clock.advance(1_800.0)
        self.endpoints.tick()
        for model, cost in (("coach", 2.0), ("drill", None)):
            with self.subTest(model):
                offer = control.Offer(
                    base.ModelName(model),
                    base.FailureDomain("zone-1"),
                    control.Supply.SAFE,
                    price_per_hour=4.0,
                    tokens_per_s=100.0,
                    max_endpoints=3,
                )
                (row,) = self.document(offers=(offer,))["endpoint_time"]
                self.assertEqual(row["cost"], cost)


class MetersTest(FiguresCase):
    """Counters rise with the counts, also beyond the bound of series."""

    def test_advance(self) -> None:
        registry = metrics.MetricsRegistry(self.clock)
        meters = _meters.Meters(registry)
        for number in range(metrics.MAX_SERIES + 2):
            self.accounts.served(f"{number:03}", "rollout", 1.0)
        for _ in range(2):
            meters.observe_figures(self.figures())
        text = registry.render()
        name = "banyanbank_account_tokens_total"
        self.assertIn(f'{name}{{account="000",kind="rollout"}} 1\n', text)
        self.assertIn(f'{name}{{account="other",kind="other"}} 2\n', text)
