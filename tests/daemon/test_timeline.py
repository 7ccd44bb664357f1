"""Tests of the time line, its files and its pages."""

import pathlib
import tempfile
import unittest
import xml.etree.ElementTree

import attrs
import banyanbank_base as base
from banyanbank_daemon import _timeline
from banyanbank_daemon import _timeline_pages
import hypothesis
from hypothesis import strategies

E1 = base.InstanceId("e1")
E2 = base.InstanceId("e2")


class TimelineCase(unittest.TestCase):
    """Base of cases with a clock and a scratch folder."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name) / "timeline"
        self.clock = base.ManualClock(1_764_800_000.0)

    def timeline(
        self, instance: base.InstanceId = E1, **options: object
    ) -> _timeline.Timeline:
        """Returns a time line on the case's clock."""
        return _timeline.Timeline(instance, self.clock, **options)


class QueryTest(TimelineCase):
    """Filters take each field that an event has."""

    def test_filters(self) -> None:
        line = self.timeline()
        line.record("request.accepted", request="r1", key="k1")
        line.record("sample.committed", sample="t/1/g/0", endpoint="en1")
        line.record("lease.acquired", epoch=4)
        line.record("request.answered", request="r2")
        cases = (
            ({}, 4),
            ({"request": "r1"}, 1),
            ({"request": "r"}, 0),
            ({"sample": "t/1/"}, 1),
            ({"key": "k1"}, 1),
            ({"endpoint": "en1"}, 1),
            ({"epoch": 4}, 1),
            ({"kind": "request."}, 2),
            ({"instance": "e1"}, 4),
            ({"instance": "e2"}, 0),
            ({"kind": "request.", "key": "k1"}, 1),
        )
        for fields, count in cases:
            with self.subTest(fields=fields):
                events = line.find(_timeline.EventQuery(**fields))
                self.assertEqual(len(events), count)

    def test_memory_is_bounded(self) -> None:
        line = self.timeline(capacity=10)
        for number in range(100):
            line.record("a.b", detail="x" * 10_000, request=str(number))
        events = list(line.events)
        self.assertEqual(
            [e.request for e in events], [*map(str, range(90, 100))]
        )
        self.assertEqual(len(events[0].detail), base.MAX_DETAIL_CHARS)


class MergeTest(TimelineCase):
    """Merged events follow causality, not the instances' clocks."""

    def test_cause_before_effect(self) -> None:
        behind = base.ManualClock(self.clock.wall() - 5.0)
        one = self.timeline(E1)
        other = _timeline.Timeline(E2, behind)
        one.record("order.sent", request="r")
        other.hybrid_clock.observe(one.hybrid_clock.tick())
        other.record("order.taken", request="r")
        one.hybrid_clock.observe(other.hybrid_clock.tick())
        one.record("order.confirmed", request="r")
        merged = _timeline.merge_events([list(other.events), list(one.events)])
        self.assertEqual(
            [event.kind for event in merged],
            ["order.sent", "order.taken", "order.confirmed"],
        )

    def test_doubles_are_kept_once(self) -> None:
        line = self.timeline()
        line.record("a.b")
        line.record("a.b")
        merged = _timeline.merge_events([list(line.events), list(line.events)])
        self.assertEqual(merged, list(line.events))


class FilesTest(TimelineCase):
    """Files are bounded and survive torn lines and full disks."""

    def test_rotation(self) -> None:
        files = _timeline.EventFiles(self.folder, 2_000, 3)
        line = self.timeline(files=files)
        for number in range(200):
            line.record("a.b", request=str(number))
        files.close()
        paths = list(self.folder.iterdir())
        self.assertEqual(len(paths), 3)
        self.assertLessEqual(sum(p.stat().st_size for p in paths), 6_000)
        read = _timeline.read_files(self.folder)
        self.assertEqual(read, list(line.events)[-len(read) :])
        self.assertGreater(len(read), 30)

    def test_restart_after_torn_line(self) -> None:
        files = _timeline.EventFiles(self.folder)
        line = self.timeline(files=files)
        line.record("a.before")
        files.close()
        path = self.folder / _timeline.FILE_NAME
        with path.open("ab") as file:
            file.write(b'{"time": [1, ')
        files = _timeline.EventFiles(self.folder)
        again = self.timeline(files=files)
        again.record("a.torn")
        again.record("a.after")
        kinds = [event.kind for event in _timeline.read_files(self.folder)]
        self.assertEqual(kinds, ["a.before", "a.torn", "a.after"])
        files.close()

    def test_unusable_folder_stops_nothing(self) -> None:
        self.folder.write_text("a file")
        files = _timeline.EventFiles(self.folder)
        line = self.timeline(files=files)
        line.record("a.b")
        self.assertEqual(len(list(line.events)), 1)
        self.assertIsInstance(files.error, OSError)


class JsonTest(TimelineCase):
    """Events survive a round trip; other texts are refused."""

    def test_round_trip(self) -> None:
        line = self.timeline()
        line.record(
            "a.b",
            request="r\n",
            sample="s",
            key="k",
            endpoint="é",
            epoch=3,
            detail="x=1",
        )
        (event,) = list(line.events)
        text = _timeline.event_to_json(event)
        self.assertNotIn("\n", text)
        self.assertEqual(_timeline.event_from_json(text), event)

    def test_times_as_objects(self) -> None:
        line = self.timeline()
        line.record("a.b")
        (event,) = line.events
        document = attrs.asdict(event)
        self.assertEqual(_timeline.event_from_document(document), event)

    def test_no_events(self) -> None:
        good = '"time": [1, 2], "instance": "e", "kind": "k"'
        cases = (
            "",
            "[]",
            "{}",
            "null",
            "{" + good,
            "{" + good + ', "more": 1}',
            "{" + good + ', "epoch": "x"}',
            '{"time": [1], "instance": "e", "kind": "k"}',
            '{"time": ["1", 2], "instance": "e", "kind": "k"}',
            "[" * 100_000,
        )
        for text in cases:
            with (
                self.subTest(text=text[:60]),
                self.assertRaises(_timeline.TimelineError),
            ):
                _timeline.event_from_json(text)

    @hypothesis.settings(derandomize=True, max_examples=300, database=None)
    @hypothesis.given(strategies.text(max_size=60))
    def test_any_text(self, text: str) -> None:
        with self.assertRaises(_timeline.TimelineError):
            _timeline.event_from_json(text)


class PagesTest(TimelineCase):
    """Pages show every event and escape what events hold."""

    def events(self, count: int) -> list[base.Event]:
        line = self.timeline(capacity=count)
        for number in range(count):
            self.clock.advance(0.001)
            line.record("a.b", request="<script>", detail=f"n={number}\n\x1b")
        return list(line.events)

    def test_text(self) -> None:
        text = _timeline_pages.render_text(self.events(2))
        lines = text.splitlines()
        self.assertEqual(len(lines), 2)
        self.assertTrue(
            lines[0].startswith("2025-12-03T22:13:20.001000Z+0 e1 a.b request=")
        )
        self.assertNotIn("\x1b", text)

    def test_html(self) -> None:
        page = _timeline_pages.render_html(self.events(20), "Request <r>")
        body = page.removeprefix("<!DOCTYPE html>\n").replace(
            '<meta charset="utf-8">', ""
        )
        root = xml.etree.ElementTree.fromstring(body)
        circles = [e for e in root.iter() if e.tag.endswith("circle")]
        self.assertEqual(len(circles), 20)
        self.assertEqual(len(list(root.iter("tr"))), 21)
        self.assertNotIn("<script", page)
        for word in ("src=", "url(", "<link"):
            self.assertNotIn(word, page)

    def test_html_of_few_and_many(self) -> None:
        self.assertIn("0 events", _timeline_pages.render_html([], "None"))
        many = self.events(_timeline_pages.MAX_DRAWN_EVENTS + 1)
        page = _timeline_pages.render_html(many, "Many")
        self.assertIn("the latest 5000 of 5001 events", page)
        far = base.Event(base.HybridTime(1 << 62, 0), E1, "a.b")
        self.assertIn(f"{1 << 62}us", _timeline_pages.render_text([far]))
