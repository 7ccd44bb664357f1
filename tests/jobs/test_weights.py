"""Tests of the planning of weight loads."""

import unittest

import banyanbank_jobs as jobs

from tests.jobs import samples

EQUAL_DEMAND = {"m": 1.0, "n": 1.0}


class ShareEnginesTest(unittest.TestCase):
    """Engines are divided by demand; each model gets one if possible."""

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
    """Engines with one model load in turns while others keep serving."""

    def setUp(self) -> None:
        self.planner = jobs.WeightPlanner(models_per_engine=1)

    def models(self) -> dict[str, str]:
        """Returns the model of each engine."""
        assigned = self.planner.assigned()
        return {str(name): model for name, (model,) in assigned.items()}

    def plan(
        self, *engines: jobs.EngineView, needed: int = 1, newest: int = 2
    ) -> list[str]:
        orders = self.planner.plan(
            engines, {"m": newest}, {"m": needed}, {"m": 1.0}
        )
        return [str(order.endpoint) for order in orders]

    def test_half_of_the_engines_keep_serving(self) -> None:
        engines = [samples.make_engine(f"e{n}", m=1) for n in range(5)]
        self.assertEqual(self.plan(*engines), ["e0", "e1"])

    def test_each_engine_loads_every_second_version(self) -> None:
        """Holds while jobs accept the version before the newest one."""
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

    def test_outdated_engines_load_together(self) -> None:
        """They run no items, so only the weight store limits their number."""
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
        """It loads only versions that its jobs need."""
        for needed, orders in ((1, []), (2, ["e0"])):
            with self.subTest(needed=needed):
                engine = samples.make_engine("e0", m=1)
                planned = self.plan(engine, needed=needed, newest=3)
                self.assertEqual(planned, orders)

    def test_max_concurrent_loads(self) -> None:
        for engines, loads in ((1, 1), (5, 2), (19, 7), (22, 8)):
            with self.subTest(engines=engines):
                self.assertEqual(jobs.max_concurrent_loads(engines), loads)

    def test_running_loads_count_against_the_bound(self) -> None:
        self.assertEqual(
            self.plan(
                samples.make_engine("e0", m=1, loading=("m",)),
                samples.make_engine("e1", m=1),
                samples.make_engine("e2", m=1),
            ),
            [],
        )

    def test_bound_when_no_engine_is_usable(self) -> None:
        engines = [samples.make_engine(f"e{n}", m=1) for n in range(5)]
        self.assertEqual(self.plan(*engines, needed=2), ["e0", "e1"])
        self.assertEqual(self.plan(engines[0], needed=2), ["e0"])

    def test_outdated_engine_loads_first(self) -> None:
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

    def test_no_load_when_up_to_date(self) -> None:
        self.assertEqual(self.plan(samples.make_engine("e0", m=2)), [])

    def test_each_model_has_its_engines(self) -> None:
        engines = [samples.make_engine(f"e{n}", m=1, n=1) for n in range(4)]
        self.planner.plan(engines, {"m": 2, "n": 2}, {}, EQUAL_DEMAND)
        counts = list(self.models().values())
        self.assertEqual(counts.count("m"), 2)
        self.assertEqual(counts.count("n"), 2)

    def test_engine_that_leaves_is_replaced(self) -> None:
        engines = [samples.make_engine(f"e{n}", m=1, n=1) for n in range(4)]
        self.planner.plan(engines, {"m": 2, "n": 2}, {}, EQUAL_DEMAND)
        left = [
            view for view in engines if self.models()[str(view.endpoint)] == "m"
        ]
        self.planner.plan(left, {"m": 2, "n": 2}, {}, EQUAL_DEMAND)
        self.assertEqual(sorted(self.models().values()), ["m", "n"])

    def test_few_engines_serve_every_model(self) -> None:
        newest = {"m": 2, "n": 2}
        first = samples.make_engine("e0", m=1, n=1)
        (order,) = self.planner.plan([first], newest, newest, EQUAL_DEMAND)
        self.assertEqual(order.model, "m")
        then = samples.make_engine("e0", m=2, n=1)
        (order,) = self.planner.plan([then], newest, newest, EQUAL_DEMAND)
        self.assertEqual(order.model, "n")


class TwoModelsEachTest(unittest.TestCase):
    """Engines with two models load one at a time."""

    def setUp(self) -> None:
        self.planner = jobs.WeightPlanner()

    def count(self) -> dict[str, int]:
        """Returns the number of engines assigned to each model."""
        assigned = self.planner.assigned().values()
        models = {model for own in assigned for model in own}
        return {m: sum(m in own for own in assigned) for m in sorted(models)}

    def test_shares(self) -> None:
        for name, engines, demand, want in (
            ("one model", 3, {"a": 1.0}, {"a": 3}),
            ("two models", 5, {"a": 9.0, "b": 1.0}, {"a": 5, "b": 5}),
            (
                "three with equal demand",
                3,
                {"a": 1.0, "b": 1.0, "c": 1.0},
                {"a": 2, "b": 2, "c": 2},
            ),
            (
                "one of four with high demand",
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
                # Each plan reassigns at most one engine.
                for _ in range(engines):
                    self.planner.plan(views, newest, newest, demand)
                self.assertEqual(self.count(), want)

    def test_services_with_different_models(self) -> None:
        """Guards against engines assigned models that they do not have."""
        first, second = ("m0", "m1"), ("m2", "m3")
        models_of = {f"a{n}": first for n in range(3)}
        models_of |= {f"b{n}": second for n in range(5)}
        demand = {"m0": 300.0, "m1": 100.0, "m2": 2000.0, "m3": 2000.0}
        held = {name: dict.fromkeys(own, 1) for name, own in models_of.items()}
        for newest in range(2, 6):
            versions = dict.fromkeys(demand, newest)
            for _ in range(12):
                views = [
                    samples.make_engine(name, **own)
                    for name, own in held.items()
                ]
                for order in self.planner.plan(
                    views, versions, versions, demand
                ):
                    held[str(order.endpoint)][order.model] = order.version
            for name, models in self.planner.assigned().items():
                self.assertLessEqual(models, set(models_of[str(name)]))
            for name, own in held.items():
                self.assertEqual(own, dict.fromkeys(models_of[name], newest))

    def test_engine_gets_one_order(self) -> None:
        """An engine rejects a second order while it carries out the first."""
        newest = {"m": 2, "n": 2}
        engines = [samples.make_engine(f"e{n}", m=1, n=1) for n in range(5)]
        orders = self.planner.plan(engines, newest, newest, EQUAL_DEMAND)
        self.assertEqual(len({order.endpoint for order in orders}), 2)
        loading = [
            samples.make_engine("e0", m=1, n=1, loading=("m",)),
            *engines[1:],
        ]
        orders = self.planner.plan(loading, newest, newest, EQUAL_DEMAND)
        self.assertEqual(len(orders), 1)
        self.assertNotEqual(orders[0].endpoint, "e0")

    def test_outdated_engines_of_any_model_load_first(self) -> None:
        engines = [
            samples.make_engine("e0", m=2, n=1),
            samples.make_engine("e1", m=2, n=1),
            samples.make_engine("e2", m=2, n=1),
        ]
        (order,) = self.planner.plan(
            engines, {"m": 3, "n": 2}, {"m": 2, "n": 2}, EQUAL_DEMAND
        )
        self.assertEqual(order.model, "n")

    def test_loads_of_alternating_steps(self) -> None:
        """As many loads as with one model per engine and every version."""
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
                    EQUAL_DEMAND,
                ):
                    held[order.endpoint][order.model] = order.version
                    loads += 1
        self.assertEqual(loads, steps * engines)
