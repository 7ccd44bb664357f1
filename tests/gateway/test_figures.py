"""Tests of figures of endpoints, failures and rejections."""

import random
import unittest

import banyanbank_gateway as gateway
from banyanbank_gateway import _failure_watch
from banyanbank_gateway import _rejections

from tests.gateway import samples

TARGET = samples.make_announcement("e1")
FIGURE = gateway.EndpointFigure(TARGET.endpoint, TARGET.born_ms, 2.0)


class KnownFiguresTest(unittest.TestCase):
    """Figures end when their leader is not heard, or takes them back."""

    def test_ends(self) -> None:
        """Guards against an endpoint that is avoided on old grounds.

        Also guards against the use of a slow one only because a new leader
        knows nothing yet.
        """
        for name, source, figures, now, is_held in (
            ("lost contact", None, (), 4.9, True),
            ("long lost contact", None, (), 5.1, False),
            ("same leader, unchanged", "a/1", None, 9.0, True),
            ("same leader, alike again", "a/1", (), 4.1, False),
            ("new leader without figures", "b/2", (), 4.9, True),
            ("new leader, later", "b/2", (), 5.1, False),
            ("new leader with figures", "b/2", (FIGURE,), 9.0, True),
        ):
            with self.subTest(name):
                known = gateway.KnownFigures()
                known.replace("a/1", (FIGURE,), 0.0)
                if source is not None and figures is None:
                    known.renew(source, 4.0)
                elif source is not None and figures is not None:
                    known.replace(source, figures, 4.0)
                self.assertEqual(known.get(TARGET, now) is not None, is_held)


class SampleLogTest(unittest.TestCase):
    """Each poll reports what is new, and what may have been lost."""

    def test_polls(self) -> None:
        log = gateway.SampleLog()
        log.record_success(TARGET, "route", 0.024)
        log.record_success(TARGET, "route", 0.024)
        (first,) = log.take()
        self.assertEqual(list(first.times.values()), [2])
        log.record_failure(TARGET, "route")
        # The poll was not answered.
        (again,) = log.take()
        self.assertEqual((again.times, again.failures), (first.times, 1))
        log.confirm()
        self.assertEqual(log.take(), ())


class FailureWatchTest(unittest.TestCase):
    """Failures count if several instances see them; marks end by time."""

    def test_first_mark(self) -> None:
        """Guards against marks on the word of one instance.

        It may have lost its own connections. Also guards against marks for few
        failures of many requests.
        """
        for name, reports, is_failing in (
            ("two instances", [("a", 0, 1), ("b", 0, 1)], True),
            ("one failure", [("a", 0, 1)], False),
            ("one instance", [("a", 0, 9)], False),
            ("few of many", [("a", 20, 1), ("b", 20, 1)], False),
            ("half", [("a", 1, 1), ("b", 1, 1)], True),
        ):
            with self.subTest(name):
                watch = _failure_watch.FailureWatch()
                for reporter, successes, failures in reports:
                    watch.add(reporter, successes, failures, 0.0)
                phase = watch.find_phase(0.1)
                self.assertEqual(
                    phase is _failure_watch.Phase.FAILING, is_failing
                )

    def test_recovery_and_relapse(self) -> None:
        phases = _failure_watch.Phase
        watch = _failure_watch.FailureWatch()
        for reporter in "ab":
            watch.add(reporter, 0, 1, 0.0)
        watch.add("c", 0, 1, 1.0)
        self.assertIs(watch.find_phase(1.6), phases.TRIAL)
        # On trial, one failure is enough, and it weighs more.
        watch.add("c", 0, 1, 2.0)
        self.assertIs(watch.find_phase(4.9), phases.FAILING)
        self.assertIs(watch.find_phase(5.1), phases.TRIAL)
        watch.add("c", 2, 0, 5.2)
        self.assertIs(watch.find_phase(5.3), phases.SOUND)


class CollectorTest(unittest.TestCase):
    """Times are compared within a route, and quantiles span instances."""

    def test_routes_of_unequal_length(self) -> None:
        """Guards against an endpoint taken for slow because of long work."""
        collector = gateway.FigureCollector()
        for name, route, took_s in (
            ("e1", "short", 0.02),
            ("e2", "short", 0.02),
            ("e2", "long", 0.2),
            ("e3", "long", 0.2),
        ):
            log = gateway.SampleLog()
            for _ in range(20):
                log.record_success(
                    samples.make_announcement(name), route, took_s
                )
            collector.add("entry", log.take(), 1.0)
        self.assertEqual(collector.find_figures(1.0), ())
        self.assertEqual(collector.revision, 1)

    def test_noise(self) -> None:
        """Guards against messages about the noise of unequal requests."""
        collector = gateway.FigureCollector()
        rng = random.Random(3)
        changes = []
        for second in range(300):
            log = gateway.SampleLog()
            for number in range(20):
                target = samples.make_announcement(f"e{number % 10}")
                log.record_success(
                    target, "route", 0.02 * rng.lognormvariate(0.0, 0.4)
                )
            collector.add("entry", log.take(), float(second))
            collector.find_figures(float(second))
            changes.append(collector.revision)
        # Changes in five minutes of 3,000 polls each.
        self.assertLess(changes[-1], 10)

    def test_quantiles(self) -> None:
        collector = gateway.FigureCollector()
        for entry in range(10):
            log = gateway.SampleLog()
            for number in range(10):
                log.record_success(TARGET, "route", 0.1 if number else 1.0)
            collector.add(f"entry-{entry}", log.take(), 1.0)
        latencies = collector.latencies[(TARGET.service, "route")]
        for share, min_count, expected in (
            (0.5, 50, 0.1),
            (0.95, 50, 1.0),
            (0.95, 200, None),
        ):
            with self.subTest(share=share, min_count=min_count):
                got = latencies.find_quantile(share, min_count)
                if expected is None:
                    self.assertIsNone(got)
                else:
                    self.assertAlmostEqual(
                        got or 0.0, expected, delta=0.05 * expected
                    )


class RejectionTest(unittest.TestCase):
    """Rejected requests wait briefly and come back at different times."""

    def test_waits(self) -> None:
        """Guards against waits that use up the time of the request."""
        for name, deadline, waits in (
            ("time left", 2.0, 2),
            ("no time left", 0.001, 0),
        ):
            with self.subTest(name):
                rng = random.Random(1)
                backoff = _rejections.Backoff.of_objective(0.15)
                found = []
                while True:
                    wait_s = backoff.next_wait(0.0, deadline, rng)
                    if wait_s is None:
                        break
                    found.append(wait_s)
                self.assertEqual(len(found), waits)
                self.assertLessEqual(sum(found), 0.25 * 0.15)

    def test_retry_after_is_spread(self) -> None:
        """Guards against callers that return together, at the bounds too."""
        rng = random.Random(1)
        for service_time_s in (0.001, 0.2, 60.0):
            with self.subTest(service_time_s=service_time_s):
                drawn = [
                    gateway.draw_retry_after(service_time_s, rng)
                    for _ in range(200)
                ]
                self.assertGreaterEqual(min(drawn), 0.05)
                self.assertLessEqual(max(drawn), 1.0)
                self.assertGreater(max(drawn), 2.5 * min(drawn))


class SharedServicesTest(unittest.TestCase):
    """Only services without engines that several loads may share count."""

    def test_documents(self) -> None:
        """Guards against a change for deployments without shared endpoints."""
        idempotent = gateway.RouteKind.IDEMPOTENT
        rollout = gateway.RouteKind.ROLLOUT
        for name, routes, expected in (
            ("one route each", [(idempotent, "app")], set()),
            ("two routes", [(idempotent, "app")] * 2, {"app"}),
            (
                "one route beside batch jobs",
                [(idempotent, "app"), (rollout, "engines")],
                {"app"},
            ),
        ):
            with self.subTest(name):
                document = gateway.Document(
                    1,
                    tuple(_make_route(*route) for route in routes),
                    {
                        "app": gateway.Service("app", 10),
                        "engines": gateway.Service(
                            "engines", 10, gateway.EngineShape(1, 1, ())
                        ),
                    },
                    gateway.Limits(),
                    None,
                )
                self.assertEqual(
                    gateway.find_shared_services(document), expected
                )


def _make_route(kind: gateway.RouteKind, service: str) -> gateway.Route:
    return gateway.Route(
        name="route",
        host="host",
        prefix="/",
        kind=kind,
        targets=(gateway.Target(service, 1.0),),
        timeout_s=1.0,
        objective_s=0.15,
        max_attempts=2,
        is_public=True,
    )


if __name__ == "__main__":
    unittest.main()
