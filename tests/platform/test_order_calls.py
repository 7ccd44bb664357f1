"""Tests of the decisions between the calls of an operator's order."""

import unittest

from banyanbank_platform import _order_calls

STORES = ("a", "b", "c")
LIMIT_S = 10.0

ACKNOWLEDGED = _order_calls.Answer(200)
MALFORMED = _order_calls.Answer(400, "malformed")
UNKNOWN_ZONE = _order_calls.Answer(404, "unknown zone")
NOT_TAKEN = _order_calls.Answer(503)
OPEN = _order_calls.Answer(504)
LOST = _order_calls.Answer(None, "timed out")
NOT_REACHED = _order_calls.Answer(None, "refused", was_sent=False)
FAULT = _order_calls.Answer(500)
REDIRECT = _order_calls.Answer(302)
BEHIND_PROXY = _order_calls.Answer(502)

Answers = tuple[tuple[_order_calls.Answer, float], ...]
"""Answers, each with the seconds that it takes."""


def play(
    stores: tuple[str, ...], answers: Answers
) -> tuple[int, str, list[float]]:
    """Plays calls with the last answer repeated until the calls end.

    Returns:
        The exit code, the stores that were asked, and when.
    """
    calls = _order_calls.OrderCalls(stores, LIMIT_S)
    now, asked, times = 0.0, "", []
    while True:
        step = calls.choose_next(now)
        if isinstance(step, _order_calls.ExitCode):
            return int(step), asked, times
        answer, took_s = answers[min(len(times), len(answers) - 1)]
        asked += step.store
        times.append(step.starts_at)
        now = min(step.starts_at + took_s, step.deadline)
        calls = calls.add(answer)


class ResultTest(unittest.TestCase):
    """Each sequence of answers leads to one result."""

    def test_results(self) -> None:
        """Guards against an open result that is reported as certain."""
        for name, answers, code, asked in (
            ("acknowledged at once", [ACKNOWLEDGED], 0, "a"),
            ("malformed", [MALFORMED], 1, "a"),
            ("unknown zone", [UNKNOWN_ZONE], 1, "a"),
            ("no leader at first", [NOT_TAKEN, ACKNOWLEDGED], 0, "ab"),
            ("open at first", [OPEN, ACKNOWLEDGED], 0, "ab"),
            ("first answer lost", [LOST, ACKNOWLEDGED], 0, "ab"),
            ("two stores down", [NOT_REACHED] * 2 + [ACKNOWLEDGED], 0, "abc"),
            ("next round", [NOT_TAKEN] * 3 + [ACKNOWLEDGED], 0, "abca"),
            ("refused after a doubt", [LOST, UNKNOWN_ZONE], 1, "ab"),
            ("refused after a failure", [NOT_REACHED, MALFORMED], 1, "ab"),
        ):
            with self.subTest(name):
                timed = tuple((answer, 0.5) for answer in answers)
                self.assertEqual(play(STORES, timed)[:2], (code, asked))

    def test_results_at_the_limit(self) -> None:
        """Guards against code 1 for what may still take effect."""
        for name, answers, code in (
            ("never taken", [NOT_TAKEN], 1),
            ("never reached", [NOT_REACHED], 1),
            ("never taken nor reached", [NOT_TAKEN, NOT_REACHED], 1),
            ("open", [OPEN], 3),
            ("no answers", [LOST], 3),
            ("one doubt, then not taken", [OPEN, NOT_TAKEN], 3),
            ("one lost, then not reached", [LOST, NOT_REACHED], 3),
            ("not taken, then a doubt", [NOT_TAKEN, OPEN, NOT_TAKEN], 3),
            ("fault of a store", [FAULT], 3),
            ("redirect", [REDIRECT], 3),
            ("answer of another server", [BEHIND_PROXY], 3),
        ):
            for stores in (STORES, ("a",)):
                with self.subTest(name, stores=stores):
                    timed = tuple((answer, 0.5) for answer in answers)
                    result, _, times = play(stores, timed)
                    self.assertEqual(result, code)
                    self.assertGreater(times[-1], LIMIT_S / 2)


class TimesTest(unittest.TestCase):
    """Calls are neither sent in a tight loop nor beyond the limit."""

    def test_times(self) -> None:
        refused, open_, lost = (NOT_REACHED, 0.0), (OPEN, 1.0), (LOST, 60.0)
        for name, stores, answers, first_times, count in (
            (
                "a pause after each round",
                STORES,
                (refused,),
                [0, 0, 0, 0.25, 0.25, 0.25, 0.5],
                111,
            ),
            ("one store", ("a",), (refused,), [0, 0.25, 0.5], 37),
            ("open answers", STORES, (open_,), [0, 1, 2, 3.25, 4.25], 9),
            # Each call gets 2 s; a fifth one would have 1.75 s.
            ("lost answers", STORES, (lost,), [0, 2, 4, 6.25, 8.25], 5),
        ):
            with self.subTest(name):
                times = play(stores, answers)[2]
                self.assertEqual(times[: len(first_times)], first_times)
                self.assertEqual(len(times), count)

    def test_deadline_of_calls(self) -> None:
        """Guards against calls that outlast the limit or are cut too soon."""
        for name, now, count, expected in (
            ("first", 0.0, 0, _order_calls.NextCall("a", 0.0, 2.0)),
            ("short limit", 9.9, 0, _order_calls.NextCall("a", 9.9, 10.0)),
            ("later", 8.5, 1, _order_calls.NextCall("b", 8.5, 10.0)),
            ("too late", 9.1, 1, _order_calls.ExitCode.NOT_IN_EFFECT),
        ):
            with self.subTest(name):
                calls = _order_calls.OrderCalls(STORES, LIMIT_S)
                for _ in range(count):
                    calls = calls.add(NOT_TAKEN)
                self.assertEqual(calls.choose_next(now), expected)


if __name__ == "__main__":
    unittest.main()
