"""A caller: one request, one whole answer."""

import io
import json
import typing

import attrs
import banyanbank_mesh as mesh
from twisted.web import client
from twisted.web import http_headers


@attrs.frozen
class Answer:
    """A whole answer."""

    status: int
    """HTTP status."""
    body: bytes
    """Whole body."""

    @property
    def document(self) -> typing.Any:
        """The body read as JSON; an empty object when there is none."""
        return json.loads(self.body) if self.body else {}


class Caller:
    """Calls one listener with one key.

    Args:
        reactor: Carries sockets.
        url: Base URL of the listener.
        secret: Key or token; empty for none.
    """

    def __init__(self, reactor: typing.Any, url: str, secret: str) -> None:
        pool = mesh.BoundedHeadPool(reactor, persistent=True)
        pool.retryAutomatically = False
        self._agent = mesh.ip_agent(reactor, pool)
        self._pool = pool
        self._url = url
        self._secret = secret

    async def call(
        self,
        method: str,
        path: str,
        document: typing.Any = None,
        body: bytes = b"",
        **headers: str,
    ) -> Answer:
        """Sends a request and reads the whole answer.

        Args:
            method: HTTP method.
            path: Path with its query.
            document: Body as JSON; None to send `body`.
            body: Raw body.
            **headers: Headers, underscores for dashes.
        """
        data = body if document is None else json.dumps(document).encode()
        lines = http_headers.Headers(
            {name.replace("_", "-"): [value] for name, value in headers.items()}
        )
        if self._secret:
            lines.addRawHeader("authorization", f"Bearer {self._secret}")
        response = await self._agent.request(
            method.encode(),
            f"{self._url}{path}".encode(),
            lines,
            client.FileBodyProducer(io.BytesIO(data)) if data else None,
        )
        return Answer(response.code, await mesh.read_body(response))

    async def close(self) -> None:
        """Closes idle connections."""
        await self._pool.closeCachedConnections()
