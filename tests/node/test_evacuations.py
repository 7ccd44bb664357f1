"""Tests of what is held back from endpoints of evacuated failure domains."""

import ast
import pathlib
import types
import typing
import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
from banyanbank_node import _endpoint_limits
from banyanbank_node import _endpoint_sender
from banyanbank_node import _engine_table
from banyanbank_node import _entry_evacuations
from banyanbank_node import _evacuation_orders
from banyanbank_node import _load_duty
from banyanbank_node import _messages
from banyanbank_node import _ports
from banyanbank_node import _store_calls
from banyanbank_node import _store_client
import banyanbank_web as web
from returns import result
from twisted.internet import defer
from twisted.internet import task

from tests.gateway import samples
from tests.jobs import samples as job_samples
from tests.node import running

ROOT = pathlib.Path(__file__).parents[2]
STORE = base.InstanceId("127.0.1.1:7000")
ZONE, OTHER_ZONE = map(base.FailureDomain, ("zone-a", "zone-b"))

HTTP_CLIENT_NAMES = {"Upstream", "upstream", "_upstream", "ip_agent", "Agent"}
"""Names by which a module can reach an HTTP client."""

HTTP_CLIENT_MODULES = {
    "_endpoint_sender": "sends to endpoints and asks whether it may",
    "_usage_duty": "reports to the platform",
    "_capacity_duty": "orders engines from the platform",
    "_node": "makes the client",
    "_entry": "passes it to the sender",
    "_store": "passes it to the sender and to the two duties",
}

_Any = typing.Any


def evacuate(*domains: base.FailureDomain) -> gateway.Evacuations:
    """Returns the state in which domains are evacuated."""
    state = gateway.Evacuations()
    for domain in domains:
        state = state.evacuate(domain)
    return state


def make_endpoint(
    name: str, domain: base.FailureDomain = ZONE
) -> gateway.Announcement:
    """Returns the announcement of an engine with version 1 of a model."""
    return attrs.evolve(
        samples.make_announcement(name),
        service="engines",
        domain=domain,
        address=f"10.0.0.1:{name}",
        models=(gateway.LoadedModel("m", 1),),
    )


def start(coroutine: _Any) -> list[_Any]:
    """Runs a coroutine; returns a list that gets its result."""
    got: list[_Any] = []
    defer.ensureDeferred(coroutine).addBoth(got.append)
    return got


def make_poll(
    answer: _messages.SyncAnswer, evacuation_revision: int
) -> _messages.SyncRequest:
    """Returns a poll that lacks nothing of an answer but its evacuations."""
    return _messages.SyncRequest(
        "e",
        0,
        answer.directory_of,
        answer.directory_revision,
        (),
        evacuation_revision=evacuation_revision,
        limits_revision=answer.limits_revision,
        condemned_revision=answer.condemned_revision,
    )


class SenderTest(unittest.TestCase):
    """The decision is taken when a request is sent."""

    def test_which_endpoints_are_sent_to(self) -> None:
        for name, state, is_sent in (
            ("no evacuation", gateway.Evacuations(), True),
            ("another domain", evacuate(OTHER_ZONE), True),
            ("its domain", evacuate(ZONE), False),
            ("its domain and another", evacuate(OTHER_ZONE, ZONE), False),
            ("readmitted", evacuate(ZONE).readmit(ZONE, 1.0), True),
        ):
            with self.subTest(name):
                sent: list[_Any] = []

                async def send(
                    req: _Any, sent: list[_Any] = sent
                ) -> result.Result[str, web.UpstreamError]:
                    sent.append(req)
                    return result.Success("answer")

                client: _Any = types.SimpleNamespace(send=send)
                sender = _endpoint_sender.EndpointSender(
                    client, lambda state=state: state, running.COMPOSER
                )
                target = make_endpoint("1")
                req: _Any = "request"
                self.assertEqual(sender.may_send(target), is_sent)
                (got,) = start(sender.send(target, req))
                self.assertEqual(sent, ["request"] * is_sent)
                if not is_sent:
                    self.assertIs(got.failure().outcome, base.Outcome.NOT_RUN)
                    self.assertTrue(got.failure().is_withheld)

    def test_only_listed_modules_use_the_http_client(self) -> None:
        """Guards against a new path that does not ask for evacuations."""
        found = set()
        for folder in ("packages/node/src", "platform/src"):
            for path in (ROOT / folder).rglob("*.py"):
                nodes = ast.walk(ast.parse(path.read_text("utf-8")))
                names = {
                    getattr(one, "attr", getattr(one, "id", None))
                    for one in nodes
                    if isinstance(one, ast.Attribute | ast.Name)
                }
                if names & HTTP_CLIENT_NAMES:
                    found.add(path.stem)
        self.assertEqual(found, set(HTTP_CLIENT_MODULES))


class EngineTest(unittest.TestCase):
    """Engines of an evacuated domain get neither items nor orders."""

    def setUp(self) -> None:
        self.clock = base.ManualClock(10.0)
        self.reactor = task.Clock()
        self.ledger = jobs.Ledger()
        self.directory = gateway.Directory()
        self.sent: list[tuple[str, str]] = []
        self.ordered = False
        self.logged: list[str] = []
        self.withholds = False
        engine = gateway.Service(
            "engines", 10, gateway.EngineShape(8, 1000, ()), None
        )
        document = gateway.Document(
            1,
            (running.make_rollout_route(gateway.Target("engines", 1.0)),),
            {"engines": engine},
            gateway.Limits(),
            None,
        )
        stored: _Any = types.SimpleNamespace(
            ledger=self.ledger,
            table=gateway.RouteTable(document),
            node=types.SimpleNamespace(epoch=3),
        )
        events: _Any = types.SimpleNamespace(
            write=lambda event, **_: self.logged.append(event)
        )
        self.engines = _engine_table.EngineTable(self.directory, stored)
        guard: _Any = types.SimpleNamespace(
            may_act=lambda: True, make_permit=lambda epoch: lambda: True
        )
        wire: _Any = self
        self.duty = _load_duty.LoadDuty(
            self.reactor,
            self.clock,
            stored,
            _endpoint_sender.EndpointSender(
                wire, lambda: self.ledger.evacuations, running.COMPOSER
            ),
            wire,
            self.engines,
            "leader",
            events,
            guard,
            lambda: None,
            _endpoint_limits.EndpointLimits(
                self.clock, gateway.SyncedClock(self.clock), events
            ),
            types.SimpleNamespace(observe=lambda *rest: None),  # type: ignore[arg-type]
            types.SimpleNamespace(charge_order=lambda target: None),  # type: ignore[arg-type]
        )
        for name, domain in (("1", ZONE), ("2", OTHER_ZONE)):
            self.directory.apply(make_endpoint(name, domain), 10.0)

    def build_report_request(
        self, target: gateway.Announcement, deadline: float
    ) -> _Any:
        del deadline
        return "report", target.endpoint

    def build_load_request(self, order: jobs.LoadOrder, *rest: object) -> _Any:
        del rest
        return "order", order.endpoint

    async def send(self, req: tuple[str, str]) -> _Any:
        self.sent.append(req)
        if self.withholds and req[0] == "order":
            return result.Failure(
                web.UpstreamError(
                    base.Outcome.NOT_RUN, "withheld", is_withheld=True
                )
            )

        async def read_all(limit: int) -> _Any:
            del limit
            return result.Success(b"")

        return result.Success(
            types.SimpleNamespace(status=200, read_all=read_all)
        )

    def read_response_headers(self, resp: object) -> _Any:
        return _ports.ResponseHeaders("", False, "", None)

    def read_report(self, body: bytes) -> _ports.EngineReport:
        del body
        models = (gateway.LoadedModel("m", 1),)
        return _ports.EngineReport(models, is_busy=False, orders_accepted=0)

    def order(self, command: jobs.Command) -> None:
        """Commits a command."""
        self.ledger.apply(1, jobs.COMMAND_CODEC.encode(command))

    def test_views(self) -> None:
        for name, command, ready in (
            ("none", jobs.ReadmitDomain(ZONE, 1.0), ["1", "2"]),
            ("evacuated", jobs.EvacuateDomain(ZONE), ["2"]),
            ("readmitted", jobs.ReadmitDomain(ZONE, 2.0), ["1", "2"]),
        ):
            with self.subTest(name):
                self.order(command)
                views = self.engines.views()
                self.assertEqual(len(views), 2)
                self.assertEqual(
                    [view.endpoint for view in views if view.is_ready], ready
                )

    def test_orders_to_load_weights(self) -> None:
        """Guards against orders and reports that a load still sends."""
        self.order(jobs.NameVersion("m", 2))
        job = job_samples.make_job("j", model="m", due_at=200.0)
        self.order(jobs.AcceptJob(attrs.evolve(job, least_version=2)))
        self.order(jobs.EvacuateDomain(ZONE))
        self.duty.tick()
        self.assertEqual(self.sent, [("report", "2"), ("order", "2")])
        # Its load is under way when the other domain is evacuated, too.
        self.order(jobs.EvacuateDomain(OTHER_ZONE))
        for _ in range(20):
            self.clock.advance(0.5)
            self.reactor.advance(0.5)
            self.duty.tick()
        self.assertEqual(len(self.sent), 2)
        self.order(jobs.ReadmitDomain(ZONE, 1.0))
        self.duty.tick()
        self.assertEqual(self.sent[2:], [("report", "1"), ("order", "1")])

    def test_order_that_the_leader_withholds(self) -> None:
        """Guards against a delay for an engine that was sent no order.

        Also against a log line by which the order may still be executed.
        """
        self.order(jobs.NameVersion("m", 2))
        job = job_samples.make_job("j", model="m", due_at=200.0)
        self.order(jobs.AcceptJob(attrs.evolve(job, least_version=2)))
        self.order(jobs.EvacuateDomain(ZONE))
        self.withholds = True
        self.duty.tick()
        self.assertEqual(self.sent, [("report", "2"), ("order", "2")])
        self.withholds = False
        self.duty.tick()
        self.assertEqual(self.sent[2:], self.sent[:2])
        self.assertEqual(self.logged, ["weights.load"])


class LeaderTest(unittest.TestCase):
    """A leader takes orders, tells entries, and knows which act on them."""

    def setUp(self) -> None:
        self.clock = base.ManualClock(100.0)
        self.reactor = task.Clock()
        self.reactor.rightNow = 100.0
        self.ledger = jobs.Ledger()
        self.ledger.on_committed = self.note
        self.handlers: dict[str, _Any] = {}
        self.directory = gateway.Directory()
        self.proposed: list[jobs.Command] = []
        self.events: list[dict[str, _Any]] = []
        nothing: _Any = types.SimpleNamespace
        self.node = nothing(
            is_leader=True,
            leader=STORE,
            epoch=1,
            status=lambda: nothing(voters=(), cluster="c1"),
        )
        stored = nothing(
            node=self.node,
            ledger=self.ledger,
            has_lease=True,
            propose=self.propose,
        )
        client = nothing(
            set_local_handler=self.handlers.__setitem__, call=self.call
        )
        true_time = gateway.SyncedClock(self.clock)
        log: _Any = nothing(
            write=lambda event, **kw: self.events.append(kw | {"event": event})
        )
        self.calls = _store_calls.StoreCalls(
            self.reactor,
            self.clock,
            nothing(
                instance=STORE,
                on_call=lambda *_: None,
                on_message=lambda *_: None,
            ),
            client,
            stored,
            self.directory,
            nothing(replace_counts=lambda *_: None),
            true_time,
            log,
            ZONE,
            nothing(known=gateway.KnownLimits()),
            gateway.CrashSuspects(),
            nothing(apply_readmissions=lambda: False),
        )
        self.calls.led_since = 0.0
        self.regions: dict[base.FailureDomain, str] = {}
        self.orders = _evacuation_orders.EvacuationOrders(
            self.clock,
            true_time,
            client,
            self.calls,
            stored,
            self.directory,
            log,
            self.regions,
        )

    def note(self, command: jobs.Command) -> None:
        if isinstance(command, jobs.EvacuateDomain | jobs.ReadmitDomain):
            self.orders.log_committed(command)
            self.calls.note_evacuations()
        else:
            self.calls.note_document(self.ledger.document_number)

    async def propose(self, command: jobs.Command) -> _Any:
        self.proposed.append(command)
        payload = jobs.COMMAND_CODEC.encode(command)
        return result.Success(
            jobs.REPLY_CODEC.decode(self.ledger.apply(1, payload))
        )

    async def call(self, method: str, message: _Any, deadline: float) -> _Any:
        """Lets this store call itself; without an answer, none leads."""
        del deadline
        data = await self.handlers[method](_messages.CODEC.encode(message))
        payload = _messages.CODEC.decode(data).payload
        if payload is None:
            return result.Failure(_store_client.StoreCallError(False, "none"))
        return result.Success(_messages.CODEC.decode(payload))

    def order(self, domain: base.FailureDomain, is_evacuated: bool) -> _Any:
        (got,) = start(self.orders.commit(domain, is_evacuated, 101.0))
        return got

    def poll(self, entry: str, last: _messages.SyncAnswer | None) -> list[_Any]:
        """Polls as an entry that has received an answer, or none."""
        req = _messages.SyncRequest(
            entry=entry,
            document_number=0 if last is None else last.document_number,
            directory_of="" if last is None else last.directory_of,
            directory_revision=0 if last is None else last.directory_revision,
            usage=(),
            answer_issued_at=0.0 if last is None else last.issued_at,
            evacuation_revision=0
            if last is None
            else last.evacuations.revision,
        )
        return start(self.call(_messages.SYNC, req, 0.0))

    def is_settled(self, revision: int) -> bool:
        """Whether all entries in contact act on a revision, as asked now."""
        req = _messages.AwaitEntries(0, 0.0, revision)
        (got,) = start(self.call(_messages.AWAIT_ENTRIES, req, 0.0))
        return bool(got.unwrap().is_settled)

    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.reactor.advance(seconds)

    def test_which_domains_are_known(self) -> None:
        """Guards against 404 for a domain that has or had endpoints."""

        def announce() -> None:
            self.directory.apply(make_endpoint("1"), 100.0)

        def announce_and_withdraw() -> None:
            announce()
            self.directory.withdraw(base.EndpointId("1"), 100.0, 200_000)

        def announce_many() -> None:
            for number in range(gateway.MAX_DOMAINS):
                self.directory.apply(
                    attrs.evolve(
                        make_endpoint(str(number + 2)),
                        domain=base.FailureDomain(f"other-{number}"),
                        address=f"10.0.{number}.2:80",
                    ),
                    100.0,
                )

        def announce_after_many() -> None:
            announce_many()
            announce()

        def announce_after_many_and_withdraw() -> None:
            announce_many()
            announce_and_withdraw()

        def start_leading() -> None:
            self.calls.led_since = 99.0

        unknown = _messages.NotThere()
        for name, prepare, expected in (
            ("nowhere", lambda: None, unknown),
            ("new leader", start_leading, base.Outcome.NOT_RUN),
            ("in the settings", lambda: self.regions.update({ZONE: "r"}), 1),
            ("announced", announce, 1),
            ("its endpoints are gone", announce_and_withdraw, 1),
            ("as many domains as are remembered", announce_many, unknown),
            ("announced after many domains", announce_after_many, 1),
            (
                "its endpoints are gone after many domains",
                announce_after_many_and_withdraw,
                base.Outcome.NOT_RUN,
            ),
        ):
            with self.subTest(name):
                self.setUp()
                prepare()
                self.assertEqual(self.order(ZONE, True), expected)
                self.assertEqual(len(self.proposed), expected == 1)
                self.assertEqual(len(self.events), 1 + (expected == 1))

    def test_repeated_orders(self) -> None:
        """Guards against a repetition that gets another answer."""
        self.regions[ZONE] = "region"
        for name, is_evacuated, expected in (
            ("withdrawal before any order", False, 0),
            ("order", True, 1),
            ("its repetition", True, 1),
            ("withdrawal", False, 2),
            ("its repetition", False, 2),
            ("late repetition of the order", True, 3),
        ):
            with self.subTest(name):
                self.assertEqual(self.order(ZONE, is_evacuated), expected)
        self.assertEqual(
            [e["order"] for e in self.events if e["event"].endswith("mitted")],
            ["evacuate", "readmit", "evacuate"],
        )

    def test_poll_returns_at_a_change(self) -> None:
        """Guards against entries that learn of an order 0.5 s later."""
        self.regions[ZONE] = "region"
        (first,) = self.poll("e", None)
        held = first.unwrap()
        waiting = self.poll("e", held)
        self.assertEqual(waiting, [])
        self.order(ZONE, True)
        (second,) = waiting
        self.assertEqual(second.unwrap().evacuations.domains, (ZONE,))
        self.assertEqual(self.poll("e", second.unwrap()), [])

    def test_newly_formed_cluster(self) -> None:
        """Guards against an entry that keeps what an earlier cluster ordered.

        Its first poll after a failed one states no revision, so that any
        release can read it.
        """
        zone = base.FailureDomain("zone-c")
        earlier = gateway.Evacuations().evacuate(zone).evacuate(ZONE)
        for name, prepare, domains in (
            ("no evacuations yet", lambda: None, ()),
            ("its own", lambda: self.order(OTHER_ZONE, True), (OTHER_ZONE,)),
        ):
            with self.subTest(name):
                self.setUp()
                self.regions[OTHER_ZONE] = "region"
                prepare()
                entry = _entry_evacuations.EntryEvacuations(
                    typing.cast(
                        _Any, types.SimpleNamespace(write=lambda *_, **__: None)
                    )
                )
                (answer,) = self.poll("e", None)
                held = attrs.evolve(
                    answer.unwrap(), evacuations=earlier, cluster="c0"
                )
                entry.apply(held, None)
                entry.polled_revision = 0
                for _ in range(2):
                    req = make_poll(held, entry.polled_revision)
                    waiting = start(self.call(_messages.SYNC, req, 0.0))
                    self.advance(1.0)
                    entry.apply(waiting[0].unwrap(), None)
                self.assertEqual(entry.in_force.domains, domains)
                # The next poll waits again, instead of returning at once.
                req = attrs.evolve(
                    req, evacuation_revision=entry.polled_revision
                )
                self.assertEqual(start(self.call(_messages.SYNC, req, 0.0)), [])

    def test_log_that_lost_orders(self) -> None:
        """Guards against polls without a pause, each answered at once.

        Stores whose disks were restored from a copy count on from an earlier
        revision of the same log, which entries do not adopt.
        """
        self.regions[ZONE] = "region"
        self.order(ZONE, True)
        (answer,) = self.poll("e", None)
        received = answer.unwrap()
        entry = _entry_evacuations.EntryEvacuations(
            typing.cast(
                _Any, types.SimpleNamespace(write=lambda *_, **__: None)
            )
        )
        held = received.evacuations.evacuate(OTHER_ZONE)
        entry.apply(attrs.evolve(received, evacuations=held), None)
        waits = []
        for _ in range(4):
            req = make_poll(received, entry.polled_revision)
            answers = start(self.call(_messages.SYNC, req, 0.0))
            waits.append(not answers)
            self.advance(1.0)
            entry.apply(answers[0].unwrap(), None)
        self.assertEqual(waits, [False, True, True, True])
        self.assertEqual(entry.in_force, held)

    def test_entries_that_hold_up_the_first_evacuation(self) -> None:
        """Guards against an acknowledgement that entries do not act on."""
        self.regions[ZONE] = "region"
        self.assertFalse(self.is_settled(1))
        answers = {name: self.poll(name, None)[0].unwrap() for name in "ab"}
        self.advance(3.0)
        for name in "ab":
            self.poll(name, answers[name])
        self.advance(0.6)
        revision = self.order(ZONE, True)
        self.assertFalse(self.is_settled(revision))
        (newer,) = self.poll("a", answers["a"])
        self.assertFalse(self.is_settled(revision))
        self.advance(0.1)
        self.poll("a", newer.unwrap())
        # The other entry is cut off, and is lost after a while.
        self.assertFalse(self.is_settled(revision))
        self.advance(2.0)
        self.assertTrue(self.is_settled(revision))
        self.assertFalse(self.is_settled(revision + 1))

    def test_new_leader_waits_for_unknown_entries(self) -> None:
        self.regions[ZONE] = "region"
        revision = self.order(ZONE, True)
        self.node.epoch = 2
        self.assertFalse(self.is_settled(revision))
        (answer,) = self.poll("a", None)
        self.advance(1.9)
        self.poll("a", answer.unwrap())
        self.assertFalse(self.is_settled(revision))
        self.advance(0.2)
        self.assertTrue(self.is_settled(revision))

    def test_messages_without_evacuations_are_as_before(self) -> None:
        """Guards against messages that an earlier release cannot read."""
        (answer,) = self.poll("e", None)
        for message in (
            answer.unwrap(),
            _messages.SyncRequest("e", 0, "", 0, ()),
            _messages.AwaitEntries(7, 0.4),
        ):
            with self.subTest(type(message).__name__):
                data = _messages.CODEC.encode(message)
                self.assertNotIn(b"evacuation", data)
                self.assertNotIn(b"cluster", data)


if __name__ == "__main__":
    unittest.main()
