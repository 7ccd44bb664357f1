"""Tests of parsing event streams of engines."""

import unittest

import banyanbank_consensus as consensus
import banyanbank_jobs as jobs

VERSION_FIELD = b"weight-version"


class EventStreamReaderTest(unittest.TestCase):
    """Events are parsed regardless of how the bytes are split across reads."""

    def test_events_split_across_reads(self) -> None:
        data = (
            b"id: 1\ndata: one\n\n"
            b"weight-version: 7\nid: 2\ndata: two\ndata: lines\n\n"
        )
        want = [
            jobs.StreamEvent(1, "one", None),
            jobs.StreamEvent(2, "two\nlines", 7),
        ]
        for size in (1, 3, len(data)):
            with self.subTest(size=size):
                reader = jobs.EventStreamReader(VERSION_FIELD)
                events = []
                for start in range(0, len(data), size):
                    events += reader.feed(data[start : start + size])
                self.assertEqual(events, want)
                self.assertTrue(reader.is_between_events)

    def test_incomplete_event(self) -> None:
        reader = jobs.EventStreamReader(VERSION_FIELD)
        self.assertEqual(reader.feed(b"id: 1\ndata: o"), [])
        self.assertFalse(reader.is_between_events)

    def test_malformed_events(self) -> None:
        for data in (
            b"data: no id\n\n",
            b"id: x\n\n",
            b"id: 1\ndata: \xff\n\n",
        ):
            with self.subTest(data=data):
                reader = jobs.EventStreamReader(VERSION_FIELD)
                with self.assertRaises(jobs.EventStreamError):
                    reader.feed(data)

    def test_event_without_end(self) -> None:
        for name, piece in (
            ("one line", b"x" * 1000),
            ("lines", b"data: more\n" * 100),
        ):
            with self.subTest(name):
                reader = jobs.EventStreamReader(VERSION_FIELD)
                with self.assertRaisesRegex(jobs.EventStreamError, "no end"):
                    for _ in range(2 * jobs.MAX_EVENT_BYTES // len(piece)):
                        reader.feed(piece)


class ItemTextTest(unittest.TestCase):
    """Runs are joined into one text without missing or duplicate events."""

    def test_two_runs(self) -> None:
        text = jobs.ItemText()
        text.set_weight_version(3)
        text.append(jobs.StreamEvent(1, "a", None))
        text.set_weight_version(4)
        text.append(jobs.StreamEvent(2, "b", None))
        text.append(jobs.StreamEvent(3, "c", 5))
        self.assertEqual(text.text, "a\nb\nc")
        self.assertEqual(text.versions, {3, 4, 5})
        self.assertEqual(text.last_event, 3)

    def test_text_without_end(self) -> None:
        for name, begun, make_event in (
            (
                "long events",
                1,
                lambda number: jobs.StreamEvent(number, "x" * 100_000, None),
            ),
            (
                "long characters",
                1,
                lambda number: jobs.StreamEvent(
                    number, "\u20ac" * 34_000, None
                ),
            ),
            (
                "empty events",
                jobs.MAX_TEXT_BYTES - 50,
                lambda number: jobs.StreamEvent(number, "", None),
            ),
        ):
            with self.subTest(name):
                text = jobs.ItemText.resume(0, ["x" * begun], ())
                with self.assertRaisesRegex(jobs.TextTooLongError, "is over"):
                    for number in range(1, 100):
                        text.append(make_event(number))

    def test_events_without_end(self) -> None:
        for name, limit, version_of in (
            ("small events", jobs.MAX_TEXT_EVENTS, lambda number: None),
            ("versions", jobs.MAX_TEXT_VERSIONS, lambda number: number),
        ):
            with self.subTest(name):
                text = jobs.ItemText()
                for number in range(1, limit):
                    event = jobs.StreamEvent(number, "x", version_of(number))
                    text.append(event)
                with self.assertRaisesRegex(jobs.TextTooLongError, "is over"):
                    for number in range(limit, limit + 2):
                        event = jobs.StreamEvent(
                            number, "x", version_of(number)
                        )
                        text.append(event)

    def test_result_of_the_longest_text(self) -> None:
        text = jobs.ItemText()
        size = jobs.MAX_TEXT_BYTES // 1024 - 1
        for number in range(1024):
            text.append(
                jobs.StreamEvent(number + 1, "x" * size, 10**17 + number)
            )
        item_result = jobs.ItemResult(
            item="i" * 100,
            outcome=jobs.ItemOutcome.COMPLETED,
            text=text.text,
            versions=tuple(sorted(text.versions)),
            score="s" * 1000,
        )
        command = jobs.COMMAND_CODEC.encode(jobs.ListResult("j", item_result))
        self.assertLess(len(command), consensus.MAX_COMMAND_BYTES)

    def test_out_of_order(self) -> None:
        for number in (1, 3):
            with self.subTest(number=number):
                text = jobs.ItemText()
                text.set_weight_version(1)
                text.append(jobs.StreamEvent(1, "a", None))
                with self.assertRaises(jobs.EventStreamError):
                    text.append(jobs.StreamEvent(number, "b", None))
