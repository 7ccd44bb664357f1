"""Tests of which received headers reach an endpoint, on each way there."""

import collections
import inspect
import json
import pathlib
import types
import typing
import unittest

import attrs
import banyanbank_base as base
import banyanbank_gateway as gateway
import banyanbank_jobs as jobs
import banyanbank_node as node
from banyanbank_node import _endpoint_requests
from banyanbank_platform import _wire_protocol
import banyanbank_web as web

from tests import support
from tests.gateway import samples
from tests.platform import deployment

ROOT = pathlib.Path(__file__).resolve().parents[2]

KEY = "key-1234567890"
OTHER_KEY = "key-0987654321"
ACCOUNT = base.AccountId("account-1")
HOST = "host.example"
TARGET = samples.make_announcement("e1")
WIRE = _wire_protocol.PlatformWireProtocol(None)
BODY = b"0\r\n\r\nPOST /smuggled HTTP/1.1\r\n\r\n"

FORWARDED = (
    ("X-Banyanbank-Model", "model"),
    ("X-Banyanbank-Token-Usage", "540,400"),
    ("X-Banyanbank-Prompt-Prefix", "9c2e41:300"),
    ("X-Banyanbank-Length-Hint", "20"),
    ("Accept", "*/*"),
    ("X-Own", "value with Token, but without a key"),
)
"""Headers that reach the endpoint unchanged."""

DROPPED = (
    ("another tenant", "X-Banyanbank-Tenant", "account-2"),
    ("another tenant, in upper case", "X-BANYANBANK-TENANT", "account-2"),
    ("another tenant, in lower case", "x-banyanbank-tenant", "account-2"),
    ("another tenant, underscores", "X_Banyanbank_Tenant", "account-2"),
    ("the key", "Authorization", f"Token {KEY}"),
    ("the key, in upper case", "AUTHORIZATION", f"TOKEN {KEY}"),
    ("the key for a proxy", "Proxy-Authorization", f"Token {KEY}"),
    ("the key in another header", "X-Api-Key", KEY),
    ("another key of the account", "X-Api-Key", OTHER_KEY),
    ("a transfer coding", "Transfer-Encoding", "chunked"),
    ("a transfer coding, mixed case", "tRANSFER-eNCODING", "chunked"),
    ("a length", "Content-Length", "5"),
    ("a length, underscore", "Content_Length", "5"),
    ("an expectation", "Expect", "100-continue"),
    ("a connection option", "Connection", "close, X-Hop"),
    ("what that option names", "X-Hop", "1"),
    ("keep-alive", "Keep-Alive", "timeout=5"),
    ("a proxy's connection", "Proxy-Connection", "close"),
    ("transfer codings", "TE", "trailers"),
    ("a trailer", "Trailer", "Expires"),
    ("an upgrade", "Upgrade", "h2c"),
    ("another host", "Host", "other.example"),
    ("another id", "X-Banyanbank-Request-Id", "other"),
    ("another deadline", "X-Banyanbank-Deadline-Ms", "999999"),
    ("another endpoint", "X-Banyanbank-Expect-Instance", "e2"),
    ("a leader", "X-Banyanbank-Lease-Holder", "store-1"),
    ("a fencing token", "X-Banyanbank-Fencing-Token", "99"),
    ("a priority", "X-Banyanbank-Request-Priority", "0"),
    ("a reservation", "X-Banyanbank-Hold", "h1"),
    ("pinned memory", "X-Banyanbank-Pin-Ms", "4000"),
    ("a backup", "X-Banyanbank-Kv-Backup", "10.0.0.9:80"),
    ("memory of a request", "Kv-From", "10.0.0.9:80/h1"),
    ("memory of an endpoint", "Kv-Fetch", "10.0.0.9:80"),
    ("a line break", "X-Break", "a\r\nX-Banyanbank-Tenant: account-2"),
    ("a name that is no token", "X Own", "value"),
    ("a name with a colon", "X-Own:", "value"),
)
"""Headers that must not reach the endpoint as received: name, header."""

RECEIVED = FORWARDED + tuple((name, value) for _, name, value in DROPPED)


@attrs.frozen
class Way:
    """A way on which requests reach endpoints."""

    builder: str
    """Method of the wire protocol that builds them."""
    request: node.EndpointRequest
    """Request with all the headers that its sender may bring along."""
    stated: dict[str, str]
    """Headers that this system states."""
    forwards: bool = False
    """Whether the sender may bring headers along."""


def make_caller_request(headers: tuple[tuple[str, str], ...]) -> typing.Any:
    """Returns a request with headers as `web.Exchange` reads them."""
    return node.CallerRequest(
        "r1",
        "POST",
        HOST,
        "/plain/",
        "/plain/",
        tuple((name.lower(), value) for name, value in headers),
        BODY,
        KEY,
        2.0,
    )


def make_item(*, last_event: int | None) -> jobs.ItemProgress:
    """Returns an item with hostile headers, at the given event of its text."""
    headers = (*RECEIVED, ("Last-Event-Id", "99"))
    spec = jobs.JobItem("r1", "/jobs/x", headers, BODY, 100)
    job = jobs.Job(
        "j", ACCOUNT, HOST, "/jobs/", (spec,), 0.0, 10.0, 40.0, 3, priority=2
    )
    item = jobs.ItemProgress(job, spec)
    if last_event is not None:
        item.text.append(jobs.StreamEvent(last_event, "piece", None))
    return item


def make_ways() -> dict[str, Way]:
    """Returns each way on which a request reaches an endpoint, by name."""
    common = {
        "host": HOST,
        "x-banyanbank-request-id": "r1",
        "x-banyanbank-deadline-ms": "1000",
        "x-banyanbank-expect-instance": "e1",
    }
    own = common | {"x-banyanbank-tenant": ACCOUNT}
    engine = {"x-banyanbank-expect-instance": "e1"}
    plain = make_caller_request(RECEIVED)
    scorer = WIRE.grade(jobs.ScorerCall("r1", HOST, "/score/", BODY), 2.0)
    authority = node.Authority("store-1", 3)

    def forward(
        req: node.CallerRequest, account: base.AccountId | None
    ) -> node.EndpointRequest:
        return WIRE.build_forward_request(req, account, TARGET, 2.0, 1.0, True)

    def run(
        item: jobs.ItemProgress, states_priority: bool
    ) -> node.EndpointRequest:
        return WIRE.build_item_request(item, TARGET, 2.0, 1.0, states_priority)

    first, resumed = make_item(last_event=None), make_item(last_event=7)
    return {
        "request of a caller": Way(
            "build_forward_request", forward(plain, ACCOUNT), own, True
        ),
        "scorer call": Way(
            "build_forward_request", forward(scorer, None), common
        ),
        "item": Way("build_item_request", run(first, False), own, True),
        "item with a priority": Way(
            "build_item_request",
            run(first, True),
            own | {"x-banyanbank-request-priority": "2"},
            True,
        ),
        "item that is resumed or moved": Way(
            "build_item_request",
            run(resumed, False),
            own | {"last-event-id": "7"},
            True,
        ),
        "report": Way(
            "build_report_request",
            WIRE.build_report_request(TARGET, 2.0),
            engine,
        ),
        "order": Way(
            "build_load_request",
            WIRE.build_load_request(
                jobs.LoadOrder(TARGET.endpoint, "model", 2),
                TARGET,
                authority,
                0,
                lambda: True,
                2.0,
            ),
            engine | {"content-type": "application/json"},
        ),
    }


def compose(
    req: node.EndpointRequest,
) -> tuple[web.UpstreamRequest, list[dict[str, typing.Any]]]:
    """Returns the request as it is sent, and the logged events."""
    logged: list[dict[str, typing.Any]] = []
    events: typing.Any = types.SimpleNamespace(
        write=lambda event, **fields: logged.append({"event": event} | fields)
    )
    table = gateway.RouteTable(
        gateway.Document(
            1,
            (),
            {},
            gateway.Limits(),
            {KEY: ACCOUNT, OTHER_KEY: ACCOUNT, "k": ACCOUNT},
        )
    )
    composer = _endpoint_requests.RequestComposer(WIRE, lambda: table, events)
    return composer.compose(TARGET, req), logged


class EndpointHeadersTest(unittest.TestCase):
    """Endpoints get what the system states, and nothing that denies it.

    Guards against items that named another tenant, brought the key, or framed
    a second request in their body (UNASKED).
    """

    def test_each_builder_has_a_way(self) -> None:
        """Guards against a new kind of request that this table leaves out."""
        builders = {
            name
            for name, method in inspect.getmembers(
                node.WireProtocol, inspect.isfunction
            )
            if "EndpointRequest" in str(inspect.signature(method))
        }
        covered = {way.builder for way in make_ways().values()}
        self.assertEqual(covered, builders)

    def test_only_the_composer_makes_requests_to_endpoints(self) -> None:
        """Guards against a request whose headers nobody has composed."""
        found: collections.Counter[str] = collections.Counter()
        for folder in ("packages/node/src", "platform/src"):
            for path in (ROOT / folder).rglob("*.py"):
                count = path.read_text("utf-8").count("UpstreamRequest(")
                found.update({path.stem: count} if count else {})
        # The wire protocol's are usage reports and orders of engines, which go
        # to the platform.
        self.assertEqual(found, {"_endpoint_requests": 1, "_wire_protocol": 2})

    def test_what_reaches_an_endpoint(self) -> None:
        for name, way in make_ways().items():
            sent, _ = compose(way.request)
            by_name: dict[str, list[str]] = {}
            for header, value in sent.headers:
                by_name.setdefault(header.lower(), []).append(value)
            with self.subTest(name, header="stated"):
                for header, value in way.stated.items():
                    self.assertEqual(by_name.pop(header, None), [value])
            with self.subTest(name, header="forwarded"):
                left = [
                    (header, value)
                    for header, values in by_name.items()
                    for value in values
                ]
                expected = [
                    (header.lower(), value)
                    for header, value in FORWARDED
                    if way.forwards
                ]
                self.assertEqual(sorted(left), sorted(expected))

    def test_each_dropped_header_alone(self) -> None:
        """Guards against a header that is dropped beside another one only."""
        received = [
            *(
                (name, ((header, value),))
                for name, header, value in DROPPED
                if name != "what that option names"
            ),
            ("what an option names", (("Connection", "X-Hop"), ("X-Hop", "1"))),
            ("an event", (("LAST-EVENT-ID", "99"),)),
        ]
        for way in ("item", "item that is resumed or moved"):
            req = make_ways()[way].request
            wanted, _ = compose(attrs.evolve(req, received=()))
            for name, headers in received:
                with self.subTest(way, header=name):
                    sent, logged = compose(attrs.evolve(req, received=headers))
                    self.assertEqual(sent, wanted)
                    (event,) = logged
                    self.assertEqual(
                        event,
                        {
                            "event": "request.headers_dropped",
                            "request": "r1",
                            "account": ACCOUNT,
                            "endpoint": "e1",
                            "names": sorted(header for header, _ in headers),
                        },
                    )

    def test_last_event_of_a_caller(self) -> None:
        """Guards against a caller's resumption that begins anew."""
        resumption = ("last-event-id", "3")
        req = make_ways()["request of a caller"].request
        sent, logged = compose(attrs.evolve(req, received=(resumption,)))
        self.assertIn(resumption, sent.headers)
        self.assertEqual(logged, [])

    def test_log_of_a_caller(self) -> None:
        """Guards against a line for each request, and against none."""
        usual = (
            ("host", HOST),
            ("authorization", f"Token {KEY}"),
            ("x-banyanbank-request-id", "r1"),
            ("x-banyanbank-deadline-ms", "2000"),
            ("content-length", "5"),
            ("connection", "close"),
        )
        req = make_ways()["request of a caller"].request
        for name, header, is_logged in (
            ("usual headers alone", (), False),
            ("another tenant", (("x-banyanbank-tenant", "a"),), True),
            ("a key elsewhere", (("x-api-key", KEY),), True),
        ):
            with self.subTest(name):
                received = (*usual, *header)
                _, logged = compose(attrs.evolve(req, received=received))
                self.assertEqual(bool(logged), is_logged)
                self.assertNotIn(KEY, str(logged))

    def test_short_keys(self) -> None:
        """Guards against values that contain a short key by chance."""
        req = make_ways()["item"].request
        sent, logged = compose(
            attrs.evolve(req, received=(("X-Own", "a k b"),))
        )
        self.assertIn(("X-Own", "a k b"), sent.headers)
        self.assertEqual(logged, [])

    def test_item_on_the_wire(self) -> None:
        """Guards against a client library that adds what was removed."""

        async def scenario(system: deployment.Deployment) -> None:
            await system.configure()
            job = json.loads(deployment.make_job(1))
            (spec,) = job["requests"]
            # Names of JSON objects are unique but for their case.
            spec["headers"] = {
                header: value
                for _, header, value in DROPPED
                if "\n" not in value and " " not in header and ":" not in header
            }
            reply = await system.call_front(
                "POST",
                "/jobs/x",
                json.dumps(job).encode(),
                x_banyanbank_request_id="job-1",
            )
            self.assertEqual(reply.status, 202)
            await support.until(lambda: bool(system.engine.resumed_after))
            request = next(
                request
                for request in system.engine.requests
                if request.path == spec["path"].encode()
            )
            got = {
                name.lower(): values
                for name, values in request.requestHeaders.getAllRawHeaders()
            }
            self.assertEqual(got[b"x-banyanbank-tenant"], [b"account-1"])
            self.assertEqual(got[b"host"], [b"host.example"])
            self.assertEqual(len(got[b"content-length"]), 1)
            for name in (b"authorization", b"transfer-encoding", b"x-hop"):
                self.assertNotIn(name, got)

        deployment.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
