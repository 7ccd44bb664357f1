"""Stand-in for the platform: endpoint orders, usage reports, weight store."""

import json

import attrs
from twisted.web import http
from twisted.web import server

from banyanbank_fakes import _server


@attrs.define
class FakePlatform(_server.FakeServer):
    """Takes orders and reports and records what it received."""

    newest_fencing_token: int = 0
    """Highest fencing token seen."""
    orders: list[dict] = attrs.field(factory=list)
    """Every endpoint order taken, resends included."""
    names_endpoints: bool = False
    """Whether answers name the endpoints that an order will start."""
    reports: list[dict] = attrs.field(factory=list)
    """Every usage report taken, resends included."""

    def __attrs_post_init__(self) -> None:
        """Adds the calls of the platform."""
        self.add("POST", "/platform/orders", self._order)
        self.add("POST", "/platform/usage", self._usage)

    async def _order(self, request: server.Request, body: bytes) -> None:
        await self._take(request, json.loads(body), self.orders)

    async def _usage(self, request: server.Request, body: bytes) -> None:
        await self._take(request, json.loads(body), self.reports)

    async def _take(
        self, request: server.Request, message: dict, taken: list[dict]
    ) -> None:
        token = int(message.get("fencing_token", 0))
        old = token < self.newest_fencing_token
        if old and not self.faults.ignore_fencing:
            answer = {"error": "old fencing token"}
            _server.send_json(request, http.CONFLICT, answer)
            return
        self.newest_fencing_token = max(token, self.newest_fencing_token)
        taken.append(message)
        if self.faults.drop_before_answer:
            _server.abort(request)
            return
        taken_over = {"accepted": True, "endpoints": self._promised(message)}
        _server.send_json(request, http.OK, taken_over)

    def _promised(self, message: dict) -> list[str]:
        if not self.names_endpoints or message.get("action") != "start":
            return []
        key = message["idempotency_key"]
        return [f"{key}-{number}" for number in range(message["count"])]
