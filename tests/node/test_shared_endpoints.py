"""Tests of requests to shared endpoints: rejections, samples and figures."""

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
from banyanbank_node import _figure_source
from banyanbank_node import _forwarder
from banyanbank_node import _forwarding
from banyanbank_node import _messages
from banyanbank_node import _ports
from banyanbank_node import _shared_endpoints
import banyanbank_web as web
from returns import result
from twisted.internet import defer

from tests.gateway import samples
from tests.node import running
from tests.node import test_forwarder

IDEMPOTENT = gateway.RouteKind.IDEMPOTENT
ONCE = gateway.RouteKind.NON_IDEMPOTENT

OWN = test_forwarder.Reply(test_forwarder.REQUEST_ID)
FULL = attrs.evolve(OWN, status=503, has_not_run=True)
OTHER = attrs.evolve(OWN, status=421, has_not_run=True)
FAILED = attrs.evolve(OWN, status=500)
REFUSED = web.UpstreamError(base.Outcome.NOT_RUN, "refused")
LOST = web.UpstreamError(base.Outcome.MAY_HAVE_RUN, "lost")
STALE = attrs.evolve(LOST, is_stale_connection=True)
MAX_WAIT_S = 0.25 * 0.2
"""A quarter of the objective of `make_route`."""


def make_directory(count: int = 3) -> gateway.Directory:
    """Returns a directory of endpoints of the service `app`."""
    directory = gateway.Directory()
    for number in range(count):
        address = f"10.0.0.{number + 1}:80"
        directory.apply(
            samples.make_announcement(
                f"e{number}", service="app", address=address
            ),
            10.0,
        )
    return directory


def make_table(routes: int = 2) -> gateway.RouteTable:
    """Returns routes to the service `app`, which two of them share."""
    return gateway.RouteTable(
        gateway.Document(
            1,
            tuple(
                attrs.evolve(
                    test_forwarder.make_route(IDEMPOTENT), prefix=f"/{number}/"
                )
                for number in range(routes)
            ),
            {"app": gateway.Service("app", 10)},
            gateway.Limits(),
            None,
        )
    )


class Process:
    """Shared endpoints of one process, with a clock that sleeping advances."""

    def __init__(self, routes: int = 2) -> None:
        self.clock = base.ManualClock(10.0)
        self.waits: list[float] = []
        table = make_table(routes)
        self.shared = _shared_endpoints.SharedEndpoints(
            self.clock,
            lambda: table,
            lambda address: False,
            self._sleep,
            random.Random(1),
        )

    async def _sleep(self, seconds: float) -> None:
        self.waits.append(seconds)
        self.clock.advance(seconds)

    def send(
        self,
        kind: gateway.RouteKind,
        *replies: typing.Any,
        deadline: float = 20.0,
    ) -> _forwarding.Answer | base.Refusal:
        """Sends a request that endpoints answer in this order."""
        answer, _ = test_forwarder.send_request(
            kind,
            *replies,
            directory=make_directory(),
            shared=self.shared,
            clock=self.clock,
            deadline=deadline,
        )
        return answer


class RejectionTest(unittest.TestCase):
    """Rejections use up no attempt; three endpoints, two attempts."""

    def test_answers(self) -> None:
        """Guards against refusals while there is room or soon will be.

        Also guards against a request that runs more than its route allows.
        """
        ran = base.Outcome.MAY_HAVE_RUN
        for name, kind, replies, want, waits in (
            ("third has room", ONCE, [FULL, FULL, OWN], 200, 0),
            ("room after a wait", ONCE, [FULL] * 3 + [OWN], 200, 1),
            ("after two waits", IDEMPOTENT, [FULL] * 7 + [OWN], 200, 2),
            ("refused connections", ONCE, [REFUSED, REFUSED, OWN], 200, 0),
            # Only the endpoint that was full is asked again.
            ("others' addresses", ONCE, [OTHER, OTHER, FULL, OWN], 200, 1),
            ("once, lost", ONCE, [FULL, LOST], ran, 0),
            ("once, lost after a wait", ONCE, [FULL] * 3 + [LOST], ran, 1),
            ("two runs", IDEMPOTENT, [LOST, FULL, LOST], ran, 0),
            (
                "two runs after a wait",
                IDEMPOTENT,
                [FULL] * 3 + [LOST] * 2,
                ran,
                1,
            ),
        ):
            with self.subTest(name):
                process = Process()
                answer = process.send(kind, *replies)
                seen: object = (
                    answer.outcome
                    if isinstance(answer, base.Refusal)
                    else answer.status
                )
                self.assertEqual(seen, want)
                self.assertEqual(len(process.waits), waits)
                self.assertLessEqual(sum(process.waits), MAX_WAIT_S)

    def test_all_remain_full(self) -> None:
        """Guards against endless retries, and callers that come together."""
        for name, deadline, sends in (
            ("time left", 20.0, 9),
            ("no time left", 10.001, 3),
        ):
            with self.subTest(name):
                drawn = set()
                for seed in range(20):
                    process = Process()
                    process.shared._rng.seed(seed)
                    refusal = process.send(
                        ONCE, *[FULL] * sends, deadline=deadline
                    )
                    assert isinstance(refusal, base.Refusal)
                    self.assertIs(refusal.outcome, base.Outcome.NOT_RUN)
                    drawn.add(refusal.retry_after or 0.0)
                self.assertGreater(max(drawn), 1.5 * min(drawn))
                self.assertGreaterEqual(min(drawn), 0.05)
                self.assertLessEqual(max(drawn), 1.0)

    def test_service_that_is_not_shared(self) -> None:
        """Guards against changes for deployments without shared endpoints."""
        process = Process(routes=1)
        refusal = process.send(ONCE, FULL, FULL)
        assert isinstance(refusal, base.Refusal)
        self.assertEqual(refusal.retry_after, 0.25)
        self.assertEqual(process.waits, [])

    def test_unreadable_document(self) -> None:
        """Guards against an answer that is lost with a bad document."""
        process = Process()
        self.assertEqual(process.shared.services, {"app"})

        def find_table() -> gateway.RouteTable:
            raise gateway.InvalidDocumentError("unreadable")

        process.shared._find_table = find_table
        self.assertEqual(process.shared.services, {"app"})

    def test_caller_leaves_during_a_wait(self) -> None:
        """Guards against requests on behalf of a caller that has gone."""
        process = Process()
        sent: list[str] = []
        forwarder = _make_forwarder(process, sent, [FULL] * 3)
        forwarding = _make_forwarding()

        async def leave(seconds: float) -> None:
            del seconds
            forwarding.is_abandoned = True

        process.shared.sleep = leave
        defer.ensureDeferred(forwarder.send(forwarding))
        self.assertEqual(len(sent), 3)


class SecondAttemptTest(unittest.TestCase):
    """The next endpoint can be chosen while an attempt is running."""

    def test_choice_during_an_attempt(self) -> None:
        """Guards against two attempts of one request at one endpoint."""
        sent: list[str] = []
        forwarder = _make_forwarder(Process(), sent, [])
        forwarding = _make_forwarding()
        defer.ensureDeferred(forwarder.send(forwarding))
        self.assertEqual(forwarding.attempts_used, 1)
        for _ in range(20):
            chosen: typing.Any = defer.ensureDeferred(
                forwarder._choice.choose_endpoint(forwarding, "app")
            )
            self.assertNotIn(chosen.result.endpoint, sent)


class SampleTest(unittest.TestCase):
    """Only what tells of an endpoint's health and speed is reported."""

    def test_samples(self) -> None:
        """Guards against figures that blame an endpoint for others' faults."""
        late = attrs.evolve(LOST, is_timeout=True)
        for name, replies, expected in (
            ("success", [OWN], (1, 0)),
            ("client error", [attrs.evolve(OWN, status=404)], (0, 0)),
            ("server error", [FAILED, OWN], (1, 1)),
            ("lost answer", [LOST, OWN], (1, 1)),
            ("refused connection", [REFUSED, OWN], (1, 1)),
            ("stale connection", [STALE, OWN], (1, 0)),
            ("timeout before the objective", [late, OWN], (1, 0)),
            ("at capacity", [FULL, OWN], (1, 0)),
        ):
            with self.subTest(name):
                process = Process()
                process.shared.apply_answer("leader/1", 1, None, ())
                process.send(IDEMPOTENT, *replies)
                taken = process.shared.take_samples()
                seen = (
                    sum(sum(sample.times.values()) for sample in taken),
                    sum(sample.failures for sample in taken),
                )
                self.assertEqual(seen, expected)

    def test_no_samples_without_a_collecting_leader(self) -> None:
        """Guards against polls that an earlier release cannot read."""
        process = Process()
        for revision in (0, 1, 0):
            process.shared.apply_answer("leader/1", revision, None, ())
            process.send(IDEMPOTENT, OWN)
            self.assertEqual(bool(process.shared.take_samples()), revision > 0)


class FigureSourceTest(unittest.TestCase):
    """The leader tells entries only what has changed."""

    def setUp(self) -> None:
        self.process = Process()
        self.node = types.SimpleNamespace(epoch=1)
        self.events: list[str] = []
        self.source = _figure_source.FigureSource(
            self.process.clock,
            _as_any(types.SimpleNamespace(node=self.node)),
            self.process.shared,
            _as_any(
                types.SimpleNamespace(
                    write=lambda event, **_: self.events.append(event)
                )
            ),
        )
        self.entry = Process().shared
        self.source.tick()

    def report(self, *slow: str, failures: int = 0) -> None:
        """Reports attempts at ten endpoints by two entries."""
        for reporter in ("entry-1", "entry-2"):
            log = gateway.SampleLog()
            for target in make_directory(10).all():
                for _ in range(10):
                    took_s = 0.1 if target.endpoint in slow else 0.04
                    log.record_success(target, "route", took_s)
            for _ in range(failures):
                log.record_failure(samples.make_announcement("e9"), "route")
            self.source.add(reporter, log.take())
        self.process.clock.advance(0.5)

    def poll(self, held: int, is_same_source: bool = True) -> int:
        """Applies an answer at an entry; returns its revision."""
        self.source.tick()
        revision = self.source.revision
        encoded = (
            None
            if is_same_source and held == revision
            else self.source.encode(is_same_source)
        )
        part = encoded and _messages.CODEC.decode(encoded)
        self.entry.apply_answer(
            f"leader/{self.node.epoch}",
            revision,
            part.endpoints if part else None,
            part.latencies if part else (),
        )
        self.sent = encoded
        return revision

    def find_factor(self, name: str) -> float:
        figure = self.entry.figures.get(
            samples.make_announcement(name), self.entry._clock.now()
        )
        return 1.0 if figure is None else figure.time_factor

    def test_alike(self) -> None:
        """Guards against messages where there is nothing to tell."""
        held = self.poll(0, is_same_source=False)
        for _ in range(5):
            self.report()
            held = self.poll(held)
            self.assertIsNone(self.sent)
        self.assertEqual(self.events, [])

    def test_changes(self) -> None:
        held = self.poll(0, is_same_source=False)
        self.report("e1")
        held = self.poll(held)
        self.assertEqual(self.find_factor("e1"), 2.52)
        self.assertEqual(self.events, ["endpoint.figure"])
        self.assertLess(len(self.sent or b""), 100)
        # Other processes and revisions.
        held = self.poll(held)
        self.assertIsNone(self.sent)
        for _ in range(20):
            self.report()
        self.poll(held)
        self.assertEqual(self.find_factor("e1"), 1.0)

    def test_new_leader_starts_anew(self) -> None:
        """Guards against figures of a former term that nothing ends."""
        self.report("e1")
        held = self.poll(0, is_same_source=False)
        self.node.epoch = 2
        self.assertEqual(self.source.revision, 0)
        self.poll(held, is_same_source=False)
        self.assertIsNone(self.sent)
        self.assertEqual(self.find_factor("e1"), 2.52)
        _as_any(self.entry._clock).advance(5.1)
        self.assertEqual(self.find_factor("e1"), 1.0)

    def test_message_sizes(self) -> None:
        """Guards against polls that other releases cannot read or that grow."""
        req = _messages.SyncRequest("entry", 1, "leader/1", 1, ())
        empty = _messages.CODEC.encode(req)
        self.assertNotIn(b"samples", empty)
        self.assertNotIn(b"figures", empty)
        log = gateway.SampleLog()
        log.record_success(samples.make_announcement("e1"), "route", 0.024)
        full = _messages.CODEC.encode(
            attrs.evolve(req, figures_revision=3, samples=log.take())
        )
        self.assertLess(len(full) - len(empty), 120)
        decoded = _messages.CODEC.decode(full)
        self.assertEqual(decoded.samples[0].times, {37: 1})


def _make_forwarding() -> _forwarding.Forwarding:
    req = _ports.CallerRequest(
        "r-1", "POST", "host", "/0/", "/0/", (), b"", None, 20.0
    )
    return _forwarding.Forwarding(
        req, test_forwarder.make_route(IDEMPOTENT), None, 20.0
    )


def _make_forwarder(
    process: Process, sent: list[str], replies: list[test_forwarder.Reply]
) -> _forwarder.Forwarder:
    """Returns a forwarder; attempts beyond the replies stay open."""
    events = _as_any(types.SimpleNamespace(write=lambda *_, **__: None))
    true_time = gateway.SyncedClock(process.clock)
    directory = make_directory()

    async def send(endpoint: str) -> typing.Any:
        sent.append(endpoint)
        if replies:
            return result.Success(replies.pop(0))
        return await defer.Deferred()

    return _forwarder.Forwarder(
        process.clock,
        _endpoint_sender.EndpointSender(
            _as_any(types.SimpleNamespace(send=send)),
            gateway.Evacuations,
            running.COMPOSER,
        ),
        _as_any(
            types.SimpleNamespace(
                build_forward_request=lambda *rest: rest[2].endpoint,
                read_response_headers=lambda reply: _ports.ResponseHeaders(
                    reply.request_id, reply.has_not_run, "signature", None
                ),
            )
        ),
        gateway.EndpointPicker(base.FailureDomain("z"), random.Random(1)),
        directory.of_service,
        random.Random(1),
        events,
        _as_any(
            types.SimpleNamespace(
                requests=types.SimpleNamespace(record=lambda *_: None)
            )
        ),
        _endpoint_limits.EndpointLimits(process.clock, true_time, events),
        test_forwarder.FakePermits(),
        _departures.Departures(process.clock, directory, events),
        gateway.CrashSuspects(),
        true_time,
        process.shared,
    )


def _as_any(value: object) -> typing.Any:
    return value


if __name__ == "__main__":
    unittest.main()
