"""Bad input of any kind is refused clearly, and the instance goes on."""

import json
import typing
import unittest

import hypothesis
from hypothesis import strategies
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol

from tests import support
from tests.scenarios import world as world_module

OK = 200
BAD = 400
UNAUTHENTICATED = 401
CHAT = "/v1/chat/completions"
GROUPS = "/v1/rollouts/folds/groups"
HUGE = 9 * 1024 * 1024
FUZZ_EXAMPLES = 40

JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=8,
)
FIELDS = (
    "model",
    "messages",
    "prompt",
    "max_tokens",
    "stream",
    "n",
    "step",
    "group",
    "version",
    "size_bytes",
    "endpoint",
    "incarnation",
    "sequence",
    "kind",
    "url",
    "failure_domain",
    "models",
    "slots",
    "first_sequence",
    "events",
    "load",
    "running",
)


class _Reader(protocol.Protocol):
    """Gathers what a raw connection answers until it is closed."""

    def __init__(self) -> None:
        self.data = b""
        self.closed: defer.Deferred[bytes] = defer.Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.data += data

    def connectionLost(self, reason: typing.Any = None) -> None:  # noqa: N802
        self.closed.callback(self.data)


class BadInputTest(unittest.TestCase):
    """One instance for all cases; it must serve after each."""

    world: world_module.World

    @classmethod
    def setUpClass(cls) -> None:
        cls.world = world_module.World(1)

        async def play() -> None:
            await cls.world.start()
            answer = await cls.world.apply(
                world_module.sheet(), x_expect_revision="0"
            )
            assert answer.status == OK, answer
            await cls.world.create_key("tesfaye")

        support.run_async(play)

    @classmethod
    def tearDownClass(cls) -> None:
        support.run_async(cls.world.stop)

    async def _serves(self) -> bool:
        answer = await self.world.call("i1", "tesfaye", "GET", "/v1/models")
        return answer.status == OK

    async def _send_raw(self, data: bytes) -> bytes:
        from twisted.internet import reactor

        port = self.world.sites["i1"].settings.caller_port
        endpoint = endpoints.TCP4ClientEndpoint(reactor, "127.0.0.1", port)
        reader = _Reader()
        await endpoints.connectProtocol(endpoint, reader)
        assert reader.transport is not None
        reader.transport.write(data)
        return await reader.closed

    def test_malformed_http(self) -> None:
        host = b"host: 127.0.0.1\r\nconnection: close\r\n"
        table: list[tuple[str, bytes, tuple[bytes, ...]]] = [
            ("garbage", b"\x00\xff\r\n\r\n", (b"400", b"")),
            ("no version", b"GET /\r\n\r\n", (b"400", b"")),
            ("bad header", b"GET / HTTP/1.1\r\nx\r\n\r\n", (b"400",)),
            (
                "two lengths",
                b"POST / HTTP/1.1\r\n" + host + b"content-length: 1\r\n"
                b"content-length: 2\r\n\r\nab",
                (b"400",),
            ),
            (
                "length no number",
                b"POST / HTTP/1.1\r\n" + host + b"content-length: x\r\n\r\n",
                (b"400",),
            ),
            (
                "many headers",
                b"GET / HTTP/1.1\r\n" + host + b"x: y\r\n" * 200 + b"\r\n",
                (b"400", b""),
            ),
            (
                "bad chunk",
                b"POST / HTTP/1.1\r\n" + host + b"transfer-encoding: chunked"
                b"\r\n\r\nzz\r\n",
                (b"400",),
            ),
            (
                "too large",
                b"POST /v1/completions HTTP/1.1\r\n"
                + host
                + f"content-length: {HUGE}\r\n\r\n".encode()
                + b"a" * HUGE,
                (b"413",),
            ),
            (
                "too large in chunks",
                b"POST /v1/completions HTTP/1.1\r\n"
                + host
                + b"transfer-encoding: chunked\r\n\r\n"
                + f"{HUGE:x}\r\n".encode()
                + b"a" * HUGE
                + b"\r\n0\r\n\r\n",
                (b"413",),
            ),
        ]
        for name, data, statuses in table:
            with self.subTest(name):

                async def play(data: bytes = data) -> bytes:
                    answered = await self._send_raw(data)
                    self.assertTrue(await self._serves())
                    return answered

                answered = support.run_async(play)
                status = answered[9:12] if answered else b""
                self.assertIn(status, statuses, answered[:200])

    def test_bodies(self) -> None:
        table: list[tuple[str, bytes]] = [
            (CHAT, b""),
            (CHAT, b"\xff"),
            (CHAT, b"[" * 100_000),
            (CHAT, b"[]"),
            (CHAT, b'{"model": 1}'),
            (CHAT, b'{"model": "coach"}'),
            (CHAT, b'{"model": "coach", "messages": [1]}'),
            (
                CHAT,
                b'{"model": "coach", "messages": [{"role": "user"}],'
                b' "max_tokens": true}',
            ),
            (
                CHAT,
                b'{"model": "coach", "messages": [{"role": "user"}],'
                b' "max_tokens": -1}',
            ),
            (
                CHAT,
                b'{"model": "coach", "messages": [{"role": "user"}],'
                b' "stream": "yes"}',
            ),
            (GROUPS, b'{"step": -1, "group": 0, "prompt": "x"}'),
            (GROUPS, b'{"step": 1e400, "group": 0, "prompt": "x"}'),
            (GROUPS, b'{"step": 1, "group": 99999999999, "prompt": "x"}'),
            (GROUPS, b'{"step": 1, "group": 0, "prompt": 7}'),
            ("/v1/rollouts/folds/versions", b'{"version": 0}'),
            ("/v1/rollouts/folds/versions", b'{"version": NaN}'),
            ("/v1/rollouts/folds/steps/x/cancel", b""),
            ("/v1/rollouts/folds/batches/%00/acknowledge", b""),
        ]
        for path, body in table:
            with self.subTest(path=path, body=body[:60]):

                async def play(
                    path: str = path, body: bytes = body
                ) -> typing.Any:
                    caller = self.world.caller(
                        "i1", self.world.secrets["tesfaye"]
                    )
                    answer = await caller.call("POST", path, body=body)
                    self.assertTrue(await self._serves())
                    return answer

                answer = support.run_async(play)
                self.assertIn(answer.status, (400, 404, 409), answer)
                self.assertEqual(answer.document["outcome"], "not run")

    def test_reports(self) -> None:
        event = {"block": "b", "stored": True}
        table: list[tuple[str, dict[str, typing.Any], int]] = [
            ("nothing new", {}, OK),
            ("events", {"first_sequence": 7, "events": [event]}, OK),
            ("load", {"load": {"running": 1, "age_ms": 900}}, OK),
            ("unknown engine", {"endpoint": "nobody"}, OK),
            ("no engine", {"endpoint": ""}, BAD),
            ("no life", {"incarnation": None}, BAD),
            ("events unnumbered", {"events": [event]}, BAD),
            ("no list", {"first_sequence": 0, "events": {}}, BAD),
            ("no event", {"first_sequence": 0, "events": [1]}, BAD),
            ("no block", {"first_sequence": 0, "events": [{}]}, BAD),
            (
                "neither stored nor evicted",
                {"first_sequence": 0, "events": [{"block": "b"}]},
                BAD,
            ),
            (
                "long block",
                {"first_sequence": 0, "events": [event | {"block": "b" * 65}]},
                BAD,
            ),
            ("many", {"first_sequence": 0, "events": [event] * 4_097}, BAD),
            ("negative", {"first_sequence": -1}, BAD),
            ("no load", {"load": 3}, BAD),
            ("load uncounted", {"load": {"waiting": 1}}, BAD),
            ("from the future", {"load": {"running": 1, "age_ms": -1}}, BAD),
        ]
        token = world_module.SECRETS.announce_token
        cases = [
            (name, fields, token, status) for name, fields, status in table
        ]
        wrong_token = self.world.secrets["tesfaye"]
        cases.append(("no credential", {}, "", UNAUTHENTICATED))
        cases.append(("a caller's key", {}, wrong_token, UNAUTHENTICATED))
        for name, fields, secret, status in cases:
            with self.subTest(name):
                document = {"endpoint": "engine-1", "incarnation": 1, **fields}
                caller = self.world.caller("i1", secret)
                answer = support.run_async(
                    lambda caller=caller, document=document: caller.call(
                        "POST", "/endpoint/report", document
                    )
                )
                self.assertEqual(answer.status, status, answer)
                self.assertTrue(support.run_async(self._serves))

    def test_headers_and_queries(self) -> None:
        fetch = "/v1/rollouts/folds/steps/1/batch"
        table = [
            ("GET", "/v1/models", {"x_deadline_ms": "soon"}),
            ("GET", f"{fetch}?wait_s=-1", {}),
            ("GET", f"{fetch}?wait_s=%F0%9F", {}),
            ("GET", "/v1/rollouts/folds/steps/" + "9" * 400 + "/batch", {}),
            ("GET", "/" + "a" * 9_000, {}),
            ("POST", CHAT, {"x_deadline_ms": "-5"}),
        ]
        for method, path, headers in table:
            with self.subTest(path=path[:60]):

                async def play(
                    method: str = method,
                    path: str = path,
                    headers: dict[str, str] = headers,
                ) -> typing.Any:
                    answer = await self.world.call(
                        "i1", "tesfaye", method, path, **headers
                    )
                    self.assertTrue(await self._serves())
                    return answer

                answer = support.run_async(play)
                if path != "/v1/models":
                    self.assertIn(answer.status, (400, 404), answer)

    @hypothesis.settings(
        max_examples=FUZZ_EXAMPLES, derandomize=True, deadline=None
    )
    @hypothesis.given(
        strategies.sampled_from(
            (
                CHAT,
                "/v1/completions",
                GROUPS,
                "/v1/rollouts/folds/versions",
                "/endpoint/announce",
                "/endpoint/leave",
                "/endpoint/report",
            )
        ),
        strategies.dictionaries(
            strategies.sampled_from(FIELDS), JSON_VALUES, max_size=10
        ),
    )
    def test_any_json(self, path: str, document: typing.Any) -> None:
        async def play() -> typing.Any:
            secret = self.world.secrets["tesfaye"]
            if path.startswith("/endpoint"):
                secret = world_module.SECRETS.announce_token
            caller = self.world.caller("i1", secret)
            body = json.dumps(document).encode()
            # A caller that will not wait: a well-formed call finds no engine.
            answer = await caller.call(
                "POST", path, body=body, x_deadline_ms="50"
            )
            self.assertTrue(await self._serves())
            return answer

        answer = support.run_async(play)
        self.assertNotEqual(answer.status, 500, answer)
