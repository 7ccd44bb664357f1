"""Tests of planning loads of weights."""

import unittest

import banyanbank_jobs as jobs

from tests.jobs import samples

EVEN = {"m": 1.0, "n": 1.0}


class ShareEnginesTest(unittest.TestCase):
    """Engines follow the work; no model is left without one."""

    def test_shares(self) -> None:
        for engines, demand, want in (
            (5, {"a": 540.0, "b": 540.0, "c": 176.0}, {"a": 2, "b": 2, "c": 1}),
            (4, {"a": 1.0, "b": 1.0}, {"a": 2, "b": 2}),
            (3, {"a": 100.0, "b": 1.0}, {"a": 2, "b": 1}),
            (1, {"a": 1.0, "b": 0.0}, {"a": 0, "b": 1}),
            (3, {"a": 0.0, "b": 0.0}, {"a": 1, "b": 2}),
        ):
            with self.subTest(engines=engines, demand=demand):
                shares = jobs.share_engines(engines, demand)
                self.assertEqual(sum(shares.values()), engines)
                if engines >= len(demand):
                    self.assertEqual(shares, want)


class OneModelEachTest(unittest.TestCase):
    """Which engine loads what, and what goes on serving meanwhile."""

    def setUp(self) -> None:
        self.planner = jobs.WeightPlanner(models_each=1)

    def models(self) -> dict[str, str]:
        """Returns the one model of each engine."""
        assigned = self.planner.assigned()
        return {str(name): model for name, (model,) in assigned.items()}

    def plan(
        self, *engines: jobs.EngineView, needed: int = 1, newest: int = 2
    ) -> list[str]:
        orders = self.planner.plan(
            engines, {"m": newest}, {"m": needed}, {"m": 1.0}
        )
        return [str(order.endpoint) for order in orders]

    def test_half_goes_on_serving(self) -> None:
        engines = [samples.make_engine(f"e{n}", m=1) for n in range(5)]
        self.assertEqual(self.plan(*engines), ["e0", "e1"])

    def test_each_engine_loads_every_second_version(self) -> None:
        """While jobs allow the version before the newest one."""
        versions = dict.fromkeys((f"e{n}" for n in range(6)), 1)
        loads = 0
        for newest in range(2, 12):
            needed = newest - 1
            while True:
                engines = [
                    samples.make_engine(name, m=version)
                    for name, version in versions.items()
                ]
                orders = self.plan(*engines, needed=needed, newest=newest)
                if not orders:
                    break
                serving = [
                    name
                    for name, version in versions.items()
                    if version >= needed and name not in orders
                ]
                self.assertGreaterEqual(len(serving), 3)
                versions |= dict.fromkeys(orders, newest)
                loads += len(orders)
            self.assertGreaterEqual(min(versions.values()), needed)
        self.assertEqual(loads, 10 * 3)

    def test_useless_engines_load_together(self) -> None:
        """They serve nobody; only the weight store bounds their number."""
        newest, needed = {"m": 2, "n": 2}, {"m": 1, "n": 1}
        demand = {"m": 2.9, "n": 1.0}
        names = [f"e{number}" for number in range(5)]
        fresh = [samples.make_engine(name, m=2, n=2) for name in names]
        self.planner.plan(fresh, newest, needed, demand)
        own = [name for name, model in self.models().items() if model == "m"]
        self.assertEqual(len(own), 3)
        engines = [
            samples.make_engine(name, m=1 if name in own[1:] else 2, n=2)
            for name in names
        ]
        orders = self.planner.plan(engines, newest, {"m": 2, "n": 1}, demand)
        self.assertEqual([order.endpoint for order in orders], own[1:])

    def test_only_engine_of_a_model(self) -> None:
        """It loads what its jobs need, not what is merely newer."""
        for needed, orders in ((1, []), (2, ["e0"])):
            with self.subTest(needed=needed):
                engine = samples.make_engine("e0", m=1)
                planned = self.plan(engine, needed=needed, newest=3)
                self.assertEqual(planned, orders)

    def test_loads_at_once_follow_the_number_of_engines(self) -> None:
        for engines, loads in ((1, 1), (5, 2), (19, 7), (22, 8)):
            with self.subTest(engines=engines):
                self.assertEqual(jobs.loads_at_once(engines), loads)

    def test_loads_under_way_count(self) -> None:
        self.assertEqual(
            self.plan(
                samples.make_engine("e0", m=1, loading=("m",)),
                samples.make_engine("e1", m=1),
                samples.make_engine("e2", m=1),
            ),
            [],
        )

    def test_all_load_when_none_serves(self) -> None:
        engines = [samples.make_engine(f"e{n}", m=1) for n in range(5)]
        self.assertEqual(self.plan(*engines, needed=2), ["e0", "e1"])
        self.assertEqual(self.plan(engines[0], needed=2), ["e0"])

    def test_useless_engine_first(self) -> None:
        self.assertEqual(
            self.plan(
                samples.make_engine("e0", m=2),
                samples.make_engine("e1", m=1),
                samples.make_engine("e2", m=2),
                needed=2,
                newest=3,
            ),
            ["e1"],
        )

    def test_done(self) -> None:
        self.assertEqual(self.plan(samples.make_engine("e0", m=2)), [])

    def test_each_model_has_its_engines(self) -> None:
        engines = [samples.make_engine(f"e{n}", m=1, n=1) for n in range(4)]
        self.planner.plan(engines, {"m": 2, "n": 2}, {}, EVEN)
        counts = list(self.models().values())
        self.assertEqual(counts.count("m"), 2)
        self.assertEqual(counts.count("n"), 2)

    def test_engine_that_leaves_is_replaced(self) -> None:
        engines = [samples.make_engine(f"e{n}", m=1, n=1) for n in range(4)]
        self.planner.plan(engines, {"m": 2, "n": 2}, {}, EVEN)
        left = [
            view for view in engines if self.models()[str(view.endpoint)] == "m"
        ]
        self.planner.plan(left, {"m": 2, "n": 2}, {}, EVEN)
        self.assertEqual(sorted(self.models().values()), ["m", "n"])

    def test_few_engines_serve_every_model(self) -> None:
        newest = {"m": 2, "n": 2}
        first = samples.make_engine("e0", m=1, n=1)
        (order,) = self.planner.plan([first], newest, newest, EVEN)
        self.assertEqual(order.model, "m")
        then = samples.make_engine("e0", m=2, n=1)
        (order,) = self.planner.plan([then], newest, newest, EVEN)
        self.assertEqual(order.model, "n")


class TwoModelsEachTest(unittest.TestCase):
    """Engines serve two models, and load one at a time."""

    def setUp(self) -> None:
        self.planner = jobs.WeightPlanner()

    def count(self) -> dict[str, int]:
        """Returns the number of engines of each model."""
        assigned = self.planner.assigned().values()
        models = {model for own in assigned for model in own}
        return {m: sum(m in own for own in assigned) for m in sorted(models)}

    def test_shares(self) -> None:
        for name, engines, demand, want in (
            ("one model", 3, {"a": 1.0}, {"a": 3}),
            ("two models", 5, {"a": 9.0, "b": 1.0}, {"a": 5, "b": 5}),
            (
                "three alike",
                3,
                {"a": 1.0, "b": 1.0, "c": 1.0},
                {"a": 2, "b": 2, "c": 2},
            ),
            (
                "a large one among four",
                6,
                {"a": 6.0, "b": 1.0, "c": 1.0, "d": 1.0},
                {"a": 6, "b": 2, "c": 2, "d": 2},
            ),
        ):
            with self.subTest(name):
                self.setUp()
                newest = dict.fromkeys(demand, 2)
                views = [
                    samples.make_engine(f"e{n}", **dict.fromkeys(demand, 2))
                    for n in range(engines)
                ]
                # Engines move one at a time.
                for _ in range(engines):
                    self.planner.plan(views, newest, newest, demand)
                self.assertEqual(self.count(), want)

    def test_engine_gets_one_order(self) -> None:
        """It refuses a second one while it carries out the first."""
        newest = {"m": 2, "n": 2}
        engines = [samples.make_engine(f"e{n}", m=1, n=1) for n in range(5)]
        orders = self.planner.plan(engines, newest, newest, EVEN)
        self.assertEqual(len({order.endpoint for order in orders}), 2)
        loading = [
            samples.make_engine("e0", m=1, n=1, loading=("m",)),
            *engines[1:],
        ]
        orders = self.planner.plan(loading, newest, newest, EVEN)
        self.assertEqual(len(orders), 1)
        self.assertNotEqual(orders[0].endpoint, "e0")

    def test_useless_engines_of_any_model_go_first(self) -> None:
        engines = [
            samples.make_engine("e0", m=2, n=1),
            samples.make_engine("e1", m=2, n=1),
            samples.make_engine("e2", m=2, n=1),
        ]
        (order,) = self.planner.plan(
            engines, {"m": 3, "n": 2}, {"m": 2, "n": 2}, EVEN
        )
        self.assertEqual(order.model, "n")

    def test_loads_of_steps_in_turn(self) -> None:
        """As many as one model each and every version would take."""
        engines, steps = 6, 10
        held = {f"e{n}": {"m": 1, "n": 1} for n in range(engines)}
        loads = 0
        for newest in range(2, 2 + steps):
            for _ in range(2 * engines):
                views = [
                    samples.make_engine(name, **versions)
                    for name, versions in held.items()
                ]
                for order in self.planner.plan(
                    views,
                    {"m": newest, "n": newest},
                    {"m": newest - 1, "n": newest - 1},
                    EVEN,
                ):
                    held[order.endpoint][order.model] = order.version
                    loads += 1
        self.assertEqual(loads, steps * engines)
