"""Websockets that count what they receive."""

import asyncio

import websockets.asyncio.client
import websockets.asyncio.server


class _CountsBytes(asyncio.Protocol):
    """Counts bytes; a message is seen only when its last byte is here."""

    bytes_heard = 0
    """Bytes received so far."""

    def data_received(self, data: bytes) -> None:
        self.bytes_heard += len(data)
        super().data_received(data)


class CountingClient(_CountsBytes, websockets.asyncio.client.ClientConnection):
    """The end of a websocket that has connected."""


class CountingServer(_CountsBytes, websockets.asyncio.server.ServerConnection):
    """The end of a websocket that was accepted."""


CountingConnection = CountingClient | CountingServer
"""Either end."""
