"""Tests of what loads ask for and of what is given back."""

import unittest

import attrs
import banyanbank_control as control

from tests.control.sync import test_exchange

CAPACITY = control.Capacity("coach", 1, 4, 1, ("a", "b"), 2.5)
SAFE, CHEAP = control.Supply.SAFE, control.Supply.RECLAIMABLE
LATE = 1000.0
ONE = (control.ServedModel("coach", 1),)
START = (control.Action.START, "coach")
BUSY = ("e1", "e2")
TWO = (control.ServedModel("coach", 1), control.ServedModel("judge", 1))


def engines(
    *places: tuple[str, control.Supply], models: tuple = ONE
) -> list[control.Announcement]:
    """Engines e0, e1, … of eight slots."""
    return [
        attrs.evolve(
            test_exchange.engine(f"e{number}"),
            failure_domain=domain,
            supply=supply,
            models=models,
            slots=8,
        )
        for number, (domain, supply) in enumerate(places)
    ]


def report(name: str, waiting: int, running: int) -> control.EngineReport:
    """Load of an engine."""
    return control.EngineReport(name, waiting, running, 0.0, 0.0, 100.0)


class DemandTest(unittest.TestCase):
    """Needs rise at once and fall late; old reports count for nothing."""

    def test_wanted(self) -> None:
        fleet = engines(("a", SAFE), ("b", CHEAP))
        for name, loads, at, wanted in [
            ("nothing heard", [], 0.0, 0),
            ("idle", [("i1", "e0", 0, 0)], 0.0, 0),
            ("within the headroom", [("i1", "e0", 0, 6)], 0.0, 1),
            ("headroom used up", [("i1", "e0", 0, 7)], 0.0, 2),
            ("what waits counts", [("i1", "e0", 9, 8)], 0.0, 3),
            (
                "engines and owners add up",
                [("i1", "e0", 0, 6), ("i2", "e0", 0, 6), ("i3", "e1", 0, 6)],
                0.0,
                3,
            ),
            ("other engine", [("i1", "e7", 9, 9)], 0.0, 0),
            ("old report", [("i1", "e0", 9, 8)], 5.0, 0),
        ]:
            with self.subTest(name):
                reports = control.EngineReports(0.0)
                for owner, endpoint, waiting, running in loads:
                    load = report(endpoint, waiting, running)
                    reports.take(owner, (load,), 0.0)
                self.assertEqual(
                    control.wanted_endpoints("coach", fleet, reports, at),
                    wanted,
                )

    def test_peak(self) -> None:
        peak = control.PeakNeed()
        for now, need, expected in [
            (0.0, 2, 2),
            (1.0, 5, 5),
            (2.0, 3, 5),
            (300.0, 4, 5),
            (600.9, 1, 5),
            (601.0, 1, 4),
            (900.0, 1, 1),
            (901.0, 3, 3),
        ]:
            with self.subTest(now=now):
                self.assertEqual(peak.note(need, now), expected)


class StopTest(unittest.TestCase):
    """Only idle endpoints above need and floor go, one at a time."""

    def test_stops(self) -> None:
        three = [("a", SAFE), ("b", CHEAP), ("b", CHEAP)]
        other = control.Order(
            1, control.OrderRequest("n", *START, "a", SAFE, 1, 2.5), 1
        )
        for name, places, wanted, facts, expected in [
            ("reclaimable of the fullest domain", three, 1, {}, "e1"),
            ("busy ones stay", three, 1, {"busy": ["e1"]}, "e2"),
            ("all are busy", three, 1, {"busy": ["e0", "e1", "e2"]}, None),
            ("all are needed", three, 3, {}, None),
            ("the last safe one stays", three[:2], 1, {}, "e1"),
            ("never below the minimum", three[:1], 0, {}, None),
            ("never below the minimum, all cheap", three[1:2], 0, {}, None),
            ("the last safe one, idle", three, 1, {"busy": BUSY}, None),
            ("safe ones last", [("a", SAFE)] * 2 + three[1:2], 1, {}, "e2"),
            (
                "fullest domain first",
                [("b", SAFE), ("a", CHEAP), ("b", CHEAP)],
                1,
                {},
                "e2",
            ),
            ("safe above the floor", [("a", SAFE)] * 2, 1, {}, "e0"),
            ("above the maximum", three + three[1:], 9, {}, "e1"),
            ("an order is live", three, 1, {"live": [other]}, None),
            ("office too young", three, 1, {"now": 599.0}, None),
            ("serves two models", three, 1, {"models": TWO}, None),
        ]:
            with self.subTest(name):
                now = facts.get("now", LATE)
                reports = control.EngineReports(0.0)
                busy = tuple(report(e, 0, 1) for e in facts.get("busy", ()))
                reports.take("i1", busy, now - 59.0)
                fleet = engines(*places, models=facts.get("models", ONE))
                stop = control.plan_stop(
                    CAPACITY, wanted, fleet, facts.get("live", ()), reports, now
                )
                self.assertEqual(stop and stop.endpoint, expected)
                if stop is not None:
                    self.assertIs(stop.action, control.Action.STOP)
