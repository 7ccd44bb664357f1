"""Tests of the order of waiting scorer calls and of the limits on them."""

import typing
import unittest

import banyanbank_base as base
import banyanbank_jobs as jobs


def make_call(sequence: int, **changes: typing.Any) -> jobs.WaitingScorerCall:
    """Returns a waiting call with some fields changed."""
    fields = {"account": "a", "priority": 0, "due_at": 100.0} | changes
    return jobs.WaitingScorerCall("scorer", sequence=sequence, **fields)


def make_endpoint(
    name: str, max_calls: int | None = 1, is_failing: bool = False
) -> jobs.ScorerEndpoint:
    """Returns an endpoint."""
    return jobs.ScorerEndpoint(
        base.EndpointId(name), 1, max_calls, is_failing=is_failing
    )


class MaxScorerCallsTest(unittest.TestCase):
    """A reserve is kept only where interactive requests need one."""

    def test_limits(self) -> None:
        for slots, is_shared, expected in (
            (6, True, 4),
            (6, False, 6),
            (1, True, 1),
            (0, True, 1),
            (2, True, 1),
            (3, True, 2),
            (5, True, 4),
            (24, True, 16),
        ):
            with self.subTest(slots=slots, is_shared=is_shared):
                found = jobs.max_scorer_calls(slots, is_shared)
                self.assertEqual(found, expected)


class ChooseTest(unittest.TestCase):
    """Which waiting call is sent when an endpoint has room."""

    def setUp(self) -> None:
        self.queue = jobs.ScorerQueue()

    def take_all(self) -> list[int]:
        """Sends all calls to an endpoint without a limit, one at a time."""
        taken = []
        endpoints = [make_endpoint("e", None)]
        while (call := self.queue.choose("scorer", endpoints)) is not None:
            self.queue.discard(call)
            self.queue.started("scorer", call.account, base.EndpointId("e"), 1)
            taken.append(call.sequence)
        self.assertEqual(len(self.queue), 0)
        return taken

    def test_order(self) -> None:
        """Guards against a late step, and a small account behind a large."""
        for name, calls, expected in (
            (
                "priority before due time",
                [{"priority": 1, "due_at": 90.0}, {"due_at": 100.0}],
                [1, 0],
            ),
            ("due time", [{"due_at": 100.0}, {"due_at": 99.0}], [1, 0]),
            (
                "due time before fairness",
                [{}, {}, {"account": "b", "due_at": 101.0}],
                [0, 1, 2],
            ),
            (
                "accounts due almost together take turns",
                [{}, {}, {}, {"account": "b", "due_at": 100.2}],
                [0, 3, 1, 2],
            ),
            ("arrival", [{}, {}, {}], [0, 1, 2]),
        ):
            with self.subTest(name):
                self.setUp()
                for number, changes in enumerate(calls):
                    self.queue.add(make_call(number, **changes))
                self.assertEqual(self.take_all(), expected)

    def test_large_account_beside_small_ones(self) -> None:
        """40 slots are shared evenly between 232 calls and twice 5."""
        for number in range(242):
            account = "large" if number < 232 else f"small{number % 2}"
            self.queue.add(make_call(number, account=account))
        self.assertEqual(
            sorted(self.take_all()[:15])[-10:], list(range(232, 242))
        )

    def test_endpoints(self) -> None:
        """Guards against calls that wait without need, or go to failures."""
        tried = {"tried": frozenset({base.EndpointId("e0")})}
        full, free = make_endpoint("e0"), make_endpoint("e1")
        failing = make_endpoint("e2", is_failing=True)
        for name, endpoints, changes, expected in (
            ("one has room", [full, free], {}, 0),
            ("all are full", [full], {}, None),
            ("there is none", [], {}, None),
            ("a failing one has room", [full, failing], {}, None),
            ("only a failing one is left", [failing], {}, 0),
            ("a retry, an untried one has room", [full, free], tried, 0),
            ("a retry, only a failing one left", [full, failing], tried, 0),
            ("a retry for which none is left", [full], tried, 0),
        ):
            with self.subTest(name):
                self.setUp()
                self.queue.started(
                    "scorer", base.AccountId("x"), base.EndpointId("e0"), 1
                )
                self.queue.add(make_call(0, **changes))
                call = self.queue.choose("scorer", endpoints)
                self.assertEqual(call and call.sequence, expected)

    def test_retry_does_not_block_others(self) -> None:
        """Guards against calls behind a retry that cannot use the room."""
        full, free = make_endpoint("e0"), make_endpoint("e1")
        self.queue.started(
            "scorer", base.AccountId("x"), base.EndpointId("e0"), 1
        )
        self.queue.add(make_call(0, tried=frozenset({free.endpoint})))
        self.queue.add(make_call(1))
        call = self.queue.choose("scorer", [full, free])
        assert call is not None
        self.assertEqual(call.sequence, 1)
        self.queue.discard(call)
        self.assertIsNone(self.queue.choose("scorer", [full, free]))

    def test_new_life_of_an_endpoint(self) -> None:
        """Guards against slots held by calls to a life that has ended."""
        endpoint = make_endpoint("e0")
        args = ("scorer", base.AccountId("a"), endpoint.endpoint, 1)
        self.queue.started(*args)
        self.assertFalse(self.queue.has_room(endpoint))
        later = jobs.ScorerEndpoint(endpoint.endpoint, 2, 1)
        self.assertTrue(self.queue.has_room(later))
        self.queue.ended(*args)
        self.assertTrue(self.queue.has_room(endpoint))


if __name__ == "__main__":
    unittest.main()
