"""Tests of the listening socket that is opened before the imports."""

import json
import pathlib
import socket
import tempfile
import unittest

import banyanbank_node as node
from banyanbank_platform import _early_socket
from banyanbank_platform import _listener
import banyanbank_web as web

from tests import support

HOST = "127.0.0.1"
REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"


class EarlySocketTest(unittest.TestCase):
    """Callers that return while an entry imports its libraries."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "boot.json")

    def open(self, role: str, content: str) -> socket.socket | None:
        self.path.write_text(content)
        return _early_socket.open_front_socket(
            role, {"BANYANBANK_BOOT": str(self.path)}
        )

    def test_settings_that_open_no_socket(self) -> None:
        front = {"listen": {"front": f"{HOST}:0"}}
        cases = (
            ("another role", "store", json.dumps(front)),
            ("no JSON", "entry", "{"),
            ("not a table", "entry", "[]"),
            ("no listeners", "entry", "{}"),
            ("no address", "entry", json.dumps({"listen": {"front": 7}})),
            ("no port", "entry", json.dumps({"listen": {"front": HOST}})),
            (
                "port out of range",
                "entry",
                json.dumps({"listen": {"front": f"{HOST}:70000"}}),
            ),
            (
                "address of another machine",
                "entry",
                json.dumps({"listen": {"front": "192.0.2.1:1"}}),
            ),
        )
        for name, role, content in cases:
            with self.subTest(name):
                self.assertIsNone(self.open(role, content))

    def test_missing_settings_open_no_socket(self) -> None:
        self.assertIsNone(_early_socket.open_front_socket("entry", {}))

    def test_early_connection_is_answered_after_the_start(self) -> None:
        support.run_async(self._check_early_connection)

    async def _check_early_connection(self) -> None:
        from twisted.internet import reactor

        [port] = support.free_ports(1)
        listening = self.open(
            "entry", json.dumps({"listen": {"front": f"{HOST}:{port}"}})
        )
        with socket.create_connection((HOST, port)) as conn:
            conn.sendall(REQUEST)
            listener = _listener.Listener(
                reactor,
                node.Address(HOST, port),
                [web.Route("GET", "/-/ready", _answer)],
                web.HttpLimits(),
                listening,
            )
            listener.start()
            received = await _receive(conn)
        self.assertTrue(received.startswith(b"HTTP/1.1 204"))
        await listener.stop(0.0)


async def _receive(conn: socket.socket) -> bytes:
    conn.setblocking(False)
    while True:
        try:
            return conn.recv(4096)
        except BlockingIOError:
            await support.next_turn(0.01)


async def _answer(exchange: web.Exchange) -> None:
    exchange.relay(204, (), b"")


if __name__ == "__main__":
    unittest.main()
