"""Servers that the deployment calls, and what they saw."""

import collections
import json
import math
import random
import typing

from twisted.internet import task
from twisted.web import server

from tests.platform import fakes

HOST = "127.0.0.1"
DEADLY = b"deadly"
"""Begins the body of a request that ends its server."""
ENGINES = 2
TUNED = 2
PLAIN = 2
PORTS = ENGINES + TUNED + PLAIN + 1
"""One for each server and one for the API."""
EVENT_S = 0.03
"""Seconds between two events of a run."""
WORK_S = 0.02
"""Most seconds that a plain server takes."""
FULL_SHARE = 0.02
"""Share of the requests that a plain server says it has not run."""


FAILING_SHARE = 0.02
"""Share of the requests that a plain server runs and then denies."""
FAILING_PATHS = (b"/once/", b"/plain/")
"""Paths of such requests."""


class ColdStarter(fakes.FakeServer):
    """Server that is cold after a start, or becomes so at any moment.

    Attributes:
        born: Start of its life, as Unix time in milliseconds.
        cold_until: When it is warm, on the reactor's clock.
    """

    def __init__(self, reactor: typing.Any, host: str, port: int) -> None:
        super().__init__(reactor, host, port)
        self.born = 1_000
        self.cold_until = 0.0

    @property
    def cold_ms(self) -> int:
        """Milliseconds for which it stays cold."""
        return max(
            0, math.ceil(1000 * (self.cold_until - self._reactor.seconds()))
        )

    def _serve(self, request: server.Request) -> None:
        """Does not record health checks: they come from the platform."""
        if request.path != b"/health":
            super()._serve(request)
            return
        request.setHeader("X-Banyanbank-Cold-Ms", str(self.cold_ms))
        request.finish()

    def reset(self) -> None:
        """Resets the connections of all runs."""
        raise NotImplementedError


class PacedEngine(ColdStarter, fakes.Engine):
    """Generates events one after the other, and stops when it is left.

    Attributes:
        event_s: Seconds between two events of a run.
        made: Versions under which each event of an item was made.
        open_runs: Runs under way; a non-empty list ends the run.
        forged: Items whose requests did not have this system's headers alone.
    """

    event_s = EVENT_S

    def __init__(self, reactor: typing.Any, host: str, port: int) -> None:
        super().__init__(reactor, host, port)
        self.open_runs: dict[server.Request, list[typing.Any]] = {}
        self.forged: set[str] = set()
        self.made: dict[str, dict[int, set[int]]] = collections.defaultdict(
            lambda: collections.defaultdict(set)
        )

    def _run(self, request: server.Request) -> None:
        last = request.getHeader("last-event-id")
        item = str(request.getHeader("x-banyanbank-request-id"))
        first = int(str(last)) + 1 if last else 1
        headers = request.requestHeaders
        accounts = headers.getRawHeaders("x-banyanbank-tenant")
        if accounts != ["account-1"] or headers.hasHeader("authorization"):
            self.forged.add(item)
        request.setHeader("content-type", "text/event-stream")
        request.setHeader("x-banyanbank-request-id", item)
        request.setHeader("x-banyanbank-response-signature", f"signed.{item}")
        if first <= fakes.EVENT_COUNT:
            version = self.versions["model"]
            request.setHeader("x-banyanbank-weight-versions", str(version))
        is_left: list[typing.Any] = []
        self.open_runs[request] = is_left
        ended = request.notifyFinish().addBoth(is_left.append)
        ended.addBoth(lambda _: self.open_runs.pop(request, None))
        self._make(request, item, first, self.versions["model"], is_left)

    def _make(
        self,
        request: server.Request,
        item: str,
        number: int,
        version: int,
        is_left: list[typing.Any],
    ) -> None:
        if is_left:
            return
        if number > fakes.EVENT_COUNT:
            request.finish()
            return
        change = ""
        if version != self.versions["model"]:
            # A load takes effect within a run, as with the mode `retain`.
            version = self.versions["model"]
            change = f"x-banyanbank-weight-versions: {version}\n"
        self.made[item][number].add(version)
        event = f"{change}id: {number}\ndata: piece {number}\n\n"
        request.write(event.encode())
        self._reactor.callLater(
            self.event_s,
            self._make,
            request,
            item,
            number + 1,
            version,
            is_left,
        )

    def reset(self) -> None:
        """Resets the connections of all runs."""
        for request in list(self.open_runs):
            request.transport.abortConnection()

    def silence(self) -> None:
        """Sends nothing more on the connections of all runs."""
        for is_left in self.open_runs.values():
            is_left.append("silent")


class TunedEngine(PacedEngine):
    """Engine with texts that are long enough for a load to come meanwhile."""

    event_s = 0.25


class BusyServer(ColdStarter, fakes.PlainServer):
    """Takes its time, is full now and then, and denies what it has run.

    Attributes:
        crashes: How often each deadly request has ended it.
    """

    def __init__(self, reactor: typing.Any, host: str, port: int) -> None:
        super().__init__(reactor, host, port)
        self._rng = random.Random(port)
        self.crashes: collections.Counter[bytes] = collections.Counter()
        self._held: set[server.Request] = set()

    def answer(self, request: server.Request) -> None:
        """Answers after a while, unless the request ends the server."""
        assert request.content is not None
        body = request.content.read()
        if body.startswith(DEADLY):
            self.crashes[body] += 1
            self._held.add(request)
            self.reset()
            return
        self._held.add(request)
        request.notifyFinish().addBoth(lambda _: self._held.discard(request))
        request.setHeader("x-life", f"{self.address}/{self.born}")
        if self._rng.random() < FULL_SHARE:
            self.next_statuses.append(503)
        path = request.path or b""
        is_failing = (
            path.startswith(FAILING_PATHS)
            and self._rng.random() < FAILING_SHARE
        )
        is_left: list[typing.Any] = []
        request.notifyFinish().addBoth(is_left.append)
        # It runs whatever becomes of the connection.
        super_answer = super().answer
        work = task.deferLater(
            self._reactor, self._rng.uniform(0.0, WORK_S), lambda: None
        )

        def finish(_: object) -> None:
            if is_left or is_failing:
                name = request.getHeader("x-banyanbank-request-id")
                self.ran_request_ids.append(str(name))
            if is_left:
                return
            if is_failing:
                self._fail(request)
            else:
                super_answer(request)

        work.addCallback(finish)

    def _fail(self, request: server.Request) -> None:
        """Answers as if the request had not run, or with no HTTP status."""
        status = self._rng.choice((0, 408, 429, 503))
        if not status:
            self._break(request, b"HTTP/1.1 000 OK")
            return
        request.setResponseCode(status)
        name = str(request.getHeader("x-banyanbank-request-id"))
        request.setHeader("x-banyanbank-request-id", name)
        if self._rng.random() < 0.5:
            request.setHeader(
                "x-banyanbank-response-signature", f"signed.{name}"
            )
        request.finish()

    def reset(self) -> None:
        """Resets the connections of all runs."""
        for held in list(self._held):
            held.transport.abortConnection()
        self._held.clear()


class Farm:
    """All servers behind the deployment.

    Args:
        reactor: Carries sockets and timers.
        ports: One for each server and one for the API.
    """

    def __init__(self, reactor: typing.Any, ports: list[int]) -> None:
        free = iter(ports)
        self.engines = [
            PacedEngine(reactor, HOST, next(free)) for _ in range(ENGINES)
        ]
        self.tuned = [
            TunedEngine(reactor, HOST, next(free)) for _ in range(TUNED)
        ]
        self.plain = [
            BusyServer(reactor, HOST, next(free)) for _ in range(PLAIN)
        ]
        self.api = fakes.PlatformApi(reactor, HOST, next(free))
        self.servers: dict[str, ColdStarter] = {
            f"{service}-{number}": one
            for service, ones in (
                ("engines", self.engines),
                ("tuned", self.tuned),
                ("plain", self.plain),
            )
            for number, one in enumerate(ones, 1)
        }

    async def stop(self) -> None:
        """Closes all listeners."""
        for one in (*self.all_engines, *self.plain, self.api):
            await one.stop()

    @property
    def all_engines(self) -> list[PacedEngine]:
        """Engines of both services."""
        return [*self.engines, *self.tuned]

    def services_of(self, item: str) -> set[str]:
        """Returns the services whose engines generated a part of an item."""
        return {
            name
            for name, engines in (
                ("engines", self.engines),
                ("tuned", self.tuned),
            )
            if any(engine.made.get(item) for engine in engines)
        }

    def runs_of(self, request_id: str) -> int:
        """Returns how often plain servers ran a request."""
        return sum(one.ran_request_ids.count(request_id) for one in self.plain)

    @property
    def forged(self) -> set[str]:
        """Items that reached an engine with headers of their own making."""
        return set().union(*(engine.forged for engine in self.all_engines))

    def versions_of(self, item: str) -> dict[int, set[int]]:
        """Returns the versions under which each event of an item was made."""
        joined: dict[int, set[int]] = collections.defaultdict(set)
        for engine in self.all_engines:
            for number, versions in engine.made.get(item, {}).items():
                joined[number] |= versions
        return joined

    def announcement(self, name: str, sequence: int) -> bytes:
        """Returns the announcement of a server."""
        one = self.servers[name]
        models = [
            {"name": model, "version": version, "adapters": []}
            for model, version in getattr(one, "versions", {}).items()
        ]
        body = {
            "service": name.partition("-")[0],
            "address": one.address,
            "zone": zone_of(name),
            "slots": 4,
            "state": "ready",
            "sequence": sequence,
            "born": one.born,
            "models": models,
        }
        if one.cold_ms:
            body["cold-remaining-ms"] = one.cold_ms
        return json.dumps(body).encode()


def zone_of(name: str) -> str:
    """Returns the failure domain of a server."""
    return "zone-" + name.partition("-")[2]
