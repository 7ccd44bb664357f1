"""Fake endpoints and a fake platform API on loopback.

They implement the parts of the platform's protocol that the tests use, and
simulate faults on request.
"""

import collections
import json
import typing

from twisted.internet import task
from twisted.web import resource
from twisted.web import server

LEAVING_HEADER = "server-leaving"
"""Header by which a server states that it leaves."""

EVENT_COUNT = 4
"""Number of events in a generated text."""


class _CatchAllResource(resource.Resource):
    isLeaf = True  # noqa: N815  (twisted's name)

    def __init__(self, serve: typing.Callable[[server.Request], None]) -> None:
        super().__init__()
        self._handle = serve

    def render(self, request: server.Request) -> int:
        self._handle(request)
        return server.NOT_DONE_YET


class FakeServer:
    """HTTP server that records the requests it receives.

    Attributes:
        requests: Requests, in the order of their arrival.
        arrived_at: When each of them arrived, on the reactor's clock.
        rate_limit: Rate limit that its answers state; None for none.
        is_leaving: Whether its answers state that it leaves.
        status_lines: By the beginning of a path, lines that begin the next
            answers in place of a status line.
        broken_count: Number of such answers so far.
    """

    def __init__(self, reactor: typing.Any, host: str, port: int) -> None:
        self._reactor = reactor
        self.address = f"{host}:{port}"
        self._listening = reactor.listenTCP(
            port, server.Site(_CatchAllResource(self._serve)), interface=host
        )
        self.requests: list[server.Request] = []
        self.arrived_at: list[float] = []
        self.rate_limit: str | None = None
        self.is_leaving = False
        self.status_lines: dict[bytes, list[bytes]] = {}
        self.broken_count = 0

    async def stop(self) -> None:
        """Closes the listener."""
        await self._listening.stopListening()

    def _serve(self, request: server.Request) -> None:
        self.requests.append(request)
        self.arrived_at.append(self._reactor.seconds())
        if self.rate_limit is not None:
            request.setHeader("server-limit", self.rate_limit)
        if self.is_leaving:
            request.setHeader(LEAVING_HEADER, "1")
        for beginning, lines in self.status_lines.items():
            if lines and (request.path or b"").startswith(beginning):
                self._break(request, lines.pop(0))
                return
        self.answer(request)

    def _break(self, request: server.Request, status_line: bytes) -> None:
        """Gives an answer that is sound but for its first line."""
        self.broken_count += 1
        request_id = request.getHeader("x-banyanbank-request-id") or ""
        transport: typing.Any = request.transport
        transport.write(
            status_line
            + b"\r\nX-Banyanbank-Request-Id: "
            + request_id.encode()
            + b"\r\nX-Banyanbank-Response-Signature: broken"
            + b"\r\nX-Banyanbank-Weight-Versions: 9"
            + b"\r\nContent-Type: application/json"
            + b"\r\nContent-Length: 2\r\n\r\n{}"
        )

    def answer(self, request: server.Request) -> None:
        """Responds to a request."""
        raise NotImplementedError


class PlainServer(FakeServer):
    """Endpoint of a plain service that signs its responses.

    Attributes:
        next_statuses: Statuses of the next responses; 200 if empty.
        is_silent: Whether it takes requests and never responds.
        runs_all: Whether it runs requests whatever status it responds with.
        signs_all: Whether it signs such responses, too.
        ran_request_ids: IDs of the requests that it ran.
    """

    def __init__(self, reactor: typing.Any, host: str, port: int) -> None:
        super().__init__(reactor, host, port)
        self.next_statuses: collections.deque[int] = collections.deque()
        self.is_silent = False
        self.runs_all = False
        self.signs_all = True
        self.ran_request_ids: list[str] = []

    def answer(self, request: server.Request) -> None:
        """Responds with the next of `next_statuses`."""
        if self.is_silent:
            return
        status = self.next_statuses.popleft() if self.next_statuses else 200
        request.setResponseCode(status)
        request_id = request.getHeader("x-banyanbank-request-id") or ""
        request.setHeader("x-banyanbank-request-id", request_id)
        if status in (421, 503) and not self.runs_all:
            request.setHeader("x-banyanbank-not-executed", "1")
        else:
            self.ran_request_ids.append(request_id)
        if request_id in self.ran_request_ids and (
            status == 200 or self.signs_all
        ):
            signature = f"signed.{request_id}"
            request.setHeader("x-banyanbank-response-signature", signature)
        request.write(b"answer to " + request_id.encode())
        request.finish()


class Engine(FakeServer):
    """Model server: streams events, accepts load orders, reports its state.

    Attributes:
        versions: Weight version of each model.
        abort_after_events: For each of the next runs, the number of the last
            event before the connection is aborted.
        error_after_abort: Status and body of the response to the request after
            the next aborted run; None for none.
        resumed_after: For each run, the last event ID of its request; None if
            the run starts from the beginning.
        orders: Bodies of the accepted orders.
    """

    def __init__(self, reactor: typing.Any, host: str, port: int) -> None:
        super().__init__(reactor, host, port)
        self.versions = {"model": 1}
        self.abort_after_events: collections.deque[int] = collections.deque()
        self.error_after_abort: tuple[int, bytes] | None = None
        self.resumed_after: list[str | None] = []
        self.orders: list[dict[str, typing.Any]] = []

    def answer(self, request: server.Request) -> None:
        """Serves a report, an order or a run."""
        if request.path == b"/-/report":
            self._report(request)
        elif request.path == b"/-/order":
            self._order(request)
        else:
            self._run(request)

    def _report(self, request: server.Request) -> None:
        body = {
            "models": [
                {"name": name, "version": version, "adapters": []}
                for name, version in self.versions.items()
            ],
            "busy": False,
            "sequence": len(self.orders),
        }
        request.write(json.dumps(body).encode())
        request.finish()

    def _order(self, request: server.Request) -> None:
        assert request.content is not None
        order = json.loads(request.content.read())
        if order["expect"] != len(self.orders):
            request.setResponseCode(409)
        else:
            request.setResponseCode(202)
            self.orders.append(order)
            self.versions[order["model"]] = order["version"]
        request.finish()

    def _run(self, request: server.Request) -> None:
        last = request.getHeader("last-event-id")
        self.resumed_after.append(last if isinstance(last, str) else None)
        if last and self.error_after_abort is not None:
            status, body = self.error_after_abort
            self.error_after_abort = None
            request.setResponseCode(status)
            request_id = request.getHeader("x-banyanbank-request-id")
            request.setHeader("x-banyanbank-request-id", str(request_id))
            request.write(body)
            request.finish()
            return
        first = int(last) + 1 if last else 1
        cut_after = (
            self.abort_after_events.popleft()
            if self.abort_after_events
            else None
        )
        request.setHeader("content-type", "text/event-stream")
        if first <= EVENT_COUNT:
            version = str(self.versions["model"])
            request.setHeader("x-banyanbank-weight-versions", version)
        request_id = request.getHeader("x-banyanbank-request-id")
        request.setHeader("x-banyanbank-request-id", str(request_id))
        request.setHeader(
            "x-banyanbank-response-signature", f"signed.{request_id}"
        )
        for number in range(first, EVENT_COUNT + 1):
            if cut_after is not None and number > cut_after:
                task.deferLater(self._reactor, 0.01, _abort_connection, request)
                return
            request.write(f"id: {number}\ndata: piece {number}\n\n".encode())
        if cut_after == EVENT_COUNT:
            task.deferLater(self._reactor, 0.01, _abort_connection, request)
            return
        request.finish()


def _abort_connection(request: server.Request) -> None:
    transport: typing.Any = request.transport
    if transport is not None:
        transport.abortConnection()


class PlatformApi(FakeServer):
    """Receives usage reports.

    Attributes:
        reports: Lease holder, fencing token and body of each report.
    """

    def __init__(self, reactor: typing.Any, host: str, port: int) -> None:
        super().__init__(reactor, host, port)
        self.reports: list[tuple[str, int, dict[str, typing.Any]]] = []

    def answer(self, request: server.Request) -> None:
        """Records a report."""
        assert request.content is not None
        self.reports.append(
            (
                str(request.getHeader("x-banyanbank-lease-holder")),
                int(str(request.getHeader("x-banyanbank-fencing-token"))),
                json.loads(request.content.read()),
            )
        )
        request.finish()
