"""Tests of answers by which callers may take a request for not run.

Each case is one way on which an endpoint's own status is read.
"""

import itertools
import typing
import unittest

import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
from banyanbank_node import _answer_check
from banyanbank_node import _forwarding
from banyanbank_node import _run_reader
from returns import result

from tests.jobs import samples
from tests.node import running
from tests.node import test_forwarder
from tests.node import test_item_grading
from tests.node import test_second_attempts

STATUSES = (408, 429, 503)
"""Statuses that promise a caller that its request has not run."""

OTHER_ENDPOINT = 421
"""Promises it always: an endpoint that was not meant runs nothing."""

FORWARDED_KINDS = [
    kind for kind in gateway.RouteKind if kind is not gateway.RouteKind.ROLLOUT
]

OWN = test_forwarder.Reply(test_forwarder.REQUEST_ID)

ATTEMPTS = test_forwarder.make_route(gateway.RouteKind.IDEMPOTENT).max_attempts

Outcome = int | base.Outcome


def make_reply(
    status: int, is_signed: bool, states_not_run: bool = False
) -> test_forwarder.Reply:
    """Returns an answer; one with status 421 states that it did not run."""
    return test_forwarder.Reply(
        test_forwarder.REQUEST_ID,
        status=status,
        signature="signed" if is_signed else "",
        has_not_run=states_not_run or status == OTHER_ENDPOINT,
    )


def forward(
    kind: gateway.RouteKind, *replies: test_forwarder.Reply
) -> tuple[Outcome, int]:
    """Returns the status or outcome of a request, and its attempts."""
    answer, tried = test_forwarder.send_request(kind, *replies)
    if isinstance(answer, base.Refusal):
        return answer.outcome, tried
    return answer.status, tried


class ForwardingTest(unittest.TestCase):
    """Callers hear "not run" only of requests that did not run.

    Guards against an order that an endpoint ran and answered with 503, so that
    its client sent it again (REFUSED).
    """

    def test_statuses(self) -> None:
        """Guards against a status that is read here but not tested."""
        self.assertEqual(
            _answer_check.NOT_RUN_STATUSES, {*STATUSES, OTHER_ENDPOINT}
        )

    def test_answer_of_an_endpoint_that_may_have_run_it(self) -> None:
        for kind, status, is_signed in itertools.product(
            FORWARDED_KINDS, STATUSES, (True, False)
        ):
            name = f"{kind.value}, {status}, signed: {is_signed}"
            reply = make_reply(status, is_signed)
            with self.subTest(name, replies="another endpoint serves it"):
                # Else 502: there is no other endpoint that may be asked.
                want: tuple[Outcome, int] = (
                    (200, 2)
                    if kind.is_repeatable
                    else (base.Outcome.MAY_HAVE_RUN, 1)
                )
                self.assertEqual(forward(kind, reply, OWN), want)
            with self.subTest(name, replies="all alike"):
                want = (
                    (status, ATTEMPTS)
                    if kind.is_repeatable
                    else (base.Outcome.MAY_HAVE_RUN, 1)
                )
                self.assertEqual(forward(kind, *[reply] * ATTEMPTS), want)

    def test_answer_of_an_endpoint_that_states_not_run(self) -> None:
        for kind, status, is_signed in itertools.product(
            FORWARDED_KINDS, (*STATUSES, OTHER_ENDPOINT), (True, False)
        ):
            name = f"{kind.value}, {status}, signed: {is_signed}"
            reply = make_reply(status, is_signed, states_not_run=True)
            with self.subTest(name, replies="another endpoint serves it"):
                self.assertEqual(forward(kind, reply, OWN), (200, 2))
            with self.subTest(name, replies="all alike"):
                self.assertEqual(
                    forward(kind, *[reply] * ATTEMPTS),
                    (base.Outcome.NOT_RUN, ATTEMPTS),
                )
            with self.subTest(name, replies="the last one may have run it"):
                last = make_reply(status, is_signed)
                if status == OTHER_ENDPOINT:
                    continue
                outcome, _ = forward(kind, reply, last)
                self.assertEqual(
                    outcome,
                    status if kind.is_repeatable else base.Outcome.MAY_HAVE_RUN,
                )

    def test_relayed_answers(self) -> None:
        """Guards against a signature beside another status (MIXED)."""
        for kind, status, is_signed in itertools.product(
            FORWARDED_KINDS, (*STATUSES, 500, 502, 400, 404), (True, False)
        ):
            with self.subTest(kind=kind, status=status, signed=is_signed):
                reply = make_reply(status, is_signed)
                answer, _ = test_forwarder.send_request(
                    kind, *[reply] * ATTEMPTS
                )
                if isinstance(answer, _forwarding.Answer):
                    self.assertEqual(answer.status, status)
                    self.assertEqual(answer.signature, reply.signature)
                else:
                    self.assertIn(status, STATUSES)
                    self.assertFalse(kind.is_repeatable)
                    self.assertIn(str(status), answer.detail)

    def test_end_of_the_process(self) -> None:
        """Guards against a doubt about a request that certainly did not run."""
        route = test_forwarder.make_route(gateway.RouteKind.NON_IDEMPOTENT)
        for name, changes, may_have_run in (
            ("not sent yet", {}, False),
            ("rejected, waits", {"tried": {base.EndpointId("e1")}}, False),
            ("under way", {"running_attempts": 1}, True),
            ("lost before", {"may_have_run_since": 1.0}, True),
        ):
            with self.subTest(name):
                forwarding = _forwarding.Forwarding(
                    typing.cast(typing.Any, None),
                    route,
                    None,
                    2.0,
                    **typing.cast(dict[str, typing.Any], changes),
                )
                self.assertEqual(forwarding.may_have_run, may_have_run)


class SecondAttemptTest(unittest.TestCase):
    """An answer of the first attempt does not end a second one."""

    def test_answers_beside_a_second_attempt(self) -> None:
        for status, is_signed in itertools.product(STATUSES, (True, False)):
            with self.subTest(status=status, signed=is_signed):
                world = test_second_attempts.World(
                    (0.3, make_reply(status, is_signed)), (0.5, OWN)
                )
                world.begin()
                world.advance()
                self.assertEqual(world.get_outcome()[0], 200)
                self.assertEqual(world.forwarding.running_attempts, 0)


class ItemTest(unittest.TestCase):
    """Items run again after such an answer, and are not given up for it."""

    def test_answers_to_items(self) -> None:
        for status, has_not_run in itertools.product(STATUSES, (True, False)):
            with self.subTest(status=status, has_not_run=has_not_run):
                leader = running.Leader(running.FakeEngines("e1"))
                leader.runs.tick()
                item = samples.make_item("i1")
                leader.accept(samples.make_job("job", item))
                runs = leader.runs
                for _ in range(5):
                    (run,) = runs._runs.values()
                    runs._handle_refused(
                        run,
                        _run_reader.RunEnd(
                            _run_reader.RunEndKind.REFUSED,
                            status=status,
                            has_not_run=has_not_run,
                        ),
                    )
                    self.assertEqual(run.item.failures, 0)
                    leader.clock.advance(5.0)
                    runs.tick()
                self.assertEqual(runs.counts()[jobs.Stage.RUNNING], 1)


class ScorerCallTest(unittest.TestCase):
    """No status but a success is a score, and others are tried again."""

    def test_answers_to_scorer_calls(self) -> None:
        for status in STATUSES:
            with self.subTest(status=status):
                grading = test_item_grading.Grading()
                grading.start()
                for count in range(1, ATTEMPTS + 1):
                    self.assertEqual(len(grading.sent_to), count)
                    grading.pending.pop().callback(
                        result.Success(test_item_grading.Reply(status))
                    )
                # All attempts are used up; the call is repeated later.
                self.assertEqual(len(grading.sent_to), ATTEMPTS)
                grading.reactor.advance(5.0)
                self.assertEqual(len(grading.sent_to), ATTEMPTS + 1)


if __name__ == "__main__":
    unittest.main()
