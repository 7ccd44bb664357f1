"""Tests of matching answers to requests, and of retries."""

import collections.abc
import math
import random
import types
import typing
import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
from banyanbank_node import _departures
from banyanbank_node import _endpoint_limits
from banyanbank_node import _endpoint_sender
from banyanbank_node import _forwarder
from banyanbank_node import _forwarding
from banyanbank_node import _permits
from banyanbank_node import _ports
from banyanbank_node import _shared_endpoints
import banyanbank_web as web
from returns import result
from twisted.internet import defer

from tests.gateway import samples
from tests.node import running

REQUEST_ID = "r-1"


@attrs.frozen
class Reply:
    """Fake answer of an endpoint."""

    request_id: str
    """Request id in the answer; empty for none."""
    status: int = 200
    """HTTP status."""
    has_not_run: bool = False
    """Whether the endpoint reports that the request did not run."""
    headers: tuple[tuple[str, str], ...] = ()
    """Headers."""
    signature: str = "signature"
    """Signature of the answer; empty for none."""
    is_leaving: bool = False
    """Whether the endpoint states that it leaves."""

    async def read_all(
        self, max_bytes: int
    ) -> result.Result[bytes, web.UpstreamError]:
        """Returns a fixed body."""
        del max_bytes
        return result.Success(b"body")

    def cancel(self) -> None:
        """Does nothing."""


@attrs.define
class FakePermits:
    """Permits for given endpoints; implements `_permits.PermitSource`."""

    granted: str | None = None
    """Endpoint with a permit; None for none."""
    expires_at: float = math.inf
    """When the permit is too old to be used."""
    asked: list[list[str]] = attrs.Factory(list)
    """Endpoints that permits were asked for, by call."""
    deadlines: list[float] = attrs.Factory(list)
    """Deadlines of the calls."""

    async def acquire(
        self,
        targets: collections.abc.Sequence[gateway.Announcement],
        deadline: float,
    ) -> _permits.Permit:
        """Grants a permit if the endpoint is among the targets."""
        self.deadlines.append(deadline)
        names = [target.endpoint for target in targets]
        self.asked.append(sorted(names))
        for name in names:
            if name == self.granted:
                return _permits.Permit(name, expires_at=self.expires_at)
        return _permits.Permit(None, retry_at=10.75)


def make_directory() -> gateway.Directory:
    """Returns a directory of three endpoints."""
    directory = gateway.Directory()
    for number in range(3):
        announcement = samples.make_announcement(f"e{number}")
        address = f"10.0.0.{number + 1}:80"
        directory.apply(attrs.evolve(announcement, address=address), 10.0)
    return directory


def send_request(
    kind: gateway.RouteKind,
    *replies: Reply | web.UpstreamError,
    limited: tuple[str, ...] = (),
    permits: FakePermits | None = None,
    directory: gateway.Directory | None = None,
    suspects: gateway.CrashSuspects | None = None,
    attempt_s: float = 0.0,
    deadlines: list[float] | None = None,
    evacuated: tuple[base.FailureDomain, ...] = (),
    split: tuple[str, ...] = (),
    shared: _shared_endpoints.SharedEndpoints | None = None,
    clock: base.ManualClock | None = None,
    deadline: float = 20.0,
) -> tuple[_forwarding.Answer | base.Refusal, int]:
    """Returns the answer or refusal, and the number of endpoints tried.

    Each attempt takes `attempt_s`, or as long as its deadline allows, which is
    appended to `deadlines`. `shared` must use the given clock. The route is
    split evenly over the services of `split`.
    """
    directory = directory or make_directory()
    if suspects is None:
        suspects = gateway.CrashSuspects()
    clock = clock or base.ManualClock(10.0)
    limits = _endpoint_limits.EndpointLimits(
        clock,
        gateway.SyncedClock(clock),
        _as_any(types.SimpleNamespace(write=lambda event, **fields: None)),
    )
    for name in limited:
        target = samples.make_announcement(name)
        limits.apply(
            gateway.LimitObservation(
                target.endpoint, target.born_ms, 1.0, observed_at=1.0
            )
        )
    remaining = list(replies)

    async def send(deadline: float) -> result.Result[Reply, web.UpstreamError]:
        if deadlines is not None:
            deadlines.append(deadline)
        remaining_s = deadline - clock.now()
        clock.advance(min(attempt_s, remaining_s))
        if attempt_s > remaining_s:
            return result.Failure(
                web.UpstreamError(base.Outcome.MAY_HAVE_RUN, "late", True)
            )
        reply = remaining.pop(0)
        if isinstance(reply, web.UpstreamError):
            return result.Failure(reply)
        return result.Success(reply)

    def read_response_headers(reply: Reply) -> _ports.ResponseHeaders:
        return _ports.ResponseHeaders(
            reply.request_id,
            reply.has_not_run,
            reply.signature,
            None,
            is_leaving=reply.is_leaving,
        )

    forwarder = _forwarder.Forwarder(
        clock,
        _endpoint_sender.EndpointSender(
            _as_any(types.SimpleNamespace(send=send)),
            lambda: gateway.Evacuations(1, evacuated),
            running.COMPOSER,
        ),
        _as_any(
            types.SimpleNamespace(
                build_forward_request=lambda *rest: rest[3],
                read_response_headers=read_response_headers,
            )
        ),
        gateway.EndpointPicker(base.FailureDomain("z"), random.Random(1)),
        lambda service: (
            directory.of_service(service) if split else directory.all()
        ),
        random.Random(1),
        _as_any(types.SimpleNamespace(write=lambda event, **fields: None)),
        _as_any(
            types.SimpleNamespace(
                requests=types.SimpleNamespace(record=lambda *rest: None)
            )
        ),
        limits,
        permits or FakePermits(),
        _departures.Departures(
            clock,
            directory,
            _as_any(types.SimpleNamespace(write=lambda event, **fields: None)),
        ),
        suspects,
        gateway.SyncedClock(clock),
        shared,
    )
    req = _ports.CallerRequest(
        REQUEST_ID, "POST", "host", "/p/", "/p/", (), b"", None, deadline
    )
    route = make_route(kind)
    if split:
        targets = tuple(gateway.Target(service, 1.0) for service in split)
        route = attrs.evolve(route, targets=targets)
    forwarding = _forwarding.Forwarding(
        req, route, None, deadline, follows_crashes=kind.is_repeatable
    )
    got: list[typing.Any] = []
    defer.ensureDeferred(forwarder.send(forwarding)).addBoth(got.append)
    return got[0], len(forwarding.tried)


class EvacuationTest(unittest.TestCase):
    """Endpoints of evacuated failure domains are no candidates."""

    def test_which_endpoints_are_tried(self) -> None:
        """Guards against retries there, and against a wait without hope."""
        a, b = map(base.FailureDomain, ("zone-a", "zone-b"))
        full = Reply(REQUEST_ID, status=503, has_not_run=True)
        for name, domains, evacuated, tried in (
            ("another domain", [a, a, a], (b,), 2),
            ("all but one", [b, a, b], (b,), 1),
            ("all of them", [a, b, a], (a, b), 0),
        ):
            with self.subTest(name):
                directory = make_directory()
                for number, domain in enumerate(domains):
                    known = directory.get(base.EndpointId(f"e{number}"))
                    assert known is not None
                    directory.apply(
                        attrs.evolve(
                            known, domain=domain, sequence=known.sequence + 1
                        ),
                        10.0,
                    )
                got, count = send_request(
                    gateway.RouteKind.IDEMPOTENT,
                    *[full] * 3,
                    directory=directory,
                    evacuated=evacuated,
                )
                self.assertEqual(count, tried)
                assert isinstance(got, base.Refusal)
                self.assertIs(got.outcome, base.Outcome.NOT_RUN)
                self.assertIsNotNone(got.retry_after)
                self.assertEqual("evacuated" in got.detail, not tried)

    def test_split_route(self) -> None:
        """Guards against refusals while another target has endpoints."""
        a, b = map(base.FailureDomain, ("zone-a", "zone-b"))
        services = tuple(f"s{number}" for number in range(8))
        for name, domains, draining, evacuated, is_served in (
            ("none evacuated", [a] * 8, "", (b,), True),
            ("all but one", [a] * 7 + [b], "", (a,), True),
            ("all but one, which drains", [a] * 7 + [b], "s7", (a,), False),
            ("all", [a] * 8, "", (a,), False),
        ):
            with self.subTest(name):
                directory = gateway.Directory()
                for number, domain in enumerate(domains):
                    announcement = samples.make_announcement(
                        f"e{number}",
                        service=f"s{number}",
                        domain=domain,
                        address=f"10.0.0.{number + 1}:80",
                        state=gateway.EndpointState.DRAINING
                        if draining == f"s{number}"
                        else gateway.EndpointState.READY,
                    )
                    directory.apply(announcement, 10.0)
                got, _ = send_request(
                    gateway.RouteKind.NON_IDEMPOTENT,
                    Reply(REQUEST_ID),
                    directory=directory,
                    evacuated=evacuated,
                    split=services,
                )
                if is_served:
                    assert isinstance(got, _forwarding.Answer), got
                    self.assertEqual(got.status, 200)
                else:
                    assert isinstance(got, base.Refusal)
                    self.assertIn("evacuated", got.detail)


class DepartureTest(unittest.TestCase):
    """Endpoints that state their departure get no further requests.

    Guards against requests to an endpoint whose answers say that it leaves.
    """

    def test_endpoints_of_later_requests(self) -> None:
        own = Reply(REQUEST_ID)
        leaving = Reply(REQUEST_ID, is_leaving=True)
        failed = attrs.evolve(leaving, status=500)
        full = attrs.evolve(leaving, status=503, has_not_run=True)
        other = attrs.evolve(leaving, status=421, has_not_run=True)
        repeatable = gateway.RouteKind.IDEMPOTENT
        once = gateway.RouteKind.NON_IDEMPOTENT
        for name, kind, replies, left in (
            ("no statement", once, [own], 3),
            ("success", once, [leaving], 2),
            ("failure that is passed on", once, [failed], 2),
            ("failure that is tried elsewhere", repeatable, [failed, own], 2),
            ("at capacity", once, [full, own], 2),
            ("both attempts", once, [full, full], 1),
            ("another endpoint at its address", once, [other, own], 3),
            ("late answer", once, [attrs.evolve(leaving, request_id="x")], 3),
        ):
            with self.subTest(name):
                directory = make_directory()
                send_request(kind, *replies, directory=directory)
                ready = [
                    target
                    for target in directory.all()
                    if target.state is gateway.EndpointState.READY
                ]
                self.assertEqual(len(ready), left)

    def test_request_is_refused_if_all_leave(self) -> None:
        directory = make_directory()
        for target in directory.all():
            directory.mark_leaving(target.endpoint, target.born_ms, 10.0)
        refusal, tried = send_request(
            gateway.RouteKind.NON_IDEMPOTENT, directory=directory
        )
        assert isinstance(refusal, base.Refusal)
        self.assertIs(refusal.outcome, base.Outcome.NOT_RUN)
        self.assertEqual(tried, 0)
        self.assertGreater(refusal.retry_after or 0.0, 0.0)


class TimeLimitTest(unittest.TestCase):
    """All attempts together end at the deadline of the request.

    Guards against a request that is held past the time-out of its route.
    """

    def test_silent_endpoints(self) -> None:
        repeatable = gateway.RouteKind.IDEMPOTENT
        once = gateway.RouteKind.NON_IDEMPOTENT
        for name, kind, expected in (
            # Half of the time that is left, but for the last attempt.
            ("repeatable", repeatable, [15.0, 20.0]),
            ("once", once, [20.0]),
        ):
            with self.subTest(name):
                deadlines: list[float] = []
                refusal, tried = send_request(
                    kind, attempt_s=60.0, deadlines=deadlines
                )
                self.assertIsInstance(refusal, base.Refusal)
                self.assertEqual(deadlines, expected)
                self.assertEqual(tried, len(expected))

    def test_question_for_a_permit(self) -> None:
        permits = FakePermits()
        send_request(
            gateway.RouteKind.NON_IDEMPOTENT,
            limited=("e0", "e1", "e2"),
            permits=permits,
        )
        self.assertEqual(permits.deadlines, [20.0])

    def test_no_attempt_begins_after_the_deadline(self) -> None:
        """Guards against a request sent when its caller has been answered."""
        full = Reply(REQUEST_ID, 503, has_not_run=True)
        deadlines: list[float] = []
        _, tried = send_request(
            gateway.RouteKind.NON_IDEMPOTENT,
            full,
            attempt_s=10.0,
            deadlines=deadlines,
        )
        self.assertEqual((tried, deadlines), (1, [20.0]))


class SuspectTest(unittest.TestCase):
    """A request that was lost is cleared by an endpoint that ran it."""

    def test_what_clears_a_suspect(self) -> None:
        """Guards against a deadly request that a busy endpoint clears."""
        own = Reply(REQUEST_ID)
        full = Reply(REQUEST_ID, 503, has_not_run=True)
        digest = gateway.digest_request("POST", "host", "/p/", (), b"")
        for name, replies, is_suspect in (
            ("it ran", [own], False),
            ("it ran and failed", [attrs.evolve(own, status=400)], False),
            ("it has not run anywhere", [full, full], True),
        ):
            with self.subTest(name):
                suspects = gateway.CrashSuspects()
                now = gateway.SyncedClock(base.ManualClock(10.0)).now()
                suspects.record_loss(digest, False, now)
                send_request(
                    gateway.RouteKind.IDEMPOTENT, *replies, suspects=suspects
                )
                self.assertEqual(suspects.is_suspect(digest, now), is_suspect)

    def test_condemned_request_is_not_sent(self) -> None:
        suspects = gateway.CrashSuspects()
        now = gateway.SyncedClock(base.ManualClock(10.0)).now()
        digest = gateway.digest_request("POST", "host", "/p/", (), b"")
        for was_alone in (False, True):
            suspects.record_loss(digest, was_alone, now)
        refusal, tried = send_request(
            gateway.RouteKind.IDEMPOTENT, suspects=suspects
        )
        assert isinstance(refusal, base.Refusal)
        self.assertIs(refusal.reason, base.RefusalReason.ENDS_ENDPOINTS)
        self.assertIs(refusal.outcome, base.Outcome.NOT_RUN)
        self.assertEqual(tried, 0)


class RateLimitTest(unittest.TestCase):
    """Endpoints with a limit get requests only by permit."""

    def test_which_endpoints_are_tried(self) -> None:
        own = Reply(REQUEST_ID)
        full = Reply(REQUEST_ID, 503, has_not_run=True)
        repeatable = gateway.RouteKind.IDEMPOTENT
        once = gateway.RouteKind.NON_IDEMPOTENT
        some, all_ = ("e0", "e1"), ("e0", "e1", "e2")
        lost = Reply("r-0")
        for name, kind, limited, granted, replies, want, tried, asked in (
            ("others first", once, some, None, [own], 200, 1, 0),
            ("by permit", once, all_, "e1", [own], 200, 1, 1),
            ("no permit", once, all_, None, [], 0.75, 0, 1),
            ("others full, no permit", once, some, None, [full], 0.75, 1, 1),
            ("others full, permit", once, some, "e1", [full, own], 200, 2, 1),
            (
                "may have run, no permit",
                repeatable,
                some,
                None,
                [lost],
                base.Outcome.MAY_HAVE_RUN,
                1,
                1,
            ),
        ):
            with self.subTest(name):
                permits = FakePermits(granted)
                answer, count = send_request(
                    kind, *replies, limited=limited, permits=permits
                )
                if isinstance(answer, _forwarding.Answer):
                    got: object = answer.status
                elif answer.outcome is base.Outcome.NOT_RUN:
                    got = answer.retry_after
                else:
                    got = answer.outcome
                self.assertEqual(got, want)
                self.assertEqual(count, tried)
                self.assertEqual(len(permits.asked), asked)


class ColdDomainTest(unittest.TestCase):
    """A domain returns cold while the other endpoints are full."""

    def test_which_endpoints_are_tried(self) -> None:
        """Guards against refusals while cold endpoints have room."""
        own = Reply(REQUEST_ID)
        full = Reply(REQUEST_ID, 503, has_not_run=True)
        for name, granted, replies, want, asked in (
            ("the others have room", None, [own], 200, []),
            ("others full, permit", "e1", [full, own], 200, [["e0", "e1"]]),
            ("others full, no permit", None, [full], 0.75, [["e0", "e1"]]),
        ):
            with self.subTest(name):
                directory = make_directory()
                for endpoint in ("e0", "e1"):
                    directory.mark_cold(base.EndpointId(endpoint))
                permits = FakePermits(granted)
                answer, _ = send_request(
                    gateway.RouteKind.NON_IDEMPOTENT,
                    *replies,
                    permits=permits,
                    directory=directory,
                )
                got = (
                    answer.status
                    if isinstance(answer, _forwarding.Answer)
                    else answer.retry_after
                )
                self.assertEqual(got, want)
                self.assertEqual(permits.asked, asked)


def make_route(kind: gateway.RouteKind) -> gateway.Route:
    return gateway.Route(
        name="route",
        host="host",
        prefix="/p/",
        kind=kind,
        targets=(gateway.Target("app", 1.0),),
        timeout_s=5.0,
        objective_s=0.2,
        max_attempts=2,
        is_public=True,
    )


def _as_any(value: object) -> typing.Any:
    return value


class AnswerTest(unittest.TestCase):
    """A caller never gets an answer that may belong to another request."""

    def test_answers(self) -> None:
        own, other, none = Reply(REQUEST_ID), Reply("r-0"), Reply("")
        unsigned = Reply(REQUEST_ID, signature="")
        full = Reply(REQUEST_ID, 503, has_not_run=True)
        repeatable = gateway.RouteKind.IDEMPOTENT
        not_repeatable = gateway.RouteKind.NON_IDEMPOTENT
        ran, not_run = base.Outcome.MAY_HAVE_RUN, base.Outcome.NOT_RUN
        for name, kind, replies, want, asked in (
            ("own answer", repeatable, [own], 200, 1),
            (
                "answer to another request, then own",
                repeatable,
                [other, own],
                200,
                2,
            ),
            ("answer without an id, then own", repeatable, [none, own], 200, 2),
            ("success without a signature", not_repeatable, [unsigned], ran, 1),
            (
                "success without a signature, then own",
                repeatable,
                [unsigned, own],
                200,
                2,
            ),
            (
                "client error without a signature",
                not_repeatable,
                [attrs.evolve(unsigned, status=404)],
                404,
                1,
            ),
            (
                "answer to another request, not repeatable",
                not_repeatable,
                [other],
                ran,
                1,
            ),
            (
                "answer without an id, not repeatable",
                not_repeatable,
                [none],
                ran,
                1,
            ),
            ("at capacity, then own", not_repeatable, [full, own], 200, 2),
            ("all at capacity", not_repeatable, [full, full], not_run, 2),
            (
                "server error without an id",
                not_repeatable,
                [Reply("", 500)],
                500,
                1,
            ),
            (
                "refused before its id was parsed",
                not_repeatable,
                [Reply("", 400, has_not_run=True), own],
                200,
                2,
            ),
        ):
            with self.subTest(name):
                got, tried = send_request(kind, *replies)
                seen: object = (
                    got.outcome if isinstance(got, base.Refusal) else got.status
                )
                self.assertEqual(seen, want)
                self.assertEqual(tried, asked)


if __name__ == "__main__":
    unittest.main()
