"""Stand-ins for model servers, plain servers and the platform.

They follow the protocol page: a model server batches `slots` requests, streams
events, resumes after `Last-Event-Id`, rejects what it has not run with
`X-Banyanbank-Not-Executed`, and loads weights by order in all three switch
modes.
"""

import asyncio
import collections
import dataclasses
import json
import time
import typing

from lab import record
from lab import wire

NOT_EXECUTED = {"X-Banyanbank-Not-Executed": "1"}
VERSION_HEADER = "X-Banyanbank-Weight-Versions"
LOAD_S = 0.9
"""Duration of a load of weights; the sheets of the small sites say 0.9 s."""


class Endpoint(wire.Server):
    """A server that registers itself.

    Args:
        host: IP address to listen at.
        port: TCP port to listen at.
        name: Id of the server.
        service: Name of its service.
        zone: Zone that it runs in.
        notes: Record of the case.

    Attributes:
        is_up: Whether it has not ended.
        is_announced: Whether its heartbeats are sent.
        daemon: Number of the store that it calls.
    """

    slots = 8

    def __init__(
        self,
        host: str,
        port: int,
        name: str,
        service: str,
        zone: str,
        notes: record.Record,
    ) -> None:
        super().__init__(host, port)
        self.name = name
        self.service = service
        self.zone = zone
        self.notes = notes
        self.is_up = True
        self.is_announced = True
        self.daemon = 0
        self._born = int(time.time() * 1000)
        self._sequence = 0

    def crash(self) -> None:
        """Ends without a word; announces nothing any more."""
        self.is_up = False
        self.notes.note("server crashed", server=self.name)
        self.stop()

    def models(self) -> list[dict[str, typing.Any]]:
        """Returns the loaded models as in announcements."""
        return []

    def announcement(self) -> bytes:
        """Returns the next heartbeat."""
        self._sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold-remaining-ms": 0,
                "stage": "hybrid",
                "models": self.models(),
                "sequence": self._sequence,
                "born": self._born,
            }
        ).encode()

    async def handle(
        self, req: wire.Request, connection: wire.Connection
    ) -> None:
        """Serves one request."""
        echo = {"X-Banyanbank-Request-Id": req.request_id}
        meant = req.headers.get("x-banyanbank-expect-instance", self.name)
        if meant != self.name:
            connection.respond(421, echo | NOT_EXECUTED)
        elif req.path == "/health":
            headers = {"X-Banyanbank-Instance-Id": self.name}
            connection.respond(200, headers)
        else:
            await self.run(req, connection, echo)

    async def run(
        self,
        req: wire.Request,
        connection: wire.Connection,
        echo: dict[str, str],
    ) -> None:
        """Serves a request that is neither misdirected nor a health check."""
        raise NotImplementedError


class PlainServer(Endpoint):
    """Server of a plain service; signs its responses.

    Attributes:
        work_s: Seconds that a request takes.
        arrivals: When each request came, in steady seconds, and its id.
        answered: Ids of the requests that were answered.
    """

    work_s = 0.03

    def __init__(self, *args: typing.Any) -> None:
        super().__init__(*args)
        self.arrivals: list[tuple[float, str]] = []
        self.answered: set[str] = set()

    async def run(
        self,
        req: wire.Request,
        connection: wire.Connection,
        echo: dict[str, str],
    ) -> None:
        """Answers after a while."""
        self.arrivals.append((time.monotonic(), req.request_id))
        self.notes.note("ran", server=self.name, id=req.request_id)
        await asyncio.sleep(self.work_s)
        if not self.is_up:
            return
        self.answered.add(req.request_id)
        signature = {"X-Banyanbank-Response-Signature": f"s.{req.request_id}"}
        connection.respond(200, echo | signature, b"done")


@dataclasses.dataclass(eq=False)
class Run:
    """One run of a request at a model server."""

    model: str
    connection: wire.Connection


@dataclasses.dataclass(frozen=True)
class Made:
    """One event of a text, as a model server made it."""

    server: str
    service: str
    version: int


class Texts:
    """The texts that the model servers generate, and who made which event.

    Attributes:
        length: Number of events of a text, by request id.
        made: Every event that was made, by request id and number.
        named: Newest version that trainers named, by model.
        left_at: When a request was last at a server, in steady seconds.
        finished: Requests that a server has finished.
    """

    def __init__(self) -> None:
        self.length: dict[str, int] = collections.defaultdict(lambda: 5)
        self.made: dict[str, dict[int, list[Made]]] = collections.defaultdict(
            lambda: collections.defaultdict(list)
        )
        self.named: dict[str, int] = collections.defaultdict(lambda: 1)
        self.left_at: dict[str, float] = collections.defaultdict(float)
        self.finished: set[str] = set()

    @staticmethod
    def event(item: str, number: int) -> str:
        """Returns the data of an event."""
        return f"{item}/{number}"

    def whole(self, item: str) -> str:
        """Returns the whole text of an item."""
        numbers = range(1, self.length[item] + 1)
        return "\n".join(self.event(item, number) for number in numbers)


class Engine(Endpoint):
    """Model server.

    Attributes:
        texts: Shared by all model servers.
        event_s: Seconds between two events of a stream.
        versions: Version of each loaded model.
        runs: Requests that it works on.
    """

    texts: Texts
    event_s = 0.05

    def prepare(self, texts: Texts, models: typing.Iterable[str]) -> "Engine":
        """Sets what it generates and loads; returns the server itself."""
        self.texts = texts
        self.versions = dict.fromkeys(models, 1)
        self.runs: set[Run] = set()
        self._fence = 0
        self._orders = 0
        self._loading: str | None = None
        return self

    def models(self) -> list[dict[str, typing.Any]]:
        """Returns the loaded models as in announcements."""
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.versions.items()
        ]

    async def run(
        self,
        req: wire.Request,
        connection: wire.Connection,
        echo: dict[str, str],
    ) -> None:
        """Serves a report, an order or a generation."""
        if req.path == "/-/report":
            connection.respond(200, {}, self._report())
        elif req.path == "/-/order":
            status = self._take_order(req.json())
            self.notes.note(
                "order", server=self.name, body=req.json(), status=status
            )
            connection.respond(status, {})
        else:
            await self._generate(req, connection, echo)

    def _report(self) -> bytes:
        return json.dumps(
            {
                "stage": "hybrid",
                "models": self.models(),
                "busy": self._loading is not None,
                "sequence": self._orders,
                "waiting": 0,
                "running": len(self.runs),
                "kv-used": 0,
                "kv-total": 60_000,
                "handles": 0,
            }
        ).encode()

    def _take_order(self, order: dict[str, typing.Any]) -> int:
        model, version = order["model"], order["version"]
        if order["fence"] < self._fence:
            return 412
        self._fence = order["fence"]
        if version > self.texts.named[model] or model not in self.versions:
            return 400
        if self.versions[model] == version:
            return 200
        if self._loading or order.get("expect", self._orders) != self._orders:
            return 409
        self._orders += 1
        self._loading = model
        task = asyncio.ensure_future(
            self._load(model, version, order.get("switch-mode", "wait"))
        )
        task.add_done_callback(lambda done: done.exception())
        return 202

    async def _load(self, model: str, version: int, mode: str) -> None:
        if mode == "truncate":
            for run in self._runs_of(model):
                run.connection.abort()
        while mode == "wait" and self._runs_of(model):
            await asyncio.sleep(0.01)
        await asyncio.sleep(LOAD_S)
        self.versions[model] = version
        self._loading = None
        self.notes.note(
            "loaded", server=self.name, model=model, version=version
        )

    def _runs_of(self, model: str) -> list[Run]:
        return [run for run in self.runs if run.model == model]

    async def _generate(
        self,
        req: wire.Request,
        connection: wire.Connection,
        echo: dict[str, str],
    ) -> None:
        model = req.headers.get("x-banyanbank-model", "")
        if self._loading == model or len(self.runs) >= self.slots:
            connection.respond(503, echo | NOT_EXECUTED)
            return
        run = Run(model, connection)
        self.runs.add(run)
        try:
            await self._stream(req, run, echo)
        finally:
            self.runs.discard(run)
            self.texts.left_at[req.request_id] = time.monotonic()

    async def _stream(
        self, req: wire.Request, run: Run, echo: dict[str, str]
    ) -> None:
        item, connection = req.request_id, run.connection
        after = int(req.headers.get("last-event-id", 0))
        version = self.versions[run.model]
        self.notes.note(
            "run began",
            server=self.name,
            service=self.service,
            item=item,
            path=req.path,
            after=after,
            version=version,
        )
        connection.start(
            echo
            | {
                "Content-Type": "text/event-stream",
                VERSION_HEADER: str(version),
                "X-Banyanbank-Response-Signature": f"s.{item}",
            }
        )
        for number in range(after + 1, self.texts.length[item] + 1):
            await asyncio.sleep(self.event_s)
            if connection.is_closed or not self.is_up:
                self.notes.note(
                    "run cut", server=self.name, item=item, before=number
                )
                return
            first_line = ""
            if version != self.versions[run.model]:
                version = self.versions[run.model]
                first_line = f"{VERSION_HEADER.lower()}: {version}\n"
            self.texts.made[item][number].append(
                Made(self.name, self.service, version)
            )
            data = self.texts.event(item, number)
            event = f"{first_line}id: {number}\ndata: {data}\n\n"
            connection.write_chunk(event.encode())
        connection.write_chunk(b"")
        self.texts.finished.add(item)
        self.notes.note("run ended", server=self.name, item=item)


class Platform(wire.Server):
    """The platform's API: takes usage reports, has no servers to order."""

    async def handle(
        self, req: wire.Request, connection: wire.Connection
    ) -> None:
        """Answers one call."""
        connection.respond(409 if req.path == "/scale" else 200, {})
