"""Tests of forwarded requests that the process itself does not send.

Guards against sound endpoints that are taken to fail because their domain was
evacuated, or a permit expired, just before a request was sent.
"""

import typing
import unittest

import banyanbank_base as base
import banyanbank_gateway as gateway
from banyanbank_node import _attempt_pair
from banyanbank_node import _forwarding
import banyanbank_web as web
from returns import result

from tests.gateway import samples
from tests.node import test_forwarder
from tests.node import test_second_attempts
from tests.node import test_shared_endpoints

WITHHELD = web.UpstreamError(base.Outcome.NOT_RUN, "test", is_withheld=True)
NOT_SENT = (0.0, WITHHELD)
FAST = test_second_attempts.FAST
FULL = (0.001, test_second_attempts.FULL)
LOST = (0.001, test_second_attempts.LOST)
REFUSED = (0.001, test_shared_endpoints.REFUSED)

IDEMPOTENT = gateway.RouteKind.IDEMPOTENT
ONCE = gateway.RouteKind.NON_IDEMPOTENT


class EvacuatedWorld(test_second_attempts.World):
    """World whose endpoints are evacuated as the first request is sent."""

    def __init__(self) -> None:
        self.evacuated: list[str] = []
        super().__init__(evacuated=typing.cast(typing.Any, self.evacuated))

    def build_forward_request(self, *rest: typing.Any) -> web.UpstreamRequest:
        """Evacuates all endpoints after one of them was chosen."""
        self.evacuated.append(rest[2].domain)
        return super().build_forward_request(*rest)


def find_blamed(world: test_second_attempts.World) -> set[str]:
    """Returns the endpoints against which something was recorded."""
    now = world.clock.now()
    blamed = {
        str(target.endpoint)
        for target in world.directory.all()
        if world.picker.is_failing(target, now)
    }
    samples_taken = world.shared.take_samples()
    return blamed | {one.endpoint for one in samples_taken if one.failures}


class SharedServiceTest(unittest.TestCase):
    """Requests to a shared service with three endpoints."""

    def test_outcomes(self) -> None:
        """Guards against attempts used up, and refusals with a wrong reason."""
        not_run, ran = base.Outcome.NOT_RUN, base.Outcome.MAY_HAVE_RUN
        for name, kind, scripts, want, sent, blamed in (
            ("another endpoint", IDEMPOTENT, [NOT_SENT, FAST], 200, 2, 0),
            ("once", ONCE, [NOT_SENT, NOT_SENT, FAST], 200, 3, 0),
            ("all", ONCE, [NOT_SENT] * 3, (not_run, "permit"), 3, 0),
            (
                "others full",
                ONCE,
                [NOT_SENT] + [FULL] * 40,
                (not_run, "capacity"),
                None,
                0,
            ),
            ("refused connection", ONCE, [REFUSED, FAST], 200, 2, 1),
            ("lost", ONCE, [NOT_SENT, LOST], (ran, "may have run"), 2, 1),
        ):
            with self.subTest(name):
                world = test_second_attempts.World(*scripts, share=0.0)
                world.begin(kind, max_attempts=1)
                world.advance(0.5)
                ((answer, _),) = world.answers
                if isinstance(want, tuple):
                    assert isinstance(answer, base.Refusal)
                    self.assertIs(answer.outcome, want[0])
                    self.assertIn(want[1], answer.detail)
                    if answer.outcome is not_run:
                        self.assertGreater(answer.retry_after or 0.0, 0.0)
                else:
                    assert isinstance(answer, _forwarding.Answer), answer
                    self.assertEqual(answer.status, want)
                if sent is not None:
                    self.assertEqual(len(world.sent), sent)
                self.assertEqual(len(find_blamed(world)), blamed)
                logged = [
                    fields["outcome"]
                    for event, fields in world.events
                    if event == "request.attempt"
                ]
                self.assertEqual(
                    logged.count("withheld"), scripts.count(NOT_SENT)
                )

    def test_expired_permit(self) -> None:
        """Guards against a failure recorded after a pause of the process."""
        world = test_second_attempts.World(
            endpoints=0, share=0.0, changes={"is_cold": True}
        )
        world.permits.granted = "e1"
        world.permits.expires_at = world.clock.now()
        world.begin(ONCE)
        ((answer, took_s),) = world.answers
        assert isinstance(answer, base.Refusal)
        self.assertIn("permit", answer.detail)
        self.assertEqual((len(world.sent), took_s), (1, 0.0))
        self.assertEqual(find_blamed(world), set())

    def test_evacuation_as_the_request_is_sent(self) -> None:
        world = EvacuatedWorld()
        world.begin(ONCE)
        ((answer, took_s),) = world.answers
        assert isinstance(answer, base.Refusal)
        self.assertIs(answer.outcome, base.Outcome.NOT_RUN)
        self.assertIn("evacuated", answer.detail)
        self.assertEqual((world.sent, took_s), ([], 0.0))
        self.assertEqual(find_blamed(world), set())


class OtherServiceTest(unittest.TestCase):
    """Requests to a service of a single route; two attempts, three endpoints.

    Guards against refusals while an endpoint is left.
    """

    def test_outcomes(self) -> None:
        own = test_forwarder.Reply(test_forwarder.REQUEST_ID)
        for name, replies, want, tried in (
            ("another endpoint", [WITHHELD, own], 200, 2),
            ("last endpoint", [WITHHELD, WITHHELD, own], 200, 3),
            ("all", [WITHHELD] * 3, "permit", 3),
        ):
            with self.subTest(name):
                answer, count = test_forwarder.send_request(ONCE, *replies)
                if isinstance(want, str):
                    assert isinstance(answer, base.Refusal)
                    self.assertIs(answer.outcome, base.Outcome.NOT_RUN)
                    self.assertIn(want, answer.detail)
                else:
                    assert isinstance(answer, _forwarding.Answer), answer
                    self.assertEqual(answer.status, want)
                self.assertEqual(count, tried)


class SecondAttemptTest(unittest.TestCase):
    """Attempts of a pair that were withheld."""

    def test_second_attempt(self) -> None:
        """Guards against blame, and against one attempt less for the rest."""
        world = test_second_attempts.World((0.2, test_second_attempts.FAILED))
        world.scripts += [NOT_SENT, FAST]
        world.begin()
        world.advance(0.5)
        self.assertEqual(len(world.sent), 3)
        self.assertEqual(world.get_outcome()[0], 200)
        first = world.sent[0][1]
        self.assertEqual(find_blamed(world) - {first}, set())

    def test_attempt_that_is_ended_as_well(self) -> None:
        """Guards against blame if an attempt is over time, too."""
        target = samples.make_announcement("e1")
        for ending in _attempt_pair.Ending:
            with self.subTest(ending):
                run = _attempt_pair.Run(target, 20.0, ending=ending)

                async def exchange() -> result.Result[None, web.UpstreamError]:
                    return result.Failure(WITHHELD)

                settling = run.settle(exchange())
                with self.assertRaises(StopIteration) as caught:
                    settling.send(None)
                error = caught.exception.value.failure()
                self.assertTrue(error.is_withheld)
                self.assertIs(error.outcome, base.Outcome.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
