"""Tests of explaining a request or item from logs."""

import json
import unittest

from banyanbank_cli import _explain

LINES = [
    {"t": 5.0, "instance": "e2", "event": "request.refused", "request": "r1"},
    {"t": 4.0, "instance": "e1", "event": "request.attempt", "request": "r1"},
    {"t": 4.5, "instance": "s1", "event": "leader.elected", "epoch": 4},
    {"t": 9.0, "instance": "s2", "event": "leader.elected", "epoch": 5},
    {"t": 4.2, "instance": "e1", "event": "request.attempt", "request": "r2"},
]


class ExplainTest(unittest.TestCase):
    """Lines of several processes become one story."""

    def test_request(self) -> None:
        found = _explain.explain(LINES, "r1")
        self.assertEqual([line["t"] for line in found.lines], [4.0, 5.0])
        self.assertEqual([line["t"] for line in found.context], [4.5])
        assert found.deciding is not None
        self.assertEqual(found.deciding["event"], "request.refused")
        self.assertIn("decided by:", _explain.show(found, as_json=False))
        shown = json.loads(_explain.show(found, as_json=True))
        self.assertEqual(shown["deciding"]["instance"], "e2")

    def test_open_and_unknown(self) -> None:
        for wanted, text in (("r2", "open"), ("r3", "No line")):
            with self.subTest(wanted):
                found = _explain.explain(LINES, wanted)
                self.assertIn(text, _explain.show(found, as_json=False))

    def test_lines_of_collectors(self) -> None:
        texts = [
            'host-1 {"t": 1.0, "event": "x.y"}',
            "no json",
            '{"other": 1}',
            '{"t": 1.0, "event": "cut',
        ]
        self.assertEqual(len(list(_explain.read_lines(texts))), 1)
