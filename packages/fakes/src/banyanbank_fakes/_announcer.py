"""The endpoint's side: announce, renew, leave, reclaim notice, reports."""

import io
import json
import typing

import attrs
import banyanbank_mesh as mesh
from twisted.internet import defer
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers

from banyanbank_fakes import _engine
from banyanbank_fakes import _server

RENEW_S = 0.5
MILLISECONDS = 1_000


@attrs.define
class Announcer:
    """Announces one stand-in to instances in turn, as a balancer would."""

    server: _server.FakeServer
    """The stand-in that serves the endpoint."""
    endpoint: str
    """Endpoint id."""
    instances: list[str]
    """Base URLs of instances' endpoint interface."""
    token: str
    """Announce credential."""
    facts: dict[str, typing.Any]
    """Kind, models or service, failure domain, and so on."""
    incarnation: int = 1
    """Rises when the endpoint restarts."""
    leaving: bool = False
    """Set once it has said that it leaves."""
    sent: int = 0
    """Announcements that were sent."""
    reported: int = 0
    """Reports that were sent."""
    reports: bool = True
    """Whether an engine publishes its cache events and its load."""
    _loop: task.LoopingCall | None = None

    def start(self) -> None:
        """Announces now and renews until stopped."""
        self._loop = task.LoopingCall(self._renew)
        self._loop.clock = self.server.reactor
        self._loop.start(RENEW_S)

    def stop(self) -> None:
        """Stops renewing, as a crash would."""
        if self._loop is not None and self._loop.running:
            self._loop.stop()

    def _renew(self) -> None:
        for posting in (self.post("announce"), self.report()):
            defer.ensureDeferred(posting).addErrback(lambda _failure: None)

    async def leave(self) -> None:
        """Tells that the endpoint leaves; running work goes on."""
        self.leaving = True
        self.stop()
        await self.post("leave")

    async def notify_reclaim(self, seconds: float) -> None:
        """Tells that the endpoint is reclaimed after some seconds."""
        self.facts["reclaim_in_s"] = seconds
        await self.post("reclaim-notice")

    async def post(self, verb: str) -> None:
        """Sends one announcement to the next instance in turn."""
        self.sent += 1
        fields = {"url": self.server.url, **self.facts, **self._load()}
        await self._send(verb, self.sent - 1, fields)

    async def report(self) -> None:
        """Publishes cache events and load, late or not at all if so told."""
        engine = self.server
        if not self.reports or not isinstance(engine, _engine.FakeEngine):
            return
        batch = engine.cache.take_batch()
        load = {"running": engine.running, "waiting": 0}
        faults = engine.faults
        self.reported += 1
        every = faults.drop_reports_every
        if every and self.reported % every == 0:
            return
        await engine.pause(faults.report_lag_s)
        age_ms = int(faults.report_lag_s * MILLISECONDS)
        fields = {**batch, "load": {**load, "age_ms": age_ms}}
        await self._send("report", self.reported, fields)

    async def _send(
        self, verb: str, number: int, fields: dict[str, typing.Any]
    ) -> None:
        base = self.instances[number % len(self.instances)]
        message = {
            "endpoint": self.endpoint,
            "incarnation": self.incarnation,
            **fields,
        }
        data = json.dumps(message).encode()
        headers = http_headers.Headers(
            {
                b"content-type": [b"application/json"],
                b"authorization": [f"Bearer {self.token}".encode()],
            }
        )
        agent = mesh.ip_agent(self.server.reactor)
        response = await agent.request(
            b"POST",
            f"{base}/endpoint/{verb}".encode(),
            headers,
            client.FileBodyProducer(io.BytesIO(data)),
        )
        await mesh.read_body(response)

    def _load(self) -> dict[str, int]:
        running = getattr(self.server, "running", None)
        if running is None:
            return {}
        version = getattr(self.server, "weight_version", 0)
        return {"running": running, "weight_version": version}
