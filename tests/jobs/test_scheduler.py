"""Tests of the placement of items on engines."""

import unittest

import attrs
import banyanbank_base as base
import banyanbank_jobs as jobs

from tests.jobs import samples


class SchedulerTest(unittest.TestCase):
    """Order of items and choice of their engines."""

    services: tuple[str, ...] = ("engines",)
    """Services that the route of all items allows."""

    def setUp(self) -> None:
        self.health = jobs.EngineHealth()
        self.scheduler = jobs.Scheduler(self.health, lambda item: self.services)

    def add(self, job: jobs.Job) -> None:
        self.scheduler.add_job(jobs.JobState(job, []))

    def start(self, *engines: jobs.EngineView) -> dict[str, str]:
        """Starts the planned items; returns the engine of each."""
        planned = self.scheduler.plan(engines, now=0.0)
        for placement in planned:
            self.scheduler.mark_started(placement)
        return {p.item.spec.item: str(p.engine) for p in planned}

    def item(self, name: str) -> jobs.ItemProgress:
        (found,) = [
            item for item in self.scheduler.items() if item.spec.item == name
        ]
        return found

    def test_slots(self) -> None:
        names = [f"i{number}" for number in range(5)]
        self.add(samples.make_job("j", *map(samples.make_item, names)))
        started = self.start(samples.make_engine("e1", slots=3))
        self.assertEqual(len(started), 3)
        self.assertEqual(self.start(samples.make_engine("e1", slots=3)), {})
        self.scheduler.mark_generated(self.item("i0"))
        self.assertEqual(len(self.start(samples.make_engine("e1", slots=3))), 1)

    def test_room_of_engines_with_a_rate_limit(self) -> None:
        for name, rooms, want in (
            ("no limits", (None, None), (3, 3)),
            ("no room", (0, None), (0, 3)),
            ("some room", (1, None), (1, 3)),
            ("more room than slots", (9, None), (3, 3)),
            ("no room anywhere", (0, 0), (0, 0)),
        ):
            with self.subTest(name):
                self.setUp()
                names = [f"i{number}" for number in range(9)]
                self.add(samples.make_job("j", *map(samples.make_item, names)))
                engines = [
                    attrs.evolve(
                        samples.make_engine(engine, slots=3), room=room
                    )
                    for engine, room in zip(("e1", "e2"), rooms, strict=True)
                ]
                started = list(self.start(*engines).values())
                self.assertEqual(
                    (started.count("e1"), started.count("e2")), want
                )

    def test_engines_that_may_run_an_item(self) -> None:
        for name, engine, is_started in (
            ("holds the version", samples.make_engine("e", m=4), True),
            ("holds a newer one", samples.make_engine("e", m=5), True),
            ("too old", samples.make_engine("e", m=3), False),
            ("other model", samples.make_engine("e", n=9), False),
            (
                "loading",
                samples.make_engine("e", m=4, loading=("m",)),
                False,
            ),
            (
                "loading another model",
                samples.make_engine("e", m=4, loading=("n",)),
                True,
            ),
            (
                "draining",
                samples.make_engine("e", m=4, is_ready=False),
                False,
            ),
        ):
            with self.subTest(name):
                self.setUp()
                self.add(samples.make_job("j", model="m", least_version=4))
                self.assertEqual(bool(self.start(engine)), is_started)

    def test_items_run_at_the_services_of_their_route(self) -> None:
        """Guards against items run by the engines of another route."""
        engines = [
            samples.make_engine("a1", service="a"),
            samples.make_engine("a2", service="a"),
            samples.make_engine("b1", service="b"),
            samples.make_engine("a3", service="a", is_ready=False),
            samples.make_engine("c1", service="c", is_ready=False),
        ]
        for name, services, want in (
            ("one service", ("b",), {"b1"}),
            ("the preferred one first", ("b", "a"), {"b1"}),
            ("the next one without a ready engine", ("c", "b"), {"b1"}),
            ("unknown service", ("d",), set()),
            ("no route", (), set()),
        ):
            with self.subTest(name):
                self.services = services
                self.setUp()
                self.add(samples.make_job("j"))
                self.assertEqual(set(self.start(*engines).values()), want)

    def test_route_changes_between_two_runs(self) -> None:
        engines = [
            samples.make_engine("a1", service="a"),
            samples.make_engine("b1", service="b"),
        ]
        self.services = ("a",)
        self.add(samples.make_job("j", samples.make_item("i1")))
        self.assertEqual(self.start(*engines), {"i1": "a1"})
        self.services = ("b",)
        self.scheduler.requeue(self.item("i1"), not_before=0.0)
        self.assertEqual(self.start(*engines), {"i1": "b1"})

    def test_item_moves_within_the_services_of_its_route(self) -> None:
        for service, moves in (("engines", 1), ("other", 0)):
            with self.subTest(service):
                self.setUp()
                self.add(samples.make_job("j", samples.make_item("i1")))
                self.start(samples.make_engine("slow"))
                for _ in range(40):
                    self.health.record_event_interval(
                        base.EndpointId("slow"), 0.2
                    )
                engines = [
                    samples.make_engine("slow"),
                    samples.make_engine("fast", service=service),
                ]
                planned = self.scheduler.plan_moves(engines, now=1.0)
                self.assertEqual(len(planned), moves)

    def test_item_without_a_route_is_given_up_after_a_while(self) -> None:
        for name, services_at, now, is_given_up in (
            ("route is there", {0.0: ("a",)}, 3.0, False),
            ("route is gone", {0.0: ()}, 2.1, True),
            ("route is gone for a moment", {0.0: (), 1.0: ("a",)}, 3.0, False),
            ("gone again", {0.0: (), 1.0: ("a",), 2.0: ()}, 3.0, False),
        ):
            with self.subTest(name):
                self.setUp()
                self.add(samples.make_job("j", samples.make_item("i1")))
                for at, services in services_at.items():
                    self.services = services
                    self.assertEqual(self.scheduler.take_unrouted(at), [])
                given_up = self.scheduler.take_unrouted(now)
                self.assertEqual(bool(given_up), is_given_up)

    def test_single_version_text_continues_with_its_version(self) -> None:
        self.add(
            samples.make_job(
                "j", samples.make_item("i1"), model="m", is_single_version=True
            )
        )
        item = self.item("i1")
        item.text.set_weight_version(4)
        item.text.append(jobs.StreamEvent(1, "a", None))
        newer = samples.make_engine("e1", m=5)
        full = samples.make_engine("e2", slots=0, m=4)
        self.assertEqual(self.start(newer, full), {})
        self.assertEqual(
            self.start(newer, samples.make_engine("e2", m=4)), {"i1": "e2"}
        )
        self.assertEqual(item.text.last_event, 1)

    def test_single_version_text_is_begun_anew(self) -> None:
        """Guards against texts that wait for a version no engine has."""
        held = samples.make_engine("old", m=4)
        newer = samples.make_engine("new", m=5)
        full = attrs.evolve(held, slots=0)
        draining = samples.make_engine("old", m=4, is_ready=False)
        loading = samples.make_engine("old", m=4, loading=("m",))
        too_old = samples.make_engine("e", m=3)
        for name, engines, is_suspect, now, want in (
            ("an engine holds it", (held, newer), False, 0.0, ("old", False)),
            ("that engine is full", (full, newer), False, 9.0, None),
            ("no engine holds it", (newer,), False, 0.0, ("new", True)),
            (
                "that engine drains",
                (draining, newer),
                False,
                0.0,
                ("new", True),
            ),
            ("that engine loads", (loading, newer), False, 0.0, ("new", True)),
            ("only too old ones", (too_old,), False, 0.0, None),
            ("that engine failed", (held, newer), True, 0.4, None),
            (
                "that engine failed a while ago",
                (held, newer),
                True,
                1.1,
                ("new", True),
            ),
        ):
            with self.subTest(name):
                self.setUp()
                self.add(
                    samples.make_job(
                        "j",
                        samples.make_item("i1"),
                        model="m",
                        least_version=4,
                        is_single_version=True,
                    )
                )
                item = self.item("i1")
                item.text.set_weight_version(4)
                item.text.append(jobs.StreamEvent(1, "a", None))
                if is_suspect:
                    self.health.record_failure(held.endpoint, -1.0, 0.0)
                planned = self.scheduler.plan(engines, now)
                found = [(str(p.engine), p.discards_text) for p in planned]
                self.assertEqual(found, [] if want is None else [want])
                for placement in planned:
                    self.scheduler.mark_started(placement)
                    self.assertEqual(
                        item.text.last_event, None if want[1] else 1
                    )

    def test_longest_item_of_the_earliest_job_goes_first(self) -> None:
        self.add(
            samples.make_job(
                "late", samples.make_item("l", length_hint=900), due_at=20.0
            )
        )
        self.add(
            samples.make_job(
                "soon",
                samples.make_item("short", length_hint=10),
                samples.make_item("long", length_hint=500),
                due_at=10.0,
            )
        )
        planned = self.scheduler.plan(
            [samples.make_engine("e1", slots=3)], now=0.0
        )
        order = [placement.item.spec.item for placement in planned]
        self.assertEqual(order, ["long", "short", "l"])

    def test_earliest_latest_start_goes_first(self) -> None:
        """A long text goes before a short one of a job that is due earlier."""
        for name, hint, first in (
            ("long text", 1900, "later"),
            ("short text", 10, "sooner"),
        ):
            with self.subTest(name):
                self.setUp()
                for job, item, length, due_at in (
                    ("j1", "sooner", 20, 10.0),
                    ("j2", "later", hint, 13.0),
                ):
                    job_item = samples.make_item(item, length_hint=length)
                    self.add(samples.make_job(job, job_item, due_at=due_at))
                planned = self.scheduler.plan(
                    [samples.make_engine("e1", slots=2)], now=0.0
                )
                self.assertEqual(planned[0].item.spec.item, first)

    def test_nearly_complete_text_goes_later(self) -> None:
        for item in ("begun", "fresh"):
            job_item = samples.make_item(item, length_hint=400)
            self.add(samples.make_job(item, job_item))
        begun = self.item("begun")
        for event in range(35):
            begun.text.append(jobs.StreamEvent(event, "x", None))
        planned = self.scheduler.plan(
            [samples.make_engine("e1", slots=2)], now=0.0
        )
        self.assertEqual(planned[0].item.spec.item, "fresh")

    def test_urgent_route_first(self) -> None:
        for name, priority in (("a", 1), ("b", 0)):
            job_item = samples.make_item(name, length_hint=100)
            job = samples.make_job(name, job_item)
            self.add(attrs.evolve(job, priority=priority))
        planned = self.scheduler.plan(
            [samples.make_engine("e1", slots=2)], now=0.0
        )
        self.assertEqual(planned[0].item.spec.item, "b")

    def test_lengths_are_learned(self) -> None:
        """One event per token is ten times the initial estimate."""
        lengths = jobs.LengthEstimate()
        before = lengths.events(100)
        for _ in range(300):
            lengths.record_text(100, 100)
        lengths.record_text(0, 5000)
        self.assertAlmostEqual(before, 10.0)
        self.assertAlmostEqual(lengths.events(100), 94.4, places=1)

    def test_items_with_a_prefix_share_an_engine(self) -> None:
        self.add(
            samples.make_job(
                "j",
                samples.make_item("a1", prefix="a"),
                samples.make_item("a2", prefix="a"),
                samples.make_item("b1", prefix="b"),
                samples.make_item("b2", prefix="b"),
            )
        )
        started = self.start(
            samples.make_engine("e1", slots=4),
            samples.make_engine("e2", slots=4),
        )
        self.assertEqual(started["a1"], started["a2"])
        self.assertEqual(started["b1"], started["b2"])

    def test_slow_engine_comes_last(self) -> None:
        for _ in range(20):
            self.health.record_event_interval(base.EndpointId("slow"), 0.14)
            self.health.record_event_interval(base.EndpointId("fast"), 0.035)
        self.add(samples.make_job("j"))
        started = self.start(
            samples.make_engine("slow"), samples.make_engine("fast")
        )
        self.assertEqual(set(started.values()), {"fast"})

    def test_cold_engine_comes_last(self) -> None:
        """Guards against urgent items on an engine that has just started."""
        for name, slow_s, want in (
            ("warm slots for some", 0.04, ["w", "w", "c"]),
            ("the warm one is slow", 0.4, ["c", "c", "w"]),
        ):
            with self.subTest(name):
                self.setUp()
                self.services = ("engines",)
                for number in range(3):
                    self.add(
                        samples.make_job(
                            f"j{number}",
                            samples.make_item(f"i{number}"),
                            due_at=10.0 + number,
                        )
                    )
                for _ in range(50):
                    self.health.record_event_interval(
                        base.EndpointId("w"), slow_s
                    )
                cold = attrs.evolve(samples.make_engine("c"), is_cold=True)
                started = self.start(cold, samples.make_engine("w"))
                self.assertEqual(
                    [started[f"i{number}"] for number in range(3)], want
                )

    def test_failed_engine_gets_no_items_during_backoff(self) -> None:
        engine = samples.make_engine("e1")
        self.add(samples.make_job("j"))
        self.health.record_failure(engine.endpoint, began_at=-1.0, now=0.0)
        self.assertEqual(self.start(engine), {})
        self.assertEqual(len(self.scheduler.plan([engine], now=3.0)), 2)

    def test_item_put_back_keeps_its_text(self) -> None:
        engine = samples.make_engine("e1")
        self.add(samples.make_job("j", samples.make_item("i1")))
        self.start(engine)
        item = self.item("i1")
        item.text.append(jobs.StreamEvent(0, "a", None))
        self.scheduler.requeue(item, not_before=1.0)
        self.assertEqual(self.start(engine), {})
        (placement,) = self.scheduler.plan([engine], now=1.0)
        self.assertEqual(placement.item.text.last_event, 0)

    def test_ended_job(self) -> None:
        self.add(samples.make_job("j"))
        self.start(samples.make_engine("e1"))
        ended = self.scheduler.end_job("j")
        self.assertEqual(len(ended), 2)
        self.assertFalse(self.scheduler.has_item(ended[0]))
        self.assertEqual(self.scheduler.running_on(base.EndpointId("e1")), 0)

    def test_moves_off_a_slow_engine(self) -> None:
        slow, fast = base.EndpointId("slow"), base.EndpointId("fast")
        self.add(samples.make_job("j", samples.make_item("i1")))
        self.start(samples.make_engine("slow"))
        engines = [samples.make_engine("slow"), samples.make_engine("fast")]
        for name, slow_s, fast_s, now, free, moves in (
            ("same speed", 0.035, 0.035, 1.0, 2, 0),
            ("a little slower", 0.045, 0.035, 1.0, 2, 0),
            ("slow", 0.14, 0.035, 1.0, 2, 1),
            ("slow, run just started", 0.14, 0.035, 0.2, 2, 0),
            ("slow, no free slot", 0.14, 0.035, 1.0, 0, 0),
        ):
            with self.subTest(name):
                for _ in range(40):
                    self.health.record_event_interval(slow, slow_s)
                    self.health.record_event_interval(fast, fast_s)
                engines[1] = samples.make_engine("fast", slots=free)
                planned = self.scheduler.plan_moves(engines, now)
                self.assertEqual(len(planned), moves)

    def test_next_leader_continues_kept_text(self) -> None:
        state = jobs.JobState(
            samples.make_job("j", samples.make_item("i1")),
            [],
            kept={"i1": jobs.KeptText(1, ["a", "b"], (3,))},
        )
        self.scheduler.add_job(state)
        text = self.item("i1").text
        self.assertEqual((text.last_event, text.text), (2, "a\nb"))
        self.assertEqual(text.versions, {3})
