"""Tests of requests with a second attempt, in simulated time.

The usual times of the route are 45 ms at the quantile 0.99, after which second
attempts start, and the deadline is 2 s after the start of a request.
"""

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
from banyanbank_node import _meters
from banyanbank_node import _ports
from banyanbank_node import _second_attempts
from banyanbank_node import _shared_endpoints
import banyanbank_web as web
from returns import result
from twisted.internet import defer
from twisted.internet import task

from tests.gateway import samples
from tests.node import running
from tests.node import test_forwarder
from tests.node import test_scorer_admission
from tests.node import test_shared_endpoints

IDEMPOTENT = gateway.RouteKind.IDEMPOTENT
DELAY_S = 0.001 * 2 ** (44 / 8)
LATENCY = gateway.RouteLatency("app", "route", (36, 38, 40, 44))
OWN, FAILED, FULL, LOST = (
    test_shared_endpoints.OWN,
    test_shared_endpoints.FAILED,
    test_shared_endpoints.FULL,
    test_shared_endpoints.LOST,
)
NEVER = (9.0, OWN)
FAST = (0.02, OWN)

E1 = base.EndpointId("e1")

Script = tuple[float, test_forwarder.Reply | web.UpstreamError]
"""Seconds until an endpoint answers, and its answer."""


@attrs.define
class Response:
    """Answer whose body takes some time; implements `web.UpstreamResponse`."""

    world: "World"
    endpoint: str
    reply: test_forwarder.Reply
    body_s: float

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.reply.status

    headers: tuple[tuple[str, str], ...] = ()

    async def read_all(
        self, max_bytes: int
    ) -> result.Result[bytes, web.UpstreamError]:
        """Returns a fixed body."""
        del max_bytes
        await task.deferLater(self.world.reactor, self.body_s)
        return result.Success(b"body")

    def cancel(self) -> None:
        """Records that the connection was closed."""
        self.world.closed.append(self.endpoint)


class World:
    """One process that sends requests to fake endpoints."""

    def __init__(
        self,
        *scripts: Script,
        share: float = 0.5,
        endpoints: int = 3,
        body_s: float = 0.0,
        evacuated: tuple[str, ...] = (),
        changes: dict[str, typing.Any] | None = None,
    ) -> None:
        self.reactor = task.Clock()
        self.reactor.advance(10.0)
        self.scripts = list(scripts)
        self.body_s = body_s
        self.sent: list[tuple[float, str]] = []
        self.deadlines: list[float] = []
        self.closed: list[str] = []
        self.events: list[tuple[str, dict[str, typing.Any]]] = []
        self.clock: typing.Any = types.SimpleNamespace(
            now=self.reactor.seconds, wall=self.reactor.seconds
        )
        self.meters = _meters.Meters(self.clock)
        events = _as_any(
            types.SimpleNamespace(
                write=lambda event, **fields: self.events.append(
                    (event, fields)
                )
            )
        )
        self.directory = test_shared_endpoints.make_directory(endpoints)
        if changes is not None:
            self.directory.apply(
                samples.make_announcement(
                    "e1",
                    **{
                        "service": "app",
                        "sequence": 5,
                        "address": "10.0.0.2:80",
                    }
                    | changes,
                ),
                10.0,
            )
        table = test_shared_endpoints.make_table()
        self.shared = _shared_endpoints.SharedEndpoints(
            self.clock,
            lambda: table,
            lambda address: False,
            self._sleep,
            random.Random(1),
        )
        self.shared.apply_answer("leader/1", 1, (), (LATENCY,))
        self.picker = gateway.EndpointPicker(
            base.FailureDomain("a"), random.Random(1)
        )
        self.permits = test_forwarder.FakePermits()
        self.suspects = gateway.CrashSuspects()
        true_time = gateway.SyncedClock(self.clock)
        self.limits = _endpoint_limits.EndpointLimits(
            self.clock, true_time, events
        )
        self.second = _second_attempts.SecondAttempts(
            gateway.SecondAttemptRules(share),
            self.clock,
            self.shared,
            random.Random(1),
            events,
            self.meters,
        )
        for _ in range(10):
            self.second._policy.count_request()
        self.forwarder = _forwarder.Forwarder(
            self.clock,
            _endpoint_sender.EndpointSender(
                _as_any(types.SimpleNamespace(send=self._send)),
                lambda: gateway.Evacuations(1, _as_any(evacuated)),
                running.COMPOSER,
            ),
            _as_any(self),
            self.picker,
            self.directory.of_service,
            random.Random(1),
            events,
            self.meters,
            self.limits,
            self.permits,
            _departures.Departures(self.clock, self.directory, events),
            self.suspects,
            true_time,
            self.shared,
            self.second,
        )

    def begin(
        self,
        kind: gateway.RouteKind = IDEMPOTENT,
        max_attempts: int = 2,
        **changes: typing.Any,
    ) -> None:
        """Begins a request."""
        deadline = self.clock.now() + 2.0
        self.began_at = self.clock.now()
        req = _ports.CallerRequest(
            "r-1", "POST", "host", "/0/", "/0/", (), b"", None, deadline
        )
        route = attrs.evolve(
            test_forwarder.make_route(kind), max_attempts=max_attempts
        )
        self.forwarding = _forwarding.Forwarding(
            req, route, None, deadline, follows_crashes=True, **changes
        )
        self.answers: list[tuple[typing.Any, float]] = []
        self.running = defer.ensureDeferred(
            self.forwarder.send(self.forwarding)
        )
        self.running.addBoth(
            lambda answer: self.answers.append((answer, self.age_s))
        )

    @property
    def age_s(self) -> float:
        """Seconds since the beginning of the request."""
        return round(self.clock.now() - self.began_at, 3)

    def advance(self, seconds: float = 2.1) -> None:
        """Lets time pass in steps of 1 ms."""
        self.reactor.pump([0.001] * round(1000 * seconds))

    def get_outcome(self) -> tuple[object, float]:
        """Returns the status or outcome of the only answer, and its time."""
        ((answer, took_s),) = self.answers
        if isinstance(answer, base.Refusal):
            return answer.outcome, took_s
        return getattr(answer, "status", answer), took_s

    def count(self, outcome: str) -> float:
        """Returns the counter of second attempts with an outcome."""
        return self.meters.second_attempts.value(outcome)

    def build_forward_request(self, *rest: typing.Any) -> web.UpstreamRequest:
        """Returns a request whose URL is the name of the endpoint."""
        return web.UpstreamRequest(
            "POST", rest[2].endpoint, (), b"body", deadline=rest[3]
        )

    def read_response_headers(
        self, response: Response
    ) -> _ports.ResponseHeaders:
        """Returns what an answer says of itself."""
        reply = response.reply
        return _ports.ResponseHeaders(
            reply.request_id,
            reply.has_not_run,
            "signature",
            None,
            is_leaving=reply.is_leaving,
        )

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self.reactor, seconds)

    async def _send(self, req: web.UpstreamRequest) -> typing.Any:
        self.sent.append((self.age_s, req.url))
        self.deadlines.append(round(req.deadline - self.began_at, 3))
        takes_s, reply = self.scripts.pop(0) if self.scripts else FAST
        left_s = req.deadline - self.clock.now()
        if req.guard is not None and not req.guard():
            return result.Failure(
                web.UpstreamError(
                    base.Outcome.NOT_RUN, "withheld", is_withheld=True
                )
            )
        try:
            await task.deferLater(self.reactor, min(takes_s, left_s))
        except defer.CancelledError:
            self.closed.append(req.url)
            # Closing a connection looks like a crash to the client.
            return result.Failure(attrs.evolve(LOST, is_unanswered=True))
        if takes_s > left_s:
            return result.Failure(attrs.evolve(LOST, is_timeout=True))
        if isinstance(reply, web.UpstreamError):
            return result.Failure(reply)
        return result.Success(Response(self, req.url, reply, self.body_s))


def _limit(world: World) -> None:
    world.limits.apply(
        gateway.LimitObservation(E1, 1_000, 100.0, observed_at=1.0)
    )


def _report_failing(world: World) -> None:
    figure = gateway.EndpointFigure(E1, 1_000, 1.0, True)
    world.shared.figures.replace("leader/1", [figure], 10.0)


def _spend(world: World) -> None:
    world.second._policy._tokens = 0.0


ENDPOINT_CASES: tuple[
    tuple[
        str,
        dict[str, typing.Any],
        typing.Callable[[World], object] | None,
        bool,
    ],
    ...,
] = (
    ("usable", {"slots": 6}, None, True),
    ("cold", {"is_cold": True}, None, False),
    ("evacuated", {"domain": "evacuated"}, None, False),
    ("leaving", {"state": gateway.EndpointState.DRAINING}, None, False),
    ("one slot", {"slots": 1}, None, False),
    ("limited", {}, _limit, False),
    (
        "failed here",
        {},
        lambda world: world.picker.failed(E1, 9.9, 10.0),
        False,
    ),
    ("failing elsewhere", {}, _report_failing, False),
    (
        "rejected a request",
        {},
        lambda world: world.picker.rejected(E1, 10.9),
        False,
    ),
    (
        "overload",
        {},
        lambda world: world.second._policy.rejected("app", 10.0),
        False,
    ),
    ("no token", {}, _spend, False),
    (
        "suspect request",
        {},
        lambda world: world.suspects.record_loss(
            world.forwarding.digest, False, 10.0
        ),
        False,
    ),
)
"""Changes of the second endpoint, and what happens while the first is asked."""


class OutcomeTest(unittest.TestCase):
    """The first good answer counts, and `max-attempts` holds."""

    def test_outcomes(self) -> None:
        """Guards against waits for a slow endpoint or for a lost answer.

        Also guards against the loss of an answer that a former attempt may
        still give, and of attempts that a request has left.
        """
        ran = base.Outcome.MAY_HAVE_RUN
        start = round(DELAY_S, 3)
        soon = round(DELAY_S + 0.02, 3)
        for name, attempts, scripts, want, sent_at, won in (
            ("usual time", 2, [(0.04, OWN)], (200, 0.04), [0.0], None),
            ("slow", 2, [(1.5, OWN), FAST], (200, soon), [0, start], True),
            ("lost answer", 2, [NEVER, FAST], (200, soon), [0, start], True),
            (
                "first wins",
                2,
                [(0.1, OWN), NEVER],
                (200, 0.1),
                [0, start],
                False,
            ),
            (
                "error, then an answer",
                2,
                [(0.3, OWN), (0.02, FAILED)],
                (200, 0.3),
                [0, start],
                False,
            ),
            (
                "two errors",
                2,
                [(0.1, FAILED), (0.02, FAILED)],
                (500, 0.1),
                [0, start],
                None,
            ),
            (
                "two lost connections",
                2,
                [(0.1, LOST), (0.1, LOST)],
                (ran, round(start + 0.1, 3)),
                [0, start],
                None,
            ),
            ("one attempt", 1, [(0.5, OWN)], (200, 0.5), [0], None),
            # Not cut at half of the time.
            (
                "both slow",
                2,
                [(1.6, OWN), NEVER],
                (200, 1.6),
                [0, start],
                False,
            ),
            ("both never", 2, [NEVER, NEVER], (ran, 2.0), [0, start], None),
            # Cut at half of the time, as there is another attempt.
            (
                "third attempt",
                3,
                [NEVER, (0.02, FAILED), FAST],
                (200, 1.02),
                [0, start, 1.0],
                None,
            ),
            (
                "third attempt after two lost answers",
                3,
                [NEVER, NEVER, FAST],
                (200, 1.043),
                [0, start, 1.023],
                None,
            ),
            (
                "rejected second",
                2,
                [NEVER, (0.01, FULL), FAST],
                (200, 1.02),
                [0, start, 1.0],
                None,
            ),
            (
                "second rejected late",
                2,
                [NEVER, (1.2, FULL), FAST],
                (200, 1.267),
                [0, start, 1.247],
                None,
            ),
            (
                "rejected first",
                2,
                [(0.06, FULL), FAST],
                (200, soon),
                [0, start],
                True,
            ),
        ):
            with self.subTest(name):
                world = World(*scripts)
                world.begin(max_attempts=attempts)
                world.advance()
                outcome, took_s = world.get_outcome()
                self.assertEqual(outcome, want[0])
                self.assertAlmostEqual(took_s, want[1], delta=0.0021)
                self.assertEqual(len(world.sent), len(sent_at))
                for seen, expected in zip(world.sent, sent_at, strict=True):
                    self.assertAlmostEqual(seen[0], expected, delta=0.0021)
                endpoints = [endpoint for _, endpoint in world.sent]
                self.assertEqual(len(set(endpoints)), len(endpoints))
                self.assertEqual(world.count("won"), won is True)
                self.assertEqual(world.count("lost"), won is False)
                self.assertEqual(world.picker._in_flight, {})
                self.assertEqual(world.second._policy._running, {})

    def test_kinds(self) -> None:
        """Guards against a request that runs twice where it must not."""
        for kind in gateway.RouteKind:
            if kind is IDEMPOTENT:
                continue
            with self.subTest(kind):
                world = World((0.5, OWN))
                world.begin(kind)
                world.advance()
                self.assertEqual(len(world.sent), 1)

    def test_same_time(self) -> None:
        """Guards against two answers when a cancellation crosses one."""
        world = World((1.0, OWN), (1.0 - DELAY_S, OWN))
        world.begin()
        world.advance(0.1)
        world.reactor.advance(1.0)
        self.assertEqual(world.get_outcome()[0], 200)
        self.assertEqual(len(world.sent), 2)
        self.assertEqual(world.count("won") + world.count("lost"), 1)

    def test_while_a_body_is_read(self) -> None:
        """Guards against a connection that stays open with half an answer."""
        world = World((0.05, OWN), FAST, body_s=0.5)
        world.begin()
        world.advance(0.06)
        world.body_s = 0.0
        world.advance()
        first = world.sent[0][1]
        self.assertEqual(world.closed, [first])
        self.assertEqual(world.forwarding.may_have_run_since, world.began_at)


class LimitTest(unittest.TestCase):
    """Which requests have no second attempt, and which endpoints get none."""

    def test_endpoints(self) -> None:
        """Guards against second attempts that harm endpoints or are lost."""
        for name, changes, prepare, is_used in ENDPOINT_CASES:
            with self.subTest(name):
                world = World(
                    *[(0.5, OWN)] * 2,
                    endpoints=2,
                    changes=changes,
                    evacuated=("evacuated",),
                )
                # The first attempt goes to the other endpoint.
                world.picker.started(E1)
                world.begin()
                if prepare is not None:
                    prepare(world)
                world.advance(0.4)
                self.assertEqual(world.sent[0], (0.0, "e0"))
                self.assertEqual(len(world.sent), 1 + is_used)
                world.advance()

    def test_tried_endpoint(self) -> None:
        """Guards against a second run at one endpoint."""
        world = World((0.01, FAILED), (0.5, OWN), endpoints=2)
        world.begin(max_attempts=3)
        world.advance(0.4)
        self.assertEqual(len(world.sent), 2)
        world.advance()

    def test_permit_of_the_first(self) -> None:
        """Guards against a second attempt withheld for another's permit."""
        world = World(NEVER, FAST)
        world.begin()
        world.forwarding.permit_expires_at = world.clock.now() + 0.01
        world.advance(0.1)
        self.assertEqual(world.get_outcome()[0], 200)

    def test_rejections(self) -> None:
        """Guards against a stop because one endpoint shuts down."""
        for is_leaving, sends in ((True, 3), (False, 2)):
            with self.subTest(is_leaving=is_leaving):
                full = attrs.evolve(FULL, is_leaving=is_leaving)
                world = World((0.01, full), (0.5, OWN), (0.5, OWN))
                world.begin()
                world.advance(0.4)
                self.assertEqual(len(world.sent), sends)
                world.advance()

    def test_answer_that_nobody_wants(self) -> None:
        """Guards against work for an item that has ended."""
        world = World((0.5, OWN))
        wanted = [True]
        world.begin(is_wanted=lambda: wanted[0])
        wanted[0] = False
        world.advance()
        self.assertEqual(len(world.sent), 1)

    def test_room_of_a_gate(self) -> None:
        """Guards against scorer calls beyond the reserve of an endpoint.

        Also guards against calls whose route or lease is gone.
        """
        for name, has_room, has_route, sends in (
            ("room", True, True, 2),
            ("no room elsewhere", False, True, 1),
            ("route is gone", True, False, 1),
        ):
            with self.subTest(name):
                world = World((0.5, OWN), (0.5, OWN))
                gate = _Gate(has_room)
                route = test_forwarder.make_route(IDEMPOTENT)
                routes = [route, route if has_route else None]
                world.begin(
                    gate=gate,
                    find_route=lambda found=routes: (
                        found.pop(0) if found else None
                    ),
                )
                world.advance(0.4)
                self.assertEqual(len(world.sent), sends)
                self.assertEqual(len(gate.running), sends)
                world.advance()
                self.assertEqual(gate.running, [])

    def test_budget(self) -> None:
        """Guards against more second attempts than the share."""
        world = World(share=0.1)
        for _ in range(200):
            world.shared.apply_answer("leader/1", 1, None, ())
            world.scripts = [(0.3, OWN)]
            world.begin()
            world.advance(0.5)
        self.assertLessEqual(world.count("started"), 0.1 * 210 + 1)
        self.assertGreaterEqual(world.count("started"), 0.1 * 200 - 1)

    def test_caller_leaves(self) -> None:
        """Guards against work on behalf of a caller that has gone.

        Also guards against blame of the endpoints for it.
        """
        world = World(NEVER, NEVER)
        world.begin(max_attempts=3)
        world.advance(0.1)
        self.assertEqual(len(world.sent), 2)
        world.forwarding.is_abandoned = True
        world.running.cancel()
        self.assertEqual(len(world.closed), 2)
        world.advance()
        self.assertEqual(len(world.sent), 2)
        self.assertEqual(world.forwarding.may_have_run_since, world.began_at)
        self.assertEqual(world.picker._health, {})
        self.assertEqual(len(world.suspects), 0)
        self.assertEqual(world.picker._in_flight, {})
        self.assertEqual(world.count("cancelled"), 1)

    def test_process_stands_still(self) -> None:
        """Guards against a burst when a process that was stopped goes on."""
        for name, stopped_s, script in (
            ("answers are there", 0.5, (0.1, OWN)),
            ("deadline has passed", 3.0, NEVER),
        ):
            with self.subTest(name):
                world = World(script)
                world.begin()
                world.reactor.advance(stopped_s)
                world.advance(0.5)
                self.assertEqual(world.count("started"), 0)
                self.assertEqual(len(world.sent), 1)


class ScorerCallTest(unittest.TestCase):
    """Second attempts of scorer calls keep to the admission of the leader."""

    def test_stuck_endpoint(self) -> None:
        """Guards against calls in the reserve, and a step that one delays.

        Of ten endpoints with six slots, one ends no call. Its four calls are
        considered after 256 ms, while the others are full, and after 512 ms.
        """
        world = test_scorer_admission.World(has_figures=True, second_share=0.1)
        world.endpoints["e0"].is_frozen = True
        world.shared.hold_latencies(
            (gateway.RouteLatency("service", "scorer", (60, 64, 64, 64)),)
        )
        world.end_items(60)
        world.run(4.0)
        self.assertEqual(len(world.graded), 60)
        self.assertLess(max(world.graded.values()), 0.75)
        self.assertEqual(world.most_calls(), 4)
        self.assertEqual(world.in_flight(), 0)
        self.assertEqual(world.meters.second_attempts.value("won"), 4)


class CancelledAttemptTest(unittest.TestCase):
    """A cancelled attempt is no failure, but counts as a time and a cost."""

    def test_records(self) -> None:
        """Guards against endpoints and requests that cancellations blame."""
        world = World(NEVER, (0.1, OWN))
        world.begin()
        world.advance()
        first, second = (endpoint for _, endpoint in world.sent)
        self.assertEqual(world.picker._health, {})
        self.assertEqual(len(world.suspects), 0)
        self.assertEqual(world.forwarding.may_have_run_since, world.began_at)
        (event, fields), *others = world.events
        self.assertEqual(others, [])
        self.assertEqual(event, "request.second_attempt")
        self.assertEqual((fields["first"], fields["second"]), (first, second))
        self.assertEqual(fields["outcome"], "won")
        cost = world.meters.cancelled_seconds.value("first")
        self.assertAlmostEqual(cost, DELAY_S + 0.1, delta=0.003)
        by_name = {one.endpoint: one for one in world.shared.take_samples()}
        self.assertEqual(by_name[_as_any(first)].times, {})
        self.assertEqual(len(by_name[_as_any(first)].cut_times), 1)
        self.assertEqual(len(by_name[_as_any(second)].times), 1)

    def test_short_attempts(self) -> None:
        """Guards against usual times that fall with each cancellation."""
        world = World((DELAY_S + 0.01, OWN), NEVER)
        world.begin()
        world.advance()
        (sample,) = world.shared.take_samples()
        self.assertEqual(sample.cut_times, {})
        self.assertEqual(world.count("lost"), 1)


class OffTest(unittest.TestCase):
    """Without the setting, requests and messages are as before."""

    def test_requests(self) -> None:
        """Guards against other deadlines and draws where it is not set."""
        world = World(NEVER, FAST, share=0.0)
        world.begin()
        world.advance()
        first, second = (sent_at for sent_at, _ in world.sent)
        self.assertEqual(first, 0.0)
        self.assertAlmostEqual(second, 1.0, delta=0.0021)
        self.assertEqual(world.deadlines, [1.0, 2.0])
        self.assertEqual(
            [event for event, _ in world.events], ["request.attempt"]
        )
        self.assertNotIn(
            "banyanbank_second_attempts_total{", world.meters.registry.render()
        )

    def test_messages(self) -> None:
        """Guards against polls that grow where it is not set."""
        for share in (0.0, 0.5):
            world = World((0.01, OWN), *[(0.01, FULL)] * 9, share=share)
            for _ in range(2):
                world.begin()
                world.advance()
            taken = world.shared.take_samples()
            encoded = _messages.CODEC.encode(
                _messages.SyncRequest("entry", 1, "", 0, (), samples=taken)
            )
            self.assertEqual(b"rejections" in encoded, share > 0)
            self.assertNotIn(b"cut_times", encoded)
            self.assertEqual(_messages.CODEC.decode(encoded).samples, taken)


class LatencyTest(unittest.TestCase):
    """The leader sends usual times if it is set to, unless it is overloaded."""

    def test_figures(self) -> None:
        process = test_shared_endpoints.Process()
        node = types.SimpleNamespace(epoch=1)
        for sends in (False, True):
            source = _figure_source.FigureSource(
                process.clock,
                _as_any(types.SimpleNamespace(node=node)),
                process.shared,
                _as_any(types.SimpleNamespace(write=lambda *_, **__: None)),
                sends,
            )
            source.tick()
            for full, is_known in (
                ((), True),
                (("e0",), True),
                (("e0", "e1"), False),
                ((), True),
            ):
                process.clock.advance(5.1)
                log = gateway.SampleLog()
                for target in test_shared_endpoints.make_directory(2).all():
                    for _ in range(60):
                        log.record_success(target, "route", 0.025)
                    if target.endpoint in full:
                        log.record_rejection(target, "route")
                source.add("entry-1", log.take())
                source.tick()
                encoded = source.encode(True) or b""
                part = _messages.CODEC.decode(encoded)
                self.assertEqual(bool(part.latencies), sends and is_known)
                self.assertEqual(
                    process.shared.find_latency("app", "route") is not None,
                    sends and is_known,
                )

    def test_age(self) -> None:
        """Guards against times of long ago, and none at a new leader."""
        for name, source, age_s, is_known in (
            ("same leader", "leader/1", 59.0, True),
            ("new leader", "leader/2", 59.0, True),
            ("new leader, later", "leader/2", 61.0, False),
            ("no leader", "", 61.0, False),
        ):
            with self.subTest(name):
                world = World()
                if source:
                    world.shared.apply_answer(source, 2, None, ())
                world.reactor.advance(age_s)
                found = world.shared.find_latency("app", "route")
                self.assertEqual(found is not None, is_known)


@attrs.define
class _Gate:
    """Gate that has room for one attempt, or for all."""

    is_open: bool
    running: list[str] = attrs.Factory(list)

    async def wait_for_room(self, *rest: typing.Any) -> float | None:
        """Does not wait."""
        del rest
        return None

    def has_room(self, target: gateway.Announcement) -> bool:
        """Whether an attempt may go to an endpoint."""
        return target.endpoint not in self.running and (
            self.is_open or not self.running
        )

    def started(self, target: gateway.Announcement) -> None:
        """Records the start of an attempt."""
        self.running.append(target.endpoint)

    def ended(self, target: gateway.Announcement) -> None:
        """Records the end of an attempt."""
        self.running.remove(target.endpoint)


def _as_any(value: object) -> typing.Any:
    return value


if __name__ == "__main__":
    unittest.main()
