"""Tests of what the refusals of calls to plain services say."""

import random
import types
import typing
import unittest

import banyanbank_base as base
import banyanbank_control as control
from banyanbank_daemon._entry import _active_requests
from banyanbank_daemon._entry import _headers
from banyanbank_daemon._entry import _intents
from banyanbank_daemon._entry import _services
import banyanbank_dispatch as dispatch
import banyanbank_web as web
from returns import result
from twisted.internet import defer
from twisted.internet import task

ACCOUNT = base.AccountId("account-1")
KEY = base.KeyId("key-1")
ENDPOINT = base.EndpointId("endpoint-1")
ROUTE = control.Route("/refill", "refills", control.Access.KEYED, ("*",))
RETRIES_S = 3.0
"""Seconds after which no retry follows any more."""
REFUSED = web.UpstreamError(base.Outcome.NOT_RUN, "connection refused")
LOST = web.UpstreamError(base.Outcome.MAY_HAVE_RUN, "connection lost")

Sent = result.Result[web.UpstreamResponse, web.UpstreamError]


class _FakeUpstream:
    """Fake client; each request is answered by the next Deferred."""

    def __init__(self) -> None:
        self.answers: list[defer.Deferred[Sent]] = []
        self.scripted: list[Sent] = []

    async def send(self, request: web.UpstreamRequest) -> Sent:
        del request
        answer: defer.Deferred[Sent] = defer.Deferred()
        self.answers.append(answer)
        if self.scripted:
            answer.callback(self.scripted.pop(0))
        return await answer


class _FakePlane:
    """Fake replicated log; each command waits for its reply."""

    def __init__(self) -> None:
        self.commands: list[control.Command] = []
        self.replies: list[defer.Deferred[typing.Any]] = []

    async def propose(
        self, command: control.Command, deadline: float
    ) -> typing.Any:
        del deadline
        self.commands.append(command)
        reply: defer.Deferred[typing.Any] = defer.Deferred()
        self.replies.append(reply)
        return await reply


class _FakeExchange:
    """Fake request of a caller; keeps the refusal that it is answered with."""

    def __init__(self, method: str, idempotency_key: str) -> None:
        self.method = method
        self.path = self.uri = "/refill/1"
        self.body = b""
        self.request_id = base.RequestId("request-1")
        self.has_started = False
        self.is_closed = False
        self.refusals: list[base.Refusal] = []
        self.answers: list[tuple[int, bytes]] = []
        self._headers = {"idempotency-key": idempotency_key}

    def header(self, name: str) -> str:
        return self._headers.get(name, "")

    def header_items(self) -> list[tuple[str, str]]:
        return []

    def start(self, status: int, headers: object) -> None:
        del headers
        self.has_started = True
        self.answers.append((status, b""))

    async def write(self, data: bytes) -> None:
        status, before = self.answers.pop()
        self.answers.append((status, before + data))

    def finish(self) -> None:
        self.is_closed = True

    def refuse(self, refusal: base.Refusal) -> None:
        if not self.has_started:
            self.has_started = self.is_closed = True
            self.refusals.append(refusal)

    def end_early(self, refusal: base.Refusal) -> None:
        self.refuse(refusal)


class ResponseHeadersTest(unittest.TestCase):
    """Callers believe what this system states of a request, and no endpoint."""

    def test_outcome_that_an_endpoint_states(self) -> None:
        """Guards against an endpoint that says "not run" in our name."""
        for name in ("x-execution-outcome", "x-request-id", "connection"):
            with self.subTest(name):
                kept = _headers.filter_response_headers(
                    ((name, "not run"), ("x-own", "1"))
                )
                self.assertEqual(kept, [(b"x-own", b"1")])


class ServiceCallsTest(unittest.TestCase):
    """What callers are told of calls that fail or are ended."""

    def setUp(self) -> None:
        self.reactor = task.Clock()
        clock = base.ManualClock()
        clock.now = self.reactor.seconds  # type: ignore[method-assign]
        self.upstream = _FakeUpstream()
        self.plane = _FakePlane()
        waits = types.SimpleNamespace(
            refused=lambda account: None, granted=lambda *_: None
        )
        self.active = _active_requests.ActiveRequests(
            clock, dispatch.AdmissionLimits(0.0), typing.cast(typing.Any, waits)
        )
        intents = _intents.IntentRunner(
            self.reactor,
            clock,
            typing.cast(typing.Any, self.plane),
            base.InstanceId("i1"),
            base.Incarnation(1),
        )
        usage = types.SimpleNamespace(count_call=lambda account: None)
        self.calls = _services.ServiceCalls(
            self.reactor,
            clock,
            typing.cast(typing.Any, self),
            self.active,
            typing.cast(typing.Any, self),
            dispatch.Router(base.FailureDomain("zone-1"), random.Random(1)),
            dispatch.RetryPolicy(random.Random(1)),
            typing.cast(typing.Any, self.upstream),
            intents,
            typing.cast(typing.Any, usage),
            typing.cast(typing.Any, waits),
        )

    async def admit_route(self, *_: typing.Any) -> typing.Any:
        """Admits every call."""
        return result.Success(
            control.Admission(ROUTE, control.Principal(ACCOUNT, KEY))
        )

    def service_candidates(self, service: str) -> list[dispatch.Candidate]:
        """Returns the only endpoint."""
        del service
        domain = base.FailureDomain("zone-1")
        return [dispatch.Candidate(ENDPOINT, domain, 8)]

    def url_of(self, endpoint: base.EndpointId) -> str:
        return f"http://{endpoint}"

    def begin(self, method: str, idempotency_key: str = "") -> _FakeExchange:
        exchange = _FakeExchange(method, idempotency_key)
        defer.ensureDeferred(
            self.calls.serve(typing.cast(typing.Any, exchange))
        )
        return exchange

    def advance(self) -> None:
        """Lets all retries of a call come."""
        self.reactor.pump([0.01] * int(RETRIES_S / 0.01))

    def test_outcome_of_all_attempts(self) -> None:
        """A refusal speaks of all attempts of its request.

        Guards against "not run" after an attempt that may have run, when the
        endpoint is gone at the next one.
        """
        for name, attempts, outcome in (
            ("none ran", [REFUSED] * 4, base.Outcome.NOT_RUN),
            ("first", [LOST] + [REFUSED] * 3, base.Outcome.MAY_HAVE_RUN),
            ("second", [REFUSED, LOST, REFUSED, REFUSED], LOST.outcome),
            ("last", [REFUSED] * 3 + [LOST], base.Outcome.MAY_HAVE_RUN),
        ):
            with self.subTest(name):
                self.setUp()
                self.upstream.scripted = [
                    result.Failure(error) for error in attempts
                ]
                exchange = self.begin("GET")
                self.advance()
                self.assertEqual(len(self.upstream.answers), 4)
                outcomes = [refusal.outcome for refusal in exchange.refusals]
                self.assertEqual(outcomes, [outcome])

    def test_request_ended_before_it_was_sent(self) -> None:
        """A request that was not sent is ended as "not run" and stays unsent.

        Guards against a booking that waits for its intent's commit, or a lookup
        that waits for its next attempt, that is answered "may have run" when
        its key is withdrawn or the configuration stale, and sent afterwards.
        """
        for name, method, end in (
            ("booking, stale", "POST", self.active.end_keyed),
            ("booking, key", "POST", lambda: self.active.withdraw_key(KEY)),
            ("lookup, stale", "GET", self.active.end_keyed),
            ("lookup, key", "GET", lambda: self.active.withdraw_key(KEY)),
        ):
            with self.subTest(name):
                self.upstream.answers.clear()
                self.plane.commands.clear()
                self.plane.replies.clear()
                self.upstream.scripted = [result.Failure(REFUSED)]
                exchange = self.begin(method, "booking-1")
                sent = len(self.upstream.answers)
                end()
                outcomes = [refusal.outcome for refusal in exchange.refusals]
                self.assertEqual(outcomes, [base.Outcome.NOT_RUN])
                for reply in self.plane.replies[:]:
                    reply.callback(result.Success(control.IntentBegun()))
                self.advance()
                self.assertEqual(len(self.upstream.answers), sent)
                # Resends under the same key may run.
                self.assertEqual(
                    [type(command) for command in self.plane.commands],
                    [control.BeginIntent, control.AbandonIntent]
                    if method == "POST"
                    else [],
                )

    def test_request_ended_after_it_was_sent(self) -> None:
        """A request that may have run says so, and is not sent again."""
        for name, method, answers in (
            ("booking", "POST", []),
            ("lookup", "GET", []),
            ("lookup, lost once", "GET", [LOST]),
        ):
            with self.subTest(name):
                self.upstream.answers.clear()
                self.plane.replies.clear()
                self.upstream.scripted = [result.Failure(e) for e in answers]
                exchange = self.begin(method, "booking-1")
                for reply in self.plane.replies[:]:
                    reply.callback(result.Success(control.IntentBegun()))
                self.assertEqual(len(self.upstream.answers), 1)
                self.active.end_keyed()
                outcomes = [refusal.outcome for refusal in exchange.refusals]
                self.assertEqual(outcomes, [base.Outcome.MAY_HAVE_RUN])
                if not answers:
                    self.upstream.answers[0].callback(result.Failure(REFUSED))
                self.advance()
                self.assertEqual(len(self.upstream.answers), 1)

    def test_resend_ended_during_the_first_run(self) -> None:
        """A resend that waits for an earlier run is not told "not run"."""
        exchange = self.begin("POST", "booking-1")
        reply = control.IntentOpen(
            base.InstanceId("i2"), base.Incarnation(1), may_have_run=False
        )
        self.plane.replies[0].callback(result.Success(reply))
        self.active.end_keyed()
        outcomes = [refusal.outcome for refusal in exchange.refusals]
        self.assertEqual(outcomes, [base.Outcome.MAY_HAVE_RUN])
        self.reactor.advance(_intents.POLL_INTERVAL_S)
        self.plane.replies[1].callback(result.Success(control.IntentBegun()))
        self.assertEqual(self.upstream.answers, [])

    def test_answer_waits_for_its_commit(self) -> None:
        """An answer that is here is delivered, though its commit is late.

        Guards against a booking that ran, and is answered "may have run" since
        the configuration becomes stale, or its key is withdrawn, before its
        answer is committed.
        """
        for name, end in (
            ("stale", self.active.end_keyed),
            ("key", lambda: self.active.withdraw_key(KEY)),
        ):
            with self.subTest(name):
                self.plane.replies.clear()
                response = types.SimpleNamespace(
                    status=200,
                    headers=(),
                    header=lambda name: "",
                    read_all=lambda limit: defer.succeed(
                        result.Success(b"whole")
                    ),
                )
                self.upstream.scripted = [
                    result.Success(typing.cast(typing.Any, response))
                ]
                exchange = self.begin("POST", "booking-1")
                self.plane.replies[0].callback(
                    result.Success(control.IntentBegun())
                )
                end()
                self.plane.replies[1].callback(result.Success(None))
                self.assertEqual(exchange.refusals, [])
                self.assertEqual(exchange.answers, [(200, b"whole")])
