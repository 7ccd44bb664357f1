"""Calls over connections that stay open until the other end is gone."""

import io
import json
import typing

import attrs
import banyanbank_mesh as mesh
from twisted.internet import defer
from twisted.web import client
from twisted.web import http_headers

PROMISES_NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""


@attrs.frozen
class Reply:
    """What a caller got."""

    status: int
    """HTTP status."""
    headers: dict[str, str]
    """First value of each header, names in lower case."""
    body: bytes
    """Body."""

    def json(self) -> typing.Any:
        """Returns the body, decoded."""
        return json.loads(self.body)


class Caller:
    """One client with its kept connections.

    Args:
        reactor: Carries sockets and timers.
    """

    def __init__(self, reactor: typing.Any) -> None:
        self._reactor = reactor
        self._pool = client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.retryAutomatically = False
        self._agent = mesh.ip_agent(reactor, self._pool)

    async def call(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        limit_s: float = 1.0,
        **headers: str,
    ) -> Reply | None:
        """Returns the whole answer; None when none came in time."""
        usual = {"host": "host.example", "authorization": "Token key-1"}
        sent = http_headers.Headers()
        for name, value in (usual | headers).items():
            sent.addRawHeader(name.replace("_", "-"), value)
        producer = client.FileBodyProducer(io.BytesIO(body)) if body else None
        asked = defer.ensureDeferred(self._ask(method, url, sent, producer))
        asked.addTimeout(limit_s, self._reactor)
        try:
            return await asked
        except Exception:
            # No answer is one of the outcomes; callers look at what it means.
            return None

    async def close(self) -> None:
        """Closes the kept connections."""
        await self._pool.closeCachedConnections()

    async def _ask(
        self,
        method: str,
        url: str,
        headers: http_headers.Headers,
        producer: typing.Any,
    ) -> Reply:
        resp = await self._agent.request(
            method.encode(), url.encode(), headers, producer
        )
        body = await mesh.read_body(resp)
        found = {
            name.decode().lower(): values[0].decode()
            for name, values in resp.headers.getAllRawHeaders()
        }
        return Reply(resp.code, found, body)
