"""A small HTTP/1.1 client and server on asyncio streams."""

import asyncio
import collections.abc
import contextlib
import json
import typing

MAX_LINE_BYTES = 1 << 20

KEEP_ALIVE_S = 6.0
"""Time after which keep-alive probes end a connection that is silent."""

BROKEN = (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError)
"""Errors of a connection that was refused, cut or garbled."""


class Request(typing.NamedTuple):
    """A request that a server has read in full."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Path without its query."""
        return self.target.partition("?")[0]

    @property
    def request_id(self) -> str:
        """Id that the client gave the request."""
        return self.headers.get("x-banyanbank-request-id", "")

    def json(self) -> typing.Any:
        """Returns the decoded body."""
        return json.loads(self.body)


class Response(typing.NamedTuple):
    """A complete response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Returns the decoded body."""
        return json.loads(self.body)


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").strip("\r\n").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


def encode_head(first: str, headers: dict[str, str]) -> bytes:
    """Returns the encoded start line and headers."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 2.0,
) -> Response:
    """Sends a request on a new connection and returns the whole response.

    Args:
        address: IP address and port.
        method: HTTP method.
        target: Path and query.
        headers: Headers besides Content-Length.
        body: Body to send.
        timeout_s: Time limit in seconds.

    Raises:
        OSError: The connection was refused or reset.
        TimeoutError: There was no whole response in time.
    """
    host, _, port = address.rpartition(":")
    sent = {"Host": address} | (headers or {})
    sent["Content-Length"] = str(len(body))
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=MAX_LINE_BYTES
        )
        try:
            first = f"{method} {target} HTTP/1.1"
            writer.write(encode_head(first, sent) + body)
            await writer.drain()
            status_line, received = await _read_head(reader)
            content = await _read_body(reader, received)
        finally:
            writer.close()
    return Response(int(status_line.split()[1]), received, content)


class Connection:
    """One connection of a caller, while a server serves it.

    Args:
        reader: Stream from the caller.
        writer: Stream to the caller.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.is_silent = False

    @property
    def is_closed(self) -> bool:
        """Whether the caller has closed the connection."""
        return self._reader.at_eof() or self._writer.is_closing()

    def respond(
        self, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Sends a whole response."""
        sent = headers | {"Content-Length": str(len(body))}
        self._write(encode_head(f"HTTP/1.1 {status} -", sent) + body)

    def start(self, headers: dict[str, str]) -> None:
        """Begins a response of status 200 in chunks."""
        sent = headers | {"Transfer-Encoding": "chunked"}
        self._write(encode_head("HTTP/1.1 200 OK", sent))

    def write_chunk(self, data: bytes) -> None:
        """Sends a chunk; an empty one ends the response."""
        self._write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def silence(self) -> None:
        """Loses all further bytes, as a path that has gone silent does.

        The caller's keep-alive probes would find out after some seconds.
        """
        self.is_silent = True
        loop = asyncio.get_running_loop()
        loop.call_later(KEEP_ALIVE_S, self.abort)

    def abort(self) -> None:
        """Resets the connection."""
        self._writer.transport.abort()

    def _write(self, data: bytes) -> None:
        if not self.is_silent:
            self._writer.write(data)


class Server:
    """HTTP server on one loopback address.

    Args:
        host: IP address to listen at.
        port: TCP port to listen at.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self.address = f"{host}:{port}"
        self._listener: asyncio.Server | None = None
        self._connections: set[Connection] = set()

    async def start(self) -> None:
        """Starts listening."""
        self._listener = await asyncio.start_server(
            self._serve, self._host, self._port, limit=MAX_LINE_BYTES
        )

    def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            connection.abort()

    def silence(self) -> int:
        """Makes all open connections silent; returns how many."""
        for connection in self._connections:
            connection.silence()
        return len(self._connections)

    async def handle(self, req: Request, connection: Connection) -> None:
        """Serves one request."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        self._connections.add(connection)
        try:
            with contextlib.suppress(*BROKEN):
                while not connection.is_closed:
                    first, headers = await _read_head(reader)
                    method, target, _ = first.split(" ", 2)
                    body = await _read_body(reader, headers)
                    if connection.is_silent:
                        continue
                    req = Request(method, target, headers, body)
                    await self.handle(req, connection)
                    await writer.drain()
        finally:
            self._connections.discard(connection)
            writer.close()


async def wait_until(
    condition: collections.abc.Callable[[], bool], timeout_s: float
) -> bool:
    """Waits for a condition; returns whether it came true in time."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while not condition():
        if loop.time() >= deadline:
            return False
        await asyncio.sleep(0.02)
    return True
