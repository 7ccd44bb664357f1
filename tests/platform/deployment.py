"""Runs a complete deployment on loopback, with fake endpoints."""

import base64
import io
import itertools
import json
import os
import pathlib
import tempfile
import typing

import banyanbank_mesh as mesh
import banyanbank_node as node
from banyanbank_platform import _control
from banyanbank_platform import _front
from banyanbank_platform import _listener
from banyanbank_platform import _settings_file
from banyanbank_platform import _wire_protocol
import banyanbank_web as web
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb

from tests import support
from tests.platform import fakes

STORE_COUNT = 3
CALL_S = 5.0


class Reply(typing.NamedTuple):
    """Response to a request."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        return json.loads(self.body)


class Deployment:
    """Three stores and an entry with an engine and a plain server behind it.

    Further entries can be added to it.

    Attributes:
        cold_ms: Time for which the endpoints announce that they stay cold.
    """

    def __init__(self) -> None:
        from twisted.internet import reactor

        self.reactor: typing.Any = reactor
        self._folder = tempfile.TemporaryDirectory()
        self._null_fd = os.open(os.devnull, os.O_WRONLY)
        self.mesh_port, self.control_port, self.front_port = support.free_ports(
            3
        )
        ports = support.free_ports(3)
        self.engine = fakes.Engine(reactor, "127.0.0.1", ports[0])
        self.server = fakes.PlainServer(reactor, "127.0.0.1", ports[1])
        self.api = fakes.PlatformApi(reactor, "127.0.0.1", ports[2])
        self.stores = [self._make_store(n + 1) for n in range(STORE_COUNT)]
        self.entry = self._make_entry()
        self.further_entries: list[node.Entry] = []
        self.cold_ms = 0
        self._listeners: list[_listener.Listener] = []

    def _make_settings(self, name: str, host: str) -> dict[str, typing.Any]:
        return {
            "node": name,
            "zone": "zone-a",
            "ip": host,
            "listen": {
                "control": f"{host}:{self.control_port}",
                "front": f"{host}:{self.front_port}",
                "ready": f"{host}:{self.front_port + 1}",
            },
            "internal-ports": [self.mesh_port, self.mesh_port],
            "seeds": [
                f"127.0.1.{n + 1}:{self.control_port}"
                for n in range(STORE_COUNT)
            ],
            "bootstrap": True,
            "data-dir": str(pathlib.Path(self._folder.name, name)),
            "bounds": {"grace-s": 3, "window-s": 1},
            "cloud": {
                "address": self.api.address,
                "duties": ["usage_report"],
            },
            "a-field-of-a-later-release": {"is": "ignored"},
        }

    def _load_settings(
        self, name: str, host: str
    ) -> _settings_file.SettingsFile:
        path = pathlib.Path(self._folder.name, f"{name}.json")
        path.write_text(json.dumps(self._make_settings(name, host)))
        return _settings_file.read_settings_file(path)

    def _make_store(self, number: int) -> node.Store:
        settings_file = self._load_settings(
            f"store-{number}", f"127.0.1.{number}"
        )
        return node.Store(
            settings_file.store(),
            self.reactor,
            _wire_protocol.PlatformWireProtocol(settings_file.usage_address),
            self._null_fd,
            lambda: None,
        )

    def _make_entry(self, number: int = 1) -> node.Entry:
        settings_file = self._load_settings(
            f"entry-{number}", f"127.0.2.{number}"
        )
        return node.Entry(
            settings_file.entry(),
            self.reactor,
            _wire_protocol.PlatformWireProtocol(settings_file.usage_address),
            self._null_fd,
        )

    async def start(self) -> None:
        limits = web.HttpLimits()
        for store in self.stores:
            await store.start()
            self._listen(
                store.settings.control,
                _control.ControlHandlers(store).routes(),
                limits,
            )
        await self._start_entry(self.entry)

    async def add_entry(self) -> None:
        """Starts a further entry and waits until it is ready."""
        entry = self._make_entry(2 + len(self.further_entries))
        self.further_entries.append(entry)
        await self._start_entry(entry)
        await support.until(lambda: entry.is_ready)

    async def _start_entry(self, entry: node.Entry) -> None:
        await entry.start()
        limits = web.HttpLimits()
        calls = _front.FrontHandlers(entry)
        self.front = self._listen(
            entry.settings.front,
            calls.routes(),
            limits,
            calls.end_open_requests,
        )
        self._listen(entry.settings.ready, calls.ready_routes(), limits)

    def _listen(
        self,
        address: node.Address,
        routes: list[web.Route],
        limits: web.HttpLimits,
        end_requests: typing.Callable[[], None] = lambda: None,
    ) -> _listener.Listener:
        listener = _listener.Listener(
            self.reactor, address, routes, limits, end_requests=end_requests
        )
        listener.start()
        self._listeners.append(listener)
        return listener

    async def stop(self) -> None:
        for listener in self._listeners:
            await listener.stop(self.reactor.seconds())
        for entry in (self.entry, *self.further_entries):
            await entry.stop()
        for store in self.stores:
            await store.stop()
        for stand_in in (self.engine, self.server, self.api):
            await stand_in.stop()
        os.close(self._null_fd)
        self._folder.cleanup()

    async def restart(self) -> None:
        """Restarts all stores and the entry at once; endpoints run on."""
        for listener in self._listeners:
            await listener.stop(self.reactor.seconds())
        self._listeners.clear()
        await self.entry.stop()
        for store in self.stores:
            await store.stop()
        self.stores = [self._make_store(n + 1) for n in range(STORE_COUNT)]
        self.entry = self._make_entry()
        await self.start()

    @property
    def leader(self) -> node.Store | None:
        for store in self.stores:
            if store.stored.has_lease:
                return store
        return None

    async def call(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        **headers: str,
    ) -> Reply:
        """Sends a request on a new connection."""
        return await call(self.reactor, method, url, body, **headers)

    async def call_store(
        self, method: str, path: str, document: typing.Any, store: int = 1
    ) -> Reply:
        """Calls a store as operators do: repeats a call without a result."""
        url = f"http://127.0.1.{store}:{self.control_port}{path}"
        body = b"" if document is None else json.dumps(document).encode()
        while True:
            try:
                reply = await self.call(method, url, body)
            except (error.ConnectionRefusedError, client.ResponseNeverReceived):
                # The store restarts.
                await support.next_turn(0.1)
                continue
            if reply.status not in (503, 504):
                return reply

    async def call_front(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        entry: int = 1,
        **headers: str,
    ) -> Reply:
        """Calls an entry with the API key of `account-1`."""
        url = f"http://127.0.2.{entry}:{self.front_port}{path}"
        return await self.call(method, url, body, **(CALLER_HEADERS | headers))

    async def announce(
        self,
        name: str,
        service: str,
        address: str,
        sequence: int = 1,
        born: int = 1_000,
    ) -> Reply:
        models = [
            {"name": model, "version": version, "adapters": []}
            for model, version in self.engine.versions.items()
        ]
        announcement = {
            "service": service,
            "address": address,
            "zone": "zone-a",
            "slots": 4,
            "state": "ready",
            "sequence": sequence,
            "born": born,
            "models": models if service == "engines" else [],
        }
        if self.cold_ms:
            announcement["cold-remaining-ms"] = self.cold_ms
        return await self.call_store(
            "PUT", f"/-/instances/{name}", announcement
        )

    async def keep_announcing(self) -> None:
        """Announces both endpoints every second until it is cancelled."""
        for sequence in itertools.count(2):
            await task.deferLater(self.reactor, 1.0)
            await self.announce(
                "engine-1", "engines", self.engine.address, sequence
            )
            await self.announce(
                "server-1", "plain", self.server.address, sequence
            )

    async def configure(self) -> None:
        """Applies a configuration document and announces both endpoints."""
        await self.call_store("PUT", "/-/config", DOCUMENT)
        await self.announce("engine-1", "engines", self.engine.address)
        await self.announce("server-1", "plain", self.server.address)
        await support.until(
            lambda: (
                self.entry.sync.table is not None
                and len(self.entry.sync.directory) == 2
            )
        )


async def call(
    reactor: typing.Any,
    method: str,
    url: str,
    body: bytes = b"",
    **headers: str,
) -> Reply:
    """Sends a request on a new connection.

    Args:
        reactor: Provides sockets and timers.
        method: Method of the request.
        url: Where to send it.
        body: Its body; empty for none.
        **headers: Its headers, with underscores for hyphens.
    """
    agent = mesh.ip_agent(reactor)
    request_headers = http_headers.Headers()
    for name, value in headers.items():
        request_headers.addRawHeader(name.replace("_", "-"), value)
    producer = client.FileBodyProducer(io.BytesIO(body)) if body else None
    resp: iweb.IResponse = await agent.request(
        method.encode(), url.encode(), request_headers, producer
    )
    response_body = await mesh.read_body(resp)
    response_headers = {
        name.decode().lower(): values[0].decode()
        for name, values in resp.headers.getAllRawHeaders()
    }
    return Reply(resp.code, response_headers, response_body)


CALLER_HEADERS = {"host": "host.example", "authorization": "Token key-1"}
"""Headers of requests with the API key of `account-1`."""

DOCUMENT: dict[str, typing.Any] = {
    "version": 3,
    "routes": [
        {
            "name": "plain",
            "host": "host.example",
            "path-prefix": "/plain/",
            "type": "idempotent",
            "timeout-ms": 2000,
            "target-latency-ms": 200,
            "service": "plain",
            "max-attempts": 3,
        },
        {
            "name": "once",
            "host": "host.example",
            "path-prefix": "/once/",
            "type": "non_idempotent",
            "timeout-ms": 2000,
            "target-latency-ms": 200,
            "service": "plain",
            "max-attempts": 3,
        },
        {
            "name": "jobs",
            "host": "host.example",
            "path-prefix": "/jobs/",
            "type": "rollout",
            "timeout-ms": 10000,
            "target-latency-ms": 400,
            "service": "engines",
            "max-attempts": 3,
            "due-ms": 7500,
            "item-ttl-s": 40,
        },
        {
            "name": "scorer",
            "host": "host.example",
            "path-prefix": "/score/",
            "type": "idempotent",
            "timeout-ms": 2000,
            "target-latency-ms": 200,
            "service": "plain",
            "max-attempts": 4,
            "public": True,
        },
    ],
    "services": [
        {"name": "plain", "health-path": "/health", "max-connections": 10},
        {
            "name": "engines",
            "health-path": "/health",
            "max-connections": 10,
            "engine": {
                "slots": 4,
                "kv-tokens": 1000,
                "models": [{"name": "model"}],
            },
        },
    ],
    "limits": {"max-header-bytes": 16384},
    "tenants": [
        {"name": "account-1", "api-keys": ["key-1"]},
        {"name": "account-2", "api-keys": ["key-2"]},
    ],
}


def make_job(items: int = 2, min_version: int = 1) -> bytes:
    """Returns the body of a batch job with a scorer for each item."""
    return json.dumps(
        {
            "step": 0,
            "model": "model",
            "min-version": min_version,
            "desired-count": 1,
            "requests": [
                {
                    "id": f"item-{number}",
                    "path": f"/jobs/x/{number}",
                    "headers": {"X-Banyanbank-Model": "model"},
                    "body": base64.b64encode(b"prompt").decode(),
                    "tokens": 100,
                    "group": "g1",
                    "scorer": {
                        "id": f"score-{number}",
                        "host": "host.example",
                        "path": "/score/1",
                        "body": base64.b64encode(b"score").decode(),
                    },
                }
                for number in range(items)
            ],
        }
    ).encode()


class System(typing.Protocol):
    """What a scenario runs against."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


S = typing.TypeVar("S", bound=System)


def run_against(
    make_system: typing.Callable[[], S],
    scenario: typing.Callable[
        [S], typing.Coroutine[typing.Any, typing.Any, None]
    ],
    limit_s: float = support.TEST_LIMIT_S,
) -> None:
    """Runs a scenario against a new system, and stops it.

    Args:
        make_system: Makes the system.
        scenario: What to run.
        limit_s: Seconds after which the test fails.
    """

    async def run() -> None:
        system = make_system()
        try:
            await system.start()
            await scenario(system)
        finally:
            await system.stop()

    support.run_async(run, limit_s)


def run_scenario(
    scenario: typing.Callable[
        [Deployment], typing.Coroutine[typing.Any, typing.Any, None]
    ],
) -> None:
    """Runs a scenario against a new deployment."""
    run_against(Deployment, scenario)


def run_until_cancelled(
    work: typing.Coroutine[typing.Any, typing.Any, None],
) -> "defer.Deferred[None]":
    """Starts work whose cancellation is no error."""
    running = defer.ensureDeferred(work)
    running.addErrback(lambda failure: failure.trap(defer.CancelledError))
    return running


def run_with_heartbeats(
    scenario: typing.Callable[
        [Deployment], typing.Coroutine[typing.Any, typing.Any, None]
    ],
) -> None:
    """Runs a scenario on a configured deployment that stays announced."""

    async def run(system: Deployment) -> None:
        await system.configure()
        announcing = run_until_cancelled(system.keep_announcing())
        try:
            await scenario(system)
        finally:
            announcing.cancel()

    run_scenario(run)
