"""Opening and accepting websockets between instances."""

import collections.abc
import logging
import typing

import websockets.asyncio.client
import websockets.asyncio.server

from banyanbank_mesh import _counting
from banyanbank_mesh import _frames
from banyanbank_mesh import _handshake
from banyanbank_mesh import _peer
from banyanbank_mesh import _tls

CONNECT_LIMIT_S = 1.5
"""A dial that has not succeeded by then has failed: TCP sends the opening
packet again after one second, and after a further two."""

PING_PERIOD_S = 5.0
"""Period of the pings that find a silent peer."""

PING_LIMIT_S = 10.0
"""A peer that answers no ping for this long is disconnected."""

CLOSE_LIMIT_S = 1.0
"""Time for the closing handshake."""

LOGGER_NAME = "banyanbank_mesh.websockets"
"""Where the websockets library logs."""

Handler = collections.abc.Callable[
    [_counting.CountingServer],
    collections.abc.Awaitable[None],
]
"""Serves one accepted connection."""


async def listen(
    handler: Handler, host: str, port: int, tls: _tls.MeshTls | None
) -> websockets.asyncio.server.Server:
    """Starts listening.

    Args:
        handler: Serves each connection.
        host: IP number to bind.
        port: TCP port; 0 lets the system choose.
        tls: Mutual TLS; None for plain TCP.

    Raises:
        OSError: The address cannot be bound.
    """
    return await websockets.asyncio.server.serve(
        # `create_connection` makes the connections that the handler expects.
        typing.cast(typing.Any, handler),
        host,
        port,
        ssl=None if tls is None else tls.server_context(),
        compression=None,
        create_connection=_counting.CountingServer,
        server_header=None,
        open_timeout=_handshake.HANDSHAKE_LIMIT_S,
        ping_interval=PING_PERIOD_S,
        ping_timeout=PING_LIMIT_S,
        close_timeout=CLOSE_LIMIT_S,
        max_size=_frames.MAX_FRAME_BYTES,
        logger=_quiet_logger(),
    )


async def connect(
    address: _peer.Address,
    tls: _tls.MeshTls | None,
    source_host: str | None = None,
) -> _counting.CountingClient:
    """Opens a connection.

    Args:
        address: Where the peer listens.
        tls: Mutual TLS; None for plain TCP.
        source_host: IP number to connect from; None lets the system choose.

    Raises:
        OSError: The peer cannot be reached, or TLS failed.
        WebSocketException: The other end is no websocket server.
    """
    scheme = "ws" if tls is None else "wss"
    host = f"[{address.host}]" if ":" in address.host else address.host
    source = None if source_host is None else (source_host, 0)
    conn = await websockets.asyncio.client.connect(
        f"{scheme}://{host}:{address.port}/",
        local_addr=source,
        ssl=None if tls is None else tls.client_context(),
        compression=None,
        create_connection=_counting.CountingClient,
        proxy=None,
        user_agent_header=None,
        open_timeout=CONNECT_LIMIT_S,
        ping_interval=PING_PERIOD_S,
        ping_timeout=PING_LIMIT_S,
        close_timeout=CLOSE_LIMIT_S,
        max_size=_frames.MAX_FRAME_BYTES,
        logger=_quiet_logger(),
    )
    return typing.cast(_counting.CountingClient, conn)


def _quiet_logger() -> logging.Logger:
    # Without a handler of its own, errors would go to standard error even
    # when the program has not configured its logs.
    logger = logging.getLogger(LOGGER_NAME)
    if not logger.handlers:
        logger.addHandler(logging.NullHandler())
    return logger
